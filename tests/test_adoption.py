"""What another slot's process left is taken over in slices; a crash at any point leaves each message with one."""

from __future__ import annotations

import asyncio
import copy
import os
import shutil
from collections.abc import Generator
from pathlib import Path

import pytest
from scenario import SETTINGS, World
from test_journal import message, opened, used

from kestreltrack.journal import Journal
from kestreltrack.journal.takeover import TAKEOVER_BATCH_SIZE
from kestreltrack.ports import Message, make_clock
from kestreltrack.telemetry import Telemetry

MB = 1_000_000


def left_behind(folder: Path, count: int, size: int = 3 * MB, body: int = 200) -> Journal:
    """A successor whose predecessor has just ended with `count` messages, the last handed in expiring first."""
    old = opened(folder, size)
    for n in range(count):
        old.record_accepted(Message(f"m{n}", "keyed", 3, 1e12 - n, bytes(body)))
    new = opened(folder, size)
    old.close()
    return new


def steps(journal: Journal) -> Generator[list[str], None, None]:
    for part in journal.take_over("journal") or ():
        yield [held.message.id for held in part]


def test_slices_are_small_and_the_first_to_expire_come_first(tmp_path: Path) -> None:
    new = left_behind(tmp_path, 2000)
    parts = list(steps(new))
    assert max(map(len, parts)) == TAKEOVER_BATCH_SIZE, "no turn of the loop answers for more than these"
    assert [id_ for part in parts for id_ in part] == [f"m{n}" for n in reversed(range(2000))]
    assert not new.other_slots and len(new.outstanding) == 2000 and not (tmp_path / "journal").exists()


def test_adopting_much_rewrites_the_file_a_few_times_not_at_each_record(tmp_path: Path) -> None:
    # 97 rewrites for 577 messages before: what is held twice over went past the share, and each record rewrote all.
    new = left_behind(tmp_path, 577, body=800)
    assert sum(map(len, steps(new))) == 577 and new.telemetry.counters["journal.compactions"] <= 4
    for n in range(200):  # nor afterwards, while it is still held
        new.record_completed(new.record_accepted(message(f"later{n}")))
    assert new.telemetry.counters["journal.compactions"] <= 8


class Crash(Exception):
    """The process is no more."""


def crashing(monkeypatch: pytest.MonkeyPatch, after: int) -> None:
    """The process ends before its `after`th change of a file; what was written until then stays."""
    left = [after]

    def guarded(real: object) -> object:
        def call(*args: object) -> object:
            left[0] -= 1
            if left[0] < 0:
                raise Crash
            return real(*args)  # type: ignore[operator]

        return call

    for name in ("write", "rename", "ftruncate", "unlink"):
        monkeypatch.setattr(os, name, guarded(getattr(os, name)))


def test_a_crash_before_any_change_of_a_file_leaves_each_message_with_exactly_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    count, finished, dead = 3 * TAKEOVER_BATCH_SIZE + 1, False, list[Generator[list[str], None, None]]()
    for after in range(100):
        folder = tmp_path / str(after)
        folder.mkdir()
        new = left_behind(folder, count)
        new.record_accepted(message("own"))
        delivered = set[str]()
        with monkeypatch.context() as patch:
            crashing(patch, after)
            dead.append(steps(new))  # kept: a process that has crashed closes nothing
            try:
                for part in dead[-1]:
                    for id_ in part[::2]:  # some end at once: they must not come back from the other file
                        new.record_completed(new.outstanding[id_])
                        delivered.add(id_)
                finished = True
            except Crash:
                pass
        seen = shutil.copytree(folder, tmp_path / f"{after}-then")  # its locks went with the process
        third = opened(seen, 3 * MB)
        everything = {f"m{n}" for n in range(count)} | {"own"}
        assert set(third.outstanding) == everything - delivered, f"crash before change {after}"
        third.close()
        assert set(opened(seen, 3 * MB).outstanding) == everything - delivered
        if finished:
            break
    assert finished and after > 10, "the crash was planted in front of every change there is"


@pytest.mark.parametrize("body", [100, 800, 20_000])
def test_the_folder_stays_within_its_size_while_two_full_files_become_one(tmp_path: Path, body: int) -> None:
    size = 600_000
    old, n = opened(tmp_path, size), 0
    while old.has_capacity_for(new_message := Message(f"old{n}", "keyed", 3, 1e12 - n, bytes(body))):
        old.record_attempt(old.record_accepted(new_message), 1.0, "a")
        n += 1
    for _ in range(3000):  # the file as large as it gets
        old.record_attempt(old.outstanding["old0"], 1.0, "a")
    new, m = opened(tmp_path, size), 0
    while new.has_capacity_for(new_message := Message(f"new{m}", "keyed", 3, 1e12, bytes(body))):
        new.record_accepted(new_message)
        m += 1
    old.close()
    most, took = 0, 0
    for number, part in enumerate(new.take_over("journal") or ()):
        took += len(part)
        new.record_completed(
            new.record_accepted(message(f"between{number}"))
        )  # submitters come on between two slices
        most = max(most, used(tmp_path))
    assert took == n and len(new.outstanding) == n + m and most <= size
    new.close()
    assert len(opened(tmp_path, size).outstanding) == n + m


def test_what_finds_no_room_stays_where_it_is_and_is_taken_later(tmp_path: Path) -> None:
    new = left_behind(tmp_path, 3 * TAKEOVER_BATCH_SIZE)
    adoption = steps(new)
    while not next(adoption):
        pass
    adoption.close()  # broken off after the first slice
    assert len(new.outstanding) == TAKEOVER_BATCH_SIZE and new.other_slots == ["journal"]
    assert (
        sum(map(len, steps(new))) == 2 * TAKEOVER_BATCH_SIZE
        and len(new.outstanding) == 3 * TAKEOVER_BATCH_SIZE
        and not new.other_slots
    )


def test_two_thousand_held_at_the_old_ones_end_keep_nobody_waiting(tmp_path: Path) -> None:
    """The test is the old process: it holds a slot, and lets go of it while the new one serves."""

    async def whole() -> None:
        (tmp_path / "state").mkdir()
        old = Journal(tmp_path / "state", 3_000_000, Telemetry())
        expires = make_clock()() + 600_000.0
        for n in range(2000):
            old.record_accepted(Message(f"m{n}", "keyed", 3, expires + n, bytes(200)))
        world = World(tmp_path, copy.deepcopy(SETTINGS))
        world.settings["allowed"]["mostHeld"] = 3000
        world.settings["allowed"]["tryLimit"] = (
            10_000  # however slow the machine, none is handed back meanwhile
        )
        world.letting_go = old.close
        await world.play("""
            sender lets go
            sender expect claim id=m0
            sender never adopted
            s1 send PING
            s1 expect +PONG
            s1 send SUBMIT new1 c=keyed,d=20000,dest=2
            s1 expect +OK
            n3 expect new1
            n3 send 200
            sender expect end id=new1 how=ok
            sender expect adopted messages=2000
            s1 send PING
            s1 expect +PONG""")

    asyncio.run(whole())
