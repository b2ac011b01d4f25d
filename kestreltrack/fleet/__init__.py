"""Coordination between senders.  Uses `ports` and `telemetry`, never `sender`; wired only by `sender/assembly.py`."""
