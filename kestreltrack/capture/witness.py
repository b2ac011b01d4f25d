"""Stands between desk and module: passes everything on, and notes it in true order."""

from __future__ import annotations

import time
from collections.abc import Sequence

from kestreltrack.capture import records
from kestreltrack.capture.names import Names
from kestreltrack.capture.writer import Writer
from kestreltrack.decision import Policy, api
from kestreltrack.snapshot.policy import take
from kestreltrack.snapshot.state import encode
from kestreltrack.telemetry import Telemetry

BLOCK_BYTES = 64 * 1024  # of records, before a block is handed over,
AGAIN_MS = 1000.0  # between checkpoints while nothing can be written
BLOCK_MS = 500.0  # or this span of the clock
CHECK_RECORDS = (
    20_000  # between checkpoints: about a second of replay, which is what `explain` waits for at most,
)
CHECK_COSTS = 200.0  # and so many times the span that the last one took: they may cost half a percent


class Witness:
    """A module that is watched.  Without a capture nobody builds one."""

    def __init__(
        self,
        policy: Policy,
        writer: Writer,
        telemetry: Telemetry,
        sender: str,
        whole: bool,
        file_bytes: int,
        names: Names | None = None,
    ) -> None:
        """`whole` keeps actions whole instead of as digests; a file ends after so many bytes of records.

        `names` writes keyed hashes in the place of ids, tenants and keys.
        """
        self.policy, self.writer, self.telemetry = policy, writer, telemetry
        self._sender, self._whole, self._file_bytes = sender, whole, file_bytes
        self._records, self._bytes, self._first = list[bytes](), 0, 0.0
        # An earlier process may have written here: its numbers are passed by, with a gap that shows.
        self._number, self._in_file, self._names = writer.following, 0, names
        self._fresh, self._begun = (
            True,
            False,
        )  # the next decision begins a file; the very first record does too
        self._again_at = float("-inf")
        self._since, self._check_at = (
            0,
            float("-inf"),
        )  # records since the last checkpoint; none before this clock

    def take(self, now: float, event: api.Event) -> None:
        """Pass an event on."""
        self._note(now, records.took(now, self._names.event(event) if self._names else event))
        self.policy.take(now, event)

    def decide(self, now: float) -> Sequence[api.Action]:
        """Have the module decide."""
        if (self._fresh or self.writer.broken) and now >= self._again_at:
            self._begin(now)
        elif self._since >= CHECK_RECORDS and now >= self._check_at:
            self._checkpoint(now)
        actions = self.policy.decide(now)
        shown = self._names.actions(actions) if self._names else actions
        self._note(now, records.decided(now, shown, self._whole))
        return actions

    def permits(self, now: float, number: int, name: str) -> bool:
        """Ask the module."""
        answer = self.policy.permits(now, number, name)
        self._note(now, records.permitted(now, number, name, answer))
        return answer

    def mark(self, now: float, what: str, text: str = "") -> None:
        """Note what happened beside the module."""
        self._note(now, records.mark(now, what, text))

    def _begin(self, now: float) -> None:
        """A fresh file, from the module's state as it is now."""
        if self.writer.broken:
            # A disk that is full or slow must not cost a checkpoint at each step.
            self._again_at = now + AGAIN_MS
            self.telemetry.trouble("capture.broken", lost_from=self._number)
            self._number += len(self._records)  # they show as missing: a replay must not pass over a gap
            self._records, self._bytes = [], 0
        self._hand_over(now)
        self._begun = True
        wall, hashed = time.time() * 1000.0, self._names is not None
        head = records.began(self._sender, wall, self._whole, self._number, hashed)
        self._records = [head, self._state(now)]
        self._bytes, self._first, self._in_file, self._fresh = sum(map(len, self._records)), now, 0, False
        if not self.writer.put(True, self._records, self._number, now, now):
            self.telemetry.count("capture.lost_blocks")
        self._number += len(self._records)
        self._records, self._bytes = [], 0

    def _checkpoint(self, now: float) -> None:
        """A block of its own in the midst of a file, for a replay to begin at."""
        self._hand_over(now)
        if not self._fresh:
            self._records, self._first = [self._state(now)], now
            self._bytes = len(self._records[0])
            self._hand_over(now)

    def _state(self, now: float) -> bytes:
        began = time.perf_counter()
        taken = take(self.policy)
        state = records.checkpoint(now, encode(self._names.state(taken) if self._names else taken))
        self._since, self._check_at = 0, now + CHECK_COSTS * (time.perf_counter() - began) * 1000.0
        return state

    def _note(self, now: float, record: bytes) -> None:
        if not self._begun:
            self._begin(now)  # later files begin at a decision
        if not self._records:
            self._first = now
        self._records.append(record)
        self._since += 1
        self._bytes += len(record)
        if self._bytes >= BLOCK_BYTES or now - self._first >= BLOCK_MS:
            self._hand_over(now)

    def _hand_over(self, now: float) -> None:
        if not self._records:
            return
        if not self.writer.put(False, self._records, self._number, self._first, now):
            self.telemetry.count("capture.lost_blocks")
        self._number += len(self._records)
        self._in_file += self._bytes
        self._records, self._bytes = [], 0
        self._fresh = self._in_file >= self._file_bytes

    def cut(self) -> None:
        """Have a fresh file begin at the next decision."""
        self._fresh = True

    def records(self) -> int:
        """How many there were so far, those of earlier processes with them."""
        return self._number + len(self._records)

    def close(self, now: float) -> None:
        """Hand over the rest, and have it written."""
        self._hand_over(now)
        self.writer.close()
