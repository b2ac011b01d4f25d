"""The connections of the frontend: limits on their number, time and memory; what a disconnect withdraws."""

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
UNFINISHED = b"-ERR the command does not end\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def on_data_read(monkeypatch: pytest.MonkeyPatch, callback: Callable[[bytes], object]) -> None:
    """Call `callback` with all that streams of this process read, in the turn of the loop in which they do."""
    feed = asyncio.StreamReader.feed_data

    def read(stream: asyncio.StreamReader, data: bytes) -> None:
        feed(stream, data)
        callback(bytes(data))

    monkeypatch.setattr(asyncio.StreamReader, "feed_data", read)


class PausedDeliveryService:
    """Answers a submission once `may_answer` is set."""

    def __init__(self, answer: SubmitResult | None = None) -> None:
        self.answer = answer or Accepted()
        self.ids = list[str]()
        self.withdrawn = list[str]()
        self.submitted = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def submit(self, message: Message) -> SubmitResult:
        self.ids.append(message.id)
        self.submitted.set()
        await self.may_answer.wait()
        return self.answer

    def withdraw(self, message_id: str) -> None:
        self.withdrawn.append(message_id)


class RunningFrontend:
    """A frontend that listens, and clients that connect to it."""

    def __init__(self, max_connections: int = 8) -> None:
        self.intake = PausedDeliveryService()
        self.telemetry = Telemetry()
        self.server = FrontendServer(
            self.intake, lambda: 0.0, frozenset(), max_connections, 32_000_000, self.telemetry
        )
        self.port = 0
        # A writer that nobody holds closes itself.
        self.writers = list[asyncio.StreamWriter]()
        self.closing: asyncio.Task[None] | None = None

    async def connect(self, data: bytes = b"", answer: bytes = b"") -> Streams:
        if not self.port:
            self.port = int((await self.server.start("127.0.0.1:0")).split(":")[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        writer.write(data)
        if answer:
            assert await reader.readline() == answer
        return reader, writer


def run(scenario: Callable[[RunningFrontend], Awaitable[None]], max_connections: int = 8) -> None:
    async def go() -> None:
        await asyncio.wait_for(scenario(RunningFrontend(max_connections)), 20.0)

    asyncio.run(go())


def test_over_the_limit_an_idle_connection_is_closed_first_one_that_was_never_served() -> None:
    async def scenario(running: RunningFrontend) -> None:
        served = await running.connect(PING, b"+PONG\r\n")
        silent = await running.connect()
        await running.connect(PING, b"+PONG\r\n")
        assert await silent[0].read() == b""
        await running.connect(PING, b"+PONG\r\n")
        assert await served[0].read() == b"", "the one idle longest"

    run(scenario, max_connections=2)


def test_when_all_connections_are_busy_the_new_one_is_closed_unread() -> None:
    async def scenario(running: RunningFrontend) -> None:
        busy = await running.connect(SUBMIT)
        await running.intake.submitted.wait()
        assert await (await running.connect())[0].read() == b""
        running.intake.may_answer.set()
        assert await busy[0].readline() == b"+OK\r\n"

    run(scenario, max_connections=1)


@pytest.mark.parametrize(
    ("data", "answer"),
    [(b"", b""), (b"*1", UNFINISHED), (PING[:9], UNFINISHED), (PING, b"+PONG\r\n")],
)
def test_an_idle_connection_or_partial_command_is_ended_after_its_timeout(
    data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Else some hundreds of silent connections leave none to those who hand messages in.
    monkeypatch.setattr(session_module, "IDLE_TIMEOUT_S", 0.02)
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.02)

    async def scenario(running: RunningFrontend) -> None:
        assert await (await running.connect(data))[0].read() == answer

    run(scenario)


def test_a_reply_that_the_client_does_not_read_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.02)
    monkeypatch.setattr(request_handler_module, "encode_reply", lambda answer: b"-" + bytes(30_000_000))

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
        await running.intake.submitted.wait()
        await asyncio.sleep(2.0 * server_module.SWEEP_INTERVAL_S)
        running.intake.may_answer.set()
        assert await reader.readline() == b"+OK\r\n"

    run(scenario)


@pytest.mark.parametrize(
    ("answer", "withdrawn"),
    [(Accepted(), ["m1"]), (Accepted(duplicate=True), []), (InvalidMessage("no"), [])],
)
def test_a_disconnect_before_the_reply_withdraws_only_a_message_of_that_request(
    answer: SubmitResult, withdrawn: list[str]
) -> None:
    # The same id may be an earlier client's, who has been told that it is taken on.
    async def scenario(running: RunningFrontend) -> None:
        running.intake.answer = answer
        _, writer = await running.connect(SUBMIT)
        await running.intake.submitted.wait()
        writer.close()
        await writer.wait_closed()
        await asyncio.sleep(0.02)
        running.intake.may_answer.set()
        while not running.telemetry.counters["clients.disconnected"]:
            await asyncio.sleep(0.005)
        assert running.intake.withdrawn == withdrawn

    run(scenario)


def test_a_flood_of_commands_does_not_delay_other_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(running: RunningFrontend) -> None:
        _, flood = await running.connect()
        running.intake.may_answer.set()
        answered: list[int] = []
        send_reply = ClientSession.send_reply

        async def count(session: ClientSession, data: bytes) -> None:
            answered.append(len(data))
            await send_reply(session, data)

        monkeypatch.setattr(ClientSession, "send_reply", count)
        flood.write(PING * 400)
        reader, _ = await running.connect(SUBMIT)
        assert await reader.readline() == b"+OK\r\n"
        assert len(answered) < 400, "the flood was answered to its end first"

    run(scenario)


def test_draining_closes_idle_connections_and_answers_open_requests() -> None:
    # A connection that ends with its request unanswered would lose the message.
    async def scenario(running: RunningFrontend) -> None:
        idle = await running.connect(PING, b"+PONG\r\n")
        half = await running.connect(PING[:4])  # its first line: begun, and still to be answered
        busy = await running.connect(SUBMIT)
        await running.intake.submitted.wait()
        await running.server.drain()
        assert await idle[0].read() == b""
        half[1].write(PING[4:])
        assert await half[0].read() == b"+PONG\r\n"
        running.intake.may_answer.set()
        assert await busy[0].read() == b"+OK\r\n"

    run(scenario)


@pytest.mark.parametrize("turns", range(3))
@pytest.mark.parametrize("end", ["close", "sweep"])
def test_a_request_that_comes_while_its_connection_is_closed_is_not_read_and_dropped(
    end: str, turns: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Read and closed without an answer it would be lost; one that nobody has read its client sends again.
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.0)
    read = bytearray()
    on_data_read(monkeypatch, read.extend)

    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        running.intake.may_answer.set()
        client = socket.create_connection(("127.0.0.1", running.port))
        client.settimeout(5.0)
        while len(running.server._sessions) < 2:
            await asyncio.sleep(0)
        for session in running.server._sessions if end == "sweep" else ():
            session.deadline = 0.0
        closing = asyncio.create_task(running.server.drain() if end == "close" else asyncio.sleep(0))
        for _ in range(turns):
            await asyncio.sleep(0)
        client.sendall(SUBMIT)
        for _ in range(20):
            await asyncio.sleep(0)
        answer = b""
        with suppress(ConnectionResetError):
            answer = client.recv(100)
        assert answer == (b"+OK\r\n" if SUBMIT in read else b""), "answered just where it was read"
        await closing

    run(scenario)


def test_a_partial_command_is_ended_for_a_new_connection_where_none_is_idle() -> None:
    # Some clients begin many commands and end none: a new connection must not be closed unread for them.
    async def scenario(running: RunningFrontend) -> None:
        half = await running.connect(PING[:4])
        while all(session.phase is RequestPhase.IDLE for session in running.server._sessions):
            await asyncio.sleep(0.001)
        await running.connect(PING, b"+PONG\r\n")
        assert await half[0].read() == UNFINISHED

    run(scenario, max_connections=1)


def test_large_parts_wait_for_a_memory_permit() -> None:
    async def scenario(running: RunningFrontend) -> None:
        running.server.request_handler.large_part_permits = asyncio.Semaphore(1)
        head = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$14\r\nc=x,d=9,dest=1\r\n$5000\r\n"
        running.intake.may_answer.set()
        _, first = await running.connect(head + b"half")
        while not running.server.request_handler.large_part_permits.locked():
            await asyncio.sleep(0.005)
        reader, _ = await running.connect(head + bytes(5000) + b"\r\n")
        await asyncio.sleep(0.02)
        assert not running.intake.submitted.is_set()
        first.close()
        assert await reader.readline() == b"+OK\r\n"

    run(scenario)


def test_an_evacuated_frontend_rejects_ping_closes_idle_connections_and_serves_open_requests() -> None:
    async def scenario(running: RunningFrontend) -> None:
        idle = await running.connect(PING, b"+PONG\r\n")
        busy = await running.connect(SUBMIT)
        await running.intake.submitted.wait()
        running.server.evacuate(True)
        assert not running.server.accepts_clients()
        assert await idle[0].read() == b"", "an idle connection goes at once"
        running.intake.may_answer.set()
        assert await busy[0].readline() == b"+OK\r\n", "nothing under way is lost"
        assert await busy[0].read() == b"", "and then it goes"
        fresh = await running.connect(PING, b"-ERR evacuated\r\n")
        assert await fresh[0].read() == b""
        running.server.evacuate(False)
        assert running.server.accepts_clients()
        await running.connect(PING, b"+PONG\r\n")

    run(scenario)


def test_a_second_frontend_listens_on_the_same_address() -> None:
    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        beside = FrontendServer(running.intake, lambda: 0.0, frozenset(), 8, 32_000_000, Telemetry())
        assert await beside.start(f"127.0.0.1:{running.port}") == f"127.0.0.1:{running.port}"
        await beside.drain()

    run(scenario)
