"""Why the decision module did what it did: captures, replayed with a decision module that traces its decisions.

`tracing.py` asks the rules of the decision module at each decision; `message_timeline.py` makes of that the timeline
of one message and `destination_timeline.py` that of one destination.  `report.py` collects the figures of a whole
capture, `report_charts.py` draws them and `report_page.py` writes the page; `columns.py` makes tables, for SQL.
Nothing here decides, and the sender imports none of it.
"""
