"""Records all calls of the dispatcher to the decision module, with their results, in order."""

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

# A block is passed to the writer at this size or age: large enough to compress well, and recent enough that a killed
# process loses at most half a second of records.
BLOCK_BYTES = 64 * 1024
BLOCK_SPAN_MS = 500.0
# The interval between attempts to begin a file while blocks cannot be written, as each attempt takes a checkpoint.
RETRY_INTERVAL_MS = 1000.0
# Replaying this many records takes about a second, the longest that `explain` has to wait.
CHECKPOINT_INTERVAL_RECORDS = 20_000
# The interval between checkpoints is at least this multiple of the time that the last one took, so that checkpoints
# use at most 0.5 % of the time.
CHECKPOINT_COST_FACTOR = 200.0
NEVER = float("-inf")


class Recorder:
    """Wraps a decision module and records its calls.  It is only built while a capture is on."""

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
        """Prepare to record; a file ends after `file_bytes` bytes of records.

        With `full_actions`, actions are recorded in full and not as digests.  `pseudonyms` replaces message ids,
        tenants and ordering keys with keyed hashes.
        """
        self.policy = policy
        self.writer = writer
        self.telemetry = telemetry
        self._sender = sender
        self._full_actions = full_actions
        self._file_bytes = file_bytes
        self._pseudonyms = pseudonyms
        self._records = list[bytes]()
        """The records of the current block, not yet passed to the writer."""
        self._block_bytes = 0
        self._block_started_at = 0.0
        # Record numbers continue after those of earlier processes in the folder, with a gap in between.
        self._first_record = writer.next_record
        self._bytes_in_file = 0
        self._started = False
        # The first record begins a file; each later file begins at a decision.
        self._new_file_due = True
        self._retry_at = NEVER
        self._records_since_checkpoint = 0
        self._next_checkpoint_at = NEVER

    def handle(self, now: float, event: Event) -> None:
        """Record an event and pass it to the decision module."""
        recorded = self._pseudonyms.event(event) if self._pseudonyms else event
        self._append(now, records.encode_event(now, recorded))
        self.policy.handle(now, event)

    def decide(self, now: float) -> Sequence[Action]:
        """Record and return the decision module's actions, after beginning a file or taking a checkpoint if due."""
        if (self._new_file_due or self.writer.needs_new_file) and now >= self._retry_at:
            self._begin_file(now)
        elif (
            self._records_since_checkpoint >= CHECKPOINT_INTERVAL_RECORDS and now >= self._next_checkpoint_at
        ):
            self._write_checkpoint(now)
        actions = self.policy.decide(now)
        recorded = self._pseudonyms.actions(actions) if self._pseudonyms else actions
        self._append(now, records.encode_decision(now, recorded, self._full_actions))
        return actions

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Return whether the decision module permits a delayed call, and record the answer."""
        answer = self.policy.permits(now, dest, endpoint_name)
        self._append(now, records.encode_permission(now, dest, endpoint_name, answer))
        return answer

    def mark(self, now: float, subject: str, text: str = "") -> None:
        """Record an occurrence outside the decision module."""
        self._append(now, records.encode_mark(now, subject, text))

    def start_new_file(self) -> None:
        """Begin a new file at the next decision."""
        self._new_file_due = True

    def record_count(self) -> int:
        """Return the number of the next record, which counts those of earlier processes in the folder too."""
        return self._first_record + len(self._records)

    def close(self, now: float) -> None:
        """Pass the remaining records to the writer, and wait until it has written them or its timeout expires."""
        self._flush_block(now)
        self.writer.close()

    def _append(self, now: float, record: bytes) -> None:
        if not self._started:
            self._begin_file(now)
        if not self._records:
            self._block_started_at = now
        self._records.append(record)
        self._records_since_checkpoint += 1
        self._block_bytes += len(record)
        if self._block_bytes >= BLOCK_BYTES or now - self._block_started_at >= BLOCK_SPAN_MS:
            self._flush_block(now)

    def _begin_file(self, now: float) -> None:
        """Begin a new file with a checkpoint of the current state."""
        if self.writer.needs_new_file:
            self._drop_block(now)
        self._flush_block(now)
        self._started = True
        header = records.encode_file_header(
            self._sender,
            time.time() * 1000.0,
            self._full_actions,
            self._first_record,
            self._pseudonyms is not None,
        )
        first_records = [header, self._encode_checkpoint(now)]
        self._bytes_in_file = 0
        self._new_file_due = False
        self._enqueue_block(True, first_records, now, now)

    def _drop_block(self, now: float) -> None:
        """Discard the current block after a write error or a full queue."""
        # While the disk is full or slow, a checkpoint at every decision would be too expensive.
        self._retry_at = now + RETRY_INTERVAL_MS
        self.telemetry.record_fault("capture.gaps", lost_from=self._first_record)
        # The missing numbers show the gap, which a replay must not continue across.
        self._first_record += len(self._records)
        self._records = []
        self._block_bytes = 0

    def _write_checkpoint(self, now: float) -> None:
        """Write a checkpoint as a block of its own within a file, where a replay can begin."""
        self._flush_block(now)
        if not self._new_file_due:
            self._records = [self._encode_checkpoint(now)]
            self._block_started_at = now
            self._block_bytes = len(self._records[0])
            self._flush_block(now)

    def _encode_checkpoint(self, now: float) -> bytes:
        """Return a checkpoint of the current state, and set when the next one is due."""
        started_s = time.perf_counter()
        state = take_snapshot(self.policy)
        if self._pseudonyms:
            state = self._pseudonyms.state(state)
        record = records.encode_checkpoint(now, encode(state))
        cost_ms = (time.perf_counter() - started_s) * 1000.0
        self._records_since_checkpoint = 0
        self._next_checkpoint_at = now + CHECKPOINT_COST_FACTOR * cost_ms
        return record

    def _flush_block(self, now: float) -> None:
        if not self._records:
            return
        block_records = self._records
        self._bytes_in_file += self._block_bytes
        self._records = []
        self._block_bytes = 0
        self._enqueue_block(False, block_records, self._block_started_at, now)
        # An operator may have requested a new file already; the request stays pending until the file begins.
        self._new_file_due = self._new_file_due or self._bytes_in_file >= self._file_bytes

    def _enqueue_block(
        self, new_file: bool, block_records: list[bytes], first_clock: float, last_clock: float
    ) -> None:
        if not self.writer.enqueue(new_file, block_records, self._first_record, first_clock, last_clock):
            self.telemetry.count("capture.lost_blocks")
        self._first_record += len(block_records)
