"""The same capture under other names: ids, tenants, keys, and if asked for endpoints, as keyed hashes.

The blocks and their numbers stay, so that gaps and checkpoints stay where they are.  Answers that are kept as digests
are made anew from what the present module says, which must be what was captured.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from kestreltrack.capture import blocks, records
from kestreltrack.capture.cursor import CaptureFiles, Step
from kestreltrack.capture.pseudonyms import Pseudonyms
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import Policy
from kestreltrack.snapshot.state import decode, encode


class AnonymiseError(Exception):
    """The present module does not do as captured, so that digests cannot be made anew."""


def anonymise(
    capture: CaptureFiles, pseudonyms: Pseudonyms, folder: Path, on_step: Callable[[Step], None] | None = None
) -> tuple[list[Path], list[str]]:
    """Write each file under its name into a folder; returns the files, and where the capture was not sound."""
    folder.mkdir(parents=True, exist_ok=True)
    player, written = Replayer(Policy), list[Path]()
    pending, at = list[bytes](), None
    first, clocks, checkpoint = 0, list[float](), False

    def flush() -> None:
        if pending:
            with written[-1].open("ab") as out:
                block = blocks.pack_block(
                    pending, first, min(clocks, default=0.0), max(clocks, default=0.0), checkpoint
                )
                out.write(block)
            pending.clear()
            clocks.clear()

    for step in capture.steps():
        if on_step:
            on_step(step)
        if step.position != at:
            flush()
            if at is None or step.position.file != at.file:
                written.append(folder / step.file.name)
                written[-1].write_bytes(blocks.MAGIC)
            at, first, checkpoint = step.position, step.record_number, False
        record = step.record
        if player.apply_step(step) is not None:
            raise AnonymiseError(
                f"{step.file}: record {step.record_number}: the present module does not do as captured"
            )
        checkpoint = checkpoint or record.kind == records.CHECKPOINT
        if record.kind != records.FILE_HEADER:
            clocks.append(record.clock)
        pending.append(_pseudonymised_record(step, pseudonyms, player))
    flush()
    return written, capture.corruptions


def _pseudonymised_record(step: Step, pseudonyms: Pseudonyms, player: Replayer[Policy]) -> bytes:
    record = step.record
    if record.kind == records.FILE_HEADER:
        return records.encode_msgpack(
            (records.FILE_HEADER, 0.0, msgspec.structs.replace(record.payload, hashed=True))
        )
    if record.kind == records.CHECKPOINT:
        return records.encode_checkpoint(record.clock, encode(pseudonyms.state(decode(record.payload))))
    if record.kind == records.EVENT:
        return records.encode_event(record.clock, pseudonyms.event(record.payload))
    if record.kind == records.DECISION:
        if player.policy is None:  # before the first checkpoint of a torn capture: nobody can replay it
            return records.encode_mark(record.clock, "decided", "unknown")
        return records.encode_decision(
            record.clock, pseudonyms.actions(player.last_actions), record.context[0]
        )
    if record.kind == records.PERMISSION:
        dest, endpoint = record.context
        return records.encode_permission(record.clock, dest, pseudonyms.endpoint(endpoint), record.payload)
    return records.encode_mark(record.clock, record.payload, *record.context)
