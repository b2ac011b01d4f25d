"""A discovery service that handles calls in turn, and senders that follow it, on a driven clock.

A sender here is the real part that follows the list: `Policy`, `Desk`, `Core.follow` and `HttpListSource`.  Only the
connection is a stand-in, and what carries messages.  Runs on `loop.run` and on any other loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, NoReturn, cast

import orjson

from kestreltrack.decision import Policy, Settings, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.http1 import ConnectionBrokenError
from kestreltrack.ports import EndpointListUpdate, EndpointSource
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.telemetry import Telemetry

WATCH_RENEWAL_S = (
    0.2  # a watch goes on where the next call comes within so long of an answer: no new call to serve
)
QUEUE_TIMEOUT_S = 2.0  # a call that would have to wait longer for its turn is answered 503 then
ONE_WAY_DELAY_S = 0.0005  # there, and back
ENDPOINT_ROW = {"uid": "n1", "endpoint": "127.0.0.1:1", "pod_group": 1, "model": "plain", "state": "up"}


class UnloggedTelemetry(Telemetry):
    """Counts, and writes nothing."""

    def log(self, event: str, **fields: Any) -> None:
        """Nobody reads it."""


async def _never() -> NoReturn:
    await asyncio.Event().wait()
    raise AssertionError("never set")


class DiscoveryServer:
    """What it does with a call is set in `state`: "up", "503", "refused", "reset" or "silent"."""

    def __init__(self, calls_per_s: float = 1000.0) -> None:
        """It can serve so many calls a second; calls that go on with a watch are not counted against that."""
        self.service_time_s = 1.0 / calls_per_s
        self.revision = 1
        self.state = "up"
        # when they came, all; those that took their turn
        self.call_times = list[float]()
        self.served_times = list[float]()
        self._free_at = 0.0
        self._changed = asyncio.Event()
        self._open_watches = dict[
            asyncio.Future[None], tuple[DiscoveryConnection, float]
        ]()  # open watches: whose, and when their wait ends

    def publish_change(self) -> None:
        """There is something newer; watches are answered."""
        self.revision += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def set_state(self, state: str) -> dict[DiscoveryConnection, float]:
        """Go, or return.  Watches that are open end with it, or hear nothing any more where it falls silent."""
        waits = self.silence_watches() if state == "silent" else {}
        self.state = state
        self._wake()
        return waits

    def silence_watches(self) -> dict[DiscoveryConnection, float]:
        """Open watches hear nothing any more, others are served; returns when the wait of each would be over."""
        held = self._open_watches
        self._open_watches = {}
        for silent in held:
            silent.set_result(None)
        return dict(held.values())

    async def exchange(
        self, connection: DiscoveryConnection, since_revision: int, max_wait_s: float, continues_watch: bool
    ) -> tuple[int, bytes]:
        """One call: its status and body."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.call_times.append(now)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if self.state == "up" and not continues_watch:
            start = max(now, self._free_at)
            if start - now > QUEUE_TIMEOUT_S:
                await asyncio.sleep(QUEUE_TIMEOUT_S)
                return 503, b""
            self._free_at = start + self.service_time_s
            self.served_times.append(start)
            await asyncio.sleep(max(0.0, self._free_at - loop.time()))
        if self.state == "503":
            return 503, b""
        await self._fail()
        until = loop.time() + max_wait_s
        silent = loop.create_future()
        self._open_watches[silent] = (connection, until)
        try:
            while self.revision <= since_revision and loop.time() < until - 1e-9:
                changed = asyncio.ensure_future(self._changed.wait())
                await asyncio.wait(
                    {changed, silent}, timeout=until - loop.time(), return_when="FIRST_COMPLETED"
                )
                changed.cancel()
                if silent.done():
                    await _never()
                await self._fail(watch=True)
        finally:
            self._open_watches.pop(silent, None)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        rows = [ENDPOINT_ROW] if self.revision > since_revision else []
        return 200, orjson.dumps({"rev": self.revision, "all": since_revision < 0, "targets": rows})

    async def _fail(self, watch: bool = False) -> None:
        if self.state == "silent":
            await _never()
        if self.state == "refused" and not watch:
            raise ConnectionRefusedError
        if self.state != "up":
            raise ConnectionBrokenError("reset")


class DiscoveryConnection:
    """Stands for a sender's connection to a discovery."""

    def __init__(self, discovery: DiscoveryServer) -> None:
        """It keeps when its last answer came."""
        self._discovery = discovery
        self._answered_at = float("-inf")
        self._pending_timeouts = set[asyncio.Timeout]()

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        """As `http1.Client.exchange`."""
        loop = asyncio.get_running_loop()
        query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
        goes_on = bool(query) and loop.time() - self._answered_at <= WATCH_RENEWAL_S
        async with asyncio.timeout(timeout_s) as limit:
            self._pending_timeouts.add(limit)
            try:
                answer = await self._discovery.exchange(
                    self, int(query.get("from", -1)), int(query.get("hold_ms", 0)) / 1000.0, goes_on
                )
            finally:
                self._pending_timeouts.discard(limit)
        self._answered_at = loop.time()
        return answer

    def close(self) -> None:
        """What is out fails at once."""
        for limit in self._pending_timeouts:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())


class _NullComponent:
    """Takes the place of a part that following the list only passes by."""

    outstanding = machines = None

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **more: None


class ListFollower:
    """One sender that follows the list; `told`: each version with the time at which it came."""

    def __init__(
        self,
        settings: Settings,
        connection: DiscoveryConnection,
        seed: int = 1,
        source: EndpointSource | None = None,
    ) -> None:
        """Nothing is asked before `start`."""
        loop = asyncio.get_running_loop()
        self.telemetry = UnloggedTelemetry()
        self.policy = Policy(settings, seed)
        self.received = list[tuple[float, int]]()
        self.dispatcher = Dispatcher(self.policy, lambda: loop.time() * 1000.0, self.telemetry)
        nothing = cast(Any, _NullComponent())
        self.core = Core(self.dispatcher, settings, nothing, EndpointList(), nothing, nothing, self.telemetry)
        pushed_ms = 0.0 if settings.must_poll else settings.safety.drain_grace_ms
        self.http_source = HttpEndpointSource("127.0.0.1:1", self.telemetry, settings.sender_count, pushed_ms)
        self.connection, self.http_source._client = connection, cast(Any, connection)
        self.source: EndpointSource = source or self.http_source
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Follow from now on, as a process does once it has recalled the list that it held."""
        self.dispatcher.notify(TimerExpired(0))
        if not self.core.settings.must_poll:
            self.core.poll_now()
        self.task = asyncio.create_task(self.core.follow_source(self))

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """What the source tells, kept with its time."""
        async for update in self.source.follow():
            yield update
            self.received.append((asyncio.get_running_loop().time(), update.revision))

    def received_at(self, revision: int) -> float:
        """When it had that version."""
        return next((at for at, told in self.received if told >= revision), float("inf"))

    async def stop(self) -> None:
        """End what it does."""
        if self.task:
            self.task.cancel()
            await asyncio.wait({self.task})
