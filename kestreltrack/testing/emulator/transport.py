"""A `Transport` of a simulated sender, which sends attempts to simulated endpoints in virtual time.

It behaves at its port as the transport on sockets does, so that the sender's core takes the same decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from kestreltrack.decision import Outcome
from kestreltrack.invariants.events import AttemptAnswered, AttemptStarted, Event
from kestreltrack.ports import Attempt, AttemptResult
from kestreltrack.testing.emulator.calls import Reply, Request
from kestreltrack.testing.emulator.destination import SimulatedEndpoint
from kestreltrack.testing.emulator.random_streams import Sampler

OUTCOME_OF_STATUS = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REJECTED}

# All attempts of one decision start at the same instant; a minimal delay lets all of them join the call.
BATCH_GATHER_S = 1e-6


@dataclass(slots=True)
class IdleConnection:
    """An established connection that no call uses."""

    endpoint: SimulatedEndpoint
    idle_since: float
    """Time on the loop's clock, in milliseconds."""


@dataclass(slots=True, eq=False)
class BatchItem:
    """The attempt of one message in a call."""

    attempt: Attempt
    result: asyncio.Future[AttemptResult]
    abandoned_outcome: Outcome | None = None
    """The outcome if the call ends now; set once the attempt is cancelled or timed out."""
    sent_at: float = -1.0
    """The time on the loop's clock (s) at which its first byte was sent; negative before that."""


@dataclass(slots=True, eq=False)
class OutboundCall:
    """One call: the attempts of one decision to one endpoint, up to its batch size."""

    endpoint: str
    batched: bool = False
    """Other attempts of the same decision may join the call."""
    items: list[BatchItem] = field(default_factory=list)
    task: asyncio.Task[None] | None = None
    opened_connection: bool = False
    """The call has opened a new connection."""
    sealed: bool = False
    """No more attempts can join it."""

    def abandon(self, item: BatchItem, outcome: Outcome) -> None:
        """Cancel an attempt, or end it by its timeout; the call is cancelled with the last of its attempts."""
        item.abandoned_outcome = outcome
        if self.task and all(other.abandoned_outcome or other.result.done() for other in self.items):
            self.task.cancel()
        elif (item.sent_at < 0 or outcome is Outcome.TIMED_OUT) and not item.result.done():
            # An attempt that is cancelled after it was sent gets no result before the call ends: an earlier result
            # would allow a retry meanwhile.
            item.result.set_result(self.abandoned_result(item))

    @staticmethod
    def abandoned_result(item: BatchItem) -> AttemptResult:
        """Return the result of an attempt that has been abandoned."""
        outcome = item.abandoned_outcome or Outcome.CANCELLED
        if item.sent_at >= 0:
            return AttemptResult(outcome)
        return AttemptResult(Outcome.UNREACHABLE if outcome is Outcome.TIMED_OUT else Outcome.NOT_SENT)

    def complete(self, result: AttemptResult) -> None:
        """Set the result of the call for the attempts that have none yet."""
        for item in self.items:
            if not item.result.done():
                item.result.set_result(result)

    def finish(self, task: asyncio.Task[None]) -> None:
        """End the attempts that have no result when the call's task has ended."""
        for item in self.items:
            if not item.result.done():
                item.result.set_result(self.abandoned_result(item))


class SimulatedTransport:
    """The attempts and connections of one sender's process."""

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
        """Create a transport without connections.

        `find_endpoint` finds an endpoint by its identifier, `request_for` returns the request of a message by its
        identifier, `one_way_delay_ms` the delay to a destination, to which `jitter` adds a fraction for each call.
        """
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
        # Dicts iterate in insertion order; the order of a set would differ between runs.
        self._active_tasks = dict[asyncio.Task[object], None]()
        self._open_connections = dict[SimulatedEndpoint, int]()

    def max_batch_size(self, uid: str) -> int:
        """Return the maximum number of messages in a call to an endpoint."""
        endpoint = self._find_endpoint(uid)
        return endpoint.destination.max_batch_size if endpoint else 1

    def kill(self) -> None:
        """End the process: its attempts are cancelled and its connections closed."""
        for task in list(self._active_tasks):
            task.cancel()
        for endpoint, count in self._open_connections.items():
            for _ in range(count):
                endpoint.disconnect()
        self._open_connections.clear()
        self.idle_connections.clear()

    # Attempts --------------------------------------------------------------------------------------

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Make one attempt, from its connection to its result."""
        task = asyncio.current_task()
        assert task is not None
        self._active_tasks[task] = None
        try:
            return await self._send(attempt)
        finally:
            self._active_tasks.pop(task, None)

    async def _send(self, attempt: Attempt) -> AttemptResult:
        batch = attempt.batch_call
        if batch is None:
            return await self._join(OutboundCall(attempt.endpoint), attempt)
        if batch.add_attempt is None:
            batch.add_attempt = partial(self._join, OutboundCall(attempt.endpoint, batched=True))
        return await batch.add_attempt(attempt)

    async def _join(self, call: OutboundCall, attempt: Attempt) -> AttemptResult:
        """Add an attempt to a call, or to a new one where it is sealed, and return its result."""
        if call.sealed:
            call = OutboundCall(attempt.endpoint)
        item = BatchItem(attempt, asyncio.get_running_loop().create_future())
        call.items.append(item)
        if call.task is None:
            call.task = asyncio.create_task(self._deliver(call, attempt.message.dest))
            call.task.add_done_callback(call.finish)
        result = await self._wait_for_result(call, item)
        if item.sent_at >= 0:
            self._report_answer(call, item, result)
        return result

    async def _wait_for_result(self, call: OutboundCall, item: BatchItem) -> AttemptResult:
        """Wait for a result; a cancellation or the timeout abandons the attempt."""
        timer = asyncio.get_running_loop().call_later(
            item.attempt.timeout_ms / 1000.0, call.abandon, item, Outcome.TIMED_OUT
        )
        while not item.result.done():
            try:
                await asyncio.wait({item.result})
            except asyncio.CancelledError:
                # The `Transport` port reports a cancellation as a result, not as an exception.
                call.abandon(item, Outcome.CANCELLED)
        timer.cancel()
        return item.result.result()

    def _report_answer(self, call: OutboundCall, item: BatchItem, result: AttemptResult) -> None:
        attempt = item.attempt
        endpoint = self._find_endpoint(attempt.endpoint)
        first_of_call = item is call.items[0]
        self._emit(
            AttemptAnswered(
                attempt.message.id,
                self.sender,
                attempt.message.dest,
                attempt.endpoint,
                result.outcome.value,
                result.retry_after_ms,
                call.opened_connection and first_of_call,
                (asyncio.get_running_loop().time() - item.sent_at) * 1000.0,
                first_of_call,
                endpoint.zone_cost if endpoint and result.outcome.may_have_executed() else 0.0,
            )
        )

    # Calls -----------------------------------------------------------------------------------------

    async def _deliver(self, call: OutboundCall, dest: int) -> None:
        """Make a call for all its attempts, from its connection to its reply."""
        if call.batched:
            await asyncio.sleep(BATCH_GATHER_S)
        call.sealed = True
        endpoint = self._find_endpoint(call.endpoint)
        delay_s = self._one_way_delay_ms(dest) * (1.0 + self._jitter()) / 1000.0
        if endpoint is None:
            await asyncio.sleep(delay_s)
            call.complete(AttemptResult(Outcome.UNREACHABLE))
            return
        idle = self._take_idle(call.endpoint, asyncio.get_running_loop().time() * 1000.0)
        if idle is None and not await self._open_connection(endpoint, delay_s):
            call.complete(AttemptResult(Outcome.UNREACHABLE))
            return
        call.opened_connection = idle is None
        call.items = [item for item in call.items if self._begin(item)]
        if not call.items:
            self._add_idle(call.endpoint, endpoint)
            return
        reply = await self._exchange(call, endpoint, dest, delay_s)
        if reply.status == "reset":
            self._close(endpoint)
            call.complete(AttemptResult(Outcome.CONNECTION_BROKEN, stale_connection=idle is not None))
        else:
            self._add_idle(call.endpoint, endpoint)
            call.complete(self._result(reply))

    @staticmethod
    def _begin(item: BatchItem) -> bool:
        """Return whether a message is still to be sent, once the connection is established."""
        if item.result.done():
            return False
        if not item.attempt.begin():
            item.result.set_result(AttemptResult(Outcome.NOT_SENT))
            return False
        return True

    async def _exchange(
        self, call: OutboundCall, endpoint: SimulatedEndpoint, dest: int, delay_s: float
    ) -> Reply:
        """Send the call and wait for its reply; from the first byte on, its messages may be executed."""
        loop = asyncio.get_running_loop()
        self.in_flight[dest] = self.in_flight.get(dest, 0) + 1
        for item in call.items:
            self._start_attempt(call, item, endpoint, dest)
        answer: asyncio.Future[Reply] = loop.create_future()

        def receive(reply: Reply) -> None:
            if not answer.done():
                answer.set_result(reply)

        def on_reply(reply: Reply) -> None:
            loop.call_later(delay_s, receive, reply)

        abandon_callbacks = list[Callable[[], None]]()
        first, *others = [self._request_for(item.attempt.message.id) for item in call.items]

        def arrive() -> None:
            abandon_callbacks.append(endpoint.call(first, on_reply, *others))

        def abandon() -> None:
            for callback in abandon_callbacks:
                callback()

        loop.call_later(delay_s, arrive)
        try:
            return await answer
        except asyncio.CancelledError:
            # The endpoint sees the closed connection after the one-way delay, if the call has arrived by then.
            loop.call_later(delay_s, abandon)
            self._close(endpoint)
            raise
        finally:
            self.in_flight[dest] -= 1

    def _start_attempt(
        self, call: OutboundCall, item: BatchItem, endpoint: SimulatedEndpoint, dest: int
    ) -> None:
        message_id = item.attempt.message.id
        item.sent_at = asyncio.get_running_loop().time()
        number = self.attempt_counts.get(message_id, -1) + 1
        self.attempt_counts[message_id] = number
        self._emit(
            AttemptStarted(
                message_id,
                self.sender,
                dest,
                call.endpoint,
                number,
                self.in_flight[dest],
                self.is_unhealthy(dest),
                endpoint.zone,
            )
        )

    @staticmethod
    def _result(reply: Reply) -> AttemptResult:
        outcome = OUTCOME_OF_STATUS[reply.status]
        load_report = dict[str, float]()
        if reply.quota_left is not None and reply.rate_limit is not None:
            load_report = {"x0": reply.quota_left, "x1": reply.rate_limit}
        return AttemptResult(
            outcome,
            final=outcome is Outcome.OK,
            retry_after_ms=reply.retry_after_ms,
            load_report=load_report,
        )

    # Connections -----------------------------------------------------------------------------------

    async def _open_connection(self, endpoint: SimulatedEndpoint, delay_s: float) -> bool:
        """Open a connection, and return whether the endpoint has accepted it within the connect timeout."""
        duration_s = self._connect_timeout_ms / 1000.0
        if not endpoint.is_unresponsive():
            duration_s = min(duration_s, 2.0 * delay_s * self._handshake_rtts())
        await asyncio.sleep(duration_s)
        if not endpoint.connect():
            return False
        self._open_connections[endpoint] = self._open_connections.get(endpoint, 0) + 1
        return True

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an endpoint."""
        for idle in self.idle_connections.pop(uid, []):
            self._close(idle.endpoint)

    def _close(self, endpoint: SimulatedEndpoint) -> None:
        # Without an entry the process has ended meanwhile, and `kill` has closed its connections.
        if endpoint in self._open_connections:
            self._open_connections[endpoint] -= 1
            endpoint.disconnect()

    def _take_idle(self, uid: str, now: float) -> IdleConnection | None:
        """Take the most recently used connection; expired ones and those to removed endpoints are closed."""
        idle = self.idle_connections.get(uid, [])
        while idle:
            connection = idle.pop()
            if now - connection.idle_since < self._keepalive_ms and not connection.endpoint.removed:
                return connection
            self._close(connection.endpoint)
        return None

    def _add_idle(self, uid: str, endpoint: SimulatedEndpoint) -> None:
        if endpoint in self._open_connections:
            idle_since = asyncio.get_running_loop().time() * 1000.0
            self.idle_connections.setdefault(uid, []).append(IdleConnection(endpoint, idle_since))
