"""One sender.

Messages: `delivery.py` (a message from its submission on), `attempt.py`, `message_lifecycle.py`, `recovery.py`, and
`dispatcher.py` between them and the decision module.  The endpoint list: `endpoint_updates.py`, `discovery.py`.  The
process: `assembly.py` (which parts the configuration asks for), `daemon.py` (start, service and stop).
"""
