"""Logging, counters and invariant checks of one process.  Each log event is one line of JSON on standard error."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import orjson

from kestreltrack.telemetry.log_output import LogOutput

# Limit for each kind of fault: clients and endpoints can cause any number of them, and the log must not fill a disk.
MAX_FAULT_LINES_PER_SECOND = 5


class Telemetry:
    """Writes the log of one process and keeps its counters.

    Attributes:
        name: The sender's name, included in every line of the log.
        counters: The counters by name; they never decrease.
    """

    def __init__(self, name: str = "") -> None:
        self.name = name
        self.counters: Counter[str] = Counter()
        self._output = LogOutput()
        # By fault: the monotonic second of the last occurrence, and the number of occurrences in that second.
        self._fault_lines: dict[str, tuple[int, int]] = {}

    def log(self, event: str, **fields: Any) -> None:
        """Write one event as one line of JSON."""
        line = {"at": round(time.time(), 4), "sender": self.name, "event": event, **fields}
        try:
            is_written = self._output.write(orjson.dumps(line, default=repr) + b"\n")
        except OSError:
            is_written = False
        if not is_written:
            # The reader of the log has ended or does not read, which must not stop deliveries.
            self.count("telemetry.lost_lines")

    def count(self, counter: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counters[counter] += amount

    def record_fault(self, counter: str, **fields: Any) -> None:
        """Count a fault that must not end the process, and log it at a limited rate."""
        self.count(counter)
        now_s = int(time.monotonic())
        second, lines = self._fault_lines.get(counter, (now_s, 0))
        lines = lines + 1 if second == now_s else 1
        self._fault_lines[counter] = (now_s, lines)
        if lines <= MAX_FAULT_LINES_PER_SECOND:
            self.log(counter, **fields)
        else:
            self.count("telemetry.suppressed_lines")

    def check_invariant(self, condition: bool, invariant: str) -> None:
        """Count and log a violated invariant, and raise `AssertionError` except under ``python -O``."""
        if not condition:
            self.record_fault(f"invariant.{invariant}")
            assert condition, invariant

    def log_counters(self) -> None:
        """Log all counters: on request (SIGUSR1) and when the process ends."""
        self.log("counters", **dict(sorted(self.counters.items())))
