"""The durable record of what the sender has taken on, in the folder that outlives its process.

One file of lines, each ``CRC JSON``: a message held (`held`), a claim begun (`claim`), its outcome
(`outcome`), an end still to be told (`owed`), the end itself (`end`), the machine list (`list`) and what
changes of it (`change`).  Plain writes: the platform keeps what was written, with no sync.  The file is
rewritten with what still matters before it and its successor together could outgrow the folder.

Two processes share the folder while a new version starts beside the old (graceful restart).  Each holds a slot:
a file of its own and an advisory lock that the kernel lets go when the process dies, however it dies.  The newcomer
keeps to a small part of the folder until it has adopted what the other slot's process left at its end.
"""

from __future__ import annotations

import base64
import fcntl
import os
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.decision.api import Lifecycle, Outcome
from kestreltrack.machinelist import MachineList
from kestreltrack.ports import ListUpdate, Machine, Message, Notice
from kestreltrack.telemetry import Telemetry

USED_SHARE = 0.7  # of the folder, for the file and its successor: the rest is never touched
HELD_SHARE = 0.3  # of the folder, for what is still held: leaves the file room to grow between rewrites
LIFE_BYTES = 300  # what the claims, outcomes and end of one message are taken to add
SLOTS = ("journal", "journal.1")  # the process in service and its successor: never more at once
# Of both shares, for a process that starts while another holds a slot: 0.7 of the folder and 0.7 * 0.3 of it fit.
BESIDE_SHARE = 0.3


class JournalFull(Exception):
    """The folder has no room, or the write failed; nothing of the record is left in the file."""


@dataclass(slots=True)
class Doubt:
    """When and where a claim went that may have run."""

    at: float
    zone: str


@dataclass(slots=True)
class Held:
    """A message that has not ended, with its history."""

    message: Message
    tries: int = 0
    out: Doubt | None = None  # of the claim that is out
    doubt: Doubt | None = None  # of the first claim that ended in doubt
    owed: Notice | None = None  # its end is decided but not yet told
    size: int = 0

    def first_doubt(self) -> Doubt | None:
        """The first claim that may have run; one that was out when the process died is one."""
        return self.doubt or self.out


def _encode(record: dict[str, Any]) -> bytes:
    text = orjson.dumps(record)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _decode(line: bytes) -> dict[str, Any]:
    check, _, text = line.partition(b" ")
    if check != b"%08x" % zlib.crc32(text):
        raise ValueError("the check sum is wrong")
    record = orjson.loads(text)
    if not isinstance(record, dict):
        raise ValueError("not a record")
    return record


def _held_record(held: Held) -> dict[str, Any]:
    m = held.message
    return {
        "t": "held",
        "id": m.id,
        "cls": m.cls,
        "dest": m.dest,
        "expires": m.expires,
        "body": base64.b64encode(m.body).decode(),
        "tenant": m.tenant,
        "order_key": m.order_key,
        "key": m.idempotency_key,
        "tries": held.tries,
        "out": held.out,
        "doubt": held.doubt,
        "owed": held.owed,
    }


def _read_held(r: dict[str, Any]) -> Held:
    body = base64.b64decode(r["body"])
    message = Message(
        r["id"], r["cls"], r["dest"], r["expires"], body, r["tenant"], r["order_key"], r["key"]
    )
    return Held(
        message,
        r["tries"],
        Doubt(**r["out"]) if r["out"] else None,
        Doubt(**r["doubt"]) if r["doubt"] else None,
        Notice(**r["owed"]) if r["owed"] else None,
    )


class Journal:
    """Appends records; knows all that is held, so that it can rewrite itself."""

    def __init__(self, folder: Path, folder_bytes: int, telemetry: Telemetry) -> None:
        """Take a free slot, read back what dead processes left, and start a fresh file with what still matters.

        Raises `JournalFull` where both slots are held by live processes.
        """
        self.folder, self.telemetry = folder, telemetry
        self._whole = int(folder_bytes * USED_SHARE), int(folder_bytes * HELD_SHARE)
        self.held: dict[str, Held] = {}
        self._list: MachineList | None = None
        self._fd = -1
        self.size = self._held_size = self._list_size = 0
        self._lock, name = -1, ""
        self.others = list[str]()  # slots whose processes live: theirs is adopted when they end
        for slot in SLOTS:
            lock = _lock(folder / f"{slot}.lock")
            if lock < 0:
                self.others.append(slot)
            elif self._lock < 0:
                self._lock, name = lock, slot
            else:
                os.close(lock)  # free, and adopted below
        if self._lock < 0:
            raise JournalFull("two live processes hold the folder that lasts")
        self.slot, self.path, self._next = name, folder / name, folder / f"{name}.new"
        share = BESIDE_SHARE if self.others else 1.0
        self.most, self.most_held = int(self._whole[0] * share), int(self._whole[1] * share)
        self._next.unlink(missing_ok=True)  # a rewrite that its process did not live to finish
        if self.path.exists():
            self._recover(self.path.read_bytes())
        self._rewrite()
        for slot in SLOTS:
            if slot != name and slot not in self.others:
                self.adopt(slot)

    # Writing -------------------------------------------------------------------------------------

    def room_for(self, message: Message) -> bool:
        """Whether one more message can be held to its end."""
        size = len(message.body) * 4 // 3 + LIFE_BYTES
        return self._held_size + self._list_size + size <= self.most_held

    def take(self, message: Message) -> Held:
        """Record a message taken on."""
        held = Held(message)
        line = _encode(_held_record(held))
        self._append(line)
        self._enter(held, len(line))
        return held

    def claim(self, held: Held, at: float, zone: str) -> None:
        """Record a claim, before its first byte."""
        record = {"t": "claim", "id": held.message.id, "at": at, "zone": zone}
        self._append(_encode(record))
        self._apply(record)

    def outcome(self, held: Held, outcome: Outcome) -> None:
        """Record how the claim that is out has ended."""
        record = {"t": "outcome", "id": held.message.id, "outcome": outcome.value}
        self._append(_encode(record))
        self._apply(record)

    def owe(self, notice: Notice) -> None:
        """Record an end that is decided and still to be told."""
        record = {
            "t": "owed", "id": notice.message_id, "requeue": notice.requeue, "wait_ms": notice.wait_ms
        }
        self._append(_encode(record))
        self._apply(record)

    def end(self, held: Held) -> None:
        """Record that nothing more is owed."""
        record = {"t": "end", "id": held.message.id}
        self._append(_encode(record))
        self._apply(record)

    @property
    def machines(self) -> ListUpdate | None:
        """The machine list as last kept."""
        return self._list.whole() if self._list is not None else None

    def keep_machines(self, update: ListUpdate) -> None:
        """Record the whole machine list, or what has changed of it."""
        record = {"t": "list" if update.whole else "change", "list": update}
        line = _encode(record)
        self._append(line)
        self._keep(update)
        self._list_size = len(line) + (0 if update.whole else self._list_size)  # at the most

    def _keep(self, update: ListUpdate) -> None:
        self._list = MachineList() if self._list is None else self._list
        self._list.apply(update)

    def close(self) -> None:
        """Nothing is written after this; the slot is free for the next process."""
        os.close(self._fd)
        os.close(self._lock)

    def adopt(self, slot: str) -> list[Held] | None:
        """Take over what the process of another slot left, once it has ended; `None` while it lives.

        Each message it held is written into this file before that one goes: a crash in between leaves it in both,
        and the next start takes it once.  Returns the messages that are this process's now.
        """
        lock = _lock(self.folder / f"{slot}.lock")
        if lock < 0:
            return None
        try:
            path = self.folder / slot
            (self.folder / f"{slot}.new").unlink(missing_ok=True)
            data = path.read_bytes() if path.exists() else b""
            left = self._read_back(data)
            taken = [held for id_, held in left.items() if id_ not in self.held]
            # Its process has ended: all but what its file takes is this one's now, the whole once it is gone.
            self.most = max(self.most, self._whole[0] - len(data))
            self.most_held = max(self.most_held, self._whole[1])
            try:
                for held in taken:
                    line = _encode(_held_record(held))
                    self._append(line)
                    self._enter(held, len(line))
            except JournalFull:
                for held in taken:  # all of them stay in the other file, and are taken again at the next look
                    if (gone := self.held.pop(held.message.id, None)) is not None:
                        self._held_size -= gone.size
                raise
            path.unlink(missing_ok=True)
        finally:
            os.close(lock)
        if slot in self.others:
            self.others.remove(slot)
        if not self.others:
            self.most, self.most_held = self._whole
        self.telemetry.count("journal.adopted", len(taken))
        return taken

    def _read_back(self, data: bytes) -> dict[str, Held]:
        """What a file holds, apart from this journal's own state."""
        own = self.held, self._list, self._held_size
        self.held, self._list, self._held_size = {}, None, 0
        try:
            self._recover(data)
            return self.held
        finally:
            self.held, self._list, self._held_size = own

    def _append(self, line: bytes) -> None:
        # Rewrite while both files still fit: the old one as it is, the new one with all that is held.
        if self.size + len(line) + self._held_size + self._list_size > self.most:
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
        os.ftruncate(fd, at)  # half a record would spoil the one behind it
        raise JournalFull(bad)

    def _rewrite(self) -> None:
        """A new file with what still matters takes the old one's place."""
        lines = {id_: _encode(_held_record(held)) for id_, held in self.held.items()}
        last = _encode({"t": "list", "list": self.machines}) if self._list is not None else b""
        data = last + b"".join(lines.values())
        try:
            fd = os.open(self._next, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as bad:  # no descriptor left, say: the old file stays, the next record tries again
            raise JournalFull(str(bad)) from bad
        try:
            self._write(fd, data, 0)
            os.rename(self._next, self.path)
        except BaseException:
            os.close(fd)
            self._next.unlink(missing_ok=True)
            raise
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self.size, self._list_size = fd, len(data), len(last)
        self._held_size = 0
        for id_, line in lines.items():
            self._enter(self.held[id_], len(line))
        self.telemetry.count("journal.rewrites")

    # Reading back --------------------------------------------------------------------------------

    def _recover(self, data: bytes) -> None:
        *lines, torn = data.split(b"\n")
        if torn:  # the process died while it wrote: nobody was told of this record
            self.telemetry.trouble("journal.torn", bytes=len(torn))
        for number, line in enumerate(lines, 1):
            try:
                self._apply(_decode(line))
            except (ValueError, KeyError, TypeError) as bad:
                self.telemetry.trouble("journal.corrupt", line=number, error=repr(bad))

    def _enter(self, held: Held, size: int) -> None:
        held.size = size + LIFE_BYTES
        self.held[held.message.id] = held
        self._held_size += held.size

    def _apply(self, r: dict[str, Any]) -> None:
        """The effect of one record, when it is written and when it is read back."""
        if r["t"] == "held":
            self._enter(_read_held(r), 0)
        elif r["t"] in ("list", "change"):
            self._keep(_read_list(r["list"]))
        elif r["t"] == "end":
            gone = self.held.pop(r["id"], None)
            self._held_size -= gone.size if gone else 0
        elif (held := self.held.get(r["id"])) is None:
            raise ValueError(f"{r['t']} of a message that is not held")
        elif r["t"] == "claim":
            held.tries, held.out = held.tries + 1, Doubt(r["at"], r["zone"])
        elif r["t"] == "outcome":
            if Outcome(r["outcome"]).may_have_run():
                held.doubt = held.first_doubt()
            held.out = None
        elif r["t"] == "owed":
            held.owed = Notice(r["id"], r["requeue"], r["wait_ms"])
        else:
            raise ValueError(f"unknown record {r['t']!r}")


def _lock(path: Path) -> int:
    """A descriptor that holds the lock of a slot, or -1 where a live process holds it."""
    fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(fd)
        return -1
    return fd


def _read_list(row: dict[str, Any]) -> ListUpdate:
    machines = (Machine(**{**m, "state": Lifecycle(m["state"])}) for m in row["machines"])
    return ListUpdate(row["rev"], row["whole"], tuple(machines))
