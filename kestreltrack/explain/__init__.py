"""Explains the decisions in a capture by replaying it with a decision module that emits trace events.

`tracing.py` evaluates the rules of the decision module at each decision.  `message_timeline.py` builds the timeline
of one message from these trace events, `destination_timeline.py` that of one destination.  `report.py` collects the
figures of a whole capture, `report_charts.py` draws them and `report_page.py` writes the page; `columns.py` converts
captures to tables for SQL.  This package makes no decisions, and the sender imports none of it.
"""
