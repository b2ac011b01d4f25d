"""The list source for a machine list in etcd: performs what the pursuit decides, and says how old the picture is."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import suppress
from typing import Any

from kestreltrack.discovery.etcd.client import EtcdClient, EtcdError, reason_from_message
from kestreltrack.discovery.etcd.layout import DirectoryView, endpoints_prefix
from kestreltrack.discovery.etcd.watch_state import (
    ConfirmRevision,
    FailureReason,
    KeyChange,
    OpenWatch,
    PrefixUpdate,
    ReadPage,
    RequestProgress,
    Wait,
    WatchParameters,
    WatchPhase,
    WatchResponse,
    WatchStateMachine,
)
from kestreltrack.discovery.gc_pause import GcPause
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.ports import Clock, EndpointListUpdate
from kestreltrack.telemetry import Telemetry

REQUIRE_LEADER_METADATA = ("hasleader", "true")  # a member that loses its leader then ends the watch
MAX_SLEEP_S = 0.25  # so that the age of the picture is looked at


def decode_watch_response(response: pb.WatchResponse) -> WatchResponse:
    """A watch response in the pursuit's form."""
    cancelled = None
    if response.canceled:
        cancelled = (
            FailureReason.COMPACTED
            if response.compact_revision
            else reason_from_message(response.cancel_reason)
        )
    return WatchResponse(
        response.header.cluster_id,
        response.header.revision,
        created=response.created,
        cancelled=cancelled,
        fragment=response.fragment,
        changes=tuple(
            KeyChange(e.kv.key, None if e.type == pb.Event.DELETE else e.kv.value, e.kv.mod_revision)
            for e in response.events
        ),
    )


class EtcdEndpointSource:
    """Follows one prefix.  Never raises for what members do: it goes on with the picture it has."""

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
        """Nothing is opened before `follow`; `stale_ms` are the ages that are worth a line in the log."""
        self.client, self.prefix, self._clock, self._telemetry = client, prefix, clock, telemetry
        self.watch_state = WatchStateMachine(parameters, rng or random.Random())
        self.view, self._key_prefix = DirectoryView(prefix, telemetry), endpoints_prefix(prefix).encode()
        self._staleness_level, self._staleness_bounds_ms = 0, tuple(sorted(staleness_bounds_ms))
        self._started_at, self._gc_paused = clock(), False
        self.applied_revision = 0  # the newest revision that whoever follows has taken in
        self._timeout_s = parameters.response_timeout_ms / 1000.0

    def replace_client(self, client: EtcdClient) -> None:
        """Go on through another client (other members, other certificates); the picture holds till then."""
        old, self.client = self.client, client
        self.watch_state.members_replaced(
            len(client), self._clock(), same_members=old.cluster.members == client.cluster.members
        )
        old.close()

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    def age_ms(self) -> float:
        """How old the picture may be; counted from the start before the first."""
        now = self._clock()
        return min(self.watch_state.age_ms(now), now - self._started_at)

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """The whole list, then every change, for as long as it is asked."""
        try:
            while True:
                async for told in self._run_step():
                    yield self.view.apply(told)
                    self.applied_revision = told.revision
                if self.watch_state.phase is not WatchPhase.LISTING:
                    self._resume_gc()
                self._report_staleness()
        finally:
            self._resume_gc()

    def _pause_gc(self) -> None:
        """A large list is coming: see `calm.py`."""
        if not self._gc_paused:
            self._gc_paused = True
            GcPause.begin()

    def _resume_gc(self) -> None:
        if self._gc_paused:
            self._gc_paused = False
            GcPause.end()

    async def _run_step(self) -> AsyncIterator[PrefixUpdate]:
        """Carry out one step."""
        step = self.watch_state.next_step(self._clock())
        if isinstance(step, Wait):
            await asyncio.sleep(min(step.delay_ms / 1000.0, MAX_SLEEP_S))
        elif isinstance(step, ReadPage):
            if told := await self._read_page(step):
                yield told
        else:
            async for told in self._watch(step):
                yield told

    def _step_failed(self, client: EtcdClient, member_index: int, error: EtcdError) -> None:
        if client is not self.client:
            return  # moved meanwhile: what the old members do is of no interest
        self._telemetry.log(
            "discovery.etcd.member_failed",
            member=client.cluster.members[member_index],
            why=error.reason.value,
            error=str(error),
        )
        self.watch_state.step_failed(self._clock(), error.reason)

    async def _read_page(self, step: ReadPage) -> PrefixUpdate | None:
        first = step.after_key + b"\0" if step.after_key else self._key_prefix
        ask = pb.RangeRequest(
            key=first,
            range_end=prefix_end(self._key_prefix),
            limit=self.watch_state.parameters.page_size,
            revision=step.revision,
            sort_order=pb.RangeRequest.ASCEND,
        )
        client = self.client
        try:
            answer = await client.range(step.member_index, ask, self._timeout_s)
        except EtcdError as bad:
            self._step_failed(client, step.member_index, bad)
            return None
        if client is not self.client:
            return None
        if answer.more:
            self._pause_gc()
        keys = tuple(KeyChange(kv.key, kv.value, kv.mod_revision) for kv in answer.kvs)
        self.view.decode_page(keys)  # while its page is at hand: all at once would be a standstill
        header = answer.header
        return self.watch_state.page_received(
            self._clock(), header.cluster_id, header.revision, keys, answer.more
        )

    async def _watch(self, step: OpenWatch) -> AsyncIterator[PrefixUpdate]:
        client = self.client
        create = pb.WatchCreateRequest(
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
                await stream.send_message(pb.WatchRequest(create_request=create))
                async for told in self._listen(client, step.member_index, stream):
                    yield told
        except EtcdError as bad:
            self._step_failed(client, step.member_index, bad)
        if self.watch_state.phase is WatchPhase.BACKOFF and client is self.client and len(client) > 1:
            client.close_channel(step.member_index)  # a member that hangs keeps its connections open for ever

    async def _listen(
        self, client: EtcdClient, member_index: int, stream: Any
    ) -> AsyncIterator[PrefixUpdate]:
        """Hear the watch, and have it confirmed, until the pursuit leaves it."""
        listen: asyncio.Task[Any] | None = None
        confirm: asyncio.Task[pb.RangeResponse] | None = None
        try:
            while client is self.client:
                for task in self.watch_state.due_actions(self._clock()):
                    if isinstance(task, ConfirmRevision):
                        confirm = asyncio.create_task(self._read_current_revision(client, member_index))
                    elif isinstance(task, RequestProgress):
                        ask = pb.WatchRequest(progress_request=pb.WatchProgressRequest())
                        await stream.send_message(ask)
                if self.watch_state.phase not in (WatchPhase.OPENING, WatchPhase.WATCHING):
                    where, counts = client.cluster.members[member_index], dict(self.watch_state.event_counts)
                    self._telemetry.log("discovery.etcd.member_failed", member=where, counts=counts)
                    return
                listen = listen or asyncio.create_task(stream.recv_message())
                nap = min(self.watch_state.listen_timeout_ms(self._clock()) / 1000.0, MAX_SLEEP_S)
                waiting = {task for task in (listen, confirm) if task}
                await asyncio.wait(waiting, timeout=nap, return_when=asyncio.FIRST_COMPLETED)
                if listen.done():
                    response, listen = listen.result(), None
                    if response is None:
                        raise EtcdError(FailureReason.UNREACHABLE, "the watch ended")
                    heard = decode_watch_response(response)
                    if heard.cancelled is FailureReason.INVALID_TOKEN:
                        client.discard_token()
                    if told := self.watch_state.response_received(self._clock(), heard):
                        yield told
                if confirm and confirm.done():
                    (answer, confirm) = (confirm.result(), None)
                    self.watch_state.confirmation_received(
                        self._clock(), answer.header.cluster_id, answer.header.revision
                    )
                self._report_staleness()
        finally:
            for left in (listen, confirm):
                if left:
                    left.cancel()
                    with suppress(BaseException):
                        await left

    async def _read_current_revision(self, client: EtcdClient, member_index: int) -> pb.RangeResponse:
        """A linearizable read that costs the member next to nothing: one key that is not there."""
        ask = pb.RangeRequest(key=self._key_prefix, count_only=True)
        return await client.range(member_index, ask, self._timeout_s)

    def _report_staleness(self) -> None:
        """Mirror the counts; say when the picture passes an age that the operator named, and when it is fresh."""
        for name, count in self.watch_state.event_counts.items():
            self._telemetry.counters[f"discovery.etcd.{name}"] = count
        age = self.age_ms()
        self._telemetry.counters["discovery.etcd.age_ms"] = int(age)
        stale = sum(age >= bound for bound in self._staleness_bounds_ms)
        if stale > self._staleness_level:
            self._telemetry.record_fault(
                "discovery.stale", age_ms=int(age), above_ms=self._staleness_bounds_ms[stale - 1]
            )
        elif stale < self._staleness_level and stale == 0:
            self._telemetry.log("discovery.fresh", age_ms=int(age))
        self._staleness_level = stale
