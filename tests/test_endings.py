"""The instants in which an attempt ends: the race is forced by a hook at the protocol, on both event loops.

A hook stands between the transport and the protocol of the attempt's connection and acts in that very turn; the
endpoint is a bare socket that does what the test says and nothing by itself.
"""

from __future__ import annotations

import asyncio
import fcntl
import gc
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
        self.transport = BatchTransport(self.pool, self.telemetry)
        self.before, self.limits, self.client_sockets = (
            dict[str, Hook](),
            list[asyncio.Timeout](),
            list[socket.socket](),
        )
        self.seen = {name: asyncio.Event() for name in ("pause_writing", "resume_writing", "data_received")}
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def hooked(factory: Callable[[], Any], *args: Any) -> Any:
            return await connect(lambda: self._hook(factory()), *args)

        monkeypatch.setattr(loop, "create_connection", hooked)
        for name in ("timeout", "timeout_at"):
            monkeypatch.setattr(asyncio, name, self._recording(getattr(asyncio, name)))

    def _recording(
        self, make: Callable[[float | None], asyncio.Timeout]
    ) -> Callable[[float | None], asyncio.Timeout]:
        def recorded(when: float | None) -> asyncio.Timeout:
            self.limits.append(made := make(when))
            return made

        return recorded

    def _hook(self, protocol: Any) -> Any:
        def hook(name: str) -> None:
            real = getattr(protocol, name)

            def method(*args: Any) -> Any:
                if name == "connection_made":
                    self.client_sockets.append(args[0].get_extra_info("socket"))
                    self.client_sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                if act := self.before.pop(name, None):
                    act()
                if name in self.seen:
                    self.seen[name].set()
                return real(*args)

            setattr(protocol, name, method)

        for name in ("connection_made", *self.seen):
            hook(name)
        return protocol

    def attempt(self, size: int = 4, address: str = "", key: str | None = None, **more: Any) -> OpenAttempt:
        begin, batch_call = more.get("begin", lambda *_: True), more.get("batch_call")
        message = Message(more.get("id_", "m1"), "unsafe", 1, 0.0, b"x" * size, idempotency_key=key)
        made = Attempt(message, "node", address or self.address, more.get("ms", 60_000.0), begin, batch_call)
        return asyncio.create_task(self.transport.send(made))

    def accept(self) -> socket.socket:
        peer = self.server.accept()[0]
        peer.setblocking(False)
        return peer

    async def request(self, peer: socket.socket, least_body_bytes: int) -> bytes:
        """Read the request, whose body has `least_body_bytes` bytes at least."""
        loop, received = asyncio.get_running_loop(), b""
        while len(received.partition(b"\r\n\r\n")[2]) < least_body_bytes:
            received += (part := await loop.sock_recv(peer, 65536))
            assert part, received[:200]
        return received

    def end(self, end_by: str, *tasks: OpenAttempt) -> Hook:
        """Return a hook that cancels the attempts, or lets a time-out expire now."""
        if end_by == "cancel":
            return lambda: [task.cancel() for task in tasks]
        return lambda: self.limits[-1 if end_by == "connect" else 0].reschedule(
            asyncio.get_running_loop().time()
        )


Scenario = Callable[[Crossing], Coroutine[Any, Any, None]]
RunCrossing = Callable[[Scenario], None]


@pytest.fixture(params=LOOPS)
def run_crossing(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> RunCrossing:
    def run(scenario: Scenario) -> None:
        async def go() -> None:
            with monkeypatch.context() as patch:
                crossing = Crossing(patch)
                await asyncio.wait_for(scenario(crossing), 20.0)
                assert crossing.pool.open_count == 0 or crossing.pool._idle, "nothing is left open"
            crossing.server.close()

        with asyncio.Runner(loop_factory=LOOPS[request.param]) as runner:
            runner.run(go())

    return run


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    peer.close()


def open_sockets() -> list[str]:
    """Return the sockets that this process has open."""
    found = list[str]()
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError):  # the listing's own
            found.append(os.readlink(f"/proc/self/fd/{name}"))
    return sorted(link for link in found if link.startswith("socket:"))


# Connecting --------------------------------------------------------------------------------------


@pytest.mark.parametrize(("end_by", "outcome"), [("cancel", "not sent"), ("connect", "unreachable")])
def test_connection_that_comes_up_as_its_attempt_ends_is_closed(
    run_crossing: RunCrossing, end_by: str, outcome: str
) -> None:
    async def scenario(crossing: Crossing) -> None:
        gc.collect()  # closes sockets that earlier tests left: they would go in between
        sockets_before = open_sockets()
        attempt = crossing.attempt()
        crossing.before["connection_made"] = crossing.end(end_by, attempt)
        assert (await attempt).outcome.value == outcome and crossing.pool.open_count == 0
        peer = crossing.accept()
        assert await asyncio.get_running_loop().sock_recv(peer, 1) == b""
        peer.close()
        assert open_sockets() == sockets_before

    run_crossing(scenario)


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
def test_fault_before_the_first_byte_is_unreachable_and_leaves_nothing_open(
    run_crossing: RunCrossing, name: str
) -> None:
    async def scenario(crossing: Crossing) -> None:
        assert (await crossing.attempt(**FAULTS[name])).outcome is Outcome.UNREACHABLE
        assert crossing.pool.open_count == 0 and crossing.telemetry.counters["endpoints.fault"] == 1

    run_crossing(scenario)


# Writing -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("end_by", "outcome", "member_count"),
    [("cancel", "cancelled", 1), ("time-out", "timed out", 1), ("cancel", "cancelled", 2)],
)
def test_attempt_that_ends_in_the_turn_of_its_last_byte_may_have_executed(
    run_crossing: RunCrossing, end_by: str, outcome: str, member_count: int
) -> None:
    async def scenario(crossing: Crossing) -> None:
        batch_call = BatchCall() if member_count > 1 else None
        attempts = [
            crossing.attempt(LARGE // member_count, id_=f"m{i}", batch_call=batch_call)
            for i in range(member_count)
        ]
        await crossing.seen["pause_writing"].wait()
        crossing.before["resume_writing"] = crossing.end(end_by, *attempts)
        await crossing.request(peer := crossing.accept(), LARGE)
        assert [(await attempt).outcome.value for attempt in attempts] == [outcome] * member_count
        peer.close()

    run_crossing(scenario)


def test_attempt_aborted_half_written_sends_nothing_more(run_crossing: RunCrossing) -> None:
    async def scenario(crossing: Crossing) -> None:
        attempt, received, discard = crossing.attempt(11_000), bytearray(), crossing.pool.discard
        await crossing.seen["pause_writing"].wait()
        peer, loop = crossing.accept(), asyncio.get_running_loop()

        def drain_then_discard(connection: Connection) -> None:
            # In this very turn the endpoint takes all that the kernel holds: there is room for the rest.
            while struct.unpack(
                "i", fcntl.ioctl(crossing.client_sockets[0].fileno(), termios.TIOCOUTQ, b"\0" * 4)
            )[0]:
                with suppress(BlockingIOError):
                    received.extend(peer.recv(65536))
            discard(connection)

        crossing.pool.discard = drain_then_discard  # type: ignore[method-assign]
        attempt.cancel()
        assert (await attempt).outcome is Outcome.NOT_SENT
        while part := await loop.sock_recv(peer, 65536):
            received += part
        peer.close()
        assert 0 < len(received.partition(b"\r\n\r\n")[2]) < 11_000, "the endpoint would have begun it"

    run_crossing(scenario)


@pytest.mark.parametrize(("size", "outcome"), [(4, "broken"), (LARGE, "unreachable")])
def test_reset_is_ambiguous_only_after_the_last_byte(
    run_crossing: RunCrossing, size: int, outcome: str
) -> None:
    async def scenario(crossing: Crossing) -> None:
        attempt = crossing.attempt(size)
        if size == LARGE:
            await crossing.seen["pause_writing"].wait()
            peer = crossing.accept()
        else:
            while not crossing.client_sockets:
                await asyncio.sleep(0)
            await crossing.request(peer := crossing.accept(), size)
        reset(peer)
        assert (await attempt).outcome.value == outcome

    run_crossing(scenario)


# The response ------------------------------------------------------------------------------------

RETRY_AFTER_RESPONSE = b"HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nContent-Length: 2\r\n\r\n"
RESPONSES = {
    # What is received in the turn in which the attempt ends, and its result (None: as without it).
    "200": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ("ok", True, 0.0)),
    "its first line": (b"HTTP/1.1 200 OK\r\n", ("ok", True, 0.0)),
    "half of its first line": (b"HTTP/1.1 200 ", None),
    "a wait": (RETRY_AFTER_RESPONSE + b"{}", ("refused", False, 250.0)),
    "a wait cut short": (RETRY_AFTER_RESPONSE, ("broken", False, 0.0)),
    "a wait ended by its connection": (
        RETRY_AFTER_RESPONSE.replace(b"Content-Length: 2\r\n", b""),
        ("broken", False, 0.0),
    ),
    "over": (b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", ("not sent", True, 0.0)),
    "an error": (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ("error", False, 0.0)),
}


@pytest.mark.parametrize("end_by", ["cancel", "time-out"])
@pytest.mark.parametrize("name", RESPONSES)
def test_received_response_counts_before_a_timeout_or_cancellation(
    run_crossing: RunCrossing, name: str, end_by: str
) -> None:
    data, expected = RESPONSES[name]
    ended = ("cancelled" if end_by == "cancel" else "timed out", False, 0.0)

    async def scenario(crossing: Crossing) -> None:
        attempt = crossing.attempt()
        while not crossing.client_sockets:
            await asyncio.sleep(0)
        await crossing.request(peer := crossing.accept(), 4)
        crossing.before["data_received"] = crossing.end(end_by, attempt)
        peer.send(data)
        result = await attempt
        assert (result.outcome.value, result.final, result.retry_after_ms) == (expected or ended)
        assert crossing.pool.open_count == 0
        peer.close()

    run_crossing(scenario)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (RETRY_AFTER_RESPONSE + b"{}", ("refused", False, 250.0)),
        (RESPONSES["200"][0], ("ok", True, 0.0)),
        (RESPONSES["an error"][0], ("unreachable", False, 0.0)),
        (b"HTTP/1.1 2", ("unreachable", False, 0.0)),
    ],
)
def test_response_before_the_last_byte_counts_before_the_reset_behind_it(
    run_crossing: RunCrossing, data: bytes, expected: tuple[str, bool, float]
) -> None:
    async def scenario(crossing: Crossing) -> None:
        attempt = crossing.attempt(LARGE)
        await crossing.seen["pause_writing"].wait()
        (peer := crossing.accept()).send(data)
        await crossing.seen["data_received"].wait()
        reset(peer)
        result = await attempt
        assert (result.outcome.value, result.final, result.retry_after_ms) == expected

    run_crossing(scenario)


BATCH_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nm0 delivered\r\nm1 refused\r\n" % 26


@pytest.mark.parametrize(("end_by", "expected"), [("all", ["ok", "refused"]), ("cut", ["cancelled"] * 2)])
def test_received_response_of_a_batch_counts_before_a_cancellation(
    run_crossing: RunCrossing, end_by: str, expected: list[str]
) -> None:
    async def scenario(crossing: Crossing) -> None:
        batch_call = BatchCall()
        attempts = [crossing.attempt(id_=f"m{i}", batch_call=batch_call) for i in range(2)]
        while not crossing.client_sockets:
            await asyncio.sleep(0)
        await crossing.request(peer := crossing.accept(), 20)
        crossing.before["data_received"] = crossing.end("cancel", *attempts)
        peer.send(BATCH_RESPONSE[: -1 if end_by == "cut" else None])
        assert [(await attempt).outcome.value for attempt in attempts] == expected
        peer.close()

    run_crossing(scenario)


def test_member_that_times_out_as_the_response_is_received_gets_its_outcome(
    run_crossing: RunCrossing,
) -> None:
    async def scenario(crossing: Crossing) -> None:
        loop, batch_call = asyncio.get_running_loop(), BatchCall()
        attempts = [crossing.attempt(id_=f"m{i}", batch_call=batch_call) for i in range(2)]
        while not crossing.client_sockets:
            await asyncio.sleep(0)
        await crossing.request(peer := crossing.accept(), 20)
        (batch_request,) = {batch_call.add_attempt.__self__} if batch_call.add_attempt else set()  # type: ignore[attr-defined]
        crossing.before["data_received"] = lambda: loop.call_soon(
            batch_request._abandon, "m0", Outcome.TIMED_OUT
        )
        peer.send(BATCH_RESPONSE)
        assert [(await attempt).outcome.value for attempt in attempts] == ["ok", "refused"]
        peer.close()

    run_crossing(scenario)
