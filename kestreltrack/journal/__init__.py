"""The durable record of what the sender has taken on, in the folder that outlives its process.

One file of records (`ledger.py`).  Plain writes: the platform keeps what was written, with no sync.  The file is
rewritten with what still matters before it and its successor together could outgrow the folder.

Two processes share the folder while a new version starts beside the old (graceful restart).  Each holds a slot:
a file of its own and an advisory lock that the kernel lets go when the process dies, however it dies.  The newcomer
keeps to a small part of the folder until it has adopted what the other slot's process left at its end.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from kestreltrack.decision.api import Outcome
from kestreltrack.journal.ledger import (
    LIFE_BYTES,
    Doubt,
    Held,
    Ledger,
    encode,
    first_to_expire,
    held_record,
    list_row,
)
from kestreltrack.journal.remains import Remains
from kestreltrack.journal.slots import SLOTS, lock_slot
from kestreltrack.ports import ListUpdate, Message, Notice
from kestreltrack.telemetry import Telemetry

__all__ = ["SLOTS", "Doubt", "Held", "Journal", "JournalFull", "first_to_expire"]

USED_SHARE = 0.7  # of the folder, for the file and its successor: the rest is never touched
HELD_SHARE = 0.3  # of the folder, for what is still held: leaves the file room to grow between rewrites
# Of both shares, for a process that starts while another holds a slot: 0.7 of the folder and 0.7 * 0.3 of it fit.
BESIDE_SHARE = 0.3
# A rewrite comes no sooner than the file has grown so much since the last: with all of two processes held, what is
# held twice over exceeds the share, and every record would rewrite the file (97 times for 577 messages adopted).
REWRITE_GROWTH = 1.25
SLOT_S, SLOT_LOOK_S = 2.0, 0.05  # a start waits so long for a slot: an adoption that is under way holds both


class JournalFull(Exception):
    """The folder has no room, or the write failed; nothing of the record is left in the file."""


class Journal(Ledger):
    """Appends records; knows all that is held, so that it can rewrite itself."""

    def __init__(self, folder: Path, folder_bytes: int, telemetry: Telemetry) -> None:
        """Take a free slot, read back what dead processes left, and start a fresh file with what still matters.

        Raises `JournalFull` where both slots are held by live processes.
        """
        super().__init__(telemetry)
        self.folder = folder
        self._whole = int(folder_bytes * USED_SHARE), int(folder_bytes * HELD_SHARE)
        self._fd = -1
        self.size = self._list_size = self._fresh = 0
        self._lock, self.slot, self.others = self._take_slot()
        self.path, self._next = folder / self.slot, folder / f"{self.slot}.new"
        share = BESIDE_SHARE if self.others else 1.0
        self.most, self.most_held = int(self._whole[0] * share), int(self._whole[1] * share)
        self._next.unlink(missing_ok=True)  # a rewrite that its process did not live to finish
        if self.path.exists():
            self.recover(self.lines(self.path.read_bytes()))
            self.in_order()
        self._rewrite()
        for slot in SLOTS:
            if slot != self.slot and slot not in self.others:
                try:
                    for _ in self.adopt(slot) or ():
                        pass
                except (
                    JournalFull,
                    OSError,
                ) as bad:  # the rest stays there, and is taken while this one runs
                    self.telemetry.trouble("journal.adopt_failed", slot=slot, error=str(bad))
                    self.others.append(slot)

    def _take_slot(self) -> tuple[int, str, list[str]]:
        """The lock of a free slot, its name, and the slots whose processes live: theirs is adopted when they end."""
        ends = time.monotonic() + SLOT_S
        while True:
            for slot in SLOTS:
                if (lock := lock_slot(self.folder, slot)) >= 0:
                    others = [other for other in SLOTS if other != slot and self._lives(other)]
                    return lock, slot, others
            if time.monotonic() >= ends:
                raise JournalFull("two live processes hold the folder that lasts")
            time.sleep(SLOT_LOOK_S)

    def followed(self) -> bool:
        """Whether another process of this sender runs: it goes on when this one ends."""
        return any(self._lives(slot) for slot in SLOTS if slot != self.slot)

    def _lives(self, slot: str) -> bool:
        if (lock := lock_slot(self.folder, slot)) >= 0:
            os.close(lock)
        return lock < 0

    # Writing -------------------------------------------------------------------------------------

    def room_for(self, message: Message) -> bool:
        """Whether one more message can be held to its end."""
        size = len(message.body) * 4 // 3 + LIFE_BYTES
        return self._held_size + self._list_size + size <= self.most_held

    def take(self, message: Message) -> Held:
        """Record a message taken on."""
        held = Held(message)
        line = encode(held_record(held))
        self._append(line)
        self._enter(held, len(line))
        return held

    def claim(self, held: Held, at: float, zone: str, *others: Held) -> None:
        """Record a claim, and those of others in the same call, before its first byte: all in one write, or none."""
        records = [{"t": "claim", "id": h.message.id, "at": at, "zone": zone} for h in (held, *others)]
        self._append(b"".join(map(encode, records)))
        for record in records:
            self._apply(record)

    def outcome(self, held: Held, outcome: Outcome) -> None:
        """Record how the claim that is out has ended."""
        record = {"t": "outcome", "id": held.message.id, "outcome": outcome.value}
        self._append(encode(record))
        self._apply(record)

    def owe(self, notice: Notice) -> None:
        """Record an end that is decided and still to be told."""
        record = {"t": "owed", "id": notice.message_id, "requeue": notice.requeue, "wait_ms": notice.wait_ms}
        self._append(encode(record))
        self._apply(record)

    def end(self, held: Held) -> None:
        """Record that nothing more is owed."""
        record = {"t": "end", "id": held.message.id}
        self._append(encode(record))
        self._apply(record)

    def keep_machines(self, update: ListUpdate) -> None:
        """Record the whole machine list, or what has changed of it."""
        record = {"t": "list" if update.whole else "change", "list": list_row(update)}
        line = encode(record)
        self._append(line)
        self._keep(update)
        self._list_size = len(line) + (0 if update.whole else self._list_size)  # at the most

    def close(self) -> None:
        """Nothing is written after this; the slot is free for the next process."""
        os.close(self._fd)
        os.close(self._lock)
        self._fd = self._lock = -1  # the kernel gives the number to the next file: that may be a connection

    def adopt(self, slot: str) -> Iterator[list[Held]] | None:
        """Take over what the process of another slot left, once it has ended; `None` while it lives.

        Each step is one slice (`remains.py`) and tells which messages are this process's now, the first to expire
        first.  It can be broken off and begun again.  Steps raise `JournalFull` or `OSError`.
        """
        left = Remains.of(self.folder, slot, self.telemetry)
        return None if left is None else self._adopt(left)

    def _adopt(self, left: Remains) -> Iterator[list[Held]]:
        try:
            for _ in left.read():
                yield []
            if self._list is None and left.ledger.machines is not None:
                try:  # before its file is written anew without
                    self.keep_machines(left.ledger.machines)
                except JournalFull as bad:  # the messages matter more
                    self.telemetry.trouble("journal.full", error=str(bad))
            for _ in left.rewrite(self.held):
                yield []
            both = int(self._whole[0] * (1.0 + BESIDE_SHARE))  # what the two files had together
            self.most_held = self._whole[1]
            while part := left.next():
                self.most = max(self.most, min(both - left.size, self._whole[0]))
                self._append(b"".join(line for _, line in part))
                for held, line in part:
                    self._enter(held, len(line))
                left.cut()
                self.telemetry.count("journal.adopted", len(part))
                yield [held for held, _ in part]
        finally:
            left.close()
        if left.slot in self.others:
            self.others.remove(left.slot)
        if not self.others:
            self.most, self.most_held = self._whole

    def _append(self, line: bytes) -> None:
        if self._fd < 0:
            raise JournalFull("the journal is closed")
        # Rewrite while both files still fit: the old one as it is, the new one with all that is held.
        crowded = self.size + len(line) + self._held_size + self._list_size > self.most
        if crowded and self.size > REWRITE_GROWTH * self._fresh:
            self._rewrite()
        if self.size + len(line) > self.most:
            raise JournalFull("the folder that lasts is full")
        self._write(self._fd, line, self.size)
        self.size += len(line)

    @staticmethod
    def _write(fd: int, line: bytes, at: int) -> None:
        try:
            if os.write(fd, line) == len(line):
                return
            bad = "a short write"
        except OSError as error:
            bad = str(error)
        try:
            os.ftruncate(fd, at)  # half a record would spoil the one behind it
        except OSError as error:
            bad = f"{bad}, and {error}"
        raise JournalFull(bad)

    def _rewrite(self) -> None:
        """A new file with what still matters takes the old one's place."""
        lines = {id_: encode(held_record(held)) for id_, held in self.held.items()}
        last = encode({"t": "list", "list": list_row(kept)}) if (kept := self.machines) is not None else b""
        data = last + b"".join(lines.values())
        try:
            fd = os.open(self._next, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as bad:  # no descriptor left, say: the old file stays, the next record tries again
            raise JournalFull(str(bad)) from bad
        try:
            self._write(fd, data, 0)
            os.rename(self._next, self.path)
        except BaseException as bad:
            os.close(fd)
            with suppress(OSError):
                self._next.unlink(missing_ok=True)
            if isinstance(bad, OSError):
                raise JournalFull(str(bad)) from bad
            raise
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self.size, self._fresh, self._list_size = fd, len(data), len(data), len(last)
        self._held_size = 0
        for id_, line in lines.items():
            self._enter(self.held[id_], len(line))
        self.telemetry.count("journal.rewrites")
