"""Log, counters and invariants.  One JSON line an event on standard error."""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any

import orjson

MAX_FAULT_LINES_PER_SECOND = 5  # for each kind of trouble: others may cause any amount of it


class Telemetry:
    """What one process tells of itself."""

    def __init__(self, name: str = "") -> None:
        """Name the sender in every line."""
        self.name = name
        self.counters: Counter[str] = Counter()
        self._fault_lines: dict[str, tuple[int, int]] = {}  # of trouble: the second, and lines written in it

    def log(self, event: str, **fields: Any) -> None:
        """Write one event as one line."""
        line = {"at": round(time.time(), 4), "sender": self.name, "event": event, **fields}
        try:
            sys.stderr.buffer.write(orjson.dumps(line, default=repr) + b"\n")
            sys.stderr.buffer.flush()
        except OSError:  # whoever read the log has gone: the messages matter more
            self.count("telemetry.lost_lines")

    def count(self, counter: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[counter] += amount

    def record_fault(self, counter: str, **fields: Any) -> None:
        """Count what should not happen but must not end the process; log only some of a flood."""
        self.count(counter)
        now = int(time.monotonic())
        second, lines = self._fault_lines.get(counter, (now, 0))
        lines = lines + 1 if second == now else 1
        self._fault_lines[counter] = (now, lines)
        if lines <= MAX_FAULT_LINES_PER_SECOND:
            self.log(counter, **fields)
        else:
            self.count("telemetry.suppressed_lines")

    def check_invariant(self, condition: bool, invariant: str) -> None:
        """Check an invariant: asserted in debug, counted and logged under ``python -O``."""
        if not condition:
            self.record_fault(f"invariant.{invariant}")
            assert condition, invariant

    def log_counters(self) -> None:
        """Log all counters: on request, and at exit."""
        self.log("counters", **dict(sorted(self.counters.items())))
