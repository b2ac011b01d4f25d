"""The same capture under other names: ids, tenants, keys, and if asked for endpoints, as keyed hashes.

The blocks and their numbers stay, so that gaps and checkpoints stay where they are.  Answers that are kept as digests
are made anew from what the present module says, which must be what was captured.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from kestreltrack.capture import blocks, records
from kestreltrack.capture.names import Names
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Step, Tape
from kestreltrack.decision import Policy
from kestreltrack.snapshot.state import decode, encode


class CannotRename(Exception):
    """The present module does not do as captured, so that digests cannot be made anew."""


def anonymise(
    tape: Tape, names: Names, folder: Path, seen: Callable[[Step], None] | None = None
) -> tuple[list[Path], list[str]]:
    """Write each file under its name into a folder; returns the files, and where the capture was not sound."""
    folder.mkdir(parents=True, exist_ok=True)
    player, written = Player(Policy), list[Path]()
    pending, at = list[bytes](), None
    first, clocks, checkpoint = 0, list[float](), False

    def flush() -> None:
        if pending:
            with written[-1].open("ab") as out:
                block = blocks.pack(
                    pending, first, min(clocks, default=0.0), max(clocks, default=0.0), checkpoint
                )
                out.write(block)
            pending.clear()
            clocks.clear()

    for step in tape.walk():
        if seen:
            seen(step)
        if step.place != at:
            flush()
            if at is None or step.place.file != at.file:
                written.append(folder / step.file.name)
                written[-1].write_bytes(blocks.MAGIC)
            at, first, checkpoint = step.place, step.number, False
        record = step.record
        if player.step(step) is not None:
            raise CannotRename(
                f"{step.file}: record {step.number}: the present module does not do as captured"
            )
        checkpoint = checkpoint or record.kind == records.CHECKPOINT
        if record.kind != records.BEGAN:
            clocks.append(record.clock)
        pending.append(_renamed(step, names, player))
    flush()
    return written, tape.faults


def _renamed(step: Step, names: Names, player: Player[Policy]) -> bytes:
    record = step.record
    if record.kind == records.BEGAN:
        return records.ENCODE((records.BEGAN, 0.0, msgspec.structs.replace(record.what, hashed=True)))
    if record.kind == records.CHECKPOINT:
        return records.checkpoint(record.clock, encode(names.state(decode(record.what))))
    if record.kind == records.TOOK:
        return records.took(record.clock, names.event(record.what))
    if record.kind == records.DECIDED:
        if player.policy is None:  # before the first checkpoint of a torn capture: nobody can replay it
            return records.mark(record.clock, "decided", "unknown")
        return records.decided(record.clock, names.actions(player.actions), record.about[0])
    if record.kind == records.PERMITTED:
        dest, endpoint = record.about
        return records.permitted(record.clock, dest, names.endpoint(endpoint), record.what)
    return records.mark(record.clock, record.what, *record.about)
