"""Watches of one member: several on a stream, progress, fragments, compaction, loss of the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import groupby
from typing import Any

from grpclib import GRPCError, Status
from grpclib.server import Stream

from kestreltrack.etcdapi import COMPACTED, NO_LEADER
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.members import FakeEtcdMember
from kestreltrack.testing.fakes.etcd.store import rpc_error

MAX_REVISIONS_PER_RESPONSE = 1000  # in one response: what etcd sends of a backlog at once
PROGRESS_ID = -1  # of an answer to a progress request: it is about all watches of the stream


@dataclass(slots=True)
class WatchState:
    """One watch, and the next revision that it has not been sent."""

    id: int
    request: pb.WatchCreateRequest
    next_revision: int


class WatchService(rpc.WatchBase):
    """The Watch service."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """At one member."""
        self.member = member

    async def Watch(self, stream: Stream[pb.WatchRequest, pb.WatchResponse]) -> None:
        """Serve one stream until its client or a fault ends it."""
        await WatchStream(self.member, stream).serve()


class WatchStream:
    """One stream."""

    def __init__(self, member: FakeEtcdMember, stream: Stream[pb.WatchRequest, pb.WatchResponse]) -> None:
        self.member = member
        self.store = member.cluster.store
        self.stream = stream
        self.watches: dict[int, WatchState] = {}
        self.progress_requested = False  # was asked for and is owed
        metadata: Any = stream.metadata or {}
        self.needs_leader = metadata.get("hasleader") == "true"
        self.token: Any = metadata.get("token")

    async def serve(self) -> None:
        self.member.watch_stream_count += 1
        reader = asyncio.create_task(self._read())
        try:
            while not reader.done():
                change = asyncio.create_task(self.member.cluster.wait_for_change())
                await self._send_due()
                await asyncio.wait({change, reader}, return_when=asyncio.FIRST_COMPLETED)
                change.cancel()
            reader.result()
        finally:
            self.member.watch_stream_count -= 1
            reader.cancel()

    async def _read(self) -> None:
        async for ask in self.stream:
            kind = ask.WhichOneof("request_union")
            while self.member.faults.hang:
                await self.member.cluster.wait_for_change()
            if kind == "create_request":
                await self._create(ask.create_request)
            elif kind == "cancel_request":
                if self.watches.pop(ask.cancel_request.watch_id, None):
                    await self._send_response(ask.cancel_request.watch_id, canceled=True)
            elif kind == "progress_request":
                self.progress_requested = True
            self.member.cluster.notify_change()

    async def _create(self, ask: pb.WatchCreateRequest) -> None:
        id_ = ask.watch_id or next(n for n in range(len(self.watches) + 1) if n not in self.watches)
        try:
            self.member.cluster.check_token(str(self.token) if self.token is not None else None)
            if self.needs_leader and self.member.faults.no_leader:
                raise rpc_error(Status.UNAVAILABLE, NO_LEADER)
            if id_ in self.watches:
                raise rpc_error(
                    Status.INVALID_ARGUMENT, "mvcc: duplicate watch ID provided on the WatchStream"
                )
        except GRPCError as bad:
            await self._send_response(
                PROGRESS_ID, created=True, canceled=True, cancel_reason=bad.message or ""
            )
            return
        start = ask.start_revision or self.member.visible_revision() + 1
        await self._send_response(id_, created=True)
        self.watches[id_] = WatchState(id_, ask, start)

    async def _send_response(self, id_: int, revision: int | None = None, **more: Any) -> None:
        answer = pb.WatchResponse(header=self.member.header(revision), watch_id=id_, **more)
        await self.stream.send_message(answer)

    async def _send_due(self) -> None:
        """Send what the watches have not seen; a hanging member sends nothing."""
        faults = self.member.faults
        if faults.hang:
            return
        if faults.no_leader and self.needs_leader:
            for id_ in list(self.watches):
                del self.watches[id_]
                await self._send_response(id_, canceled=True, cancel_reason=NO_LEADER)
            raise rpc_error(Status.UNAVAILABLE, NO_LEADER)
        for watch in list(self.watches.values()):
            await self._send(watch)
        if self.progress_requested and all(
            w.next_revision > self.member.visible_revision() for w in self.watches.values()
        ):
            self.progress_requested = False
            await self._send_response(PROGRESS_ID)

    async def _send(self, watch: WatchState) -> None:
        while watch.next_revision <= (seen := self.member.visible_revision()) and watch.id in self.watches:
            if watch.next_revision < self.store.compacted:
                del self.watches[watch.id]
                await self._send_response(
                    watch.id, canceled=True, compact_revision=self.store.compacted, cancel_reason=COMPACTED
                )
                return
            end = min(seen, watch.next_revision + MAX_REVISIONS_PER_RESPONSE - 1)
            events = self.store.events(watch.next_revision, end, watch.request.key, watch.request.range_end)
            watch.next_revision = end + 1
            events = [e for e in events if int(e.type) not in [int(f) for f in watch.request.filters]]
            if not events:
                continue
            if self.member.faults.late_ms:
                await asyncio.sleep(self.member.faults.late_ms / 1000.0)
            for _ in range(2 if self.member.faults.repeat else 1):
                await self._send_events(watch, events)

    async def _send_events(self, watch: WatchState, events: list[pb.Event]) -> None:
        parts = list(self._fragments(watch, events))
        for n, part in enumerate(parts):
            shown = part
            if not watch.request.prev_kv:
                shown = [pb.Event(type=event.type, kv=event.kv) for event in part]
            await self._send_response(watch.id, events=shown, fragment=n < len(parts) - 1)
            if self.member.faults.cut_in_batch and len(parts) > 1:
                self.member.faults.cut_in_batch = False
                self.member.abort_connections()
                await asyncio.sleep(3600)  # this stream is gone; its task is cancelled

    def _fragments(self, watch: WatchState, events: list[pb.Event]) -> Iterator[list[pb.Event]]:
        """Whole, or in fragments where the client takes them and the response would be too large."""
        most = self.member.cluster.fragment_bytes
        size = 0
        number = 0

        def part(event: pb.Event) -> int:
            nonlocal size, number
            size += event.ByteSize()
            if size > most and watch.request.fragment:
                size = event.ByteSize()
                number = number + 1
            return number

        for _, group in groupby(events, part):
            yield list(group)
