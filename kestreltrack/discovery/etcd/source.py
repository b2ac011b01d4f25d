"""The endpoint source for a directory in etcd: performs the I/O that the watch's state machine requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Coroutine, Sequence
from types import TracebackType
from typing import Any, Self

from kestreltrack.discovery.etcd.client import EtcdClient, reason_from_message
from kestreltrack.discovery.etcd.errors import EtcdError, FailureReason
from kestreltrack.discovery.etcd.layout import DirectoryView, endpoints_prefix
from kestreltrack.discovery.etcd.staleness import StalenessReporter
from kestreltrack.discovery.etcd.watch_state import WatchStateMachine
from kestreltrack.discovery.etcd.watch_types import (
    ConfirmRevision,
    KeyChange,
    OpenWatch,
    PrefixUpdate,
    ReadPage,
    RequestProgress,
    Wait,
    WatchParameters,
    WatchPhase,
    WatchResponse,
)
from kestreltrack.discovery.gc_pause import GcPause
from kestreltrack.discovery.task_cleanup import cancel_and_wait
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.ports import Clock, EndpointListUpdate
from kestreltrack.telemetry import Telemetry

# Makes a member cancel the watch when it loses its leader.
REQUIRE_LEADER_METADATA = ("hasleader", "true")
# Bounds the interval between two reports of the list's age.
MAX_SLEEP_S = 0.25


def decode_watch_response(response: pb.WatchResponse) -> WatchResponse:
    """Convert a response of the protocol to the type of the state machine."""
    cancelled = None
    if response.canceled:
        if response.compact_revision:
            cancelled = FailureReason.COMPACTED
        else:
            cancelled = reason_from_message(response.cancel_reason)
    return WatchResponse(
        response.header.cluster_id,
        response.header.revision,
        created=response.created,
        cancelled=cancelled,
        fragment=response.fragment,
        changes=tuple(_decode_event(event) for event in response.events),
    )


def _decode_event(event: Any) -> KeyChange:
    value = None if event.type == pb.Event.DELETE else event.kv.value
    return KeyChange(event.kv.key, value, event.kv.mod_revision)


class _WatchTasks:
    """The concurrent tasks of one open watch: receiving the next response, and a confirming read.

    A context manager, which cancels both tasks on exit.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._receiving: asyncio.Task[Any] | None = None
        self._confirming: asyncio.Task[pb.RangeResponse] | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await cancel_and_wait((self._receiving, self._confirming))

    def confirm(self, read: Coroutine[Any, Any, pb.RangeResponse]) -> None:
        """Start a confirming read as a task."""
        self._confirming = asyncio.create_task(read)

    async def wait(self, timeout_s: float) -> None:
        """Wait until a response or a confirmation has been received, at most `timeout_s`."""
        if self._receiving is None:
            self._receiving = asyncio.create_task(self._stream.recv_message())
        tasks: set[asyncio.Task[Any]] = {self._receiving}
        if self._confirming is not None:
            tasks.add(self._confirming)
        await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)

    def take_response(self) -> pb.WatchResponse | None:
        """Return the response that was received, or `None` if none was.

        Raises:
            EtcdError: The member has closed the stream.
        """
        if self._receiving is None or not self._receiving.done():
            return None
        response: pb.WatchResponse | None = self._receiving.result()
        self._receiving = None
        if response is None:
            raise EtcdError(FailureReason.UNREACHABLE, "the member closed the watch")
        return response

    def take_confirmation(self) -> pb.RangeResponse | None:
        """Return the result of the confirming read, or `None` if it is pending or none was started.

        Raises:
            EtcdError: The read failed.
        """
        if self._confirming is None or not self._confirming.done():
            return None
        response = self._confirming.result()
        self._confirming = None
        return response


class EtcdEndpointSource:
    """Follows the endpoints under one prefix; an `EndpointSource`.

    Failures of members are not raised: the last list stays in effect, and its age is reported.

    Attributes:
        client: The current client.
        prefix: The prefix of the directory.
        watch_state: The state machine of the watch.
        view: The endpoints decoded from the keys.
        staleness: Reports the age of the list.
        applied_revision: The newest revision that the consumer of `follow` has applied.
    """

    def __init__(
        self,
        client: EtcdClient,
        prefix: str,
        parameters: WatchParameters,
        clock: Clock,
        telemetry: Telemetry,
        staleness_bounds_ms: Sequence[float] = (5_000.0, 60_000.0, 600_000.0),
        rng: random.Random | None = None,
    ) -> None:
        """Create the source; it connects once `follow` is iterated.

        Args:
            client: The client; the source closes it.
            prefix: The prefix of the directory.
            parameters: The operator's settings of the watch.
            clock: A monotonic clock in milliseconds.
            telemetry: Receives the log and the counters.
            staleness_bounds_ms: The ages of the list at which it is logged as stale.
            rng: The generator for jitter; a new one by default.
        """
        self.client = client
        self.prefix = prefix
        self.watch_state = WatchStateMachine(parameters, rng or random.Random())
        self.view = DirectoryView(prefix, telemetry)
        self.staleness = StalenessReporter(staleness_bounds_ms, telemetry)
        self.applied_revision = 0
        self._key_prefix = endpoints_prefix(prefix).encode()
        self._clock = clock
        self._telemetry = telemetry
        self._started_at = clock()
        self._timeout_s = parameters.response_timeout_ms / 1000.0
        self._gc_paused = False

    def replace_client(self, client: EtcdClient) -> None:
        """Switch to a client for other members or with other credentials; the list stays in effect meanwhile."""
        old_client = self.client
        self.client = client
        same_members = old_client.cluster.members == client.cluster.members
        self.watch_state.members_replaced(len(client), self._clock(), same_members)
        old_client.close()

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    def age_ms(self) -> float:
        """Return the greatest age that the list may have; before the first list, the time since creation."""
        now = self._clock()
        return min(self.watch_state.age_ms(now), now - self._started_at)

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then all changes, indefinitely."""
        try:
            while True:
                async for update in self._perform_step():
                    yield self.view.apply(update)
                    self.applied_revision = update.revision
                if self.watch_state.phase is not WatchPhase.LISTING:
                    self._resume_gc()
                self._report_state()
        finally:
            self._resume_gc()

    def _pause_gc(self) -> None:
        """Suspend garbage collection while a large list is read; see `gc_pause` for the reason."""
        if not self._gc_paused:
            self._gc_paused = True
            GcPause.begin()

    def _resume_gc(self) -> None:
        if self._gc_paused:
            self._gc_paused = False
            GcPause.end()

    async def _perform_step(self) -> AsyncIterator[PrefixUpdate]:
        step = self.watch_state.next_step(self._clock())
        match step:
            case Wait():
                await asyncio.sleep(min(step.delay_ms / 1000.0, MAX_SLEEP_S))
            case ReadPage():
                complete_update = await self._read_page(step)
                if complete_update is not None:
                    yield complete_update
            case OpenWatch():
                async for update in self._watch(step):
                    yield update

    def _step_failed(self, client: EtcdClient, member_index: int, error: EtcdError) -> None:
        if client is not self.client:
            return  # replaced meanwhile: a failure of the old client is irrelevant
        self._telemetry.log(
            "discovery.etcd.member_failed",
            member=client.cluster.members[member_index],
            why=error.reason.value,
            error=str(error),
        )
        self.watch_state.step_failed(self._clock(), error.reason)

    # Listing -------------------------------------------------------------------------------------

    async def _read_page(self, step: ReadPage) -> PrefixUpdate | None:
        request = pb.RangeRequest(
            key=step.after_key + b"\0" if step.after_key else self._key_prefix,
            range_end=prefix_end(self._key_prefix),
            limit=self.watch_state.parameters.page_size,
            revision=step.revision,
            sort_order=pb.RangeRequest.ASCEND,
        )
        client = self.client
        try:
            response = await client.range(step.member_index, request, self._timeout_s)
        except EtcdError as error:
            self._step_failed(client, step.member_index, error)
            return None
        if client is not self.client:
            return None
        if response.more:
            self._pause_gc()
        keys = tuple(KeyChange(kv.key, kv.value, kv.mod_revision) for kv in response.kvs)
        # Decoded page by page: decoding all pages at once would block the event loop for too long.
        self.view.decode_page(keys)
        header = response.header
        return self.watch_state.page_received(header.cluster_id, header.revision, keys, response.more)

    # Watching ------------------------------------------------------------------------------------

    async def _watch(self, step: OpenWatch) -> AsyncIterator[PrefixUpdate]:
        client = self.client
        request = pb.WatchCreateRequest(
            key=self._key_prefix,
            range_end=prefix_end(self._key_prefix),
            start_revision=step.start_revision,
            progress_notify=True,
            fragment=True,
        )
        try:
            async with client.stream(
                step.member_index, rpc.WatchStub, "Watch", self._timeout_s, [REQUIRE_LEADER_METADATA]
            ) as stream:
                await stream.send_message(pb.WatchRequest(create_request=request))
                async for update in self._receive_updates(client, step.member_index, stream):
                    yield update
        except EtcdError as error:
            self._step_failed(client, step.member_index, error)
        if self.watch_state.phase is WatchPhase.BACKOFF and client is self.client and len(client) > 1:
            # A member that hangs would keep the connection open indefinitely.
            client.close_channel(step.member_index)

    async def _receive_updates(
        self, client: EtcdClient, member_index: int, stream: Any
    ) -> AsyncIterator[PrefixUpdate]:
        """Yield the updates of the watch, and confirm it periodically, until the state machine closes it."""
        async with _WatchTasks(stream) as tasks:
            while client is self.client:
                await self._perform_due_actions(client, member_index, stream, tasks)
                if self.watch_state.phase not in (WatchPhase.OPENING, WatchPhase.WATCHING):
                    self._log_failed_member(client, member_index)
                    return
                timeout_s = self.watch_state.receive_timeout_ms(self._clock()) / 1000.0
                await tasks.wait(min(timeout_s, MAX_SLEEP_S))
                response = tasks.take_response()
                if response is not None:
                    update = self._response_received(client, response)
                    if update is not None:
                        yield update
                confirmation = tasks.take_confirmation()
                if confirmation is not None:
                    self.watch_state.confirmation_received(
                        self._clock(), confirmation.header.cluster_id, confirmation.header.revision
                    )
                self._report_state()

    async def _perform_due_actions(
        self, client: EtcdClient, member_index: int, stream: Any, tasks: _WatchTasks
    ) -> None:
        for action in self.watch_state.due_actions(self._clock()):
            match action:
                case ConfirmRevision():
                    tasks.confirm(self._read_current_revision(client, member_index))
                case RequestProgress():
                    await stream.send_message(pb.WatchRequest(progress_request=pb.WatchProgressRequest()))

    def _response_received(self, client: EtcdClient, response: pb.WatchResponse) -> PrefixUpdate | None:
        decoded = decode_watch_response(response)
        if decoded.cancelled is FailureReason.INVALID_TOKEN:
            client.discard_token()
        return self.watch_state.response_received(self._clock(), decoded)

    async def _read_current_revision(self, client: EtcdClient, member_index: int) -> pb.RangeResponse:
        """Make a linearizable read that is cheap for the member: it counts a single key, which does not exist."""
        request = pb.RangeRequest(key=self._key_prefix, count_only=True)
        return await client.range(member_index, request, self._timeout_s)

    # Reports -------------------------------------------------------------------------------------

    def _log_failed_member(self, client: EtcdClient, member_index: int) -> None:
        address = client.cluster.members[member_index]
        counts = dict(self.watch_state.event_counts)
        self._telemetry.log("discovery.etcd.member_failed", member=address, counts=counts)

    def _report_state(self) -> None:
        """Copy the state machine's counts to the telemetry counters, and report the age of the list."""
        for name, count in self.watch_state.event_counts.items():
            self._telemetry.counters[f"discovery.etcd.{name}"] = count
        self.staleness.report(self.age_ms())
