"""What operators do to a directory in etcd: read, write, drain, import, and wait until all senders know.

Every change is a transaction that compares what was read, so that two operators at once never undo each other.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.machinelist.etcd.client import EtcdClient, EtcdFailed
from kestreltrack.machinelist.etcd.layout import endpoints, read_entry, senders, write_entry
from kestreltrack.machinelist.etcd.pursuit import Why

PAGE = 1000
TRIES = 5  # of a change that another one has crossed
AT_ONCE = 100  # changes in one transaction: etcd takes 128 as it is delivered
LOOK_S = 0.02  # between looks at the senders' register


class Refused(Exception):
    """The change cannot be made; the text says why."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One key, read or not."""

    uid: str
    revision: int
    value: bytes
    row: dict[str, Any] = field(default_factory=dict)
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Sender:
    """One entry of the register."""

    name: str
    revision: int
    version: str


def parse(uid: str, kv: pb.KeyValue) -> Entry:
    """A key's entry, with the fault that a sender would log."""
    try:
        read_entry(uid, kv.value)
        row: dict[str, Any] = orjson.loads(kv.value)
    except ValueError as bad:
        return Entry(uid, kv.mod_revision, kv.value, fault=str(bad))
    return Entry(uid, kv.mod_revision, kv.value, {**row, "uid": uid})


class Directory:
    """The directory behind one prefix."""

    def __init__(self, client: EtcdClient, prefix: str, timeout_s: float = 2.0) -> None:
        """Nothing is opened before the first call."""
        self.client, self._timeout_s = client, timeout_s
        self._stem, self._senders = endpoints(prefix).encode(), senders(prefix).encode()
        self._member = 0

    async def _call(self, stub: Any, method: str, ask: Any) -> Any:
        """At the member that answered last, or the next that does."""
        last: EtcdFailed | None = None
        for _ in range(len(self.client)):
            try:
                return await self.client.call(self._member, stub, method, ask, self._timeout_s)
            except EtcdFailed as bad:
                if bad.why not in (Why.UNREACHABLE, Why.SILENT, Why.NO_LEADER):
                    raise
                last, self._member = bad, (self._member + 1) % len(self.client)
        assert last is not None
        raise last

    async def _all(self, stem: bytes) -> tuple[int, list[pb.KeyValue]]:
        revision, after, found = 0, stem, list[pb.KeyValue]()
        while True:
            ask = pb.RangeRequest(key=after, range_end=prefix_end(stem), limit=PAGE, revision=revision)
            answer: pb.RangeResponse = await self._call(rpc.KVStub, "Range", ask)
            revision = revision or answer.header.revision
            found.extend(answer.kvs)
            if not answer.more:
                return revision, found
            after = answer.kvs[-1].key + b"\0"

    def _uid(self, key: bytes) -> str:
        return key.removeprefix(self._stem).decode(errors="replace")

    async def entries(self) -> tuple[int, list[Entry]]:
        """The revision, and all entries at it, by uid."""
        revision, kvs = await self._all(self._stem)
        return revision, [parse(self._uid(kv.key), kv) for kv in kvs]

    async def senders(self) -> list[Sender]:
        """Who follows."""
        _, kvs = await self._all(self._senders)
        rows = [(kv.key.removeprefix(self._senders).decode(errors="replace"), kv.value) for kv in kvs]
        return [_sender(name, value) for name, value in rows]

    async def get(self, uid: str) -> Entry | None:
        """One entry."""
        ask = pb.RangeRequest(key=self._stem + uid.encode())
        answer: pb.RangeResponse = await self._call(rpc.KVStub, "Range", ask)
        return parse(uid, answer.kvs[0]) if answer.kvs else None

    async def _swap(self, changes: Sequence[tuple[str, int, bytes | None]]) -> int | None:
        """Write (or delete) all where each stands at the revision that was read; `None` where one does not."""
        ask = pb.TxnRequest()
        for uid, read_at, value in changes:
            key = self._stem + uid.encode()
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
            value = write_entry(row)
        except ValueError as bad:
            raise Refused(str(bad)) from bad
        for _ in range(TRIES):
            old = await self.get(row["uid"])
            if (revision := await self._swap([(row["uid"], old.revision if old else 0, value)])) is not None:
                return revision
        raise Refused(f"{row['uid']}: others change it all the time")

    async def set_state(self, uid: str, state: str) -> int:
        """Change the state of an entry that can be read; returns the revision from which it stands there."""
        for _ in range(TRIES):
            old = await self.get(uid)
            if old is None:
                raise Refused(f"{uid}: no such endpoint")
            if old.fault:
                raise Refused(f"{uid}: its entry cannot be read: {old.fault}")
            if old.row["state"] == state:
                return old.revision
            value = write_entry({**old.row, "state": state})
            if (revision := await self._swap([(uid, old.revision, value)])) is not None:
                return revision
        raise Refused(f"{uid}: others change it all the time")

    async def remove(self, uid: str) -> int:
        """Delete an entry; returns the revision."""
        for _ in range(TRIES):
            old = await self.get(uid)
            if old is None:
                raise Refused(f"{uid}: no such endpoint")
            if (revision := await self._swap([(uid, old.revision, None)])) is not None:
                return revision
        raise Refused(f"{uid}: others change it all the time")

    async def take_over(
        self, rows: Iterable[dict[str, Any]], prune: bool
    ) -> AsyncIterator[tuple[int, int, int]]:
        """Import discovery's entries: write what differs, `prune` what they leave out.

        Yields after each transaction how many changes are made, how many there are, and the revision.  Nothing is
        written where one entry is not sound (`Refused`); a transaction that another change crosses ends it.
        """
        wanted = dict[str, bytes]()
        for number, row in enumerate(rows, 1):
            try:
                value = write_entry(row)
            except ValueError as bad:
                raise Refused(f"entry {number}: {bad}") from bad
            if row.get("state") != "removed":
                wanted[row["uid"]] = value
        revision, there = await self.entries()
        old = {entry.uid: entry for entry in there}
        changes: list[tuple[str, int, bytes | None]] = [
            (uid, old[uid].revision if uid in old else 0, value)
            for uid, value in wanted.items()
            if uid not in old or old[uid].value != value
        ]
        changes += [(e.uid, e.revision, None) for e in there if prune and e.uid not in wanted]
        for first in range(0, len(changes), AT_ONCE):
            part = changes[first : first + AT_ONCE]
            done = await self._swap(part)
            if done is None:
                raise Refused(f"an entry was changed meanwhile; {first} of {len(changes)} changes are made")
            revision = done
            yield first + len(part), len(changes), revision
        if not changes:
            yield 0, 0, revision

    async def wait_until_seen(self, revision: int, timeout_s: float) -> list[Sender]:
        """Wait until every sender that is registered has taken in the revision; returns those that have not."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while True:
            behind = [sender for sender in await self.senders() if sender.revision < revision]
            if not behind or loop.time() >= until:
                return behind
            await asyncio.sleep(LOOK_S)


def _sender(name: str, value: bytes) -> Sender:
    try:
        row = orjson.loads(value)
        return Sender(name, int(row["revision"]), str(row.get("version", "")))
    except (ValueError, KeyError, TypeError):
        return Sender(name, -1, "unreadable")
