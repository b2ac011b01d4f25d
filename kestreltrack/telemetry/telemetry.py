"""The log, the counters and the invariants of one process.  The log is one JSON line an event on standard error."""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any

import orjson

# For each kind of fault: others may cause any number of them, and a log must not fill a disk.
MAX_FAULT_LINES_PER_SECOND = 5


class Telemetry:
    """Writes the log of one process and holds its counters.

    Attributes:
        name: The sender's name, which stands in every line of the log.
        counters: The counters by name; they only grow.
    """

    def __init__(self, name: str = "") -> None:
        self.name = name
        self.counters: Counter[str] = Counter()
        # By fault: the second of the last line (monotonic), and how many lines were due in that second.
        self._fault_lines: dict[str, tuple[int, int]] = {}

    def log(self, event: str, **fields: Any) -> None:
        """Write one event as one line."""
        line = {"at": round(time.time(), 4), "sender": self.name, "event": event, **fields}
        try:
            sys.stderr.buffer.write(orjson.dumps(line, default=repr) + b"\n")
            sys.stderr.buffer.flush()
        except OSError:
            # The reader of the log has ended; that must not end the deliveries.
            self.count("telemetry.lost_lines")

    def count(self, counter: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[counter] += amount

    def record_fault(self, counter: str, **fields: Any) -> None:
        """Count what should not happen but must not end the process; log only some of a flood."""
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
        """Check an invariant: a broken one is counted and logged, and without ``python -O`` also asserted."""
        if not condition:
            self.record_fault(f"invariant.{invariant}")
            assert condition, invariant

    def log_counters(self) -> None:
        """Log all counters; done on request (SIGUSR1) and when the process ends."""
        self.log("counters", **dict(sorted(self.counters.items())))
