"""Logging, counters and invariant checks of one process."""

from kestreltrack.telemetry.telemetry import Telemetry

__all__ = ["Telemetry"]
