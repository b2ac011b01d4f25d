"""The sender's ports in simulated time: claims to partners, the machine list, notices.

`Wires` is a `Transport`, `Told` a `ListSource`, `Board` a `NoticeBoard`: the sender's core cannot tell them from
those on sockets, and goes through the same decisions, journal and rules.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial

from kestreltrack.decision.api import Lifecycle, Outcome
from kestreltrack.lab.emulator.partner import Endpoint, Reply, Request
from kestreltrack.lab.emulator.streams import Draws
from kestreltrack.ports import Claim, ClaimResult, ListUpdate, Machine, Notice, SourceFailed
from kestreltrack.rules.happened import Answered, Attempt, Ended, Event, Listed

OUTCOMES = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REFUSED}


TOGETHER_S = 1e-6  # until all claims of one decision have come: they do at one instant


@dataclass(slots=True)
class Idle:
    """A kept connection."""

    endpoint: Endpoint
    since: float


@dataclass(slots=True, eq=False)
class Part:
    """One message's claim in a call."""

    claim: Claim
    result: asyncio.Future[ClaimResult]
    off: Outcome | None = None
    """Nobody waits for it any more, and this is its outcome if the call ends now."""
    written: float = -1.0
    """When its first byte left."""


@dataclass(slots=True, eq=False)
class Call:
    """What travels as one: the sends of one decision to one endpoint, up to its batch."""

    endpoint: str
    many: bool = False
    """Others may join it, at the instant of its first."""
    parts: list[Part] = field(default_factory=list)
    carried: asyncio.Task[None] | None = None
    new: bool = False
    """It had to open its connection."""
    gone: bool = False
    """Nothing more can join it."""

    def wait_no_more(self, part: Part, how: Outcome) -> None:
        """A claim is called off, or its time is over; the call is given up with the last one."""
        part.off = how
        if self.carried and all(p.off or p.result.done() for p in self.parts):
            self.carried.cancel()
        elif (part.written < 0 or how is Outcome.TIMED_OUT) and not part.result.done():
            # One that was called off could go again, so it hears nothing before the call has ended.
            part.result.set_result(self.ended(part))

    @staticmethod
    def ended(part: Part) -> ClaimResult:
        """What became of a part that nobody waits for."""
        how = part.off or Outcome.CANCELLED
        unsent = Outcome.UNREACHABLE if how is Outcome.TIMED_OUT else Outcome.NOT_SENT
        return ClaimResult(how if part.written >= 0 else unsent)

    def over(self, carried: asyncio.Task[None]) -> None:
        """Nothing carries it any more."""
        for part in self.parts:
            if not part.result.done():
                part.result.set_result(self.ended(part))


class Wires:
    """Claims of one sender's process."""

    def __init__(
        self,
        sender: int,
        find: Callable[[str], Endpoint | None],
        work: Callable[[str], Request],
        delay_ms: Callable[[int], float],
        jitter: Draws,
        rtts: Draws,
        keepalive_ms: float,
        connect_ms: float,
        tell: Callable[[Event], None],
    ) -> None:
        """`find` gives an endpoint by its uid, `work` what a message is to a partner, `delay_ms` a way to one."""
        self.sender, self._find, self._work, self._delay = sender, find, work, delay_ms
        self._jitter, self._rtts, self._keepalive, self._connect = jitter, rtts, keepalive_ms, connect_ms
        self._tell = tell
        self.idle = dict[str, list[Idle]]()
        self.out = dict[int, int]()
        self.sick: Callable[[int], bool] = lambda dest: False
        self.tries = dict[str, int]()
        self._busy = dict[asyncio.Task[object], None]()  # in order: a set's would change from run to run
        self._held = dict[Endpoint, int]()

    def batch(self, uid: str) -> int:
        """Messages in a call to an endpoint, at most."""
        endpoint = self._find(uid)
        return endpoint.partner.batch if endpoint else 1

    def unlink(self, uid: str) -> None:
        """Close the idle connections to an endpoint."""
        for kept in self.idle.pop(uid, []):
            self._close(kept.endpoint)

    def _opened(self, endpoint: Endpoint) -> None:
        self._held[endpoint] = self._held.get(endpoint, 0) + 1

    def _close(self, endpoint: Endpoint) -> None:
        if endpoint in self._held:  # else the process has ended meanwhile
            self._held[endpoint] -= 1
            endpoint.disconnect()

    def die(self) -> None:
        """The process ends: its connections do, and nobody waits for answers any more."""
        for task in list(self._busy):
            task.cancel()
        for endpoint, count in self._held.items():
            for _ in range(count):
                endpoint.disconnect()
        self._held.clear()
        self.idle.clear()

    def _take(self, uid: str, now: float) -> Idle | None:
        kept = self.idle.get(uid, [])
        while kept:
            found = kept.pop()
            if now - found.since < self._keepalive and not found.endpoint.gone:
                return found
            self._close(found.endpoint)
        return None

    async def claim(self, claim: Claim) -> ClaimResult:
        """One attempt, from its connection to its answer."""
        task = asyncio.current_task()
        assert task is not None
        self._busy[task] = None
        try:
            return await self._claim(claim)
        finally:
            self._busy.pop(task, None)

    async def _claim(self, claim: Claim) -> ClaimResult:
        if (shared := claim.call) is None:
            return await self._join(Call(claim.node), claim)
        if shared.join is None:
            shared.join = partial(self._join, Call(claim.node, many=True))
        return await shared.join(claim)

    async def _join(self, call: Call, claim: Claim) -> ClaimResult:
        loop, message = asyncio.get_running_loop(), claim.message
        if call.gone:
            call = Call(claim.node)
        part = Part(claim, loop.create_future())
        call.parts.append(part)
        if call.carried is None:
            call.carried = asyncio.create_task(self._carry(call, message.dest))
            call.carried.add_done_callback(call.over)
        timer = loop.call_later(claim.timeout_ms / 1000.0, call.wait_no_more, part, Outcome.TIMED_OUT)
        while not part.result.done():
            try:
                await asyncio.wait({part.result})
            except asyncio.CancelledError:
                call.wait_no_more(part, Outcome.CANCELLED)
        timer.cancel()
        result = part.result.result()
        if part.written >= 0:
            took, first = (loop.time() - part.written) * 1000.0, part is call.parts[0]
            endpoint = self._find(claim.node)
            fee = endpoint.fee if endpoint and result.outcome.may_have_run() else 0.0
            self._tell(
                Answered(
                    message.id,
                    self.sender,
                    message.dest,
                    claim.node,
                    result.outcome.value,
                    result.wait_ms,
                    call.new and first,
                    took,
                    first,
                    fee,
                )
            )
        return result

    async def _carry(self, call: Call, dest: int) -> None:
        """A call from its connection to its answer, for all its parts."""
        loop = asyncio.get_running_loop()
        if call.many:
            await asyncio.sleep(TOGETHER_S)
        call.gone = True
        endpoint = self._find(call.endpoint)
        way = self._delay(dest) * (1.0 + self._jitter()) / 1000.0
        if endpoint is None:
            await asyncio.sleep(way)
            self._end(call, ClaimResult(Outcome.UNREACHABLE))
            return
        kept = self._take(call.endpoint, loop.time() * 1000.0)
        if kept is None and not await self._connected(endpoint, way):
            self._end(call, ClaimResult(Outcome.UNREACHABLE))
            return
        call.new = kept is None
        call.parts = [part for part in call.parts if self._begins(part)]
        if not call.parts:
            self._keep(call.endpoint, endpoint)
            return
        reply = await self._written(call, endpoint, dest, way)
        if reply.status == "reset":
            self._close(endpoint)
            self._end(call, ClaimResult(Outcome.BROKEN, stale=kept is not None))
        else:
            self._keep(call.endpoint, endpoint)
            self._end(call, self._result(reply))

    @staticmethod
    def _begins(part: Part) -> bool:
        """Whether a message still travels with its call, once the connection is up."""
        if part.result.done():
            return False
        if not part.claim.begin():
            part.result.set_result(ClaimResult(Outcome.NOT_SENT))
            return False
        return True

    @staticmethod
    def _end(call: Call, result: ClaimResult) -> None:
        for part in call.parts:
            if not part.result.done():
                part.result.set_result(result)

    async def _connected(self, endpoint: Endpoint, way: float) -> bool:
        patience = self._connect / 1000.0
        await asyncio.sleep(patience if endpoint.silent() else min(patience, 2.0 * way * self._rtts()))
        if not endpoint.connect():
            return False
        self._opened(endpoint)
        return True

    def _keep(self, uid: str, endpoint: Endpoint) -> None:
        if endpoint in self._held:
            self.idle.setdefault(uid, []).append(Idle(endpoint, asyncio.get_running_loop().time() * 1000.0))

    async def _written(self, call: Call, endpoint: Endpoint, dest: int, way: float) -> Reply:
        """The first byte has left: from here on it may run."""
        loop = asyncio.get_running_loop()
        self.out[dest] = self.out.get(dest, 0) + 1
        for part in call.parts:
            id_, part.written = part.claim.message.id, loop.time()
            number = self.tries[id_] = self.tries.get(id_, -1) + 1
            sick, zone = self.sick(dest), endpoint.zone
            self._tell(Attempt(id_, self.sender, dest, call.endpoint, number, self.out[dest], sick, zone))
        answer: asyncio.Future[Reply] = loop.create_future()

        def done(reply: Reply) -> None:
            loop.call_later(way, lambda: None if answer.done() else answer.set_result(reply))

        giving_up = list[Callable[[], None]]()
        requests = [self._work(part.claim.message.id) for part in call.parts]
        loop.call_later(way, lambda: giving_up.append(endpoint.call(requests[0], done, *requests[1:])))
        try:
            return await answer
        except asyncio.CancelledError:
            # The connection is closed; the partner hears of that a way later, if the call has reached it by then.
            loop.call_later(way, lambda: giving_up[0]() if giving_up else None)
            self._close(endpoint)
            raise
        finally:
            self.out[dest] -= 1

    @staticmethod
    def _result(reply: Reply) -> ClaimResult:
        outcome = OUTCOMES[reply.status]
        report = {} if reply.left is None or reply.limit is None else {"x0": reply.left, "x1": reply.limit}
        return ClaimResult(outcome, over=outcome is Outcome.OK, wait_ms=reply.wait_ms, report=report)


class Registry:
    """The directory: what is true, and each change with its time."""

    def __init__(self, pushed: bool = False) -> None:
        """Empty; `pushed`: what changes is sent to an agent beside each sender, and nobody asks."""
        self.machines, self.pushed = dict[str, Machine](), pushed
        self.rev = 0
        self.away_until = float("-inf")
        self._followers = dict[Told, None]()

    def change(self, machine: Machine) -> None:
        """An endpoint is added, drains or goes."""
        self.rev += 1
        if machine.state is Lifecycle.REMOVED:
            self.machines.pop(machine.uid, None)
        else:
            self.machines[machine.uid] = machine
        for follower in self._followers:
            follower.changed(self.rev, machine)

    def follow(self, follower: Told) -> ListUpdate:
        """From now on it hears of changes; the whole list as it is."""
        self._followers[follower] = None
        return ListUpdate(self.rev, True, tuple(self.machines.values()))

    def leave(self, follower: Told) -> None:
        """It hears no more."""
        self._followers.pop(follower, None)


class Told:
    """The list as one sender is told of it: each change late by its own time."""

    def __init__(
        self, registry: Registry, notice_ms: Callable[[], float], sender: int, tell: Callable[[Event], None]
    ) -> None:
        """`notice_ms` is drawn for each change."""
        self._registry, self._notice, self._sender, self._tell = registry, notice_ms, sender, tell
        self._queue: asyncio.Queue[ListUpdate | None] = asyncio.Queue()
        self._last = 0.0

    def changed(self, rev: int, machine: Machine) -> None:
        """Passed on later, in the order of the changes."""
        loop = asyncio.get_running_loop()
        sent = max(loop.time(), self._registry.away_until / 1000.0)  # what changes meanwhile is pushed later
        self._last = max(self._last, sent + self._notice() / 1000.0)
        loop.call_at(self._last, self._queue.put_nowait, ListUpdate(rev, False, (machine,)))

    def cut(self) -> None:
        """The directory is away: following it ends with an error; what was pushed stays."""
        if not self._registry.pushed:
            self._queue.put_nowait(None)

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then every change."""
        now = asyncio.get_running_loop().time() * 1000.0
        if now < self._registry.away_until:
            if not self._registry.pushed:
                raise SourceFailed("the directory is away")
            await asyncio.sleep((self._registry.away_until - now) / 1000.0)
        self._queue = asyncio.Queue()
        whole = self._registry.follow(self)
        try:
            self._said(whole)
            yield whole
            while (update := await self._queue.get()) is not None:
                self._said(update)
                yield update
            raise SourceFailed("the directory went away")
        finally:
            self._registry.leave(self)

    def _said(self, update: ListUpdate) -> None:
        for machine in update.machines:
            self._tell(Listed(self._sender, machine.uid, machine.state.value))


class Board:
    """Takes ends that are told later, at once."""

    def __init__(
        self, sender: int, tell: Callable[[Event], None], back: Callable[[str, float], None]
    ) -> None:
        """`back` hears of what is handed back."""
        self._sender, self._tell, self._back = sender, tell, back

    async def tell(self, notice: Notice) -> None:
        """The platform has it."""
        how = "refused" if notice.requeue else "failed"
        self._tell(Ended(notice.message_id, self._sender, how, notice.wait_ms))
        if notice.requeue:
            self._back(notice.message_id, notice.wait_ms)
