"""What crosses the end of a process: what was read is recorded, and nothing begins that nobody would hear of."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Generator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from conftest import SETTINGS
from test_adoption import left_behind
from test_journal import opened
from test_windows import Board, Clock

from kestreltrack.decision import KindSettings, Outcome, Policy, Settings
from kestreltrack.discovery import EndpointList
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
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

TURNS = range(8)  # of the loop, between one event and the other that it crosses


class Wire:
    """Connects when told, answers when told; counts what was written."""

    def __init__(self) -> None:
        self.up, self.answer = asyncio.Event(), asyncio.get_running_loop().create_future()
        self.written = self.refused = self.delivered = 0

    async def send(self, claim: Attempt) -> AttemptResult:
        try:
            await self.up.wait()
            if not claim.begin():
                self.refused += 1
                return AttemptResult(Outcome.NOT_SENT)
            self.written += 1
            await self.answer
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED)
        self.delivered += 1
        return AttemptResult(Outcome.OK, final=True)

    def close_idle(self, uid: str) -> None:
        """Nothing is kept."""


class Recorder(Board):
    """Takes every notice, and keeps them."""

    def __init__(self) -> None:
        self.told = list[StatusNotification]()

    async def notify(self, notice: StatusNotification) -> None:
        self.told.append(notice)


def core_on(folder: Path, transport: Any = None, settings: Settings = SETTINGS) -> Core:
    telemetry = Telemetry()
    desk = Dispatcher(Policy(settings, 1), Clock(), telemetry)
    core = Core(desk, settings, opened(folder), EndpointList(), transport or Wire(), Recorder(), telemetry)
    desk.notify(
        core.endpoint_list.apply(
            EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain", rate=50.0),))
        )
    )
    return core


def message(
    id_: str = "m1", cls: str = "safe", expires: float = 1_009_000.0, key: int | None = None
) -> Message:
    return Message(id_, cls, 1, expires, b"x", None, key, "k")


async def turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(holds: Callable[[], object]) -> None:
    while not holds():
        await asyncio.sleep(0.001)


def play(story: Any) -> None:
    asyncio.run(asyncio.wait_for(story, 20.0))


# What crosses the end of the process -------------------------------------------------------------


@pytest.mark.parametrize("crossing", TURNS)
def test_a_delivery_that_was_read_before_the_end_is_over_for_the_next_process(
    tmp_path: Path, crossing: int
) -> None:
    async def story() -> None:
        wire = Wire()
        core = core_on(tmp_path, wire)
        wire.up.set()
        await core.submit(message())
        await until(lambda: wire.written)
        wire.answer.set_result(None)
        await turns(crossing)
        await core.abandon()
        core.journal.close()
        held = opened(tmp_path).outstanding
        assert bool(held) == (not wire.delivered)
        assert crossing == 0 or not held, "from the turn after, it has been read"

    play(story())


@pytest.mark.parametrize("crossing", TURNS)
def test_an_attempt_whose_connection_comes_up_at_the_end_is_written_and_recorded_or_neither(
    tmp_path: Path, crossing: int
) -> None:
    async def story() -> None:
        wire = Wire()
        core = core_on(tmp_path, wire)
        await core.submit(message(cls="unsafe"))
        await until(lambda: any(seat.attempt_task for seat in core.dispatcher.pending_messages.values()))
        await turns(3)
        wire.up.set()
        await turns(crossing)
        await core.abandon()
        core.journal.close()
        before = wire.written
        await turns(20)
        assert wire.written == before, "nothing begins after the end"
        assert opened(tmp_path).outstanding["m1"].attempts == wire.written

    play(story())


def test_no_attempt_begins_after_the_time_that_the_module_was_told(tmp_path: Path) -> None:
    async def story() -> None:
        wire = Wire()
        core = core_on(tmp_path, wire)
        await core.submit(message(cls="unsafe"))
        await until(lambda: any(seat.attempt_task for seat in core.dispatcher.pending_messages.values()))
        core.start_shutdown(core.dispatcher.clock() + 3300.0)
        Clock.now += 3300.0
        wire.up.set()
        await until(lambda: wire.refused)
        assert not core.journal.outstanding["m1"].attempts and not wire.written
        await core.abandon()

    try:
        play(story())
    finally:
        Clock.now = 1_000_000.0


@pytest.mark.parametrize("crossing", range(12))
@pytest.mark.parametrize("wait_s", [0.0, 0.006])  # the module decides at once, or at the end of its period
def test_a_message_that_crosses_the_end_is_answered_as_taken_on_where_it_is_recorded_and_nowhere_else(
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
        held = opened(tmp_path).outstanding
        assert late == Rejected() and "late" not in held
        assert answer == (Accepted() if "m1" in held else Rejected())

    play(story())


def test_nothing_is_decided_any_more_while_an_attempt_takes_its_time_to_end(tmp_path: Path) -> None:
    class Lingering(Wire):
        async def send(self, attempt: Attempt) -> AttemptResult:
            result = await super().send(attempt)
            await asyncio.sleep(0.02)  # longer than the module's period
            return result

    async def story() -> None:
        core = core_on(tmp_path, Lingering())
        await core.submit(message())
        await until(lambda: any(seat.attempt_task for seat in core.dispatcher.pending_messages.values()))
        await turns(2)
        task = asyncio.create_task(core.submit(message("m2")))
        await turns(2)
        await core.abandon()
        assert await task == Rejected()
        assert not [name for name in core.telemetry.counters if "invariant" in name]

    play(story())


@pytest.mark.parametrize("fails", [1, 10**9])
def test_an_end_that_finds_no_room_in_the_folder_is_recorded_later(
    tmp_path: Path, fails: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        monkeypatch.setattr("kestreltrack.sender.message_lifecycle.END_RECORD_RETRY_DELAY_S", 0.001)
        wire = Wire()
        core, failed = core_on(tmp_path, wire), list[OutstandingMessage]()
        write = core.journal.record_completed

        def full(outstanding: OutstandingMessage) -> None:
            if len(failed) < fails:
                failed.append(outstanding)
                raise JournalFullError("no space left on device")
            write(outstanding)

        core.journal.record_completed = full  # type: ignore[method-assign]
        wire.up.set()
        wire.answer.set_result(None)
        await core.submit(message())
        await until(lambda: failed)
        if fails == 1:
            await until(lambda: not core.journal.outstanding)
        await core.abandon()  # which waits for no room
        core.journal.close()
        assert bool(opened(tmp_path).outstanding) == (fails > 1)

    play(story())


def test_a_record_after_the_end_goes_to_no_other_file_that_got_its_number(tmp_path: Path) -> None:
    journal = opened(tmp_path)
    held = journal.record_accepted(message())
    journal.close()
    other = os.open(tmp_path / "other", os.O_RDWR | os.O_CREAT)
    try:
        with pytest.raises(JournalFullError, match="closed"):
            journal.record_attempt(held, 1.0, "a")
        assert not os.fstat(other).st_size
    finally:
        os.close(other)


# What the next process finds ---------------------------------------------------------------------


@pytest.mark.parametrize(("began", "requeue"), [(False, True), (True, False)])
def test_a_message_whose_class_the_settings_know_no_more_has_its_end(
    tmp_path: Path, began: bool, requeue: bool
) -> None:
    async def story() -> None:
        before = opened(tmp_path)
        held = before.record_accepted(message(cls="gone"))
        if began:
            before.record_attempt(held, 999_000.0, "a")
        before.close()
        core = core_on(tmp_path)
        core.recover()
        await until(lambda: not core.journal.outstanding)
        # What may have run is never said to be harmless.
        assert core.notifier.told == [StatusNotification("m1", requeue)]  # type: ignore[attr-defined]
        assert not core.telemetry.counters["decision.fault"] and not core.telemetry.counters["delivery.fault"]
        await core.abandon()

    play(story())


def test_a_window_that_began_before_the_clock_was_set_back_counts_as_over(tmp_path: Path) -> None:
    async def story() -> None:
        wire, before = Wire(), opened(tmp_path)
        before.record_attempt(before.record_accepted(message(cls="keyed")), Clock.now + 600_000.0, "a")
        before.close()
        core = core_on(tmp_path, wire)
        wire.up.set()
        core.recover()
        await until(lambda: wire.refused)
        assert not wire.written
        await core.abandon()

    play(story())


def test_the_first_to_expire_are_recovered_first_and_those_of_one_key_in_their_order(tmp_path: Path) -> None:
    rows = [
        ("a", 50.0, None),
        ("b", 90.0, 7),
        ("c", 40.0, None),
        ("d", 30.0, 7),
        ("e", 20.0, None),
        ("f", 95.0, 7),
    ]
    old = opened(tmp_path)
    for id_, expires, key in rows:
        old.record_accepted(message(id_, "ordered", expires, key))
    expected = ["e", "b", "d", "c", "a", "f"]
    assert [held.message.id for held in sorted_by_expiry(old.outstanding.values())] == expected

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
    new = opened(tmp_path)
    old.close()
    assert [held.message.id for part in new.take_over("journal") or () for held in part] == expected


def test_an_adoption_that_a_crash_breaks_off_keeps_the_order_of_a_key(tmp_path: Path) -> None:
    old = opened(tmp_path)
    for n in range(60):
        old.record_accepted(message(f"m{n}", "ordered", 1000.0, 7))
    new = opened(tmp_path)
    old.close()
    adoption = new.take_over("journal")
    assert isinstance(adoption, Generator)
    while not next(adoption):
        pass
    adoption.close()
    new.close()  # the other file is left in its reverse order
    (tmp_path / "journal.1").unlink()
    assert list(opened(tmp_path).outstanding) == [f"m{n}" for n in range(25, 60)]


def test_what_is_restored_keeps_the_first_doubt_of_many_lives(tmp_path: Path) -> None:
    settings = replace(SETTINGS, max_attempts=50)

    async def life(at: float) -> None:
        wire = Wire()
        core = core_on(tmp_path, wire, settings)
        wire.up.set()
        core.recover()
        Clock.now = at
        if not core.journal.outstanding:
            await core.submit(message(cls="keyed"))
        await until(lambda: wire.written)
        assert core.journal.outstanding["m1"].first_ambiguous() == AttemptStart(1_000_000.0, "")
        await core.abandon()
        core.journal.close()

    try:
        for n in range(4):
            play(life(1_000_000.0 + 100.0 * n))
    finally:
        Clock.now = 1_000_000.0


@pytest.mark.parametrize("slices", range(0, 7))
def test_sigterm_in_the_middle_of_an_adoption_leaves_each_message_with_one_file(
    tmp_path: Path, slices: int
) -> None:
    async def story() -> None:
        new = left_behind(tmp_path, 80)
        desk = Dispatcher(Policy(SETTINGS, 1), Clock(), Telemetry())
        core = Core(desk, SETTINGS, new, EndpointList(), Wire(), Recorder(), Telemetry())
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
        assert set(opened(tmp_path, 3_000_000).outstanding) == {f"m{n}" for n in range(80)}

    play(story())


def test_recovered_messages_count_as_held_before_any_new_one_is_taken_on(tmp_path: Path) -> None:
    async def story() -> None:
        wire, before = Wire(), opened(tmp_path)
        for n in range(3):
            before.record_accepted(message(f"m{n}", "unsafe"))
        before.close()
        core = core_on(tmp_path, wire, replace(SETTINGS, queue_capacity=3))
        wire.up.set()
        core.recover()
        assert await core.submit(message("new")) == Rejected()
        await until(lambda: wire.written)
        await core.abandon()

    play(story())


@pytest.mark.parametrize("crossing", TURNS)
def test_a_call_of_many_that_is_out_at_the_end_holds_nobody_up_and_stays_in_doubt(
    tmp_path: Path, crossing: int
) -> None:
    settings = replace(SETTINGS, kinds={"plain": KindSettings(max_batch_size=5)})

    async def story() -> None:
        came = asyncio.Event()

        async def hangs(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            came.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(hangs, "127.0.0.1", 0)
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
        await (came.wait() if crossing else asyncio.sleep(0))
        await core.abandon()
        core.journal.close()
        helds = opened(tmp_path).outstanding.values()
        assert len(helds) == 3 and {held.first_ambiguous() is not None for held in helds} == {came.is_set()}
        server.close()

    play(story())
