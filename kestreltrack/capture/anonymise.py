"""Copies a capture with keyed hashes in place of message ids, tenants, ordering keys and, on request, endpoints.

Block boundaries and record numbers are preserved, and so are the positions of gaps and checkpoints.  A capture may
hold only digests of the actions; these are recomputed from a replay, whose actions must equal the captured ones.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from kestreltrack.capture import blocks, records
from kestreltrack.capture.cursor import BlockPosition, CaptureFiles, Step
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.pseudonyms import Pseudonyms
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import Policy
from kestreltrack.snapshot.state import decode, encode


class AnonymiseError(CaptureError):
    """The running decision module does not give the captured answers, so digests cannot be recomputed."""


def anonymise(
    capture: CaptureFiles, pseudonyms: Pseudonyms, folder: Path, on_step: Callable[[Step], None] | None = None
) -> tuple[list[Path], list[str]]:
    """Write each file under the same name into a folder; return the files, and where the capture was corrupt.

    `on_step` receives each record before it is replayed.

    Raises:
        AnonymiseError: The running decision module does not give the captured answers.
        OSError: A file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    replayer = Replayer(Policy)
    output = _BlockOutput(folder)
    for step in capture.steps():
        if on_step:
            on_step(step)
        output.begin_block_if_needed(step)
        if replayer.apply_step(step) is not None:
            raise AnonymiseError(
                f"{step.file}: record {step.record_number}: the running decision module differs from the captured one"
            )
        output.add(step, _pseudonymised_record(step, pseudonyms, replayer))
    output.flush()
    return output.files, capture.corruptions


class _BlockOutput:
    """Writes records into files and blocks with the same boundaries as those they were read from."""

    def __init__(self, folder: Path) -> None:
        self.files = list[Path]()
        self._folder = folder
        self._position: BlockPosition | None = None
        self._records = list[bytes]()
        self._clocks = list[float]()
        self._first_record = 0
        self._has_checkpoint = False

    def begin_block_if_needed(self, step: Step) -> None:
        """Begin a new block, and a new file if needed, where the source position has changed."""
        if step.position == self._position:
            return
        self.flush()
        if self._position is None or step.position.file != self._position.file:
            self.files.append(self._folder / step.file.name)
            self.files[-1].write_bytes(blocks.MAGIC)
        self._position = step.position
        self._first_record = step.record_number
        self._has_checkpoint = False

    def add(self, step: Step, record: bytes) -> None:
        """Append a record to the current block."""
        if step.record.kind == records.CHECKPOINT:
            self._has_checkpoint = True
        if step.record.kind != records.FILE_HEADER:
            self._clocks.append(step.record.clock)
        self._records.append(record)

    def flush(self) -> None:
        """Write the records of the current block, if any."""
        if not self._records:
            return
        first_clock = min(self._clocks, default=0.0)
        last_clock = max(self._clocks, default=0.0)
        block = blocks.pack_block(
            self._records, self._first_record, first_clock, last_clock, self._has_checkpoint
        )
        with self.files[-1].open("ab") as file:
            file.write(block)
        self._records.clear()
        self._clocks.clear()


def _pseudonymised_record(step: Step, pseudonyms: Pseudonyms, replayer: Replayer[Policy]) -> bytes:
    """Return a record with pseudonyms; the replayer has applied the record already."""
    record = step.record
    if record.kind == records.FILE_HEADER:
        header = msgspec.structs.replace(record.payload, hashed=True)
        return records.encode_msgpack((records.FILE_HEADER, 0.0, header))
    if record.kind == records.CHECKPOINT:
        return records.encode_checkpoint(record.clock, encode(pseudonyms.state(decode(record.payload))))
    if record.kind == records.EVENT:
        return records.encode_event(record.clock, pseudonyms.event(record.payload))
    if record.kind == records.DECISION:
        if replayer.policy is None:
            # The decision precedes the first checkpoint of an incomplete capture, so it cannot be replayed.
            return records.encode_mark(record.clock, "decided", "unknown")
        full_actions = record.context[0]
        return records.encode_decision(record.clock, pseudonyms.actions(replayer.last_actions), full_actions)
    if record.kind == records.PERMISSION:
        dest, endpoint = record.context
        return records.encode_permission(record.clock, dest, pseudonyms.endpoint(endpoint), record.payload)
    return records.encode_mark(record.clock, record.payload, *record.context)
