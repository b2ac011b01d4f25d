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

from kestreltrack.decision import EndpointLifecycle, Outcome
from kestreltrack.discovery import EndpointList
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint, Message, StatusNotification
from kestreltrack.telemetry import Telemetry

LIFECYCLE_BYTES = 300  # what the claims, outcomes and end of one message are taken to add


@dataclass(slots=True)
class AttemptStart:
    """When and where a claim went that may have run."""

    at: float
    zone: str


@dataclass(slots=True)
class OutstandingMessage:
    """A message that has not ended, with its history."""

    message: Message
    attempts: int = 0
    in_flight: AttemptStart | None = None  # of the claim that is out
    ambiguous: AttemptStart | None = None  # of the first claim that ended in doubt
    owed_notification: StatusNotification | None = None  # its end is decided but not yet told
    reserved_bytes: int = 0

    def first_ambiguous(self) -> AttemptStart | None:
        """The first claim that may have run; one that was out when the process died is one."""
        return self.ambiguous or self.in_flight


def encode_record(record: dict[str, Any]) -> bytes:
    """A record as its line."""
    text = orjson.dumps(record)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _decode_record(line: bytes) -> dict[str, Any]:
    check, _, text = line.partition(b" ")
    if check != b"%08x" % zlib.crc32(text):
        raise ValueError("the check sum is wrong")
    record = orjson.loads(text)
    if not isinstance(record, dict):
        raise ValueError("not a record")
    return record


def _notice_row(notice: StatusNotification) -> dict[str, Any]:
    """The end that is owed, in the stored form: its keys are fixed, whatever the program calls the fields."""
    return {"message_id": notice.message_id, "requeue": notice.requeue, "wait_ms": notice.retry_after_ms}


def _read_notice(row: dict[str, Any]) -> StatusNotification:
    return StatusNotification(row["message_id"], row["requeue"], row["wait_ms"])


def list_row(update: EndpointListUpdate) -> dict[str, Any]:
    """A list update in the stored form; its entries are stored by the names of their fields."""
    return {"rev": update.revision, "whole": update.complete, "machines": update.endpoints}


def outstanding_record(outstanding: OutstandingMessage) -> dict[str, Any]:
    """A message with its history, as one record."""
    m = outstanding.message
    return {
        "t": "held",
        "id": m.id,
        "cls": m.cls,
        "dest": m.dest,
        "expires": m.expires,
        "body": base64.b64encode(m.body).decode(),
        "tenant": m.tenant,
        "order_key": m.ordering_key,
        "key": m.idempotency_key,
        "tries": outstanding.attempts,
        "out": outstanding.in_flight,
        "doubt": outstanding.ambiguous,
        "owed": _notice_row(outstanding.owed_notification) if outstanding.owed_notification else None,
    }


def _parse_outstanding(record: dict[str, Any]) -> OutstandingMessage:
    body = base64.b64decode(record["body"])
    message = Message(
        record["id"],
        record["cls"],
        record["dest"],
        record["expires"],
        body,
        record["tenant"],
        record["order_key"],
        record["key"],
    )
    return OutstandingMessage(
        message,
        record["tries"],
        AttemptStart(**record["out"]) if record["out"] else None,
        AttemptStart(**record["doubt"]) if record["doubt"] else None,
        _read_notice(record["owed"]) if record["owed"] else None,
    )


def sorted_by_expiry(outstanding: Iterable[OutstandingMessage]) -> list[OutstandingMessage]:
    """Messages taken on in this order, the first to expire first; those of one key stay in their order."""
    rows, least = list(outstanding), dict[int, float]()
    ranks = [held.message.expires for held in rows]
    for at in range(len(rows) - 1, -1, -1):  # one goes no later than any of its key that came after it
        if (key := rows[at].message.ordering_key) is not None:
            ranks[at] = least[key] = min(ranks[at], least.get(key, ranks[at]))
    return [rows[at] for at in sorted(range(len(rows)), key=ranks.__getitem__)]


class JournalState:
    """What records add up to, in their order."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Nothing is held."""
        self.telemetry = telemetry
        self.outstanding: dict[str, OutstandingMessage] = {}
        self._endpoint_list: EndpointList | None = None
        self._outstanding_bytes = 0
        self._reversed = False

    @property
    def endpoints(self) -> EndpointListUpdate | None:
        """The machine list as last kept."""
        return self._endpoint_list.snapshot() if self._endpoint_list is not None else None

    def recover(self, lines: Iterable[bytes], first_line_number: int = 1) -> None:
        """Read records back; what cannot be read is counted and skipped.  `first` is the first line's number."""
        for number, line in enumerate(lines, first_line_number):
            try:
                self._apply(_decode_record(line))
            except (ValueError, KeyError, TypeError) as bad:
                self.telemetry.record_fault("journal.corrupt", line=number, error=repr(bad))

    def restore_order(self) -> None:
        """Hold the messages in the order in which they were taken on, also where the file has it the other way."""
        if self._reversed:
            self.outstanding, self._reversed = dict(reversed(self.outstanding.items())), False

    def split_lines(self, data: bytes) -> list[bytes]:
        """The lines of a file; a last one that is cut short is counted and dropped: nobody was told of it."""
        *lines, torn = data.split(b"\n")
        if torn:
            self.telemetry.record_fault("journal.torn", bytes=len(torn))
        return lines

    def _update_endpoints(self, update: EndpointListUpdate) -> None:
        self._endpoint_list = EndpointList() if self._endpoint_list is None else self._endpoint_list
        self._endpoint_list.apply(update)

    def _add_outstanding(self, outstanding: OutstandingMessage, record_bytes: int) -> None:
        outstanding.reserved_bytes = record_bytes + LIFECYCLE_BYTES
        self.outstanding[outstanding.message.id] = outstanding
        self._outstanding_bytes += outstanding.reserved_bytes

    def _apply(self, record: dict[str, Any]) -> None:
        """The effect of one record, when it is written and when it is read back."""
        if record["t"] == "held":
            self._add_outstanding(_parse_outstanding(record), 0)
        elif record["t"] == "turned":
            self._reversed = True
        elif record["t"] in ("list", "change"):
            self._update_endpoints(_parse_endpoint_list(record["list"]))
        elif record["t"] == "end":
            gone = self.outstanding.pop(record["id"], None)
            self._outstanding_bytes -= gone.reserved_bytes if gone else 0
        elif (held := self.outstanding.get(record["id"])) is None:
            raise ValueError(f"{record['t']} of a message that is not held")
        elif record["t"] == "claim":
            # One that was out when a process died has no outcome, and stays the first that may have run.
            held.attempts, held.ambiguous, held.in_flight = (
                held.attempts + 1,
                held.first_ambiguous(),
                AttemptStart(record["at"], record["zone"]),
            )
        elif record["t"] == "outcome":
            if Outcome(record["outcome"]).may_have_executed():
                held.ambiguous = held.first_ambiguous()
            held.in_flight = None
        elif record["t"] == "owed":
            held.owed_notification = StatusNotification(record["id"], record["requeue"], record["wait_ms"])
        else:
            raise ValueError(f"unknown record {record['t']!r}")


def _parse_endpoint_list(row: dict[str, Any]) -> EndpointListUpdate:
    machines = (ListedEndpoint(**{**m, "state": EndpointLifecycle(m["state"])}) for m in row["machines"])
    return EndpointListUpdate(row["rev"], row["whole"], tuple(machines))
