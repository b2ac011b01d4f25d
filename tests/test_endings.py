"""The instants in which an attempt ends: the crossing is forced by a hook at the port, on both loops.

A hook stands between the transport and the protocol of the attempt's connection and acts in that very turn; the
endpoint is a bare socket that does what the test says and nothing by itself.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import pytest
import uvloop

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.http1 import Connection
from kestreltrack.ports import Attempt, AttemptResult, BatchCall, Message
from kestreltrack.telemetry import Telemetry

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
LARGE = 60_000  # far more than the buffers below hold
RESET = struct.pack("ii", 1, 0)  # closing resets
Hook = Callable[[], object]
OpenAttempt = asyncio.Task[AttemptResult]


class Crossing:
    """An endpoint of one connection, a transport towards it, and hooks at the protocol's methods."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.server.bind(("127.0.0.1", 0))
        self.server.listen()
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.telemetry = Telemetry()
        self.pool = ConnectionPool(60.0, 5.0, 8, self.telemetry)
        self.nodes = BatchTransport(self.pool, self.telemetry)
        self.before, self.limits, self.own = dict[str, Hook](), list[asyncio.Timeout](), list[socket.socket]()
        self.seen = {name: asyncio.Event() for name in ("pause_writing", "resume_writing", "data_received")}
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def hooked(factory: Callable[[], Any], *args: Any) -> Any:
            return await connect(lambda: self._hook(factory()), *args)

        monkeypatch.setattr(loop, "create_connection", hooked)
        for name in ("timeout", "timeout_at"):
            monkeypatch.setattr(asyncio, name, self._noted(getattr(asyncio, name)))

    def _noted(
        self, make: Callable[[float | None], asyncio.Timeout]
    ) -> Callable[[float | None], asyncio.Timeout]:
        def limit(when: float | None) -> asyncio.Timeout:
            self.limits.append(made := make(when))
            return made

        return limit

    def _hook(self, protocol: Any) -> Any:
        def hook(name: str) -> None:
            real = getattr(protocol, name)

            def method(*args: Any) -> Any:
                if name == "connection_made":
                    self.own.append(args[0].get_extra_info("socket"))
                    self.own[-1].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                if act := self.before.pop(name, None):
                    act()
                if name in self.seen:
                    self.seen[name].set()
                return real(*args)

            setattr(protocol, name, method)

        for name in ("connection_made", *self.seen):
            hook(name)
        return protocol

    def claim(self, size: int = 4, address: str = "", key: str | None = None, **more: Any) -> OpenAttempt:
        begin, call = more.get("begin", lambda *_: True), more.get("call")
        message = Message(more.get("id_", "m1"), "unsafe", 1, 0.0, b"x" * size, idempotency_key=key)
        made = Attempt(message, "node", address or self.address, more.get("ms", 60_000.0), begin, call)
        return asyncio.create_task(self.nodes.send(made))

    def accept(self) -> socket.socket:
        peer = self.server.accept()[0]
        peer.setblocking(False)
        return peer

    async def request(self, peer: socket.socket, least: int) -> bytes:
        """Read the request, of which `least` bytes are the body."""
        loop, got = asyncio.get_running_loop(), b""
        while len(got.partition(b"\r\n\r\n")[2]) < least:
            got += (part := await loop.sock_recv(peer, 65536))
            assert part, got[:200]
        return got

    def end(self, how: str, *tasks: OpenAttempt) -> Hook:
        """Call off, or let the limit that was set last be over now."""
        if how == "cancel":
            return lambda: [task.cancel() for task in tasks]
        return lambda: self.limits[-1 if how == "connect" else 0].reschedule(
            asyncio.get_running_loop().time()
        )


Story = Callable[[Crossing], Coroutine[Any, Any, None]]
Cross = Callable[[Story], None]


@pytest.fixture(params=LOOPS)
def cross(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Cross:
    def run(story: Story) -> None:
        async def go() -> None:
            with monkeypatch.context() as patch:
                crossing = Crossing(patch)
                await asyncio.wait_for(story(crossing), 20.0)
                assert crossing.pool.open_count == 0 or crossing.pool._idle, "nothing is left open"
            crossing.server.close()

        with asyncio.Runner(loop_factory=LOOPS[request.param]) as runner:
            runner.run(go())

    return run


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    peer.close()


def sockets() -> list[str]:
    """Those that this process has open."""
    found = list[str]()
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError):  # the listing's own
            found.append(os.readlink(f"/proc/self/fd/{name}"))
    return sorted(link for link in found if link.startswith("socket:"))


# Connecting --------------------------------------------------------------------------------------


@pytest.mark.parametrize(("how", "outcome"), [("cancel", "not sent"), ("connect", "unreachable")])
def test_a_connection_that_comes_up_as_its_attempt_ends_is_closed(
    cross: Cross, how: str, outcome: str
) -> None:
    async def story(crossing: Crossing) -> None:
        had, claim = sockets(), crossing.claim()
        crossing.before["connection_made"] = crossing.end(how, claim)
        assert (await claim).outcome.value == outcome and crossing.pool.open_count == 0
        peer = crossing.accept()
        assert await asyncio.get_running_loop().sock_recv(peer, 1) == b""
        peer.close()
        assert sockets() == had

    cross(story)


def _refuse(*_: str) -> bool:
    raise KeyError("a fault")


FAULTS: dict[str, dict[str, Any]] = {
    "no address": {"address": "nowhere"},
    "a name that cannot be looked up": {"address": "\udcff" + "a" * 80 + ":1"},
    "a key that no header holds": {"key": "a\r\nb"},
    "a key in no code of the wire": {"key": "\u20ac"},
    "the journal": {"begin": _refuse},
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_before_the_first_byte_never_ran_and_leaves_nothing_open(cross: Cross, name: str) -> None:
    async def story(crossing: Crossing) -> None:
        assert (await crossing.claim(**FAULTS[name])).outcome is Outcome.UNREACHABLE
        assert crossing.pool.open_count == 0 and crossing.telemetry.counters["endpoints.fault"] == 1

    cross(story)


# Writing -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("how", "outcome", "many"),
    [("cancel", "cancelled", 1), ("time-out", "timed out", 1), ("cancel", "cancelled", 2)],
)
def test_an_end_in_the_turn_of_the_last_byte_may_have_run(
    cross: Cross, how: str, outcome: str, many: int
) -> None:
    async def story(crossing: Crossing) -> None:
        call = BatchCall() if many > 1 else None
        claims = [crossing.claim(LARGE // many, id_=f"m{i}", call=call) for i in range(many)]
        await crossing.seen["pause_writing"].wait()
        crossing.before["resume_writing"] = crossing.end(how, *claims)
        await crossing.request(peer := crossing.accept(), LARGE)
        assert [(await claim).outcome.value for claim in claims] == [outcome] * many
        peer.close()

    cross(story)


def test_nothing_more_goes_of_a_request_that_was_given_up_half_written(cross: Cross) -> None:
    async def story(crossing: Crossing) -> None:
        claim, got, drop = crossing.claim(11_000), bytearray(), crossing.pool.discard
        await crossing.seen["pause_writing"].wait()
        peer, loop = crossing.accept(), asyncio.get_running_loop()

        def drained(connection: Connection) -> None:
            # In this very turn the endpoint takes all that the kernel holds: there is room for the rest.
            while struct.unpack("i", fcntl.ioctl(crossing.own[0].fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]:
                with suppress(BlockingIOError):
                    got.extend(peer.recv(65536))
            drop(connection)

        crossing.pool.discard = drained  # type: ignore[method-assign]
        claim.cancel()
        assert (await claim).outcome is Outcome.NOT_SENT
        while part := await loop.sock_recv(peer, 65536):
            got += part
        peer.close()
        assert 0 < len(got.partition(b"\r\n\r\n")[2]) < 11_000, "the endpoint would have begun it"

    cross(story)


@pytest.mark.parametrize(("size", "outcome"), [(4, "broken"), (LARGE, "unreachable")])
def test_a_reset_may_have_run_only_behind_the_last_byte(cross: Cross, size: int, outcome: str) -> None:
    async def story(crossing: Crossing) -> None:
        claim = crossing.claim(size)
        if size == LARGE:
            await crossing.seen["pause_writing"].wait()
            peer = crossing.accept()
        else:
            while not crossing.own:
                await asyncio.sleep(0)
            await crossing.request(peer := crossing.accept(), size)
        reset(peer)
        assert (await claim).outcome.value == outcome

    cross(story)


# The answer --------------------------------------------------------------------------------------

WAIT = b"HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nContent-Length: 2\r\n\r\n"
ANSWERS = {
    # What has come in the turn in which the attempt ends, and what it comes to (None: as it would without).
    "200": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ("ok", True, 0.0)),
    "its first line": (b"HTTP/1.1 200 OK\r\n", ("ok", True, 0.0)),
    "half of its first line": (b"HTTP/1.1 200 ", None),
    "a wait": (WAIT + b"{}", ("refused", False, 250.0)),
    "a wait cut short": (WAIT, ("broken", False, 0.0)),
    "a wait ended by its connection": (WAIT.replace(b"Content-Length: 2\r\n", b""), ("broken", False, 0.0)),
    "over": (b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", ("not sent", True, 0.0)),
    "an error": (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ("error", False, 0.0)),
}


@pytest.mark.parametrize("how", ["cancel", "time-out"])
@pytest.mark.parametrize("name", ANSWERS)
def test_what_has_come_is_read_before_the_end_is_judged(cross: Cross, name: str, how: str) -> None:
    data, expected = ANSWERS[name]
    ended = ("cancelled" if how == "cancel" else "timed out", False, 0.0)

    async def story(crossing: Crossing) -> None:
        claim = crossing.claim()
        while not crossing.own:
            await asyncio.sleep(0)
        await crossing.request(peer := crossing.accept(), 4)
        crossing.before["data_received"] = crossing.end(how, claim)
        peer.send(data)
        result = await claim
        assert (result.outcome.value, result.final, result.retry_after_ms) == (expected or ended)
        assert crossing.pool.open_count == 0
        peer.close()

    cross(story)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (WAIT + b"{}", ("refused", False, 250.0)),
        (ANSWERS["200"][0], ("ok", True, 0.0)),
        (ANSWERS["an error"][0], ("unreachable", False, 0.0)),
        (b"HTTP/1.1 2", ("unreachable", False, 0.0)),
    ],
)
def test_an_answer_before_the_last_byte_outlives_the_reset_behind_it(
    cross: Cross, data: bytes, expected: tuple[str, bool, float]
) -> None:
    async def story(crossing: Crossing) -> None:
        claim = crossing.claim(LARGE)
        await crossing.seen["pause_writing"].wait()
        (peer := crossing.accept()).send(data)
        await crossing.seen["data_received"].wait()
        reset(peer)
        result = await claim
        assert (result.outcome.value, result.final, result.retry_after_ms) == expected

    cross(story)


MANY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nm0 delivered\r\nm1 refused\r\n" % 26


@pytest.mark.parametrize(("how", "heard"), [("all", ["ok", "refused"]), ("cut", ["cancelled"] * 2)])
def test_an_answer_for_many_is_read_before_the_end_is_judged(
    cross: Cross, how: str, heard: list[str]
) -> None:
    async def story(crossing: Crossing) -> None:
        call = BatchCall()
        claims = [crossing.claim(id_=f"m{i}", call=call) for i in range(2)]
        while not crossing.own:
            await asyncio.sleep(0)
        await crossing.request(peer := crossing.accept(), 20)
        crossing.before["data_received"] = crossing.end("cancel", *claims)
        peer.send(MANY[: -1 if how == "cut" else None])
        assert [(await claim).outcome.value for claim in claims] == heard
        peer.close()

    cross(story)


def test_one_of_many_whose_time_is_over_as_the_answer_comes_hears_it(cross: Cross) -> None:
    async def story(crossing: Crossing) -> None:
        loop, call = asyncio.get_running_loop(), BatchCall()
        claims = [crossing.claim(id_=f"m{i}", call=call) for i in range(2)]
        while not crossing.own:
            await asyncio.sleep(0)
        await crossing.request(peer := crossing.accept(), 20)
        (carrier,) = {call.add_attempt.__self__} if call.add_attempt else set()  # type: ignore[attr-defined]
        crossing.before["data_received"] = lambda: loop.call_soon(carrier._abandon, "m0", Outcome.TIMED_OUT)
        peer.send(MANY)
        assert [(await claim).outcome.value for claim in claims] == ["ok", "refused"]
        peer.close()

    cross(story)
