"""The sender's ports in simulated time: claims to partners, the machine list, notices.

`Wires` is a `Transport`, `Told` a `ListSource`, `Board` a `NoticeBoard`: the sender's core cannot tell them from
those on sockets, and goes through the same decisions, journal and rules.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial

from kestreltrack.decision import EndpointLifecycle, Outcome
from kestreltrack.invariants.events import (
    AttemptAnswered,
    AttemptStarted,
    EndpointStateLearned,
    Event,
    FinalAnswerGiven,
)
from kestreltrack.ports import (
    Attempt,
    AttemptResult,
    DiscoveryError,
    EndpointListUpdate,
    ListedEndpoint,
    StatusNotification,
)
from kestreltrack.testing.emulator.calls import Reply, Request
from kestreltrack.testing.emulator.destination import SimulatedEndpoint
from kestreltrack.testing.emulator.random_streams import Sampler

OUTCOME_OF_STATUS = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REJECTED}


BATCH_GATHER_S = 1e-6  # until all claims of one decision have come: they do at one instant


@dataclass(slots=True)
class IdleConnection:
    """A kept connection."""

    endpoint: SimulatedEndpoint
    idle_since: float


@dataclass(slots=True, eq=False)
class BatchItem:
    """One message's claim in a call."""

    attempt: Attempt
    result: asyncio.Future[AttemptResult]
    abandoned_outcome: Outcome | None = None
    """Nobody waits for it any more, and this is its outcome if the call ends now."""
    sent_at: float = -1.0
    """When its first byte left."""


@dataclass(slots=True, eq=False)
class OutboundCall:
    """What travels as one: the sends of one decision to one endpoint, up to its batch."""

    endpoint: str
    batched: bool = False
    """Others may join it, at the instant of its first."""
    items: list[BatchItem] = field(default_factory=list)
    task: asyncio.Task[None] | None = None
    opened_connection: bool = False
    """It had to open its connection."""
    sealed: bool = False
    """Nothing more can join it."""

    def abandon(self, item: BatchItem, outcome: Outcome) -> None:
        """A claim is called off, or its time is over; the call is given up with the last one."""
        item.abandoned_outcome = outcome
        if self.task and all(p.abandoned_outcome or p.result.done() for p in self.items):
            self.task.cancel()
        elif (item.sent_at < 0 or outcome is Outcome.TIMED_OUT) and not item.result.done():
            # One that was called off could go again, so it hears nothing before the call has ended.
            item.result.set_result(self.abandoned_result(item))

    @staticmethod
    def abandoned_result(item: BatchItem) -> AttemptResult:
        """What became of a part that nobody waits for."""
        how = item.abandoned_outcome or Outcome.CANCELLED
        unsent = Outcome.UNREACHABLE if how is Outcome.TIMED_OUT else Outcome.NOT_SENT
        return AttemptResult(how if item.sent_at >= 0 else unsent)

    def finish(self, task: asyncio.Task[None]) -> None:
        """Nothing carries it any more."""
        for part in self.items:
            if not part.result.done():
                part.result.set_result(self.abandoned_result(part))


class SimulatedTransport:
    """Claims of one sender's process."""

    def __init__(
        self,
        sender: int,
        find_endpoint: Callable[[str], SimulatedEndpoint | None],
        request_for: Callable[[str], Request],
        one_way_delay_ms: Callable[[int], float],
        jitter: Sampler,
        handshake_rtts: Sampler,
        keepalive_ms: float,
        connect_timeout_ms: float,
        emit: Callable[[Event], None],
    ) -> None:
        """`find` gives an endpoint by its uid, `work` what a message is to a partner, `delay_ms` a way to one."""
        self.sender = sender
        self._find_endpoint = find_endpoint
        self._request_for = request_for
        self._one_way_delay_ms = one_way_delay_ms
        self._jitter = jitter
        self._handshake_rtts = handshake_rtts
        self._keepalive_ms = keepalive_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._emit = emit
        self.idle_connections = dict[str, list[IdleConnection]]()
        self.in_flight = dict[int, int]()
        self.is_unhealthy: Callable[[int], bool] = lambda dest: False
        self.attempt_counts = dict[str, int]()
        self._active_tasks = dict[
            asyncio.Task[object], None
        ]()  # in order: a set's would change from run to run
        self._open_connections = dict[SimulatedEndpoint, int]()

    def max_batch_size(self, uid: str) -> int:
        """Messages in a call to an endpoint, at most."""
        endpoint = self._find_endpoint(uid)
        return endpoint.destination.max_batch_size if endpoint else 1

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an endpoint."""
        for kept in self.idle_connections.pop(uid, []):
            self._close(kept.endpoint)

    def _count_connection(self, endpoint: SimulatedEndpoint) -> None:
        self._open_connections[endpoint] = self._open_connections.get(endpoint, 0) + 1

    def _close(self, endpoint: SimulatedEndpoint) -> None:
        if endpoint in self._open_connections:  # else the process has ended meanwhile
            self._open_connections[endpoint] -= 1
            endpoint.disconnect()

    def kill(self) -> None:
        """The process ends: its connections do, and nobody waits for answers any more."""
        for task in list(self._active_tasks):
            task.cancel()
        for endpoint, count in self._open_connections.items():
            for _ in range(count):
                endpoint.disconnect()
        self._open_connections.clear()
        self.idle_connections.clear()

    def _take_idle(self, uid: str, now: float) -> IdleConnection | None:
        kept = self.idle_connections.get(uid, [])
        while kept:
            found = kept.pop()
            if now - found.idle_since < self._keepalive_ms and not found.endpoint.removed:
                return found
            self._close(found.endpoint)
        return None

    async def send(self, attempt: Attempt) -> AttemptResult:
        """One attempt, from its connection to its answer."""
        task = asyncio.current_task()
        assert task is not None
        self._active_tasks[task] = None
        try:
            return await self._send(attempt)
        finally:
            self._active_tasks.pop(task, None)

    async def _send(self, attempt: Attempt) -> AttemptResult:
        if (shared := attempt.batch_call) is None:
            return await self._join(OutboundCall(attempt.endpoint), attempt)
        if shared.add_attempt is None:
            shared.add_attempt = partial(self._join, OutboundCall(attempt.endpoint, batched=True))
        return await shared.add_attempt(attempt)

    async def _join(self, call: OutboundCall, attempt: Attempt) -> AttemptResult:
        loop = asyncio.get_running_loop()
        message = attempt.message
        if call.sealed:
            call = OutboundCall(attempt.endpoint)
        part = BatchItem(attempt, loop.create_future())
        call.items.append(part)
        if call.task is None:
            call.task = asyncio.create_task(self._deliver(call, message.dest))
            call.task.add_done_callback(call.finish)
        timer = loop.call_later(attempt.timeout_ms / 1000.0, call.abandon, part, Outcome.TIMED_OUT)
        while not part.result.done():
            try:
                await asyncio.wait({part.result})
            except asyncio.CancelledError:
                call.abandon(part, Outcome.CANCELLED)
        timer.cancel()
        result = part.result.result()
        if part.sent_at >= 0:
            took = (loop.time() - part.sent_at) * 1000.0
            first = part is call.items[0]
            endpoint = self._find_endpoint(attempt.endpoint)
            fee = endpoint.zone_cost if endpoint and result.outcome.may_have_executed() else 0.0
            self._emit(
                AttemptAnswered(
                    message.id,
                    self.sender,
                    message.dest,
                    attempt.endpoint,
                    result.outcome.value,
                    result.retry_after_ms,
                    call.opened_connection and first,
                    took,
                    first,
                    fee,
                )
            )
        return result

    async def _deliver(self, call: OutboundCall, dest: int) -> None:
        """A call from its connection to its answer, for all its parts."""
        loop = asyncio.get_running_loop()
        if call.batched:
            await asyncio.sleep(BATCH_GATHER_S)
        call.sealed = True
        endpoint = self._find_endpoint(call.endpoint)
        way = self._one_way_delay_ms(dest) * (1.0 + self._jitter()) / 1000.0
        if endpoint is None:
            await asyncio.sleep(way)
            self._complete(call, AttemptResult(Outcome.UNREACHABLE))
            return
        kept = self._take_idle(call.endpoint, loop.time() * 1000.0)
        if kept is None and not await self._open_connection(endpoint, way):
            self._complete(call, AttemptResult(Outcome.UNREACHABLE))
            return
        call.opened_connection = kept is None
        call.items = [part for part in call.items if self._begin(part)]
        if not call.items:
            self._keep_idle(call.endpoint, endpoint)
            return
        reply = await self._exchange(call, endpoint, dest, way)
        if reply.status == "reset":
            self._close(endpoint)
            self._complete(call, AttemptResult(Outcome.CONNECTION_BROKEN, stale_connection=kept is not None))
        else:
            self._keep_idle(call.endpoint, endpoint)
            self._complete(call, self._result(reply))

    @staticmethod
    def _begin(item: BatchItem) -> bool:
        """Whether a message still travels with its call, once the connection is up."""
        if item.result.done():
            return False
        if not item.attempt.begin():
            item.result.set_result(AttemptResult(Outcome.NOT_SENT))
            return False
        return True

    @staticmethod
    def _complete(call: OutboundCall, result: AttemptResult) -> None:
        for part in call.items:
            if not part.result.done():
                part.result.set_result(result)

    async def _open_connection(self, endpoint: SimulatedEndpoint, way: float) -> bool:
        patience = self._connect_timeout_ms / 1000.0
        await asyncio.sleep(
            patience if endpoint.is_unresponsive() else min(patience, 2.0 * way * self._handshake_rtts())
        )
        if not endpoint.connect():
            return False
        self._count_connection(endpoint)
        return True

    def _keep_idle(self, uid: str, endpoint: SimulatedEndpoint) -> None:
        if endpoint in self._open_connections:
            self.idle_connections.setdefault(uid, []).append(
                IdleConnection(endpoint, asyncio.get_running_loop().time() * 1000.0)
            )

    async def _exchange(
        self, call: OutboundCall, endpoint: SimulatedEndpoint, dest: int, way: float
    ) -> Reply:
        """The first byte has left: from here on it may run."""
        loop = asyncio.get_running_loop()
        self.in_flight[dest] = self.in_flight.get(dest, 0) + 1
        for part in call.items:
            id_, part.sent_at = part.attempt.message.id, loop.time()
            number = self.attempt_counts[id_] = self.attempt_counts.get(id_, -1) + 1
            sick = self.is_unhealthy(dest)
            zone = endpoint.zone
            self._emit(
                AttemptStarted(
                    id_, self.sender, dest, call.endpoint, number, self.in_flight[dest], sick, zone
                )
            )
        answer: asyncio.Future[Reply] = loop.create_future()

        def done(reply: Reply) -> None:
            loop.call_later(way, lambda: None if answer.done() else answer.set_result(reply))

        giving_up = list[Callable[[], None]]()
        requests = [self._request_for(part.attempt.message.id) for part in call.items]
        loop.call_later(way, lambda: giving_up.append(endpoint.call(requests[0], done, *requests[1:])))
        try:
            return await answer
        except asyncio.CancelledError:
            # The connection is closed; the partner hears of that a way later, if the call has reached it by then.
            loop.call_later(way, lambda: giving_up[0]() if giving_up else None)
            self._close(endpoint)
            raise
        finally:
            self.in_flight[dest] -= 1

    @staticmethod
    def _result(reply: Reply) -> AttemptResult:
        outcome = OUTCOME_OF_STATUS[reply.status]
        report = (
            {}
            if reply.quota_left is None or reply.rate_limit is None
            else {"x0": reply.quota_left, "x1": reply.rate_limit}
        )
        return AttemptResult(
            outcome, final=outcome is Outcome.OK, retry_after_ms=reply.retry_after_ms, load_report=report
        )


class ServiceRegistry:
    """The directory: what is true, and each change with its time."""

    def __init__(self, pushes_changes: bool = False) -> None:
        """Empty; `pushed`: what changes is sent to an agent beside each sender, and nobody asks."""
        self.endpoints = dict[str, ListedEndpoint]()
        self.pushes_changes = pushes_changes
        self.revision = 0
        self.unavailable_until = float("-inf")
        self._subscribers = dict[SimulatedEndpointSource, None]()

    def publish(self, endpoint: ListedEndpoint) -> None:
        """An endpoint is added, drains or goes."""
        self.revision += 1
        if endpoint.state is EndpointLifecycle.REMOVED:
            self.endpoints.pop(endpoint.uid, None)
        else:
            self.endpoints[endpoint.uid] = endpoint
        for follower in self._subscribers:
            follower.on_change(self.revision, endpoint)

    def subscribe(self, subscriber: SimulatedEndpointSource) -> EndpointListUpdate:
        """From now on it hears of changes; the whole list as it is."""
        self._subscribers[subscriber] = None
        return EndpointListUpdate(self.revision, True, tuple(self.endpoints.values()))

    def unsubscribe(self, subscriber: SimulatedEndpointSource) -> None:
        """It hears no more."""
        self._subscribers.pop(subscriber, None)


class SimulatedEndpointSource:
    """The list as one sender is told of it: each change late by its own time."""

    def __init__(
        self,
        registry: ServiceRegistry,
        propagation_delay_ms: Callable[[], float],
        sender: int,
        emit: Callable[[Event], None],
    ) -> None:
        """`notice_ms` is drawn for each change."""
        self._registry = registry
        self._propagation_delay_ms = propagation_delay_ms
        self._sender = sender
        self._emit = emit
        self._queue: asyncio.Queue[EndpointListUpdate | None] = asyncio.Queue()
        self._last_delivery_s = 0.0

    def on_change(self, revision: int, endpoint: ListedEndpoint) -> None:
        """Passed on later, in the order of the changes."""
        loop = asyncio.get_running_loop()
        sent = max(
            loop.time(), self._registry.unavailable_until / 1000.0
        )  # what changes meanwhile is pushed later
        self._last_delivery_s = max(self._last_delivery_s, sent + self._propagation_delay_ms() / 1000.0)
        loop.call_at(
            self._last_delivery_s, self._queue.put_nowait, EndpointListUpdate(revision, False, (endpoint,))
        )

    def disconnect(self) -> None:
        """The directory is away: following it ends with an error; what was pushed stays."""
        if not self._registry.pushes_changes:
            self._queue.put_nowait(None)

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """The whole list, then every change."""
        now = asyncio.get_running_loop().time() * 1000.0
        if now < self._registry.unavailable_until:
            if not self._registry.pushes_changes:
                raise DiscoveryError("the directory is away")
            await asyncio.sleep((self._registry.unavailable_until - now) / 1000.0)
        self._queue = asyncio.Queue()
        whole = self._registry.subscribe(self)
        try:
            self._emit_listed(whole)
            yield whole
            while (update := await self._queue.get()) is not None:
                self._emit_listed(update)
                yield update
            raise DiscoveryError("the directory went away")
        finally:
            self._registry.unsubscribe(self)

    def _emit_listed(self, update: EndpointListUpdate) -> None:
        for machine in update.endpoints:
            self._emit(EndpointStateLearned(self._sender, machine.uid, machine.state.value))


class SimulatedNotifier:
    """Takes ends that are told later, at once."""

    def __init__(
        self, sender: int, emit: Callable[[Event], None], on_nack: Callable[[str, float], None]
    ) -> None:
        """`back` hears of what is handed back."""
        self._sender = sender
        self._emit = emit
        self._on_nack = on_nack

    async def notify(self, notification: StatusNotification) -> None:
        """The platform has it."""
        how = "refused" if notification.requeue else "failed"
        self._emit(FinalAnswerGiven(notification.message_id, self._sender, how, notification.retry_after_ms))
        if notification.requeue:
            self._on_nack(notification.message_id, notification.retry_after_ms)
