"""The front's connections: limits on their number, time and memory; what a leaving submitter withdraws."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from kestreltrack.frontend import server as front_module
from kestreltrack.frontend.server import FrontendServer
from kestreltrack.ports import Accepted, InvalidMessage, Message, SubmitResult
from kestreltrack.telemetry import Telemetry

PING = b"*1\r\n$4\r\nPING\r\n"
SUBMIT = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$14\r\nc=x,d=9,dest=1\r\n$1\r\nb\r\n"
UNFINISHED = b"-ERR the command does not end\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def once_read(monkeypatch: pytest.MonkeyPatch, then: Callable[[bytes], object]) -> None:
    """Call `then` with all that streams of this process read, in the turn of the loop in which they do."""
    feed = asyncio.StreamReader.feed_data

    def read(stream: asyncio.StreamReader, data: bytes) -> None:
        feed(stream, data)
        then(bytes(data))

    monkeypatch.setattr(asyncio.StreamReader, "feed_data", read)


class SlowIntake:
    """Answers when it is let."""

    def __init__(self, answer: SubmitResult | None = None) -> None:
        self.answer, self.ids, self.withdrawn = answer or Accepted(), list[str](), list[str]()
        self.asked, self.let = asyncio.Event(), asyncio.Event()

    async def submit(self, message: Message) -> SubmitResult:
        self.ids.append(message.id)
        self.asked.set()
        await self.let.wait()
        return self.answer

    def withdraw(self, message_id: str) -> None:
        self.withdrawn.append(message_id)


class Place:
    """A front that listens, and submitters that connect to it."""

    def __init__(self, most: int = 8) -> None:
        self.intake, self.telemetry = SlowIntake(), Telemetry()
        self.front = FrontendServer(self.intake, lambda: 0.0, frozenset(), most, 32_000_000, self.telemetry)
        self.port, self.open = 0, list[asyncio.StreamWriter]()  # one that nobody holds closes itself
        self.closing: asyncio.Task[None] | None = None

    async def connect(self, data: bytes = b"", answer: bytes = b"") -> Streams:
        if not self.port:
            self.port = int((await self.front.start("127.0.0.1:0")).split(":")[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.open.append(writer)
        writer.write(data)
        if answer:
            assert await reader.readline() == answer
        return reader, writer


def run(story: Callable[[Place], Awaitable[None]], most: int = 8) -> None:
    async def go() -> None:
        await asyncio.wait_for(story(Place(most)), 20.0)

    asyncio.run(go())


def test_over_the_limit_one_without_a_request_goes_first_such_as_never_had_one() -> None:
    async def story(place: Place) -> None:
        served = await place.connect(PING, b"+PONG\r\n")
        silent = await place.connect()
        await place.connect(PING, b"+PONG\r\n")
        assert await silent[0].read() == b""
        await place.connect(PING, b"+PONG\r\n")
        assert await served[0].read() == b"", "the one idle longest"

    run(story, most=2)


def test_when_all_are_busy_the_new_one_is_closed_unread() -> None:
    async def story(place: Place) -> None:
        busy = await place.connect(SUBMIT)
        await place.intake.asked.wait()
        assert await (await place.connect())[0].read() == b""
        place.intake.let.set()
        assert await busy[0].readline() == b"+OK\r\n"

    run(story, most=1)


@pytest.mark.parametrize(
    ("data", "answer"),
    [(b"", b""), (b"*1", UNFINISHED), (PING[:9], UNFINISHED), (PING, b"+PONG\r\n")],
)
def test_what_keeps_nothing_but_a_place_is_ended(
    data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Else some hundreds of silent connections leave none to those who hand messages in.
    monkeypatch.setattr(front_module, "IDLE_TIMEOUT_S", 0.02)
    monkeypatch.setattr(front_module, "COMMAND_TIMEOUT_S", 0.02)

    async def story(place: Place) -> None:
        assert await (await place.connect(data))[0].read() == answer

    run(story)


def test_a_reply_that_nobody_reads_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "COMMAND_TIMEOUT_S", 0.02)
    monkeypatch.setattr(front_module, "encode_reply", lambda answer: b"-" + bytes(30_000_000))

    async def story(place: Place) -> None:
        _, writer = await place.connect(b"*1\r\n$3\r\nFLY\r\n")
        while not place.telemetry.counters["clients.timed_out"]:
            await asyncio.sleep(0.005)
        writer.close()

    run(story)


def test_a_request_that_waits_for_its_answer_is_not_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "COMMAND_TIMEOUT_S", 0.0)

    async def story(place: Place) -> None:
        reader, _ = await place.connect(SUBMIT)
        await place.intake.asked.wait()
        await asyncio.sleep(2.0 * front_module.SWEEP_INTERVAL_S)
        place.intake.let.set()
        assert await reader.readline() == b"+OK\r\n"

    run(story)


@pytest.mark.parametrize(
    ("answer", "withdrawn"),
    [(Accepted(), ["m1"]), (Accepted(duplicate=True), []), (InvalidMessage("no"), [])],
)
def test_who_leaves_unanswered_withdraws_only_what_it_handed_in(
    answer: SubmitResult, withdrawn: list[str]
) -> None:
    # The same id may be an earlier submitter's, who has been told that it is taken on.
    async def story(place: Place) -> None:
        place.intake.answer = answer
        _, writer = await place.connect(SUBMIT)
        await place.intake.asked.wait()
        writer.close()
        await writer.wait_closed()
        await asyncio.sleep(0.02)
        place.intake.let.set()
        while not place.telemetry.counters["clients.disconnected"]:
            await asyncio.sleep(0.005)
        assert place.intake.withdrawn == withdrawn

    run(story)


def test_a_flood_of_commands_does_not_keep_others_waiting() -> None:
    async def story(place: Place) -> None:
        _, flood = await place.connect()
        place.intake.let.set()
        answered: list[int] = []
        write = place.front._send_reply

        async def count(session: front_module.ClientSession, data: bytes) -> None:
            answered.append(len(data))
            await write(session, data)

        place.front._send_reply = count  # type: ignore[method-assign]
        flood.write(PING * 400)
        reader, _ = await place.connect(SUBMIT)
        assert await reader.readline() == b"+OK\r\n"
        assert len(answered) < 400, "the flood was answered to its end first"

    run(story)


def test_closing_ends_idle_connections_and_lets_a_request_be_answered() -> None:
    # A connection that ends with its request unanswered would lose the message.
    async def story(place: Place) -> None:
        idle = await place.connect(PING, b"+PONG\r\n")
        half = await place.connect(PING[:4])  # its first line: begun, and still to be answered
        busy = await place.connect(SUBMIT)
        await place.intake.asked.wait()
        await place.front.drain()
        assert await idle[0].read() == b""
        half[1].write(PING[4:])
        assert await half[0].read() == b"+PONG\r\n"
        place.intake.let.set()
        assert await busy[0].read() == b"+OK\r\n"

    run(story)


@pytest.mark.parametrize("turns", range(3))
@pytest.mark.parametrize("end", ["close", "sweep"])
def test_a_request_that_comes_while_its_connection_is_ended_is_not_read_and_dropped(
    end: str, turns: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Read and closed without an answer it would be lost; one that nobody has read its client sends again.
    monkeypatch.setattr(front_module, "SWEEP_INTERVAL_S", 0.0)
    read = bytearray()
    once_read(monkeypatch, read.extend)

    async def story(place: Place) -> None:
        await place.connect(PING, b"+PONG\r\n")
        place.intake.let.set()
        submitter = socket.create_connection(("127.0.0.1", place.port))
        submitter.settimeout(5.0)
        while len(place.front._sessions) < 2:
            await asyncio.sleep(0)
        for session in place.front._sessions if end == "sweep" else ():
            session.deadline = 0.0
        closing = asyncio.create_task(place.front.drain() if end == "close" else asyncio.sleep(0))
        for _ in range(turns):
            await asyncio.sleep(0)
        submitter.sendall(SUBMIT)
        for _ in range(20):
            await asyncio.sleep(0)
        answer = b""
        with suppress(ConnectionResetError):
            answer = submitter.recv(100)
        assert answer == (b"+OK\r\n" if SUBMIT in read else b""), "answered just where it was read"
        await closing

    run(story)


def test_half_a_command_makes_room_where_no_connection_is_idle() -> None:
    # Some clients begin many commands and end none: a new connection must not be closed unread for them.
    async def story(place: Place) -> None:
        half = await place.connect(PING[:4])
        while all(session.idle for session in place.front._sessions):
            await asyncio.sleep(0.001)
        await place.connect(PING, b"+PONG\r\n")
        assert await half[0].read() == UNFINISHED

    run(story, most=1)


def test_long_parts_wait_for_room_in_memory() -> None:
    async def story(place: Place) -> None:
        place.front._large_part_permits = asyncio.Semaphore(1)
        head = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$14\r\nc=x,d=9,dest=1\r\n$5000\r\n"
        place.intake.let.set()
        _, first = await place.connect(head + b"half")
        while not place.front._large_part_permits.locked():
            await asyncio.sleep(0.005)
        reader, _ = await place.connect(head + bytes(5000) + b"\r\n")
        await asyncio.sleep(0.02)
        assert not place.intake.asked.is_set()
        first.close()
        assert await reader.readline() == b"+OK\r\n"

    run(story)


def test_an_evacuated_front_says_no_to_ping_closes_idle_connections_and_serves_a_request_under_way() -> None:
    async def story(place: Place) -> None:
        idle = await place.connect(PING, b"+PONG\r\n")
        busy = await place.connect(SUBMIT)
        await place.intake.asked.wait()
        place.front.evacuate(True)
        assert not place.front.accepts_clients()
        assert await idle[0].read() == b"", "an idle connection goes at once"
        place.intake.let.set()
        assert await busy[0].readline() == b"+OK\r\n", "nothing under way is lost"
        assert await busy[0].read() == b"", "and then it goes"
        fresh = await place.connect(PING, b"-ERR evacuated\r\n")
        assert await fresh[0].read() == b""
        place.front.evacuate(False)
        assert place.front.accepts_clients()
        await place.connect(PING, b"+PONG\r\n")

    run(story)


def test_a_second_front_listens_on_the_same_address_beside_the_first() -> None:
    async def story(place: Place) -> None:
        await place.connect(PING, b"+PONG\r\n")
        beside = FrontendServer(place.intake, lambda: 0.0, frozenset(), 8, 32_000_000, Telemetry())
        assert await beside.start(f"127.0.0.1:{place.port}") == f"127.0.0.1:{place.port}"
        await beside.drain()

    run(story)
