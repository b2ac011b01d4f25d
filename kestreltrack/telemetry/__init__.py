"""Log, counters and invariants."""

from kestreltrack.telemetry.telemetry import Telemetry

__all__ = [
    "Telemetry",
]
