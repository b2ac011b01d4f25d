"""Takeover of another slot's messages in slices: a crash at any point leaves each message with one process."""

from __future__ import annotations

import asyncio
import copy
import os
import shutil
from collections.abc import Generator
from pathlib import Path

import pytest
from scenario import SETTINGS, ScenarioHarness
from test_journal import message, opened, used

from kestreltrack.journal import Journal
from kestreltrack.journal.takeover import TAKEOVER_BATCH_SIZE
from kestreltrack.ports import Message, make_clock
from kestreltrack.telemetry import Telemetry

MB = 1_000_000


def left_behind(folder: Path, count: int, size: int = 3 * MB, body: int = 200) -> Journal:
    """Return a successor whose predecessor has just ended with `count` messages, the last accepted expiring first."""
    predecessor = opened(folder, size)
    for number in range(count):
        predecessor.record_accepted(Message(f"m{number}", "keyed", 3, 1e12 - number, bytes(body)))
    successor = opened(folder, size)
    predecessor.close()
    return successor


def takeover_steps(journal: Journal) -> Generator[list[str], None, None]:
    for batch in journal.take_over("journal") or ():
        yield [held.message.id for held in batch]


def test_takeover_batches_are_small_and_the_first_to_expire_come_first(tmp_path: Path) -> None:
    successor = left_behind(tmp_path, 2000)
    batches = list(takeover_steps(successor))
    assert max(map(len, batches)) == TAKEOVER_BATCH_SIZE, "no turn of the loop answers for more than these"
    assert [id_ for batch in batches for id_ in batch] == [f"m{number}" for number in reversed(range(2000))]
    assert (
        not successor.other_slots
        and len(successor.outstanding) == 2000
        and not (tmp_path / "journal").exists()
    )


def test_takeover_of_many_messages_compacts_the_file_a_few_times(tmp_path: Path) -> None:
    # Once 97 compactions for 577 messages: what is stored twice exceeded the share, and each record caused one.
    successor = left_behind(tmp_path, 577, body=800)
    assert (
        sum(map(len, takeover_steps(successor))) == 577
        and successor.telemetry.counters["journal.compactions"] <= 4
    )
    for number in range(200):  # nor afterwards, while it is still held
        successor.record_completed(successor.record_accepted(message(f"later{number}")))
    assert successor.telemetry.counters["journal.compactions"] <= 8


class CrashError(Exception):
    """The process has ended."""


def crashing(monkeypatch: pytest.MonkeyPatch, after: int) -> None:
    """The process ends before its `after`th change of a file; what was written until then stays."""
    changes_left = [after]

    def crashing_call(real: object) -> object:
        def call(*args: object) -> object:
            changes_left[0] -= 1
            if changes_left[0] < 0:
                raise CrashError
            return real(*args)  # type: ignore[operator]

        return call

    for name in ("write", "rename", "ftruncate", "unlink"):
        monkeypatch.setattr(os, name, crashing_call(getattr(os, name)))


def test_crash_before_any_change_of_a_file_leaves_each_message_with_exactly_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    count = 3 * TAKEOVER_BATCH_SIZE + 1
    finished = False
    crashed_takeovers = list[Generator[list[str], None, None]]()
    for after in range(100):
        folder = tmp_path / str(after)
        folder.mkdir()
        successor = left_behind(folder, count)
        successor.record_accepted(message("own"))
        delivered = set[str]()
        with monkeypatch.context() as patch:
            crashing(patch, after)
            # Referred to until the end: a process that has crashed closes nothing.
            crashed_takeovers.append(takeover_steps(successor))
            try:
                for batch in crashed_takeovers[-1]:
                    for id_ in batch[::2]:  # some end at once: they must not come back from the other file
                        successor.record_completed(successor.outstanding[id_])
                        delivered.add(id_)
                finished = True
            except CrashError:
                pass
        # In a copy, since the locks end with a real process.
        folder_after_crash = shutil.copytree(folder, tmp_path / f"{after}-then")
        next_process = opened(folder_after_crash, 3 * MB)
        all_ids = {f"m{number}" for number in range(count)} | {"own"}
        assert set(next_process.outstanding) == all_ids - delivered, f"crash before change {after}"
        next_process.close()
        assert set(opened(folder_after_crash, 3 * MB).outstanding) == all_ids - delivered
        if finished:
            break
    assert finished and after > 10, "the crash was planted in front of every change there is"


@pytest.mark.parametrize("body", [100, 800, 20_000])
def test_folder_stays_within_its_size_while_two_full_files_become_one(tmp_path: Path, body: int) -> None:
    size = 600_000
    predecessor, predecessor_count = opened(tmp_path, size), 0
    while predecessor.has_capacity_for(
        new_message := Message(f"old{predecessor_count}", "keyed", 3, 1e12 - predecessor_count, bytes(body))
    ):
        predecessor.record_attempt(predecessor.record_accepted(new_message), 1.0, "a")
        predecessor_count += 1
    for _ in range(3000):  # the file as large as it gets
        predecessor.record_attempt(predecessor.outstanding["old0"], 1.0, "a")
    successor, successor_count = opened(tmp_path, size), 0
    while successor.has_capacity_for(
        new_message := Message(f"new{successor_count}", "keyed", 3, 1e12, bytes(body))
    ):
        successor.record_accepted(new_message)
        successor_count += 1
    predecessor.close()
    most_bytes, taken_over = 0, 0
    for batch_index, batch in enumerate(successor.take_over("journal") or ()):
        taken_over += len(batch)
        # Clients submit between two slices.
        successor.record_completed(successor.record_accepted(message(f"between{batch_index}")))
        most_bytes = max(most_bytes, used(tmp_path))
    assert (
        taken_over == predecessor_count
        and len(successor.outstanding) == predecessor_count + successor_count
        and most_bytes <= size
    )
    successor.close()
    assert len(opened(tmp_path, size).outstanding) == predecessor_count + successor_count


def test_takeover_that_is_broken_off_continues_later(tmp_path: Path) -> None:
    successor = left_behind(tmp_path, 3 * TAKEOVER_BATCH_SIZE)
    takeover = takeover_steps(successor)
    while not next(takeover):
        pass
    takeover.close()  # broken off after the first slice
    assert len(successor.outstanding) == TAKEOVER_BATCH_SIZE and successor.other_slots == ["journal"]
    assert (
        sum(map(len, takeover_steps(successor))) == 2 * TAKEOVER_BATCH_SIZE
        and len(successor.outstanding) == 3 * TAKEOVER_BATCH_SIZE
        and not successor.other_slots
    )


def test_takeover_of_two_thousand_messages_delays_no_client(tmp_path: Path) -> None:
    """The test is the old process: it holds a slot, and frees it while the new one serves."""

    async def whole() -> None:
        (tmp_path / "state").mkdir()
        predecessor = Journal(tmp_path / "state", 3_000_000, Telemetry())
        expires = make_clock()() + 600_000.0
        for number in range(2000):
            predecessor.record_accepted(Message(f"m{number}", "keyed", 3, expires + number, bytes(200)))
        harness = ScenarioHarness(tmp_path, copy.deepcopy(SETTINGS))
        harness.settings["allowed"]["mostHeld"] = 3000
        harness.settings["allowed"]["tryLimit"] = (
            10_000  # however slow the machine, none is handed back meanwhile
        )
        harness.release_slot = predecessor.close
        await harness.run("""
            sender release_slot
            sender expect attempt id=m0
            sender never adopted
            s1 send PING
            s1 expect +PONG
            s1 send SUBMIT new1 c=keyed,d=20000,dest=2
            s1 expect +OK
            n3 expect new1
            n3 send 200
            sender expect end id=new1 how=ok
            sender expect taken_over messages=2000
            s1 send PING
            s1 expect +PONG""")

    asyncio.run(whole())
