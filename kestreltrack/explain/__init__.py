"""Why the module did what it did: a module that watches itself, and what can be told from it.

`tracing.py` asks the module's own rules at each decision; `life.py` makes of that the life of one message and
`turns.py` that of one destination, over a capture.  Nothing here decides, and the sender imports none of it.
"""
