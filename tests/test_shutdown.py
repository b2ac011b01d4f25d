"""Events that cross the end of a process: what was read is recorded, and no attempt begins that nobody waits for."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Generator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from conftest import SETTINGS
from test_journal import open_journal
from test_takeover import open_successor
from test_windows import Board, Clock

from kestreltrack.decision import KindSettings, Outcome, Policy, Settings
from kestreltrack.discovery import EndpointList
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.journal import AttemptStart, JournalFullError, OutstandingMessage, sorted_by_expiry
from kestreltrack.ports import (
    Accepted,
    Attempt,
    AttemptResult,
    EndpointListUpdate,
    ListedEndpoint,
    Message,
    Rejected,
    StatusNotification,
    SubmitResult,
)
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.takeover import Takeover
from kestreltrack.telemetry import Telemetry

# Turns of the loop between an event and the other one that it crosses.
TURNS = range(8)


class ControlledTransport:
    """Connects and answers when the test says so; counts attempts that were written, blocked and delivered."""

    def __init__(self) -> None:
        self.connected = asyncio.Event()
        self.answer = asyncio.get_running_loop().create_future()
        self.written = 0
        self.blocked = 0
        self.delivered = 0

    async def send(self, attempt: Attempt) -> AttemptResult:
        try:
            await self.connected.wait()
            if not attempt.begin():
                self.blocked += 1
                return AttemptResult(Outcome.NOT_SENT)
            self.written += 1
            await self.answer
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED)
        self.delivered += 1
        return AttemptResult(Outcome.OK, final=True)

    def close_idle(self, uid: str) -> None:
        """Do nothing: no connection is idle."""


class RecordingNotifier(Board):
    """Accepts every notification, and records it."""

    def __init__(self) -> None:
        self.notifications: list[StatusNotification] = []

    async def notify(self, notification: StatusNotification) -> None:
        self.notifications.append(notification)


def core_on(folder: Path, transport: Any = None, settings: Settings = SETTINGS) -> Core:
    telemetry = Telemetry()
    dispatcher = Dispatcher(Policy(settings, 1), Clock(), telemetry)
    core = Core(
        dispatcher,
        settings,
        open_journal(folder),
        EndpointList(),
        transport or ControlledTransport(),
        RecordingNotifier(),
        telemetry,
    )
    dispatcher.notify(
        core.endpoint_list.apply(
            EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain", rate=50.0),))
        )
    )
    return core


def message(
    message_id: str = "m1", cls: str = "safe", expires: float = 1_009_000.0, key: int | None = None
) -> Message:
    return Message(message_id, cls, 1, expires, b"x", None, key, "k")


async def turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(holds: Callable[[], object]) -> None:
    while not holds():
        await asyncio.sleep(0.001)


def play(story: Any) -> None:
    asyncio.run(asyncio.wait_for(story, 20.0))


# Events that cross the end of the process --------------------------------------------------------


@pytest.mark.parametrize("crossing", TURNS)
def test_delivery_whose_answer_was_read_before_the_end_is_not_resumed(tmp_path: Path, crossing: int) -> None:
    async def story() -> None:
        transport = ControlledTransport()
        core = core_on(tmp_path, transport)
        transport.connected.set()
        await core.submit(message())
        await until(lambda: transport.written)
        transport.answer.set_result(None)
        await turns(crossing)
        await core.abandon()
        core.journal.close()
        outstanding = open_journal(tmp_path).outstanding
        assert bool(outstanding) == (not transport.delivered)
        assert crossing == 0 or not outstanding, "from the next turn on the answer has been read"

    play(story())


@pytest.mark.parametrize(
    "received",
    [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"],
    ids=["line", "head"],
)
def test_delivery_is_recorded_with_the_first_line_of_its_answer(tmp_path: Path, received: bytes) -> None:
    """A message is delivered once the first line of a 200 is written; a kill at any time after it changes nothing.

    The end was recorded when the answer was complete, or given up after 1 s in its head and 0.25 s in its body.  A
    process that was killed meanwhile left the message in doubt: the next one told the caller of a failure, or sent it
    again.  The soak found it: seed 3 of 6 s, the line at 4.383 s, SIGKILL at 4.876 s, `given_up` at 6.455 s.
    """

    async def story() -> None:
        answered = asyncio.Event()
        released = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(received)
            answered.set()
            await released.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        core = core_on(tmp_path, transport)
        host, port = server.sockets[0].getsockname()
        endpoint = ListedEndpoint("n1", f"{host}:{port}", 1, "plain", rate=50.0)
        core.dispatcher.notify(core.endpoint_list.apply(EndpointListUpdate(2, True, (endpoint,))))
        await core.submit(message())
        await answered.wait()
        await until(lambda: not core.journal.outstanding)
        pending = core.dispatcher.pending_messages["m1"]
        assert pending.attempt_task and not pending.attempt_task.done(), "the rest has not come"
        assert not open_journal(tmp_path).outstanding, "a process that begins now finds nothing to do"
        released.set()
        await until(lambda: not core.dispatcher.pending_messages)
        assert core.telemetry.counters["delivery.ended.ok"] == 1
        await core.abandon()
        server.close()

    asyncio.run(story())


@pytest.mark.parametrize("crossing", TURNS)
def test_attempt_that_connects_at_the_end_is_written_and_recorded_or_neither(
    tmp_path: Path, crossing: int
) -> None:
    async def story() -> None:
        transport = ControlledTransport()
        core = core_on(tmp_path, transport)
        await core.submit(message(cls="unsafe"))
        await until(
            lambda: any(pending.attempt_task for pending in core.dispatcher.pending_messages.values())
        )
        await turns(3)
        transport.connected.set()
        await turns(crossing)
        await core.abandon()
        core.journal.close()
        before = transport.written
        await turns(20)
        assert transport.written == before, "nothing begins after the end"
        assert open_journal(tmp_path).outstanding["m1"].attempts == transport.written

    play(story())


def test_no_attempt_begins_after_the_deadline_of_the_shutdown(tmp_path: Path) -> None:
    async def story() -> None:
        transport = ControlledTransport()
        core = core_on(tmp_path, transport)
        await core.submit(message(cls="unsafe"))
        await until(
            lambda: any(pending.attempt_task for pending in core.dispatcher.pending_messages.values())
        )
        core.start_shutdown(core.dispatcher.clock() + 3300.0)
        Clock.now += 3300.0
        transport.connected.set()
        await until(lambda: transport.blocked)
        assert not core.journal.outstanding["m1"].attempts and not transport.written
        await core.abandon()

    try:
        play(story())
    finally:
        Clock.now = 1_000_000.0


@pytest.mark.parametrize("crossing", range(12))
@pytest.mark.parametrize("wait_s", [0.0, 0.006])  # the module decides at once, or at the end of its period
def test_message_that_crosses_the_end_is_accepted_exactly_where_it_is_recorded(
    tmp_path: Path, crossing: int, wait_s: float
) -> None:
    async def story() -> None:
        core = core_on(tmp_path)
        await asyncio.sleep(0.01)
        task = asyncio.create_task(core.submit(message()))
        await turns(crossing)
        await asyncio.sleep(wait_s * (crossing % 2))
        await core.abandon()
        late = await core.submit(message("late"))
        answer: SubmitResult = await task
        core.journal.close()
        outstanding = open_journal(tmp_path).outstanding
        assert late == Rejected() and "late" not in outstanding
        assert answer == (Accepted() if "m1" in outstanding else Rejected())

    play(story())


def test_no_decision_is_made_while_the_last_attempt_ends_slowly(tmp_path: Path) -> None:
    class SlowTransport(ControlledTransport):
        async def send(self, attempt: Attempt) -> AttemptResult:
            result = await super().send(attempt)
            await asyncio.sleep(0.02)  # longer than the module's period
            return result

    async def story() -> None:
        core = core_on(tmp_path, SlowTransport())
        await core.submit(message())
        await until(
            lambda: any(pending.attempt_task for pending in core.dispatcher.pending_messages.values())
        )
        await turns(2)
        task = asyncio.create_task(core.submit(message("m2")))
        await turns(2)
        await core.abandon()
        assert await task == Rejected()
        assert not [name for name in core.telemetry.counters if "invariant" in name]

    play(story())


@pytest.mark.parametrize("fails", [1, 10**9])
def test_end_without_room_in_the_journal_is_recorded_later(
    tmp_path: Path, fails: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        monkeypatch.setattr("kestreltrack.sender.message_lifecycle.END_RECORD_RETRY_DELAY_S", 0.001)
        transport = ControlledTransport()
        core = core_on(tmp_path, transport)
        failed = list[OutstandingMessage]()
        write = core.journal.record_completed

        def full(outstanding: OutstandingMessage) -> None:
            if len(failed) < fails:
                failed.append(outstanding)
                raise JournalFullError("no space left on device")
            write(outstanding)

        core.journal.record_completed = full  # type: ignore[method-assign]
        transport.connected.set()
        transport.answer.set_result(None)
        await core.submit(message())
        await until(lambda: failed)
        if fails == 1:
            await until(lambda: not core.journal.outstanding)
        await core.abandon()  # which waits for no room
        core.journal.close()
        assert bool(open_journal(tmp_path).outstanding) == (fails > 1)

    play(story())


def test_record_after_close_goes_to_no_file_that_reuses_the_descriptor(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    outstanding = journal.record_accepted(message())
    journal.close()
    other = os.open(tmp_path / "other", os.O_RDWR | os.O_CREAT)
    try:
        with pytest.raises(JournalFullError, match="closed"):
            journal.record_attempt(outstanding, 1.0, "a")
        assert not os.fstat(other).st_size
    finally:
        os.close(other)


# The next process --------------------------------------------------------------------------------


@pytest.mark.parametrize(("began", "requeue"), [(False, True), (True, False)])
def test_message_of_a_class_that_was_removed_from_the_settings_is_ended(
    tmp_path: Path, began: bool, requeue: bool
) -> None:
    async def story() -> None:
        before = open_journal(tmp_path)
        outstanding = before.record_accepted(message(cls="gone"))
        if began:
            before.record_attempt(outstanding, 999_000.0, "a")
        before.close()
        core = core_on(tmp_path)
        core.recover()
        await until(lambda: not core.journal.outstanding)
        # A message that may have been executed is never handed back for another attempt.
        assert core.notifier.notifications == [StatusNotification("m1", requeue)]  # type: ignore[attr-defined]
        assert not core.telemetry.counters["decision.fault"] and not core.telemetry.counters["delivery.fault"]
        await core.abandon()

    play(story())


def test_deduplication_window_that_began_before_the_clock_was_set_back_counts_as_expired(
    tmp_path: Path,
) -> None:
    async def story() -> None:
        transport = ControlledTransport()
        before = open_journal(tmp_path)
        before.record_attempt(before.record_accepted(message(cls="keyed")), Clock.now + 600_000.0, "a")
        before.close()
        core = core_on(tmp_path, transport)
        transport.connected.set()
        core.recover()
        await until(lambda: transport.blocked)
        assert not transport.written
        await core.abandon()

    play(story())


def test_messages_are_recovered_by_expiry_and_those_of_one_ordering_key_in_order(tmp_path: Path) -> None:
    rows = [
        ("a", 50.0, None),
        ("b", 90.0, 7),
        ("c", 40.0, None),
        ("d", 30.0, 7),
        ("e", 20.0, None),
        ("f", 95.0, 7),
    ]
    old = open_journal(tmp_path)
    for message_id, expires, key in rows:
        old.record_accepted(message(message_id, "ordered", expires, key))
    expected = ["e", "b", "d", "c", "a", "f"]
    assert [outstanding.message.id for outstanding in sorted_by_expiry(old.outstanding.values())] == expected

    async def story() -> None:
        core = core_on(tmp_path / "none")
        asked = list[str]()
        core.recovery.resume = lambda outstanding: asked.append(outstanding.message.id) or asyncio.sleep(0)  # type: ignore[method-assign,func-returns-value]
        core.recover(None)
        core.journal.outstanding.update(old.outstanding)
        core.recover()
        assert asked == expected

    (tmp_path / "none").mkdir()
    play(story())
    new = open_journal(tmp_path)
    old.close()
    assert [
        outstanding.message.id for part in new.take_over("journal") or () for outstanding in part
    ] == expected


def test_takeover_interrupted_by_a_crash_keeps_the_order_of_an_ordering_key(tmp_path: Path) -> None:
    old = open_journal(tmp_path)
    for n in range(60):
        old.record_accepted(message(f"m{n}", "ordered", 1000.0, 7))
    new = open_journal(tmp_path)
    old.close()
    takeover = new.take_over("journal")
    assert isinstance(takeover, Generator)
    while not next(takeover):
        pass
    takeover.close()
    new.close()  # the other file is left in its reverse order
    (tmp_path / "journal.1").unlink()
    assert list(open_journal(tmp_path).outstanding) == [f"m{n}" for n in range(25, 60)]


def test_first_ambiguous_attempt_is_kept_over_several_restarts(tmp_path: Path) -> None:
    settings = replace(SETTINGS, max_attempts=50)

    async def run_process(now_ms: float) -> None:
        transport = ControlledTransport()
        core = core_on(tmp_path, transport, settings)
        transport.connected.set()
        core.recover()
        Clock.now = now_ms
        if not core.journal.outstanding:
            await core.submit(message(cls="keyed"))
        await until(lambda: transport.written)
        assert core.journal.outstanding["m1"].first_ambiguous() == AttemptStart(1_000_000.0, "")
        await core.abandon()
        core.journal.close()

    try:
        for n in range(4):
            play(run_process(1_000_000.0 + 100.0 * n))
    finally:
        Clock.now = 1_000_000.0


@pytest.mark.parametrize("slices", range(0, 7))
def test_shutdown_during_a_takeover_leaves_each_message_in_one_file(tmp_path: Path, slices: int) -> None:
    async def story() -> None:
        new = open_successor(tmp_path, 80)
        dispatcher = Dispatcher(Policy(SETTINGS, 1), Clock(), Telemetry())
        core = Core(
            dispatcher, SETTINGS, new, EndpointList(), ControlledTransport(), RecordingNotifier(), Telemetry()
        )
        seen = list[int]()
        real = new.take_over

        def counted(slot: str) -> Any:
            for part in real(slot) or ():
                seen.append(len(part))
                yield part

        new.take_over = counted  # type: ignore[method-assign]
        task = asyncio.create_task(Takeover(core, new, Telemetry()).take_over())
        await until(lambda: len(seen) >= slices)
        task.cancel()
        await core.abandon()
        new.close()
        await asyncio.wait({task})
        del task
        assert set(open_journal(tmp_path, 3_000_000).outstanding) == {f"m{n}" for n in range(80)}

    play(story())


def test_recovered_messages_count_against_the_queue_capacity_before_new_ones(tmp_path: Path) -> None:
    async def story() -> None:
        transport = ControlledTransport()
        before = open_journal(tmp_path)
        for n in range(3):
            before.record_accepted(message(f"m{n}", "unsafe"))
        before.close()
        core = core_on(tmp_path, transport, replace(SETTINGS, queue_capacity=3))
        transport.connected.set()
        core.recover()
        assert await core.submit(message("new")) == Rejected()
        await until(lambda: transport.written)
        await core.abandon()

    play(story())


@pytest.mark.parametrize("crossing", TURNS)
def test_batch_call_in_flight_at_the_end_delays_nobody_and_stays_ambiguous(
    tmp_path: Path, crossing: int
) -> None:
    settings = replace(SETTINGS, kinds={"plain": KindSettings(max_batch_size=5)})

    async def story() -> None:
        request_received = asyncio.Event()

        async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            request_received.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        transport = BatchTransport(ConnectionPool(5.0, 1.0, 10, Telemetry()), Telemetry())
        core = core_on(tmp_path, transport, settings)
        core.dispatcher.max_batch_size = lambda uid: 5
        core.dispatcher.notify(
            core.endpoint_list.apply(
                EndpointListUpdate(2, True, (ListedEndpoint("n1", address, 1, "plain"),))
            )
        )
        await asyncio.gather(*(core.submit(message(f"m{n}", "unsafe")) for n in range(3)))
        await turns(crossing)
        await (request_received.wait() if crossing else asyncio.sleep(0))
        await core.abandon()
        core.journal.close()
        outstanding_messages = open_journal(tmp_path).outstanding.values()
        assert len(outstanding_messages) == 3 and {
            outstanding.first_ambiguous() is not None for outstanding in outstanding_messages
        } == {request_received.is_set()}
        server.close()

    play(story())
