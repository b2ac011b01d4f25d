"""The list source for a machine list in etcd: performs what the pursuit decides, and says how old the picture is."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import suppress
from typing import Any

from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.machinelist.calm import Calm
from kestreltrack.machinelist.etcd.client import EtcdClient, EtcdFailed, why
from kestreltrack.machinelist.etcd.layout import Picture, endpoints
from kestreltrack.machinelist.etcd.pursuit import (
    AskPage,
    AskProgress,
    Change,
    Confirm,
    Heard,
    OpenWatch,
    Phase,
    Pursuit,
    Rest,
    Terms,
    Told,
    Why,
)
from kestreltrack.ports import Clock, ListUpdate
from kestreltrack.telemetry import Telemetry

HAS_LEADER = ("hasleader", "true")  # a member that loses its leader then ends the watch
LONGEST_NAP_S = 0.25  # so that the age of the picture is looked at


def read_response(response: pb.WatchResponse) -> Heard:
    """A watch response in the pursuit's form."""
    cancelled = None
    if response.canceled:
        cancelled = Why.COMPACTED if response.compact_revision else why(response.cancel_reason)
    return Heard(
        response.header.cluster_id,
        response.header.revision,
        created=response.created,
        cancelled=cancelled,
        fragment=response.fragment,
        changes=tuple(
            Change(e.kv.key, None if e.type == pb.Event.DELETE else e.kv.value, e.kv.mod_revision)
            for e in response.events
        ),
    )


class EtcdListSource:
    """Follows one prefix.  Never raises for what members do: it goes on with the picture it has."""

    def __init__(
        self,
        client: EtcdClient,
        prefix: str,
        terms: Terms,
        clock: Clock,
        telemetry: Telemetry,
        stale_ms: Sequence[float] = (5_000.0, 60_000.0, 600_000.0),
        rng: random.Random | None = None,
    ) -> None:
        """Nothing is opened before `follow`; `stale_ms` are the ages that are worth a line in the log."""
        self.client, self.prefix, self._clock, self._telemetry = client, prefix, clock, telemetry
        self.pursuit = Pursuit(terms, rng or random.Random())
        self.picture, self._stem = Picture(prefix, telemetry), endpoints(prefix).encode()
        self._stale, self._stale_ms = 0, tuple(sorted(stale_ms))
        self._began, self._calm = clock(), False
        self.seen = 0  # the newest revision that whoever follows has taken in
        self._timeout_s = terms.answer_ms / 1000.0

    def move(self, client: EtcdClient) -> None:
        """Go on through another client (other members, other certificates); the picture holds till then."""
        old, self.client = self.client, client
        self.pursuit.moved(len(client), self._clock(), same=old.where.members == client.where.members)
        old.close()

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    def age_ms(self) -> float:
        """How old the picture may be; counted from the start before the first."""
        now = self._clock()
        return min(self.pursuit.age_ms(now), now - self._began)

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then every change, for as long as it is asked."""
        try:
            while True:
                async for told in self._perform():
                    yield self.picture.update(told)
                    self.seen = told.revision
                if self.pursuit.phase is not Phase.RANGING:
                    self._release()
                self._report()
        finally:
            self._release()

    def _hold(self) -> None:
        """A large list is coming: see `calm.py`."""
        if not self._calm:
            self._calm = True
            Calm.begin()

    def _release(self) -> None:
        if self._calm:
            self._calm = False
            Calm.end()

    async def _perform(self) -> AsyncIterator[Told]:
        """Carry out one step."""
        step = self.pursuit.step(self._clock())
        if isinstance(step, Rest):
            await asyncio.sleep(min(step.ms / 1000.0, LONGEST_NAP_S))
        elif isinstance(step, AskPage):
            if told := await self._page(step):
                yield told
        else:
            async for told in self._watch(step):
                yield told

    def _broke(self, client: EtcdClient, member: int, bad: EtcdFailed) -> None:
        if client is not self.client:
            return  # moved meanwhile: what the old members do is of no interest
        self._telemetry.log(
            "machinelist.etcd.left", member=client.where.members[member], why=bad.why.value, error=str(bad)
        )
        self.pursuit.broke(self._clock(), bad.why)

    async def _page(self, step: AskPage) -> Told | None:
        first = step.after + b"\0" if step.after else self._stem
        ask = pb.RangeRequest(
            key=first,
            range_end=prefix_end(self._stem),
            limit=self.pursuit.terms.page,
            revision=step.revision,
            sort_order=pb.RangeRequest.ASCEND,
        )
        client = self.client
        try:
            answer = await client.range(step.member, ask, self._timeout_s)
        except EtcdFailed as bad:
            self._broke(client, step.member, bad)
            return None
        if client is not self.client:
            return None
        if answer.more:
            self._hold()
        keys = tuple(Change(kv.key, kv.value, kv.mod_revision) for kv in answer.kvs)
        self.picture.prepare(keys)  # while its page is at hand: all at once would be a standstill
        header = answer.header
        return self.pursuit.page(self._clock(), header.cluster_id, header.revision, keys, answer.more)

    async def _watch(self, step: OpenWatch) -> AsyncIterator[Told]:
        client = self.client
        create = pb.WatchCreateRequest(
            key=self._stem,
            range_end=prefix_end(self._stem),
            start_revision=step.start,
            progress_notify=True,
            fragment=True,
        )
        try:
            async with client.stream(
                step.member, rpc.WatchStub, "Watch", self._timeout_s, [HAS_LEADER]
            ) as stream:
                await stream.send_message(pb.WatchRequest(create_request=create))
                async for told in self._listen(client, step.member, stream):
                    yield told
        except EtcdFailed as bad:
            self._broke(client, step.member, bad)
        if self.pursuit.phase is Phase.RESTING and client is self.client and len(client) > 1:
            client.drop(step.member)  # a member that hangs keeps its connections open for ever

    async def _listen(self, client: EtcdClient, member: int, stream: Any) -> AsyncIterator[Told]:
        """Hear the watch, and have it confirmed, until the pursuit leaves it."""
        listen: asyncio.Task[Any] | None = None
        confirm: asyncio.Task[pb.RangeResponse] | None = None
        try:
            while client is self.client:
                for task in self.pursuit.tasks(self._clock()):
                    if isinstance(task, Confirm):
                        confirm = asyncio.create_task(self._agreed_revision(client, member))
                    elif isinstance(task, AskProgress):
                        ask = pb.WatchRequest(progress_request=pb.WatchProgressRequest())
                        await stream.send_message(ask)
                if self.pursuit.phase not in (Phase.OPENING, Phase.WATCHING):
                    where, counts = client.where.members[member], dict(self.pursuit.counts)
                    self._telemetry.log("machinelist.etcd.left", member=where, counts=counts)
                    return
                listen = listen or asyncio.create_task(stream.recv_message())
                nap = min(self.pursuit.patience(self._clock()) / 1000.0, LONGEST_NAP_S)
                waiting = {task for task in (listen, confirm) if task}
                await asyncio.wait(waiting, timeout=nap, return_when=asyncio.FIRST_COMPLETED)
                if listen.done():
                    response, listen = listen.result(), None
                    if response is None:
                        raise EtcdFailed(Why.UNREACHABLE, "the watch ended")
                    heard = read_response(response)
                    if heard.cancelled is Why.TOKEN:
                        client.forget_token()
                    if told := self.pursuit.heard(self._clock(), heard):
                        yield told
                if confirm and confirm.done():
                    (answer, confirm) = (confirm.result(), None)
                    self.pursuit.agreed(self._clock(), answer.header.cluster_id, answer.header.revision)
                self._report()
        finally:
            for left in (listen, confirm):
                if left:
                    left.cancel()
                    with suppress(BaseException):
                        await left

    async def _agreed_revision(self, client: EtcdClient, member: int) -> pb.RangeResponse:
        """A linearizable read that costs the member next to nothing: one key that is not there."""
        ask = pb.RangeRequest(key=self._stem, count_only=True)
        return await client.range(member, ask, self._timeout_s)

    def _report(self) -> None:
        """Mirror the counts; say when the picture passes an age that the operator named, and when it is fresh."""
        for name, count in self.pursuit.counts.items():
            self._telemetry.counters[f"machinelist.etcd.{name}"] = count
        age = self.age_ms()
        self._telemetry.counters["machinelist.etcd.age_ms"] = int(age)
        stale = sum(age >= bound for bound in self._stale_ms)
        if stale > self._stale:
            self._telemetry.trouble("machinelist.stale", age_ms=int(age), above_ms=self._stale_ms[stale - 1])
        elif stale < self._stale and stale == 0:
            self._telemetry.log("machinelist.fresh", age_ms=int(age))
        self._stale = stale
