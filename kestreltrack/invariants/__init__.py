"""Checks of the invariants in the specification, over recorded events and independent of the decision module.

`sender.py` checks one sender, by the events and the actions of its decision module; `system.py` checks a complete
run, by the event stream that `events.py` defines.
"""
