"""Writes a capture again with keyed hashes for ids, tenants, keys and, on request, endpoints.

The blocks and the numbers of the records stay, so that gaps and checkpoints stay where they are.  A capture may hold
digests of the answers only; these are computed again from what the present decision module answers, which must be
what was captured.
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
    """The present decision module answers otherwise than captured, so that digests cannot be computed again."""


def anonymise(
    capture: CaptureFiles, pseudonyms: Pseudonyms, folder: Path, on_step: Callable[[Step], None] | None = None
) -> tuple[list[Path], list[str]]:
    """Write each file under its name into a folder; return the files, and where the capture was corrupt.

    Raises:
        AnonymiseError: The present decision module answers otherwise than captured.
        OSError: A file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    replayer = Replayer(Policy)
    output = _BlockOutput(folder)
    for step in capture.steps():
        if on_step:
            on_step(step)
        output.begin_block_of(step)
        if replayer.apply_step(step) is not None:
            raise AnonymiseError(
                f"{step.file}: record {step.record_number}: the present module does not do as captured"
            )
        output.add(step, _pseudonymised_record(step, pseudonyms, replayer))
    output.flush()
    return output.files, capture.corruptions


class _BlockOutput:
    """Writes records into files and blocks with the same bounds as those that they were read from."""

    def __init__(self, folder: Path) -> None:
        self.files = list[Path]()
        self._folder = folder
        self._position: BlockPosition | None = None
        self._records = list[bytes]()
        self._clocks = list[float]()
        self._first_record = 0
        self._has_checkpoint = False

    def begin_block_of(self, step: Step) -> None:
        """Begin a new block, where a record is the first of the block that it was read from."""
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
        """Write the records of the current block, if there are any."""
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
    """Return a record under other names, after the replayer has applied it."""
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
            # The decision stands before the first checkpoint of a torn capture, where no replay can begin.
            return records.encode_mark(record.clock, "decided", "unknown")
        full_actions = record.context[0]
        return records.encode_decision(record.clock, pseudonyms.actions(replayer.last_actions), full_actions)
    if record.kind == records.PERMISSION:
        dest, endpoint = record.context
        return records.encode_permission(record.clock, dest, pseudonyms.endpoint(endpoint), record.payload)
    return records.encode_mark(record.clock, record.payload, *record.context)
