"""A discovery service that handles calls in turn, and senders that follow it, on a driven clock.

A sender here is the real part that follows the list: `Policy`, `Desk`, `Core.follow` and `HttpListSource`.  Only the
connection is a stand-in, and what carries messages.  Runs on `loop.run` and on any other loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, NoReturn, cast

import orjson

from kestreltrack.decision import Policy, api
from kestreltrack.http1 import Broken
from kestreltrack.machinelist import MachineList
from kestreltrack.machinelist.http import HttpListSource
from kestreltrack.ports import ListSource, ListUpdate
from kestreltrack.sender.core import Core
from kestreltrack.sender.desk import Desk
from kestreltrack.telemetry import Telemetry

CONTINUES_S = (
    0.2  # a watch goes on where the next call comes within so long of an answer: no new call to serve
)
PATIENCE_S = 2.0  # a call that would have to wait longer for its turn is answered 503 then
TRIP_S = 0.0005  # there, and back
ROW = {"uid": "n1", "endpoint": "127.0.0.1:1", "pod_group": 1, "model": "plain", "state": "up"}


class Quiet(Telemetry):
    """Counts, and writes nothing."""

    def log(self, event: str, **fields: Any) -> None:
        """Nobody reads it."""


async def _never() -> NoReturn:
    await asyncio.Event().wait()
    raise AssertionError("never set")


class Discovery:
    """What it does with a call is set in `state`: "up", "503", "refused", "reset" or "silent"."""

    def __init__(self, calls_a_second: float = 1000.0) -> None:
        """It can serve so many calls a second; calls that go on with a watch are not counted against that."""
        self.cost_s, self.rev, self.state = 1.0 / calls_a_second, 1, "up"
        self.calls, self.served = (
            list[float](),
            list[float](),
        )  # when they came, all; those that took their turn
        self._free_at, self._changed = 0.0, asyncio.Event()
        self._held = dict[
            asyncio.Future[None], tuple[Link, float]
        ]()  # open watches: whose, and when their wait ends

    def change(self) -> None:
        """There is something newer; watches are answered."""
        self.rev += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def become(self, state: str) -> dict[Link, float]:
        """Go, or return.  Watches that are open end with it, or hear nothing any more where it falls silent."""
        waits = self.silence() if state == "silent" else {}
        self.state = state
        self._wake()
        return waits

    def silence(self) -> dict[Link, float]:
        """Open watches hear nothing any more, others are served; returns when the wait of each would be over."""
        held, self._held = self._held, {}
        for silent in held:
            silent.set_result(None)
        return dict(held.values())

    async def exchange(self, link: Link, since: int, hold_s: float, goes_on: bool) -> tuple[int, bytes]:
        """One call: its status and body."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.calls.append(now)
        await asyncio.sleep(TRIP_S)
        if self.state == "up" and not goes_on:
            start = max(now, self._free_at)
            if start - now > PATIENCE_S:
                await asyncio.sleep(PATIENCE_S)
                return 503, b""
            self._free_at = start + self.cost_s
            self.served.append(start)
            await asyncio.sleep(max(0.0, self._free_at - loop.time()))
        if self.state == "503":
            return 503, b""
        await self._fail()
        until, silent = loop.time() + hold_s, loop.create_future()
        self._held[silent] = (link, until)
        try:
            while self.rev <= since and loop.time() < until - 1e-9:
                changed = asyncio.ensure_future(self._changed.wait())
                await asyncio.wait(
                    {changed, silent}, timeout=until - loop.time(), return_when="FIRST_COMPLETED"
                )
                changed.cancel()
                if silent.done():
                    await _never()
                await self._fail(watch=True)
        finally:
            self._held.pop(silent, None)
        await asyncio.sleep(TRIP_S)
        rows = [ROW] if self.rev > since else []
        return 200, orjson.dumps({"rev": self.rev, "all": since < 0, "targets": rows})

    async def _fail(self, watch: bool = False) -> None:
        if self.state == "silent":
            await _never()
        if self.state == "refused" and not watch:
            raise ConnectionRefusedError
        if self.state != "up":
            raise Broken("reset")


class Link:
    """Stands for a sender's connection to a discovery."""

    def __init__(self, discovery: Discovery) -> None:
        """It keeps when its last answer came."""
        self._discovery, self._answered, self._out = discovery, float("-inf"), set[asyncio.Timeout]()

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        """As `http1.Client.exchange`."""
        loop = asyncio.get_running_loop()
        query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
        goes_on = bool(query) and loop.time() - self._answered <= CONTINUES_S
        async with asyncio.timeout(timeout_s) as limit:
            self._out.add(limit)
            try:
                answer = await self._discovery.exchange(
                    self, int(query.get("from", -1)), int(query.get("hold_ms", 0)) / 1000.0, goes_on
                )
            finally:
                self._out.discard(limit)
        self._answered = loop.time()
        return answer

    def close(self) -> None:
        """What is out fails at once."""
        for limit in self._out:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())


class _Nothing:
    """Takes the place of a part that following the list only passes by."""

    held = machines = None

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **more: None


class Follower:
    """One sender that follows the list; `told`: each version with the time at which it came."""

    def __init__(
        self, settings: api.Settings, link: Link, seed: int = 1, source: ListSource | None = None
    ) -> None:
        """Nothing is asked before `start`."""
        loop, self.telemetry = asyncio.get_running_loop(), Quiet()
        self.policy, self.told = Policy(settings, seed), list[tuple[float, int]]()
        self.desk = Desk(self.policy, lambda: loop.time() * 1000.0, self.telemetry)
        nothing = cast(Any, _Nothing())
        self.core = Core(self.desk, settings, nothing, MachineList(), nothing, nothing, self.telemetry)
        pushed_ms = 0.0 if settings.must_ask else settings.safety.drain_grace_ms
        self.http = HttpListSource("127.0.0.1:1", self.telemetry, settings.relays, pushed_ms)
        self.link, self.http._client = link, cast(Any, link)
        self.source: ListSource = source or self.http
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Follow from now on, as a process does once it has recalled the list that it held."""
        self.desk.tell(api.TimerDue(0))
        if not self.core.settings.must_ask:
            self.core.ask()
        self.task = asyncio.create_task(self.core.follow(self))

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """What the source tells, kept with its time."""
        async for update in self.source.follow():
            yield update
            self.told.append((asyncio.get_running_loop().time(), update.rev))

    def heard(self, rev: int) -> float:
        """When it had that version."""
        return next((at for at, told in self.told if told >= rev), float("inf"))

    async def stop(self) -> None:
        """End what it does."""
        if self.task:
            self.task.cancel()
            await asyncio.wait({self.task})
