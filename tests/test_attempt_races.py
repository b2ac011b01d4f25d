"""Races at the end of an attempt: its cancellation or timeout against the connection, the request and the response.

Each test forces its race, on asyncio and on uvloop.  A hook between the transport and the protocol of the attempt's
connection ends the attempt in the same iteration of the event loop in which the transport calls the protocol.  The
endpoint is a plain socket that the test reads and writes.
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

LOOP_FACTORIES = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
LARGE_BODY_BYTES = 60_000  # far more than the socket buffers hold
TIMEOUT_MS = 60_000.0  # no test reaches it
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a value of SO_LINGER
Hook = Callable[[], object]
AttemptTask = asyncio.Task[AttemptResult]


class RaceHarness:
    """A transport, the endpoint that it connects to, and hooks that run before methods of the protocol.

    Attributes:
        server: The socket on which the endpoint listens.
        hooks: By the name of a method of the protocol: runs once, right before the next call of the method.
        time_limits: The asyncio timeouts that were created, in order.
        client_sockets: The sockets of the connections that the transport opened.
        called: By the name of a method of the protocol: set when the method is called.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.server.bind(("127.0.0.1", 0))
        self.server.listen()
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.telemetry = Telemetry()
        self.pool = ConnectionPool(60.0, 5.0, 8, self.telemetry)
        self.transport = BatchTransport(self.pool, self.telemetry)
        self.hooks = dict[str, Hook]()
        self.time_limits = list[asyncio.Timeout]()
        self.client_sockets = list[socket.socket]()
        self.called = {name: asyncio.Event() for name in ("pause_writing", "resume_writing", "data_received")}
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def open_hooked_connection(factory: Callable[[], Any], *args: Any) -> Any:
            return await connect(lambda: self._add_hooks(factory()), *args)

        monkeypatch.setattr(loop, "create_connection", open_hooked_connection)
        for name in ("timeout", "timeout_at"):
            monkeypatch.setattr(asyncio, name, self._record_time_limits(getattr(asyncio, name)))

    def _record_time_limits(
        self, make: Callable[[float | None], asyncio.Timeout]
    ) -> Callable[[float | None], asyncio.Timeout]:
        def make_and_record(when: float | None) -> asyncio.Timeout:
            time_limit = make(when)
            self.time_limits.append(time_limit)
            return time_limit

        return make_and_record

    def _add_hooks(self, protocol: Any) -> Any:
        def replace_method(name: str) -> None:
            original = getattr(protocol, name)

            def method(*args: Any) -> Any:
                if name == "connection_made":
                    self.client_sockets.append(args[0].get_extra_info("socket"))
                    self.client_sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                if hook := self.hooks.pop(name, None):
                    hook()
                if name in self.called:
                    self.called[name].set()
                return original(*args)

            setattr(protocol, name, method)

        for name in ("connection_made", *self.called):
            replace_method(name)
        return protocol

    def start_attempt(
        self, body_bytes: int = 4, address: str = "", key: str | None = None, **options: Any
    ) -> AttemptTask:
        """Start an attempt to the endpoint; options are `message_id`, `begin` and `batch_call`."""
        begin = options.get("begin", lambda *_: True)
        batch_call = options.get("batch_call")
        message_id = options.get("message_id", "m1")
        message = Message(message_id, "unsafe", 1, 0.0, b"x" * body_bytes, idempotency_key=key)
        attempt = Attempt(message, "n1", address or self.address, TIMEOUT_MS, begin, batch_call)
        return asyncio.create_task(self.transport.send(attempt))

    def accept(self) -> socket.socket:
        """Return the endpoint's side of the next connection."""
        peer = self.server.accept()[0]
        peer.setblocking(False)
        return peer

    async def accept_request(self, min_body_bytes: int) -> socket.socket:
        """Accept a connection, read a request with a body of at least `min_body_bytes`, and return the connection."""
        loop = asyncio.get_running_loop()
        peer = self.accept()
        received = b""
        while len(received.partition(b"\r\n\r\n")[2]) < min_body_bytes:
            data = await loop.sock_recv(peer, 65536)
            assert data, received[:200]
            received += data
        return peer

    async def wait_for_connection(self) -> None:
        """Wait until the transport has opened a connection."""
        while not self.client_sockets:
            await asyncio.sleep(0)

    def make_end_hook(self, cause: str, *tasks: AttemptTask) -> Hook:
        """Return a hook that cancels the attempts, or lets the timeout of the attempt or of connecting expire now."""
        if cause == "cancel":
            return lambda: [task.cancel() for task in tasks]
        time_limit_index = -1 if cause == "connect timeout" else 0
        return lambda: self.time_limits[time_limit_index].reschedule(asyncio.get_running_loop().time())


Scenario = Callable[[RaceHarness], Coroutine[Any, Any, None]]
RunScenario = Callable[[Scenario], None]


@pytest.fixture(params=LOOP_FACTORIES)
def run_scenario(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> RunScenario:
    def run(scenario: Scenario) -> None:
        async def go() -> None:
            with monkeypatch.context() as patch:
                harness = RaceHarness(patch)
                await asyncio.wait_for(scenario(harness), 20.0)
                assert harness.pool.open_count == 0 or harness.pool._idle, "a busy connection was left open"
            harness.server.close()

        with asyncio.Runner(loop_factory=LOOP_FACTORIES[request.param]) as runner:
            runner.run(go())

    return run


def reset_connection(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()


def unsent_bytes(client_socket: socket.socket) -> int:
    """Return the number of bytes in the kernel's send buffer of a socket."""
    (count,) = struct.unpack("i", fcntl.ioctl(client_socket.fileno(), termios.TIOCOUTQ, b"\0" * 4))
    return int(count)


def open_sockets() -> list[str]:
    """Return the links in ``/proc`` of the sockets that this process has open."""
    links = list[str]()
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError):  # the descriptor of the listing itself is closed by now
            links.append(os.readlink(f"/proc/self/fd/{name}"))
    return sorted(link for link in links if link.startswith("socket:"))


# Connecting --------------------------------------------------------------------------------------


@pytest.mark.parametrize(("cause", "outcome"), [("cancel", "not sent"), ("connect timeout", "unreachable")])
def test_connection_that_comes_up_as_its_attempt_ends_is_closed(
    run_scenario: RunScenario, cause: str, outcome: str
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        gc.collect()  # closes sockets that earlier tests left open, which would otherwise vanish during this test
        sockets_before = open_sockets()
        attempt = harness.start_attempt()
        harness.hooks["connection_made"] = harness.make_end_hook(cause, attempt)
        assert (await attempt).outcome.value == outcome
        assert harness.pool.open_count == 0
        peer = harness.accept()
        assert await asyncio.get_running_loop().sock_recv(peer, 1) == b""
        peer.close()
        assert open_sockets() == sockets_before

    run_scenario(scenario)


def raise_fault(*_: str) -> bool:
    raise KeyError("a fault")


FAULTS: dict[str, dict[str, Any]] = {
    "an invalid address": {"address": "nowhere"},
    "a host name that cannot be encoded": {"address": "\udcff" + "a" * 80 + ":1"},
    "an idempotency key with a line break": {"key": "a\r\nb"},
    "an idempotency key that is not ASCII": {"key": "\u20ac"},
    "a fault of the journal": {"begin": raise_fault},
}


@pytest.mark.parametrize("name", FAULTS)
def test_fault_before_the_first_byte_is_unreachable_and_leaves_nothing_open(
    run_scenario: RunScenario, name: str
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        assert (await harness.start_attempt(**FAULTS[name])).outcome is Outcome.UNREACHABLE
        assert harness.pool.open_count == 0
        assert harness.telemetry.counters["endpoints.fault"] == 1

    run_scenario(scenario)


# Writing -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("cause", "outcome", "member_count"),
    [("cancel", "cancelled", 1), ("timeout", "timed out", 1), ("cancel", "cancelled", 2)],
)
def test_attempt_that_ends_in_the_turn_of_its_last_byte_may_have_executed(
    run_scenario: RunScenario, cause: str, outcome: str, member_count: int
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        batch_call = BatchCall() if member_count > 1 else None
        attempts = [
            harness.start_attempt(LARGE_BODY_BYTES // member_count, message_id=f"m{i}", batch_call=batch_call)
            for i in range(member_count)
        ]
        await harness.called["pause_writing"].wait()
        harness.hooks["resume_writing"] = harness.make_end_hook(cause, *attempts)
        peer = await harness.accept_request(LARGE_BODY_BYTES)
        assert [(await attempt).outcome.value for attempt in attempts] == [outcome] * member_count
        peer.close()

    run_scenario(scenario)


def test_attempt_aborted_half_written_sends_nothing_more(run_scenario: RunScenario) -> None:
    body_bytes = 11_000

    async def scenario(harness: RaceHarness) -> None:
        attempt = harness.start_attempt(body_bytes)
        received = bytearray()
        discard = harness.pool.discard
        await harness.called["pause_writing"].wait()
        peer = harness.accept()
        loop = asyncio.get_running_loop()

        def drain_then_discard(connection: Connection) -> None:
            # In this iteration of the event loop the endpoint empties the kernel's send buffer, so that the kernel
            # would accept the rest of the request.
            while unsent_bytes(harness.client_sockets[0]):
                with suppress(BlockingIOError):
                    received.extend(peer.recv(65536))
            discard(connection)

        harness.pool.discard = drain_then_discard  # type: ignore[method-assign]
        attempt.cancel()
        assert (await attempt).outcome is Outcome.NOT_SENT
        while data := await loop.sock_recv(peer, 65536):
            received += data
        peer.close()
        received_body = received.partition(b"\r\n\r\n")[2]
        assert 0 < len(received_body) < body_bytes, (
            "the endpoint received a complete request, or no part of its body"
        )

    run_scenario(scenario)


@pytest.mark.parametrize(("body_bytes", "outcome"), [(4, "broken"), (LARGE_BODY_BYTES, "unreachable")])
def test_reset_is_ambiguous_only_after_the_last_byte(
    run_scenario: RunScenario, body_bytes: int, outcome: str
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        attempt = harness.start_attempt(body_bytes)
        if body_bytes == LARGE_BODY_BYTES:
            await harness.called["pause_writing"].wait()
            peer = harness.accept()
        else:
            await harness.wait_for_connection()
            peer = await harness.accept_request(body_bytes)
        reset_connection(peer)
        assert (await attempt).outcome.value == outcome

    run_scenario(scenario)


# The response ------------------------------------------------------------------------------------

RETRY_AFTER_RESPONSE = b"HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nContent-Length: 2\r\n\r\n"
RESPONSES = {
    # What is received as the attempt ends, and the result of the attempt; None: as if nothing was received.
    "200": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ("ok", True, 0.0)),
    "a status line": (b"HTTP/1.1 200 OK\r\n", ("ok", True, 0.0)),
    "a part of a status line": (b"HTTP/1.1 200 ", None),
    "a retry-after": (RETRY_AFTER_RESPONSE + b"{}", ("refused", False, 250.0)),
    "a retry-after with a truncated body": (RETRY_AFTER_RESPONSE, ("broken", False, 0.0)),
    "a retry-after without a length": (
        RETRY_AFTER_RESPONSE.replace(b"Content-Length: 2\r\n", b""),
        ("broken", False, 0.0),
    ),
    "410": (b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", ("not sent", True, 0.0)),
    "500": (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ("error", False, 0.0)),
}


@pytest.mark.parametrize("cause", ["cancel", "timeout"])
@pytest.mark.parametrize("name", RESPONSES)
def test_received_response_counts_before_a_timeout_or_cancellation(
    run_scenario: RunScenario, name: str, cause: str
) -> None:
    data, expected = RESPONSES[name]
    result_without_response = ("cancelled" if cause == "cancel" else "timed out", False, 0.0)

    async def scenario(harness: RaceHarness) -> None:
        attempt = harness.start_attempt()
        await harness.wait_for_connection()
        peer = await harness.accept_request(4)
        harness.hooks["data_received"] = harness.make_end_hook(cause, attempt)
        peer.send(data)
        result = await attempt
        assert (result.outcome.value, result.final, result.retry_after_ms) == (
            expected or result_without_response
        )
        assert harness.pool.open_count == 0
        peer.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (RETRY_AFTER_RESPONSE + b"{}", ("refused", False, 250.0)),
        (RESPONSES["200"][0], ("ok", True, 0.0)),
        (RESPONSES["500"][0], ("unreachable", False, 0.0)),
        (b"HTTP/1.1 2", ("unreachable", False, 0.0)),
    ],
)
def test_response_before_the_last_byte_counts_before_the_reset_behind_it(
    run_scenario: RunScenario, data: bytes, expected: tuple[str, bool, float]
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        attempt = harness.start_attempt(LARGE_BODY_BYTES)
        await harness.called["pause_writing"].wait()
        peer = harness.accept()
        peer.send(data)
        await harness.called["data_received"].wait()
        reset_connection(peer)
        result = await attempt
        assert (result.outcome.value, result.final, result.retry_after_ms) == expected

    run_scenario(scenario)


BATCH_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nm0 delivered\r\nm1 refused\r\n" % 26


@pytest.mark.parametrize(
    ("received_bytes", "expected"),
    [(len(BATCH_RESPONSE), ["ok", "refused"]), (len(BATCH_RESPONSE) - 1, ["cancelled"] * 2)],
    ids=["complete", "truncated"],
)
def test_received_response_of_a_batch_counts_before_a_cancellation(
    run_scenario: RunScenario, received_bytes: int, expected: list[str]
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        batch_call = BatchCall()
        attempts = [harness.start_attempt(message_id=f"m{i}", batch_call=batch_call) for i in range(2)]
        await harness.wait_for_connection()
        peer = await harness.accept_request(20)
        harness.hooks["data_received"] = harness.make_end_hook("cancel", *attempts)
        peer.send(BATCH_RESPONSE[:received_bytes])
        assert [(await attempt).outcome.value for attempt in attempts] == expected
        peer.close()

    run_scenario(scenario)


def test_member_that_times_out_as_the_response_is_received_gets_its_outcome(
    run_scenario: RunScenario,
) -> None:
    async def scenario(harness: RaceHarness) -> None:
        loop = asyncio.get_running_loop()
        batch_call = BatchCall()
        attempts = [harness.start_attempt(message_id=f"m{i}", batch_call=batch_call) for i in range(2)]
        await harness.wait_for_connection()
        peer = await harness.accept_request(20)
        (batch_request,) = {batch_call.add_attempt.__self__} if batch_call.add_attempt else set()  # type: ignore[attr-defined]
        harness.hooks["data_received"] = lambda: loop.call_soon(
            batch_request._abandon, "m0", Outcome.TIMED_OUT
        )
        peer.send(BATCH_RESPONSE)
        assert [(await attempt).outcome.value for attempt in attempts] == ["ok", "refused"]
        peer.close()

    run_scenario(scenario)
