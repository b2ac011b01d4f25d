"""The Watch service of a member: several watches per stream, progress, fragments, compaction and loss of the leader.

See https://etcd.io/docs/v3.5/learning/api/#watch-api.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from grpclib import GRPCError, Status
from grpclib.server import Stream

from kestreltrack.etcdapi import COMPACTED, NO_LEADER
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.members import FakeEtcdMember
from kestreltrack.testing.fakes.etcd.store import rpc_error

# The maximum number of revisions in a response to a watch that is behind, as in etcd.
MAX_REVISIONS_PER_RESPONSE = 1000
# The watch id of responses that belong to no single watch: to a progress request and to a rejected creation.
NO_WATCH_ID = -1
# How long a stream with an aborted connection waits for the cancellation of its task: longer than any test.
ABORTED_STREAM_WAIT_S = 3600.0


@dataclass(slots=True)
class WatchState:
    """A watch, with its request and the next revision to send."""

    id: int
    request: pb.WatchCreateRequest
    next_revision: int


class WatchService(rpc.WatchBase):
    """The Watch service."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """Create the service of a member."""
        self.member = member

    async def Watch(self, stream: Stream[pb.WatchRequest, pb.WatchResponse]) -> None:
        """Serve a stream until the client or a fault ends it."""
        await WatchStream(self.member, stream).serve()


class WatchStream:
    """A watch stream with its watches."""

    def __init__(self, member: FakeEtcdMember, stream: Stream[pb.WatchRequest, pb.WatchResponse]) -> None:
        """Create a stream without watches."""
        self.member = member
        self.store = member.cluster.store
        self.stream = stream
        self.watches: dict[int, WatchState] = {}
        # Whether a progress request is still to be answered.
        self.progress_requested = False
        metadata: Any = stream.metadata or {}
        self.needs_leader = metadata.get("hasleader") == "true"
        token = metadata.get("token")
        self.token = None if token is None else str(token)

    async def serve(self) -> None:
        """Serve the stream until the client or a fault ends it."""
        self.member.watch_stream_count += 1
        reader = asyncio.create_task(self._read())
        try:
            while not reader.done():
                await self._send_and_wait(reader)
            reader.result()
        finally:
            self.member.watch_stream_count -= 1
            reader.cancel()

    async def _send_and_wait(self, reader: asyncio.Task[None]) -> None:
        """Send the pending responses, then wait until something changes or the reader ends."""
        # The wait begins before the responses are sent, so that no change is missed.
        change = asyncio.create_task(self.member.cluster.wait_for_change())
        try:
            await self._send_pending()
            await asyncio.wait({change, reader}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()

    async def _read(self) -> None:
        async for request in self.stream:
            while self.member.faults.hang:
                await self.member.cluster.wait_for_change()
            match request.WhichOneof("request_union"):
                case "create_request":
                    await self._create(request.create_request)
                case "cancel_request":
                    await self._cancel(request.cancel_request.watch_id)
                case "progress_request":
                    self.progress_requested = True
            self.member.cluster.notify_change()

    async def _create(self, request: pb.WatchCreateRequest) -> None:
        watch_id = request.watch_id or self._free_watch_id()
        try:
            self._check_create(watch_id)
        except GRPCError as error:
            await self._send_response(
                NO_WATCH_ID, created=True, canceled=True, cancel_reason=error.message or ""
            )
            return
        start_revision = request.start_revision or self.member.visible_revision() + 1
        await self._send_response(watch_id, created=True)
        self.watches[watch_id] = WatchState(watch_id, request, start_revision)

    def _free_watch_id(self) -> int:
        return next(number for number in range(len(self.watches) + 1) if number not in self.watches)

    def _check_create(self, watch_id: int) -> None:
        """Check whether a watch can be created.

        Raises:
            GRPCError: If the token is not valid, the required leader is missing, or the id is in use.
        """
        self.member.cluster.check_token(self.token)
        if self.needs_leader and self.member.faults.no_leader:
            raise rpc_error(Status.UNAVAILABLE, NO_LEADER)
        if watch_id in self.watches:
            raise rpc_error(Status.INVALID_ARGUMENT, "mvcc: duplicate watch ID provided on the WatchStream")

    async def _cancel(self, watch_id: int) -> None:
        if self.watches.pop(watch_id, None):
            await self._send_response(watch_id, canceled=True)

    async def _send_response(self, watch_id: int, revision: int | None = None, **fields: Any) -> None:
        header = self.member.header(revision)
        await self.stream.send_message(pb.WatchResponse(header=header, watch_id=watch_id, **fields))

    async def _send_pending(self) -> None:
        """Send all events and progress that the watches have not received; a hanging member sends nothing.

        Raises:
            GRPCError: If the member has no leader and the client requires one.
        """
        if self.member.faults.hang:
            return
        if self.member.faults.no_leader and self.needs_leader:
            await self._cancel_all(NO_LEADER)
            raise rpc_error(Status.UNAVAILABLE, NO_LEADER)
        for watch in list(self.watches.values()):
            await self._send_new_events(watch)
        if self.progress_requested and self._all_up_to_date():
            self.progress_requested = False
            await self._send_response(NO_WATCH_ID)

    async def _cancel_all(self, reason: str) -> None:
        for watch_id in list(self.watches):
            del self.watches[watch_id]
            await self._send_response(watch_id, canceled=True, cancel_reason=reason)

    def _all_up_to_date(self) -> bool:
        visible = self.member.visible_revision()
        return all(watch.next_revision > visible for watch in self.watches.values())

    async def _send_new_events(self, watch: WatchState) -> None:
        """Send the unsent events of a watch, up to the visible revision."""
        while watch.id in self.watches:
            visible = self.member.visible_revision()
            if watch.next_revision > visible:
                return
            if watch.next_revision < self.store.compacted:
                await self._cancel_compacted(watch)
                return
            events = self._take_events(watch, visible)
            if not events:
                continue
            if self.member.faults.late_ms:
                await asyncio.sleep(self.member.faults.late_ms / 1000.0)
            await self._send_events(watch, events)
            if self.member.faults.repeat:
                await self._send_events(watch, events)

    def _take_events(self, watch: WatchState, visible: int) -> list[pb.Event]:
        """Return the next events that pass the filters of a watch, and advance the watch past them."""
        end = min(visible, watch.next_revision + MAX_REVISIONS_PER_RESPONSE - 1)
        request = watch.request
        events = self.store.events(watch.next_revision, end, request.key, request.range_end)
        watch.next_revision = end + 1
        # The filters NOPUT and NODELETE have the numeric values of the event types PUT and DELETE.
        filtered_types = {int(filter_type) for filter_type in request.filters}
        return [event for event in events if int(event.type) not in filtered_types]

    async def _cancel_compacted(self, watch: WatchState) -> None:
        del self.watches[watch.id]
        await self._send_response(
            watch.id, canceled=True, compact_revision=self.store.compacted, cancel_reason=COMPACTED
        )

    async def _send_events(self, watch: WatchState, events: list[pb.Event]) -> None:
        fragments = list(self._fragments(watch, events))
        for number, fragment in enumerate(fragments):
            sent_events = fragment
            if not watch.request.prev_kv:
                sent_events = [pb.Event(type=event.type, kv=event.kv) for event in fragment]
            await self._send_response(watch.id, events=sent_events, fragment=number < len(fragments) - 1)
            if self.member.faults.cut_in_batch and len(fragments) > 1:
                self.member.faults.cut_in_batch = False
                self.member.abort_connections()
                # The abort cancels the task of this stream, so that no further fragment is sent.
                await asyncio.sleep(ABORTED_STREAM_WAIT_S)

    def _fragments(self, watch: WatchState, events: list[pb.Event]) -> Iterator[list[pb.Event]]:
        """Yield the events in one list, or in fragments if they are too large and the client accepts fragments."""
        max_bytes = self.member.cluster.fragment_bytes
        fragment = list[pb.Event]()
        size = 0
        for event in events:
            event_size = event.ByteSize()
            if watch.request.fragment and fragment and size + event_size > max_bytes:
                yield fragment
                fragment = []
                size = 0
            fragment.append(event)
            size += event_size
        yield fragment
