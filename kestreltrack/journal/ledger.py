"""What a journal's records mean: the messages held with their history, and the machine list.  No I/O.

A record is a line ``CRC JSON``: a message held (`held`), a claim begun (`claim`), its outcome (`outcome`), an end
still to be told (`owed`), the end itself (`end`), the machine list (`list`) and what changes of it (`change`).
`turned` tells that what was taken on last stands in front (`remains.py`).
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

from kestreltrack.decision.api import Lifecycle, Outcome
from kestreltrack.machinelist import MachineList
from kestreltrack.ports import ListUpdate, Machine, Message, Notice
from kestreltrack.telemetry import Telemetry

LIFE_BYTES = 300  # what the claims, outcomes and end of one message are taken to add


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


def encode(record: dict[str, Any]) -> bytes:
    """A record as its line."""
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


def _notice_row(notice: Notice) -> dict[str, Any]:
    """The end that is owed, in the stored form: its keys are fixed, whatever the program calls the fields."""
    return {"message_id": notice.message_id, "requeue": notice.requeue, "wait_ms": notice.wait_ms}


def _read_notice(row: dict[str, Any]) -> Notice:
    return Notice(row["message_id"], row["requeue"], row["wait_ms"])


def list_row(update: ListUpdate) -> dict[str, Any]:
    """A list update in the stored form; its entries are stored by the names of their fields."""
    return {"rev": update.rev, "whole": update.whole, "machines": update.machines}


def held_record(held: Held) -> dict[str, Any]:
    """A message with its history, as one record."""
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
        "owed": _notice_row(held.owed) if held.owed else None,
    }


def _read_held(r: dict[str, Any]) -> Held:
    body = base64.b64decode(r["body"])
    message = Message(r["id"], r["cls"], r["dest"], r["expires"], body, r["tenant"], r["order_key"], r["key"])
    return Held(
        message,
        r["tries"],
        Doubt(**r["out"]) if r["out"] else None,
        Doubt(**r["doubt"]) if r["doubt"] else None,
        _read_notice(r["owed"]) if r["owed"] else None,
    )


def first_to_expire(helds: Iterable[Held]) -> list[Held]:
    """Messages taken on in this order, the first to expire first; those of one key stay in their order."""
    rows, least = list(helds), dict[int, float]()
    ranks = [held.message.expires for held in rows]
    for at in range(len(rows) - 1, -1, -1):  # one goes no later than any of its key that came after it
        if (key := rows[at].message.order_key) is not None:
            ranks[at] = least[key] = min(ranks[at], least.get(key, ranks[at]))
    return [rows[at] for at in sorted(range(len(rows)), key=ranks.__getitem__)]


class Ledger:
    """What records add up to, in their order."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Nothing is held."""
        self.telemetry = telemetry
        self.held: dict[str, Held] = {}
        self._list: MachineList | None = None
        self._held_size = 0
        self._turned = False

    @property
    def machines(self) -> ListUpdate | None:
        """The machine list as last kept."""
        return self._list.whole() if self._list is not None else None

    def recover(self, lines: Iterable[bytes], first: int = 1) -> None:
        """Read records back; what cannot be read is counted and skipped.  `first` is the first line's number."""
        for number, line in enumerate(lines, first):
            try:
                self._apply(_decode(line))
            except (ValueError, KeyError, TypeError) as bad:
                self.telemetry.trouble("journal.corrupt", line=number, error=repr(bad))

    def in_order(self) -> None:
        """Hold the messages in the order in which they were taken on, also where the file has it the other way."""
        if self._turned:
            self.held, self._turned = dict(reversed(self.held.items())), False

    def lines(self, data: bytes) -> list[bytes]:
        """The lines of a file; a last one that is cut short is counted and dropped: nobody was told of it."""
        *lines, torn = data.split(b"\n")
        if torn:
            self.telemetry.trouble("journal.torn", bytes=len(torn))
        return lines

    def _keep(self, update: ListUpdate) -> None:
        self._list = MachineList() if self._list is None else self._list
        self._list.apply(update)

    def _enter(self, held: Held, size: int) -> None:
        held.size = size + LIFE_BYTES
        self.held[held.message.id] = held
        self._held_size += held.size

    def _apply(self, r: dict[str, Any]) -> None:
        """The effect of one record, when it is written and when it is read back."""
        if r["t"] == "held":
            self._enter(_read_held(r), 0)
        elif r["t"] == "turned":
            self._turned = True
        elif r["t"] in ("list", "change"):
            self._keep(_read_list(r["list"]))
        elif r["t"] == "end":
            gone = self.held.pop(r["id"], None)
            self._held_size -= gone.size if gone else 0
        elif (held := self.held.get(r["id"])) is None:
            raise ValueError(f"{r['t']} of a message that is not held")
        elif r["t"] == "claim":
            # One that was out when a process died has no outcome, and stays the first that may have run.
            held.tries, held.doubt, held.out = held.tries + 1, held.first_doubt(), Doubt(r["at"], r["zone"])
        elif r["t"] == "outcome":
            if Outcome(r["outcome"]).may_have_run():
                held.doubt = held.first_doubt()
            held.out = None
        elif r["t"] == "owed":
            held.owed = Notice(r["id"], r["requeue"], r["wait_ms"])
        else:
            raise ValueError(f"unknown record {r['t']!r}")


def _read_list(row: dict[str, Any]) -> ListUpdate:
    machines = (Machine(**{**m, "state": Lifecycle(m["state"])}) for m in row["machines"])
    return ListUpdate(row["rev"], row["whole"], tuple(machines))
