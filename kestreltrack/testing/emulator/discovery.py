"""A simulated discovery service, which serves calls one at a time, and followers of its endpoint list.

A follower is the part of a sender that follows the endpoint list: `Policy`, `Dispatcher`, `Core.follow_source` and
`HttpEndpointSource`.  Only the connection and the components that deliver messages are replaced.  Both run on the
virtual-time loop and on any other event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, NoReturn, cast

import orjson

from kestreltrack.decision import Policy, Settings, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.http1 import BodyReceiver, ConnectionBrokenError, HttpResponse
from kestreltrack.ports import EndpointListUpdate, EndpointSource
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import pass_body

# A call that arrives within this time after the last answer continues a watch, and takes no service time.
WATCH_RENEWAL_S = 0.2

# A call that would have to queue for longer than this gets a 503 after this time.
QUEUE_TIMEOUT_S = 2.0

# Network delay in each direction.
ONE_WAY_DELAY_S = 0.0005

# Tolerance at the end of a long poll for rounding errors of the loop's clock.
CLOCK_TOLERANCE_S = 1e-9

ENDPOINT_ROW = {"uid": "n1", "endpoint": "127.0.0.1:1", "pod_group": 1, "model": "plain", "state": "up"}


class UnloggedTelemetry(Telemetry):
    """Telemetry that counts, and writes no log lines."""

    def log(self, event: str, **fields: Any) -> None:
        """Drop the line."""


async def _wait_forever() -> NoReturn:
    await asyncio.Event().wait()
    raise AssertionError("never set")


@dataclass(slots=True)
class _OpenWatch:
    """A long poll that waits for a change."""

    connection: DiscoveryConnection
    ends_at: float
    """The time on the loop's clock, in seconds."""


class DiscoveryServer:
    """The discovery service; its state is "up", "503", "refused", "reset" or "silent"."""

    def __init__(self, calls_per_s: float = 1000.0) -> None:
        """Create a service that serves `calls_per_s` calls a second, besides those that continue a watch."""
        self.service_time_s = 1.0 / calls_per_s
        self.revision = 1
        self.state = "up"
        self.call_times = list[float]()
        """The time of arrival of each call."""
        self.served_times = list[float]()
        """The time at which the service of each served call started."""
        self._free_at = 0.0
        self._changed = asyncio.Event()
        self._open_watches = dict[asyncio.Future[None], _OpenWatch]()
        """By the future that is set to leave the watch without an answer."""

    def publish_change(self) -> None:
        """Publish a new revision; open watches are answered."""
        self.revision += 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def set_state(self, state: str) -> dict[DiscoveryConnection, float]:
        """Enter a state; open watches break unless it is "up", and get no answer where it is "silent".

        Returns:
            For the state "silent", when each open watch would have ended; otherwise an empty dict.
        """
        silenced = self.silence_watches() if state == "silent" else {}
        self.state = state
        self._wake_watches()
        return silenced

    def silence_watches(self) -> dict[DiscoveryConnection, float]:
        """Leave the open watches without an answer, and return when each of them would have ended."""
        watches = self._open_watches
        self._open_watches = {}
        for silenced in watches:
            silenced.set_result(None)
        return {watch.connection: watch.ends_at for watch in watches.values()}

    async def exchange(
        self, connection: DiscoveryConnection, since_revision: int, max_wait_s: float, continues_watch: bool
    ) -> tuple[int, bytes]:
        """Serve a call, and return its status and body.

        Raises:
            ConnectionRefusedError: In the state "refused".
            ConnectionBrokenError: In the state "reset", or where the state is not "up" any more during a watch.
        """
        arrived_at = asyncio.get_running_loop().time()
        self.call_times.append(arrived_at)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if self.state == "up" and not continues_watch and not await self._wait_for_turn(arrived_at):
            return 503, b""
        if self.state == "503":
            return 503, b""
        await self._fail_unless_up()
        await self._wait_for_change(connection, since_revision, max_wait_s)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        rows = [ENDPOINT_ROW] if self.revision > since_revision else []
        return 200, orjson.dumps({"rev": self.revision, "all": since_revision < 0, "targets": rows})

    async def _wait_for_turn(self, arrived_at: float) -> bool:
        """Queue for service, and wait until it is done; return False after QUEUE_TIMEOUT_S in a longer queue."""
        starts_at = max(arrived_at, self._free_at)
        if starts_at - arrived_at > QUEUE_TIMEOUT_S:
            await asyncio.sleep(QUEUE_TIMEOUT_S)
            return False
        self._free_at = starts_at + self.service_time_s
        self.served_times.append(starts_at)
        await asyncio.sleep(max(0.0, self._free_at - asyncio.get_running_loop().time()))
        return True

    async def _wait_for_change(
        self, connection: DiscoveryConnection, since_revision: int, max_wait_s: float
    ) -> None:
        """Wait for a revision after `since_revision`, until the long poll is over."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + max_wait_s
        silenced: asyncio.Future[Any] = loop.create_future()
        self._open_watches[silenced] = _OpenWatch(connection, ends_at)
        try:
            while self.revision <= since_revision and loop.time() < ends_at - CLOCK_TOLERANCE_S:
                changed = asyncio.ensure_future(self._changed.wait())
                await asyncio.wait(
                    {changed, silenced}, timeout=ends_at - loop.time(), return_when="FIRST_COMPLETED"
                )
                changed.cancel()
                if silenced.done():
                    await _wait_forever()
                await self._fail_unless_up(connected=True)
        finally:
            self._open_watches.pop(silenced, None)

    async def _fail_unless_up(self, connected: bool = False) -> None:
        if self.state == "silent":
            await _wait_forever()
        if self.state == "refused" and not connected:
            raise ConnectionRefusedError
        if self.state != "up":
            raise ConnectionBrokenError("reset")


class DiscoveryConnection:
    """The connection of a follower to a discovery service, in place of an `http1.Client`."""

    def __init__(self, discovery: DiscoveryServer) -> None:
        """Create a connection on which nothing has been exchanged."""
        self._discovery = discovery
        self._answered_at = float("-inf")
        self._pending_timeouts = set[asyncio.Timeout]()

    async def exchange(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        receiver: BodyReceiver | None = None,
    ) -> HttpResponse:
        """Exchange a request and its response, as `http1.HttpClient.exchange`.

        Raises:
            TimeoutError: There is no answer within `timeout_s`, or the connection was closed.
        """
        loop = asyncio.get_running_loop()
        query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
        continues_watch = bool(query) and loop.time() - self._answered_at <= WATCH_RENEWAL_S
        since_revision = int(query.get("from", -1))
        max_wait_s = int(query.get("hold_ms", 0)) / 1000.0
        async with asyncio.timeout(timeout_s) as timeout:
            self._pending_timeouts.add(timeout)
            try:
                answer = await self._discovery.exchange(self, since_revision, max_wait_s, continues_watch)
            finally:
                self._pending_timeouts.discard(timeout)
        self._answered_at = loop.time()
        return pass_body(receiver, *answer)

    def close(self) -> None:
        """Close the connection; pending exchanges time out at once."""
        for timeout in self._pending_timeouts:
            if not timeout.expired():
                timeout.reschedule(asyncio.get_running_loop().time())


class _NullComponent:
    """Replaces a component of a sender that is not needed to follow the endpoint list."""

    outstanding = machines = None

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments, **keywords: None


class ListFollower:
    """The part of a sender that follows the endpoint list; `received` holds the time and revision of each update."""

    def __init__(
        self,
        settings: Settings,
        connection: DiscoveryConnection,
        seed: int = 1,
        source: EndpointSource | None = None,
    ) -> None:
        """Create a follower that sends no call before `start`; its source is an HTTP source by default."""
        loop = asyncio.get_running_loop()
        self.telemetry = UnloggedTelemetry()
        self.policy = Policy(settings, seed)
        self.received = list[tuple[float, int]]()
        self.dispatcher = Dispatcher(self.policy, lambda: loop.time() * 1000.0, self.telemetry)
        unused = cast(Any, _NullComponent())
        self.core = Core(self.dispatcher, settings, unused, EndpointList(), unused, unused, self.telemetry)
        push_delay_ms = 0.0 if settings.must_poll else settings.safety.drain_grace_ms
        self.http_source = HttpEndpointSource(
            "127.0.0.1:1", self.telemetry, settings.sender_count, push_delay_ms
        )
        self.http_source._client = cast(Any, connection)
        self.connection = connection
        self.source: EndpointSource = source or self.http_source
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to follow the list, as a sender does once it has loaded its cached list."""
        self.dispatcher.notify(TimerExpired(0))
        if not self.core.settings.must_poll:
            self.core.poll_now()
        self.task = asyncio.create_task(self.core.follow_source(self))

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the updates of the source, and record the time at which each was handled."""
        async for update in self.source.follow():
            yield update
            self.received.append((asyncio.get_running_loop().time(), update.revision))

    def received_at(self, revision: int) -> float:
        """Return the time (s) of the first update of at least a revision; infinity where there is none."""
        return next((at for at, received in self.received if received >= revision), float("inf"))

    async def stop(self) -> None:
        """Stop following the list."""
        if self.task:
            self.task.cancel()
            await asyncio.wait({self.task})
