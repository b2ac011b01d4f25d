"""Why the decision module did what it did: captures, replayed with a decision module that traces its decisions.

`tracing.py` asks the rules of the decision module at each decision; `message_timeline.py` makes of that the timeline
of one message and `destination_timeline.py` that of one destination.  `report.py` writes a page about a whole capture,
with the figures of `report_data.py` and the pictures of `report_charts.py`; `columns.py` makes tables of it, for SQL.
Nothing here decides, and the sender imports none of it.
"""
