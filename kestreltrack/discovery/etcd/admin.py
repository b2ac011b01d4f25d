"""What operators do to a directory in etcd: read, write, drain, import, and wait until all senders know.

Every change is a transaction that compares what was read, so that two operators at once never undo each other.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from kestreltrack.discovery.etcd.client import EtcdClient, EtcdError
from kestreltrack.discovery.etcd.layout import decode_entry, encode_entry, endpoints_prefix, senders_prefix
from kestreltrack.discovery.etcd.watch_state import FailureReason
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb

PAGE_SIZE = 1000
MAX_ATTEMPTS = 5  # of a change that another one has crossed
MAX_CHANGES_PER_TRANSACTION = 100  # changes in one transaction: etcd takes 128 as it is delivered
POLL_INTERVAL_S = 0.02  # between looks at the senders' register


class DirectoryChangeError(Exception):
    """The change cannot be made; the text says why."""


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One key, read or not."""

    uid: str
    revision: int
    value: bytes
    row: dict[str, Any] = field(default_factory=dict)
    fault: str = ""


@dataclass(frozen=True, slots=True)
class RegisteredSender:
    """One entry of the register."""

    name: str
    revision: int
    version: str


def parse_entry(uid: str, key_value: pb.KeyValue) -> DirectoryEntry:
    """A key's entry, with the fault that a sender would log."""
    try:
        decode_entry(uid, key_value.value)
        row: dict[str, Any] = orjson.loads(key_value.value)
    except ValueError as bad:
        return DirectoryEntry(uid, key_value.mod_revision, key_value.value, fault=str(bad))
    return DirectoryEntry(uid, key_value.mod_revision, key_value.value, {**row, "uid": uid})


class EtcdDirectory:
    """The directory behind one prefix."""

    def __init__(self, client: EtcdClient, prefix: str, timeout_s: float = 2.0) -> None:
        """Nothing is opened before the first call."""
        self.client, self._timeout_s = client, timeout_s
        self._endpoints_prefix, self._senders_prefix = (
            endpoints_prefix(prefix).encode(),
            senders_prefix(prefix).encode(),
        )
        self._member_index = 0

    async def _call(self, stub: Any, method: str, request: Any) -> Any:
        """At the member that answered last, or the next that does."""
        last: EtcdError | None = None
        for _ in range(len(self.client)):
            try:
                return await self.client.call(self._member_index, stub, method, request, self._timeout_s)
            except EtcdError as bad:
                if bad.reason not in (
                    FailureReason.UNREACHABLE,
                    FailureReason.TIMEOUT,
                    FailureReason.NO_LEADER,
                ):
                    raise
                last, self._member_index = bad, (self._member_index + 1) % len(self.client)
        assert last is not None
        raise last

    async def _read_all(self, key_prefix: bytes) -> tuple[int, list[pb.KeyValue]]:
        revision, after, found = 0, key_prefix, list[pb.KeyValue]()
        while True:
            ask = pb.RangeRequest(
                key=after, range_end=prefix_end(key_prefix), limit=PAGE_SIZE, revision=revision
            )
            answer: pb.RangeResponse = await self._call(rpc.KVStub, "Range", ask)
            revision = revision or answer.header.revision
            found.extend(answer.kvs)
            if not answer.more:
                return revision, found
            after = answer.kvs[-1].key + b"\0"

    def _uid(self, key: bytes) -> str:
        return key.removeprefix(self._endpoints_prefix).decode(errors="replace")

    async def list_entries(self) -> tuple[int, list[DirectoryEntry]]:
        """The revision, and all entries at it, by uid."""
        revision, kvs = await self._read_all(self._endpoints_prefix)
        return revision, [parse_entry(self._uid(kv.key), kv) for kv in kvs]

    async def list_senders(self) -> list[RegisteredSender]:
        """Who follows."""
        _, kvs = await self._read_all(self._senders_prefix)
        rows = [(kv.key.removeprefix(self._senders_prefix).decode(errors="replace"), kv.value) for kv in kvs]
        return [_parse_sender(name, value) for name, value in rows]

    async def get(self, uid: str) -> DirectoryEntry | None:
        """One entry."""
        ask = pb.RangeRequest(key=self._endpoints_prefix + uid.encode())
        answer: pb.RangeResponse = await self._call(rpc.KVStub, "Range", ask)
        return parse_entry(uid, answer.kvs[0]) if answer.kvs else None

    async def _compare_and_swap(self, changes: Sequence[tuple[str, int, bytes | None]]) -> int | None:
        """Write (or delete) all where each stands at the revision that was read; `None` where one does not."""
        ask = pb.TxnRequest()
        for uid, read_at, value in changes:
            key = self._endpoints_prefix + uid.encode()
            ask.compare.add(target=pb.Compare.MOD, result=pb.Compare.EQUAL, key=key, mod_revision=read_at)
            if value is None:
                ask.success.add(request_delete_range=pb.DeleteRangeRequest(key=key))
            else:
                ask.success.add(request_put=pb.PutRequest(key=key, value=value))
        answer: pb.TxnResponse = await self._call(rpc.KVStub, "Txn", ask)
        return answer.header.revision if answer.succeeded else None

    async def put(self, row: dict[str, Any]) -> int:
        """Write one entry in discovery's form, whatever stood there; returns the revision."""
        try:
            value = encode_entry(row)
        except ValueError as bad:
            raise DirectoryChangeError(str(bad)) from bad
        for _ in range(MAX_ATTEMPTS):
            old = await self.get(row["uid"])
            if (
                revision := await self._compare_and_swap([(row["uid"], old.revision if old else 0, value)])
            ) is not None:
                return revision
        raise DirectoryChangeError(f"{row['uid']}: others change it all the time")

    async def set_state(self, uid: str, state: str) -> int:
        """Change the state of an entry that can be read; returns the revision from which it stands there."""
        for _ in range(MAX_ATTEMPTS):
            old = await self.get(uid)
            if old is None:
                raise DirectoryChangeError(f"{uid}: no such endpoint")
            if old.fault:
                raise DirectoryChangeError(f"{uid}: its entry cannot be read: {old.fault}")
            if old.row["state"] == state:
                return old.revision
            value = encode_entry({**old.row, "state": state})
            if (revision := await self._compare_and_swap([(uid, old.revision, value)])) is not None:
                return revision
        raise DirectoryChangeError(f"{uid}: others change it all the time")

    async def remove(self, uid: str) -> int:
        """Delete an entry; returns the revision."""
        for _ in range(MAX_ATTEMPTS):
            old = await self.get(uid)
            if old is None:
                raise DirectoryChangeError(f"{uid}: no such endpoint")
            if (revision := await self._compare_and_swap([(uid, old.revision, None)])) is not None:
                return revision
        raise DirectoryChangeError(f"{uid}: others change it all the time")

    async def import_entries(
        self, rows: Iterable[dict[str, Any]], prune: bool
    ) -> AsyncIterator[tuple[int, int, int]]:
        """Import discovery's entries: write what differs, `prune` what they leave out.

        Yields after each transaction how many changes are made, how many there are, and the revision.  Nothing is
        written where one entry is not sound (`Refused`); a transaction that another change crosses ends it.
        """
        wanted = dict[str, bytes]()
        for number, row in enumerate(rows, 1):
            try:
                value = encode_entry(row)
            except ValueError as bad:
                raise DirectoryChangeError(f"entry {number}: {bad}") from bad
            if row.get("state") != "removed":
                wanted[row["uid"]] = value
        revision, there = await self.list_entries()
        old = {entry.uid: entry for entry in there}
        changes: list[tuple[str, int, bytes | None]] = [
            (uid, old[uid].revision if uid in old else 0, value)
            for uid, value in wanted.items()
            if uid not in old or old[uid].value != value
        ]
        changes += [(e.uid, e.revision, None) for e in there if prune and e.uid not in wanted]
        for first in range(0, len(changes), MAX_CHANGES_PER_TRANSACTION):
            part = changes[first : first + MAX_CHANGES_PER_TRANSACTION]
            done = await self._compare_and_swap(part)
            if done is None:
                raise DirectoryChangeError(
                    f"an entry was changed meanwhile; {first} of {len(changes)} changes are made"
                )
            revision = done
            yield first + len(part), len(changes), revision
        if not changes:
            yield 0, 0, revision

    async def wait_until_applied(self, revision: int, timeout_s: float) -> list[RegisteredSender]:
        """Wait until every sender that is registered has taken in the revision; returns those that have not."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while True:
            behind = [sender for sender in await self.list_senders() if sender.revision < revision]
            if not behind or loop.time() >= until:
                return behind
            await asyncio.sleep(POLL_INTERVAL_S)


def _parse_sender(name: str, value: bytes) -> RegisteredSender:
    try:
        row = orjson.loads(value)
        return RegisteredSender(name, int(row["revision"]), str(row.get("version", "")))
    except (ValueError, KeyError, TypeError):
        return RegisteredSender(name, -1, "unreadable")
