"""The log, the counters and the invariants of one process."""

from kestreltrack.telemetry.telemetry import Telemetry

__all__ = ["Telemetry"]
