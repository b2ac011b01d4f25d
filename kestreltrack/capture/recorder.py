"""Stands between desk and module: passes everything on, and notes it in true order."""

from __future__ import annotations

import time
from collections.abc import Sequence

from kestreltrack.capture import records
from kestreltrack.capture.pseudonyms import Pseudonyms
from kestreltrack.capture.writer import Writer
from kestreltrack.decision import Action, Event, Policy
from kestreltrack.snapshot.codec import take_snapshot
from kestreltrack.snapshot.state import encode
from kestreltrack.telemetry import Telemetry

BLOCK_BYTES = 64 * 1024  # of records, before a block is handed over,
RETRY_INTERVAL_MS = 1000.0  # between checkpoints while nothing can be written
BLOCK_SPAN_MS = 500.0  # or this span of the clock
CHECKPOINT_INTERVAL_RECORDS = (
    20_000  # between checkpoints: about a second of replay, which is what `explain` waits for at most,
)
CHECKPOINT_COST_FACTOR = (
    200.0  # and so many times the span that the last one took: they may cost half a percent
)


class Recorder:
    """A module that is watched.  Without a capture nobody builds one."""

    def __init__(
        self,
        policy: Policy,
        writer: Writer,
        telemetry: Telemetry,
        sender: str,
        full_actions: bool,
        file_bytes: int,
        pseudonyms: Pseudonyms | None = None,
    ) -> None:
        """`whole` keeps actions whole instead of as digests; a file ends after so many bytes of records.

        `names` writes keyed hashes in the place of ids, tenants and keys.
        """
        self.policy, self.writer, self.telemetry = policy, writer, telemetry
        self._sender, self._full_actions, self._file_bytes = sender, full_actions, file_bytes
        self._records, self._block_bytes, self._block_started_at = list[bytes](), 0, 0.0
        # An earlier process may have written here: its numbers are passed by, with a gap that shows.
        self._first_record, self._bytes_in_file, self._pseudonyms = writer.next_record, 0, pseudonyms
        self._new_file_due, self._started = (
            True,
            False,
        )  # the next decision begins a file; the very first record does too
        self._retry_at = float("-inf")
        self._records_since_checkpoint, self._next_checkpoint_at = (
            0,
            float("-inf"),
        )  # records since the last checkpoint; none before this clock

    def handle(self, now: float, event: Event) -> None:
        """Pass an event on."""
        self._append(
            now, records.encode_event(now, self._pseudonyms.event(event) if self._pseudonyms else event)
        )
        self.policy.handle(now, event)

    def decide(self, now: float) -> Sequence[Action]:
        """Have the module decide."""
        if (self._new_file_due or self.writer.needs_new_file) and now >= self._retry_at:
            self._begin_file(now)
        elif (
            self._records_since_checkpoint >= CHECKPOINT_INTERVAL_RECORDS and now >= self._next_checkpoint_at
        ):
            self._write_checkpoint(now)
        actions = self.policy.decide(now)
        shown = self._pseudonyms.actions(actions) if self._pseudonyms else actions
        self._append(now, records.encode_decision(now, shown, self._full_actions))
        return actions

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Ask the module."""
        answer = self.policy.permits(now, dest, endpoint_name)
        self._append(now, records.encode_permission(now, dest, endpoint_name, answer))
        return answer

    def mark(self, now: float, subject: str, text: str = "") -> None:
        """Note what happened beside the module."""
        self._append(now, records.encode_mark(now, subject, text))

    def _begin_file(self, now: float) -> None:
        """A fresh file, from the module's state as it is now."""
        if self.writer.needs_new_file:
            # A disk that is full or slow must not cost a checkpoint at each step.
            self._retry_at = now + RETRY_INTERVAL_MS
            self.telemetry.record_fault("capture.gaps", lost_from=self._first_record)
            self._first_record += len(
                self._records
            )  # they show as missing: a replay must not pass over a gap
            self._records, self._block_bytes = [], 0
        self._flush_block(now)
        self._started = True
        wall, hashed = time.time() * 1000.0, self._pseudonyms is not None
        head = records.encode_file_header(self._sender, wall, self._full_actions, self._first_record, hashed)
        self._records = [head, self._encode_state(now)]
        self._block_bytes, self._block_started_at, self._bytes_in_file, self._new_file_due = (
            sum(map(len, self._records)),
            now,
            0,
            False,
        )
        if not self.writer.enqueue(True, self._records, self._first_record, now, now):
            self.telemetry.count("capture.lost_blocks")
        self._first_record += len(self._records)
        self._records, self._block_bytes = [], 0

    def _write_checkpoint(self, now: float) -> None:
        """A block of its own in the midst of a file, for a replay to begin at."""
        self._flush_block(now)
        if not self._new_file_due:
            self._records, self._block_started_at = [self._encode_state(now)], now
            self._block_bytes = len(self._records[0])
            self._flush_block(now)

    def _encode_state(self, now: float) -> bytes:
        began = time.perf_counter()
        taken = take_snapshot(self.policy)
        state = records.encode_checkpoint(
            now, encode(self._pseudonyms.state(taken) if self._pseudonyms else taken)
        )
        self._records_since_checkpoint, self._next_checkpoint_at = (
            0,
            now + CHECKPOINT_COST_FACTOR * (time.perf_counter() - began) * 1000.0,
        )
        return state

    def _append(self, now: float, record: bytes) -> None:
        if not self._started:
            self._begin_file(now)  # later files begin at a decision
        if not self._records:
            self._block_started_at = now
        self._records.append(record)
        self._records_since_checkpoint += 1
        self._block_bytes += len(record)
        if self._block_bytes >= BLOCK_BYTES or now - self._block_started_at >= BLOCK_SPAN_MS:
            self._flush_block(now)

    def _flush_block(self, now: float) -> None:
        if not self._records:
            return
        if not self.writer.enqueue(False, self._records, self._first_record, self._block_started_at, now):
            self.telemetry.count("capture.lost_blocks")
        self._first_record += len(self._records)
        self._bytes_in_file += self._block_bytes
        self._records, self._block_bytes = [], 0
        self._new_file_due = self._bytes_in_file >= self._file_bytes

    def start_new_file(self) -> None:
        """Have a fresh file begin at the next decision."""
        self._new_file_due = True

    def record_count(self) -> int:
        """How many there were so far, those of earlier processes with them."""
        return self._first_record + len(self._records)

    def close(self, now: float) -> None:
        """Hand over the rest, and have it written."""
        self._flush_block(now)
        self.writer.close()
