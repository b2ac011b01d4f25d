"""The sender's ports in simulated time: claims to partners, the machine list, notices.

`Wires` is a `Transport`, `Told` a `ListSource`, `Board` a `NoticeBoard`: the sender's core cannot tell them from
those on sockets, and goes through the same decisions, journal and rules.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from kestreltrack.decision.api import Lifecycle, Outcome
from kestreltrack.lab.emulator.partner import Endpoint, Reply, Request
from kestreltrack.lab.emulator.streams import Draws
from kestreltrack.ports import Claim, ClaimResult, ListUpdate, Machine, Notice, SourceFailed
from kestreltrack.rules.happened import Answered, Attempt, Ended, Event, Listed

OUTCOMES = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REFUSED}


@dataclass(slots=True)
class Idle:
    """A kept connection."""

    endpoint: Endpoint
    since: float


class Wires:
    """Claims of one sender's process."""

    def __init__(
        self, sender: int, find: Callable[[str], Endpoint | None], work: Callable[[str], Request],
        delay_ms: Callable[[int], float], jitter: Draws, rtts: Draws, keepalive_ms: float, connect_ms: float,
        tell: Callable[[Event], None],
    ) -> None:  # fmt: skip
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

    def unlink(self, uid: str) -> None:
        """Close the idle connections to an endpoint."""
        for kept in self.idle.pop(uid, []):
            self._close(kept.endpoint)

    def _opened(self, endpoint: Endpoint) -> None:
        self._held[endpoint] = self._held.get(endpoint, 0) + 1

    def _close(self, endpoint: Endpoint) -> None:
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
        loop = asyncio.get_running_loop()
        began = loop.time()
        endpoint = self._find(claim.node)
        way = self._delay(claim.message.dest) * (1.0 + self._jitter()) / 1000.0
        if endpoint is None:
            await asyncio.sleep(way)
            return ClaimResult(Outcome.UNREACHABLE)
        kept = self._take(claim.node, loop.time() * 1000.0)
        if kept is None:
            try:
                if not await self._connected(endpoint, way, min(claim.timeout_ms, self._connect) / 1000.0):
                    return ClaimResult(Outcome.UNREACHABLE)
            except asyncio.CancelledError:
                return ClaimResult(Outcome.NOT_SENT)
        left = claim.timeout_ms / 1000.0 - (loop.time() - began)
        if left <= 0 or not claim.begin():
            self._keep(claim.node, endpoint)
            return ClaimResult(Outcome.NOT_SENT)
        return await self._written(claim, endpoint, way, left, kept is None)

    async def _connected(self, endpoint: Endpoint, way: float, patience: float) -> bool:
        await asyncio.sleep(min(patience, 2.0 * way * self._rtts()))
        if not endpoint.connect():
            return False
        self._opened(endpoint)
        return True

    def _keep(self, uid: str, endpoint: Endpoint) -> None:
        self.idle.setdefault(uid, []).append(Idle(endpoint, asyncio.get_running_loop().time() * 1000.0))

    async def _written(
        self, claim: Claim, endpoint: Endpoint, way: float, left: float, new: bool
    ) -> ClaimResult:
        """The first byte has left: from here on it may run."""
        loop, message = asyncio.get_running_loop(), claim.message
        began, dest = loop.time(), message.dest
        number = self.tries[message.id] = self.tries.get(message.id, -1) + 1
        self.out[dest] = self.out.get(dest, 0) + 1
        self._tell(Attempt(message.id, self.sender, dest, claim.node, number, self.out[dest], self.sick(dest)))
        answer: asyncio.Future[Reply] = loop.create_future()

        def done(reply: Reply) -> None:
            loop.call_later(way, lambda: None if answer.done() else answer.set_result(reply))

        giving_up = list[Callable[[], None]]()
        request = self._work(message.id)
        loop.call_later(way, lambda: giving_up.append(endpoint.call(request, done)))
        try:
            async with asyncio.timeout(left):
                reply = await answer
        except (TimeoutError, asyncio.CancelledError) as bad:
            # The connection is closed; the partner hears of that a way later, if the call has reached it by then.
            loop.call_later(way, lambda: giving_up[0]() if giving_up else None)
            if endpoint in self._held:
                self._close(endpoint)
            outcome = Outcome.TIMED_OUT if isinstance(bad, TimeoutError) else Outcome.CANCELLED
            result = ClaimResult(outcome)
        else:
            self._keep(claim.node, endpoint)
            result = self._result(reply)
        self.out[dest] -= 1
        took = (loop.time() - began) * 1000.0
        word = result.outcome.value
        self._tell(Answered(message.id, self.sender, dest, claim.node, word, result.wait_ms, new, took))
        return result

    @staticmethod
    def _result(reply: Reply) -> ClaimResult:
        outcome = OUTCOMES[reply.status]
        report = {} if reply.left is None or reply.limit is None else {"x0": reply.left, "x1": reply.limit}
        return ClaimResult(outcome, over=outcome is Outcome.OK, wait_ms=reply.wait_ms, report=report)


class Registry:
    """The directory: what is true, and each change with its time."""

    def __init__(self) -> None:
        """Empty."""
        self.machines = dict[str, Machine]()
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
        self._last = max(self._last, loop.time() + self._notice() / 1000.0)
        loop.call_at(self._last, self._queue.put_nowait, ListUpdate(rev, False, (machine,)))

    def cut(self) -> None:
        """The directory is away: following it ends with an error."""
        self._queue.put_nowait(None)

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then every change."""
        now = asyncio.get_running_loop().time() * 1000.0
        if now < self._registry.away_until:
            raise SourceFailed("the directory is away")
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

    def __init__(self, sender: int, tell: Callable[[Event], None], back: Callable[[str, float], None]) -> None:
        """`back` hears of what is handed back."""
        self._sender, self._tell, self._back = sender, tell, back

    async def tell(self, notice: Notice) -> None:
        """The platform has it."""
        how = "refused" if notice.requeue else "failed"
        self._tell(Ended(notice.message_id, self._sender, how, notice.wait_ms))
        if notice.requeue:
            self._back(notice.message_id, notice.wait_ms)
