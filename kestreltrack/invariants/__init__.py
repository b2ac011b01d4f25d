"""The safety rules of the specification, checked over recorded events and independent of the decision module.

`sender.py` checks one sender over what its decision module received and answered, `system.py` a whole run over the
stream of events that `events.py` defines.
"""
