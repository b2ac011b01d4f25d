"""Client connections: limits on their number, lifetime and memory, draining, evacuation, and disconnects."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from kestreltrack.frontend import request_handler as request_handler_module
from kestreltrack.frontend import server as server_module
from kestreltrack.frontend import session as session_module
from kestreltrack.frontend.server import FrontendServer
from kestreltrack.frontend.session import ClientSession, RequestPhase
from kestreltrack.ports import Accepted, InvalidMessage, Message, SubmitResult
from kestreltrack.telemetry import Telemetry

PING = b"*1\r\n$4\r\nPING\r\n"
SUBMIT = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$14\r\nc=x,d=9,dest=1\r\n$1\r\nb\r\n"
UNFINISHED_REPLY = b"-ERR the command does not end\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def on_data_read(monkeypatch: pytest.MonkeyPatch, callback: Callable[[bytes], object]) -> None:
    """Call `callback` with all data read by streams of this process, in the loop iteration that reads it."""
    feed_data = asyncio.StreamReader.feed_data

    def feed_and_call_back(stream: asyncio.StreamReader, data: bytes) -> None:
        feed_data(stream, data)
        callback(bytes(data))

    monkeypatch.setattr(asyncio.StreamReader, "feed_data", feed_and_call_back)


class PausedDeliveryService:
    """Returns the result of each submission once `may_answer` is set."""

    def __init__(self, result: SubmitResult | None = None) -> None:
        self.result = result or Accepted()
        self.submitted_ids = list[str]()
        self.withdrawn_ids = list[str]()
        self.submitted = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def submit(self, message: Message) -> SubmitResult:
        self.submitted_ids.append(message.id)
        self.submitted.set()
        await self.may_answer.wait()
        return self.result

    def withdraw(self, message_id: str) -> None:
        self.withdrawn_ids.append(message_id)


class RunningFrontend:
    """A listening frontend and the clients connected to it."""

    def __init__(self, max_connections: int = 8, request_bytes: int = 4_000_000) -> None:
        self.delivery_service = PausedDeliveryService()
        self.telemetry = Telemetry()
        self.server = FrontendServer(
            self.delivery_service, lambda: 0.0, frozenset(), max_connections, request_bytes, self.telemetry
        )
        self.port = 0
        # A writer closes its connection when it is garbage-collected.
        self.writers = list[asyncio.StreamWriter]()
        self.closing_task: asyncio.Task[None] | None = None

    async def connect(self, data: bytes = b"", expected_reply: bytes = b"") -> Streams:
        if not self.port:
            self.port = int((await self.server.start("127.0.0.1:0")).split(":")[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        writer.write(data)
        if expected_reply:
            assert await reader.readline() == expected_reply
        return reader, writer


def run(scenario: Callable[[RunningFrontend], Awaitable[None]], max_connections: int = 8) -> None:
    async def run_with_timeout() -> None:
        await asyncio.wait_for(scenario(RunningFrontend(max_connections)), 20.0)

    asyncio.run(run_with_timeout())


def test_over_the_limit_an_idle_connection_without_a_served_request_is_closed_first() -> None:
    async def scenario(running: RunningFrontend) -> None:
        served = await running.connect(PING, b"+PONG\r\n")
        silent = await running.connect()
        await running.connect(PING, b"+PONG\r\n")
        assert await silent[0].read() == b""
        await running.connect(PING, b"+PONG\r\n")
        assert await served[0].read() == b"", "the connection that has been idle longest"

    run(scenario, max_connections=2)


def test_when_all_connections_are_busy_the_new_one_is_closed_unread() -> None:
    async def scenario(running: RunningFrontend) -> None:
        busy = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        assert await (await running.connect())[0].read() == b""
        running.delivery_service.may_answer.set()
        assert await busy[0].readline() == b"+OK\r\n"

    run(scenario, max_connections=1)


@pytest.mark.parametrize(
    ("data", "expected_reply"),
    [(b"", b""), (b"*1", UNFINISHED_REPLY), (PING[:9], UNFINISHED_REPLY), (PING, b"+PONG\r\n")],
)
def test_an_idle_connection_or_partial_command_is_ended_after_its_timeout(
    data: bytes, expected_reply: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise a few hundred silent connections would use up the limit, and clients could not submit messages.
    monkeypatch.setattr(session_module, "IDLE_TIMEOUT_S", 0.02)
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.02)

    async def scenario(running: RunningFrontend) -> None:
        assert await (await running.connect(data))[0].read() == expected_reply

    run(scenario)


def test_a_reply_that_the_client_does_not_read_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.02)
    monkeypatch.setattr(request_handler_module, "encode_reply", lambda result: b"-" + bytes(30_000_000))

    async def scenario(running: RunningFrontend) -> None:
        _, writer = await running.connect(b"*1\r\n$3\r\nFLY\r\n")
        while not running.telemetry.counters["clients.timed_out"]:
            await asyncio.sleep(0.005)
        writer.close()

    run(scenario)


def test_a_request_that_waits_for_its_reply_does_not_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.0)

    async def scenario(running: RunningFrontend) -> None:
        reader, _ = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        await asyncio.sleep(2.0 * server_module.SWEEP_INTERVAL_S)
        running.delivery_service.may_answer.set()
        assert await reader.readline() == b"+OK\r\n"

    run(scenario)


@pytest.mark.parametrize(
    ("result", "withdrawn_ids"),
    [(Accepted(), ["m1"]), (Accepted(duplicate=True), []), (InvalidMessage("no"), [])],
)
def test_a_disconnect_before_the_reply_withdraws_only_a_message_of_that_request(
    result: SubmitResult, withdrawn_ids: list[str]
) -> None:
    # A duplicate id may belong to a message of an earlier client, which was told that it is accepted.
    async def scenario(running: RunningFrontend) -> None:
        running.delivery_service.result = result
        _, writer = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        writer.close()
        await writer.wait_closed()
        await asyncio.sleep(0.02)
        running.delivery_service.may_answer.set()
        while not running.telemetry.counters["clients.disconnected"]:
            await asyncio.sleep(0.005)
        assert running.delivery_service.withdrawn_ids == withdrawn_ids

    run(scenario)


def test_a_flood_of_commands_does_not_delay_other_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(running: RunningFrontend) -> None:
        _, flooding_writer = await running.connect()
        running.delivery_service.may_answer.set()
        reply_sizes: list[int] = []
        send_reply = ClientSession.send_reply

        async def count_reply(session: ClientSession, data: bytes) -> None:
            reply_sizes.append(len(data))
            await send_reply(session, data)

        monkeypatch.setattr(ClientSession, "send_reply", count_reply)
        flooding_writer.write(PING * 400)
        reader, _ = await running.connect(SUBMIT)
        assert await reader.readline() == b"+OK\r\n"
        assert len(reply_sizes) < 400, "all commands of the flood were answered first"

    run(scenario)


def test_draining_closes_idle_connections_and_answers_open_requests() -> None:
    # Closing a connection before its request is answered would lose the message.
    async def scenario(running: RunningFrontend) -> None:
        idle = await running.connect(PING, b"+PONG\r\n")
        # The first line of a command: the request has begun and must be answered.
        partial_client = await running.connect(PING[:4])
        busy = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        await running.server.drain()
        assert await idle[0].read() == b""
        partial_client[1].write(PING[4:])
        assert await partial_client[0].read() == b"+PONG\r\n"
        running.delivery_service.may_answer.set()
        assert await busy[0].read() == b"+OK\r\n"

    run(scenario)


@pytest.mark.parametrize("loop_iterations", range(3))
@pytest.mark.parametrize("closed_by", ["drain", "sweep"])
def test_a_request_that_arrives_while_its_connection_is_closed_is_answered_if_it_is_read(
    closed_by: str, loop_iterations: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A request that is read but not answered is lost; a client sends a request again that was never read.
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.0)
    received = bytearray()
    on_data_read(monkeypatch, received.extend)

    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        running.delivery_service.may_answer.set()
        client = socket.create_connection(("127.0.0.1", running.port))
        client.settimeout(5.0)
        while len(running.server._sessions) < 2:
            await asyncio.sleep(0)
        for session in running.server._sessions if closed_by == "sweep" else ():
            session.deadline = 0.0
        closing_task = asyncio.create_task(
            running.server.drain() if closed_by == "drain" else asyncio.sleep(0)
        )
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        client.sendall(SUBMIT)
        for _ in range(20):
            await asyncio.sleep(0)
        reply = b""
        with suppress(ConnectionResetError):
            reply = client.recv(100)
        assert reply == (b"+OK\r\n" if SUBMIT in received else b""), "answered if and only if it was read"
        await closing_task

    run(scenario)


def test_over_the_limit_a_partial_command_is_ended_if_no_connection_is_idle() -> None:
    # Clients that begin commands without completing them must not cause new connections to be closed unread.
    async def scenario(running: RunningFrontend) -> None:
        partial_client = await running.connect(PING[:4])
        while all(session.phase is RequestPhase.IDLE for session in running.server._sessions):
            await asyncio.sleep(0.001)
        await running.connect(PING, b"+PONG\r\n")
        assert await partial_client[0].read() == UNFINISHED_REPLY

    run(scenario, max_connections=1)


def test_an_evacuated_frontend_rejects_ping_closes_idle_connections_and_serves_open_requests() -> None:
    async def scenario(running: RunningFrontend) -> None:
        idle = await running.connect(PING, b"+PONG\r\n")
        busy = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        running.server.evacuate(True)
        assert not running.server.accepts_clients()
        assert await idle[0].read() == b"", "an idle connection is closed at once"
        running.delivery_service.may_answer.set()
        assert await busy[0].readline() == b"+OK\r\n", "an open request is answered"
        assert await busy[0].read() == b"", "then its connection is closed"
        new = await running.connect(PING, b"-ERR evacuated\r\n")
        assert await new[0].read() == b""
        running.server.evacuate(False)
        assert running.server.accepts_clients()
        await running.connect(PING, b"+PONG\r\n")

    run(scenario)


def test_a_second_frontend_listens_on_the_same_address() -> None:
    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        second_server = FrontendServer(
            running.delivery_service, lambda: 0.0, frozenset(), 8, 32_000_000, Telemetry()
        )
        assert await second_server.start(f"127.0.0.1:{running.port}") == f"127.0.0.1:{running.port}"
        await second_server.drain()

    run(scenario)


def test_over_the_limit_a_connection_at_full_speed_is_given_up_before_a_new_one() -> None:
    # Otherwise a few hundred clients that never wait for their replies would keep all others out.
    async def scenario(running: RunningFrontend) -> None:
        running.delivery_service.may_answer.set()
        reader, writer = await running.connect(PING * 500)
        for _ in range(20):
            await reader.readline()
        new, _ = await running.connect(SUBMIT)
        assert await new.readline() == b"+OK\r\n"
        assert (await reader.read()).endswith(b"-BUSY\r\n")
        assert running.telemetry.counters["clients.evicted.full_speed"] == 1
        writer.close()

    run(scenario, max_connections=1)


def test_over_the_limit_a_closed_connection_whose_client_does_not_read_is_given_up_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against closed connections that hold a descriptor for seconds and count as none.
    monkeypatch.setattr(request_handler_module, "encode_reply", lambda result: b"-" + bytes(30_000_000))

    async def scenario(running: RunningFrontend) -> None:
        await running.connect(b"x\r\n")
        while not running.telemetry.counters["clients.bad_request"]:
            await asyncio.sleep(0.001)
        (unread,) = running.server._sessions
        unread.close()
        await running.connect(PING, b"+PONG\r\n")
        while unread in running.server._sessions:
            await asyncio.sleep(0.001)
        assert running.telemetry.counters["clients.evicted.flushing"] == 1

    run(scenario, max_connections=1)
