"""The sender process.

Message delivery: `delivery.py` handles a message from its submission on, with `attempt.py`, `message_lifecycle.py`
and `recovery.py`; `dispatcher.py` connects them to the decision module.  Endpoint list: `endpoint_updates.py` and
`discovery.py`.  Process: `assembly.py` builds the components that the configuration enables, and `daemon.py` runs
startup, service and shutdown.
"""
