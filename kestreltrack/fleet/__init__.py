"""What senders do together.  Knows `ports` and `telemetry`, never `sender`; only `sender/assembly.py` wires it."""
