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

from kestreltrack.decision import Policy, api
from kestreltrack.journal import Doubt, Held, JournalFull, first_to_expire
from kestreltrack.machinelist import MachineList
from kestreltrack.nodes.batch import BatchTransport
from kestreltrack.nodes.pool import Pool
from kestreltrack.ports import (
    Answer,
    Claim,
    ClaimResult,
    ListUpdate,
    Machine,
    Message,
    Notice,
    TakenOn,
    TurnedAway,
)
from kestreltrack.sender.core import Core
from kestreltrack.sender.desk import Desk
from kestreltrack.sender.succession import Succession
from kestreltrack.telemetry import Telemetry

TURNS = range(8)  # of the loop, between one event and the other that it crosses


class Wire:
    """Connects when told, answers when told; counts what was written."""

    def __init__(self) -> None:
        self.up, self.answer = asyncio.Event(), asyncio.get_running_loop().create_future()
        self.written = self.refused = self.delivered = 0

    async def claim(self, claim: Claim) -> ClaimResult:
        try:
            await self.up.wait()
            if not claim.begin():
                self.refused += 1
                return ClaimResult(api.Outcome.NOT_SENT)
            self.written += 1
            await self.answer
        except asyncio.CancelledError:
            return ClaimResult(api.Outcome.CANCELLED)
        self.delivered += 1
        return ClaimResult(api.Outcome.OK, over=True)

    def unlink(self, uid: str) -> None:
        """Nothing is kept."""


class Recorder(Board):
    """Takes every notice, and keeps them."""

    def __init__(self) -> None:
        self.told = list[Notice]()

    async def tell(self, notice: Notice) -> None:
        self.told.append(notice)


def core_on(folder: Path, transport: Any = None, settings: api.Settings = SETTINGS) -> Core:
    telemetry = Telemetry()
    desk = Desk(Policy(settings, 1), Clock(), telemetry)
    core = Core(desk, settings, opened(folder), MachineList(), transport or Wire(), Recorder(), telemetry)
    desk.tell(
        core.machines.apply(ListUpdate(1, True, (Machine("n1", "127.0.0.1:1", 1, "plain", rate=50.0),)))
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
        held = opened(tmp_path).held
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
        await until(lambda: any(seat.claim for seat in core.desk.seats.values()))
        await turns(3)
        wire.up.set()
        await turns(crossing)
        await core.abandon()
        core.journal.close()
        before = wire.written
        await turns(20)
        assert wire.written == before, "nothing begins after the end"
        assert opened(tmp_path).held["m1"].tries == wire.written

    play(story())


def test_no_attempt_begins_after_the_time_that_the_module_was_told(tmp_path: Path) -> None:
    async def story() -> None:
        wire = Wire()
        core = core_on(tmp_path, wire)
        await core.submit(message(cls="unsafe"))
        await until(lambda: any(seat.claim for seat in core.desk.seats.values()))
        core.stopping(core.desk.clock() + 3300.0)
        Clock.now += 3300.0
        wire.up.set()
        await until(lambda: wire.refused)
        assert not core.journal.held["m1"].tries and not wire.written
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
        answer: Answer = await task
        core.journal.close()
        held = opened(tmp_path).held
        assert late == TurnedAway() and "late" not in held
        assert answer == (TakenOn() if "m1" in held else TurnedAway())

    play(story())


def test_nothing_is_decided_any_more_while_an_attempt_takes_its_time_to_end(tmp_path: Path) -> None:
    class Lingering(Wire):
        async def claim(self, claim: Claim) -> ClaimResult:
            result = await super().claim(claim)
            await asyncio.sleep(0.02)  # longer than the module's period
            return result

    async def story() -> None:
        core = core_on(tmp_path, Lingering())
        await core.submit(message())
        await until(lambda: any(seat.claim for seat in core.desk.seats.values()))
        await turns(2)
        task = asyncio.create_task(core.submit(message("m2")))
        await turns(2)
        await core.abandon()
        assert await task == TurnedAway()
        assert not [name for name in core.telemetry.counters if "invariant" in name]

    play(story())


@pytest.mark.parametrize("fails", [1, 10**9])
def test_an_end_that_finds_no_room_in_the_folder_is_recorded_later(
    tmp_path: Path, fails: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        monkeypatch.setattr("kestreltrack.sender.core.END_AGAIN_S", 0.001)
        wire = Wire()
        core, failed = core_on(tmp_path, wire), list[Held]()
        write = core.journal.end

        def full(held: Held) -> None:
            if len(failed) < fails:
                failed.append(held)
                raise JournalFull("no space left on device")
            write(held)

        core.journal.end = full  # type: ignore[method-assign]
        wire.up.set()
        wire.answer.set_result(None)
        await core.submit(message())
        await until(lambda: failed)
        if fails == 1:
            await until(lambda: not core.journal.held)
        await core.abandon()  # which waits for no room
        core.journal.close()
        assert bool(opened(tmp_path).held) == (fails > 1)

    play(story())


def test_a_record_after_the_end_goes_to_no_other_file_that_got_its_number(tmp_path: Path) -> None:
    journal = opened(tmp_path)
    held = journal.take(message())
    journal.close()
    other = os.open(tmp_path / "other", os.O_RDWR | os.O_CREAT)
    try:
        with pytest.raises(JournalFull, match="closed"):
            journal.claim(held, 1.0, "a")
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
        held = before.take(message(cls="gone"))
        if began:
            before.claim(held, 999_000.0, "a")
        before.close()
        core = core_on(tmp_path)
        core.recover()
        await until(lambda: not core.journal.held)
        assert core.notices.told == [Notice("m1", requeue)], "what may have run is never said to be harmless"  # type: ignore[attr-defined]
        assert not core.telemetry.counters["module.fault"] and not core.telemetry.counters["core.fault"]
        await core.abandon()

    play(story())


def test_a_window_that_began_before_the_clock_was_set_back_counts_as_over(tmp_path: Path) -> None:
    async def story() -> None:
        wire, before = Wire(), opened(tmp_path)
        before.claim(before.take(message(cls="keyed")), Clock.now + 600_000.0, "a")
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
        old.take(message(id_, "ordered", expires, key))
    expected = ["e", "b", "d", "c", "a", "f"]
    assert [held.message.id for held in first_to_expire(old.held.values())] == expected

    async def story() -> None:
        core = core_on(tmp_path / "none")
        asked = list[str]()
        core.resume = lambda held: asked.append(held.message.id) or asyncio.sleep(0)  # type: ignore[method-assign,func-returns-value]
        core.recover(None)
        core.journal.held.update(old.held)
        core.recover()
        assert asked == expected

    (tmp_path / "none").mkdir()
    play(story())
    new = opened(tmp_path)
    old.close()
    assert [held.message.id for part in new.adopt("journal") or () for held in part] == expected


def test_an_adoption_that_a_crash_breaks_off_keeps_the_order_of_a_key(tmp_path: Path) -> None:
    old = opened(tmp_path)
    for n in range(60):
        old.take(message(f"m{n}", "ordered", 1000.0, 7))
    new = opened(tmp_path)
    old.close()
    adoption = new.adopt("journal")
    assert isinstance(adoption, Generator)
    while not next(adoption):
        pass
    adoption.close()
    new.close()  # the other file is left in its reverse order
    (tmp_path / "journal.1").unlink()
    assert list(opened(tmp_path).held) == [f"m{n}" for n in range(25, 60)]


def test_what_is_restored_keeps_the_first_doubt_of_many_lives(tmp_path: Path) -> None:
    settings = replace(SETTINGS, try_limit=50)

    async def life(at: float) -> None:
        wire = Wire()
        core = core_on(tmp_path, wire, settings)
        wire.up.set()
        core.recover()
        Clock.now = at
        if not core.journal.held:
            await core.submit(message(cls="keyed"))
        await until(lambda: wire.written)
        assert core.journal.held["m1"].first_doubt() == Doubt(1_000_000.0, "")
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
        desk = Desk(Policy(SETTINGS, 1), Clock(), Telemetry())
        core = Core(desk, SETTINGS, new, MachineList(), Wire(), Recorder(), Telemetry())
        seen = list[int]()
        real = new.adopt

        def counted(slot: str) -> Any:
            for part in real(slot) or ():
                seen.append(len(part))
                yield part

        new.adopt = counted  # type: ignore[method-assign]
        task = asyncio.create_task(Succession(core, new, Telemetry()).adopt())
        await until(lambda: len(seen) >= slices)
        task.cancel()
        await core.abandon()
        new.close()
        await asyncio.wait({task})
        del task
        assert set(opened(tmp_path, 3_000_000).held) == {f"m{n}" for n in range(80)}

    play(story())


def test_recovered_messages_count_as_held_before_any_new_one_is_taken_on(tmp_path: Path) -> None:
    async def story() -> None:
        wire, before = Wire(), opened(tmp_path)
        for n in range(3):
            before.take(message(f"m{n}", "unsafe"))
        before.close()
        core = core_on(tmp_path, wire, replace(SETTINGS, hold=3))
        wire.up.set()
        core.recover()
        assert await core.submit(message("new")) == TurnedAway()
        await until(lambda: wire.written)
        await core.abandon()

    play(story())


@pytest.mark.parametrize("crossing", TURNS)
def test_a_call_of_many_that_is_out_at_the_end_holds_nobody_up_and_stays_in_doubt(
    tmp_path: Path, crossing: int
) -> None:
    settings = replace(SETTINGS, kinds={"plain": api.KindSettings(batch=5)})

    async def story() -> None:
        came = asyncio.Event()

        async def hangs(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            came.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(hangs, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        transport = BatchTransport(Pool(5.0, 1.0, 10, Telemetry()), Telemetry())
        core = core_on(tmp_path, transport, settings)
        core.desk.batch = lambda uid: 5
        core.desk.tell(core.machines.apply(ListUpdate(2, True, (Machine("n1", address, 1, "plain"),))))
        await asyncio.gather(*(core.submit(message(f"m{n}", "unsafe")) for n in range(3)))
        await turns(crossing)
        await (came.wait() if crossing else asyncio.sleep(0))
        await core.abandon()
        core.journal.close()
        helds = opened(tmp_path).held.values()
        assert len(helds) == 3 and {held.first_doubt() is not None for held in helds} == {came.is_set()}
        server.close()

    play(story())
