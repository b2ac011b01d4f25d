"""Takeover of another slot's messages in batches: a crash at any point leaves each message with one process."""

from __future__ import annotations

import asyncio
import copy
import itertools
import os
import shutil
from collections.abc import Generator
from pathlib import Path

import pytest
from scenario import SETTINGS, ScenarioHarness
from test_journal import disk_usage, make_message, open_journal

from kestreltrack.journal import Journal
from kestreltrack.journal.takeover import TAKEOVER_BATCH_SIZE
from kestreltrack.ports import Message, StatusNotification, make_clock
from kestreltrack.telemetry import Telemetry

FOLDER_BYTES = 3_000_000


def open_successor(folder: Path, count: int, body_bytes: int = 200) -> Journal:
    """Return a successor whose predecessor has just ended with `count` messages, the last accepted expiring first."""
    predecessor = open_journal(folder, FOLDER_BYTES)
    for number in range(count):
        predecessor.record_accepted(Message(f"m{number}", "keyed", 3, 1e12 - number, bytes(body_bytes)))
    successor = open_journal(folder, FOLDER_BYTES)
    predecessor.close()
    return successor


def taken_over_ids(journal: Journal) -> Generator[list[str], None, None]:
    """Take over the messages of the first slot; yield the message ids of each batch."""
    for batch in journal.take_over("journal") or ():
        yield [outstanding.message.id for outstanding in batch]


def test_takeover_batches_are_small_and_in_order_of_expiry(tmp_path: Path) -> None:
    successor = open_successor(tmp_path, 2000)
    batches = list(taken_over_ids(successor))
    assert max(map(len, batches)) == TAKEOVER_BATCH_SIZE, (
        "each turn of the event loop handles at most one batch"
    )
    assert [id_ for batch in batches for id_ in batch] == [f"m{number}" for number in reversed(range(2000))]
    assert not successor.other_slots
    assert len(successor.outstanding) == 2000
    assert not (tmp_path / "journal").exists()


def test_takeover_of_many_messages_causes_few_compactions(tmp_path: Path) -> None:
    # Without a minimum growth between compactions, each record caused one while the file and its replacement exceeded
    # the share: 97 compactions for 577 messages.
    successor = open_successor(tmp_path, 577, body_bytes=800)
    assert sum(map(len, taken_over_ids(successor))) == 577
    assert successor.telemetry.counters["journal.compactions"] <= 4
    for number in range(200):  # nor afterwards, while the messages are still outstanding
        successor.record_completed(successor.record_accepted(make_message(f"later{number}")))
    assert successor.telemetry.counters["journal.compactions"] <= 8


class CrashError(Exception):
    """Simulates the end of the process."""


def crash_before_change(monkeypatch: pytest.MonkeyPatch, after: int) -> None:
    """Allow `after` changes of files, then simulate a crash instead of the next one."""
    changes_left = [after]

    def crash_when_due(real: object) -> object:
        def call(*args: object) -> object:
            changes_left[0] -= 1
            if changes_left[0] < 0:
                raise CrashError
            return real(*args)  # type: ignore[operator]

        return call

    for name in ("write", "rename", "ftruncate", "unlink"):
        monkeypatch.setattr(os, name, crash_when_due(getattr(os, name)))


def test_crash_before_any_change_of_a_file_leaves_each_message_with_exactly_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    count = 3 * TAKEOVER_BATCH_SIZE + 1
    completed = False
    crashed_takeovers = list[Generator[list[str], None, None]]()
    for after in range(100):
        folder = tmp_path / str(after)
        folder.mkdir()
        successor = open_successor(folder, count)
        successor.record_accepted(make_message("own"))
        delivered = set[str]()
        with monkeypatch.context() as patch:
            crash_before_change(patch, after)
            # Keep a reference until the end of the test: a crashed process closes nothing.
            crashed_takeovers.append(taken_over_ids(successor))
            try:
                for batch in crashed_takeovers[-1]:
                    for id_ in batch[::2]:  # completed at once: must not be recovered from the other file
                        successor.record_completed(successor.outstanding[id_])
                        delivered.add(id_)
                completed = True
            except CrashError:
                pass
        # Continue in a copy, because this test's process still holds the locks on the original.
        folder_after_crash = shutil.copytree(folder, tmp_path / f"{after}-after-crash")
        next_process = open_journal(folder_after_crash, FOLDER_BYTES)
        all_ids = {f"m{number}" for number in range(count)} | {"own"}
        assert set(next_process.outstanding) == all_ids - delivered, f"crash before change {after}"
        next_process.close()
        assert set(open_journal(folder_after_crash, FOLDER_BYTES).outstanding) == all_ids - delivered
        if completed:
            break
    assert completed, "a crash must be simulated before every change of a file"
    assert after > 10


@pytest.mark.parametrize("body_bytes", [100, 800, 20_000])
def test_folder_stays_within_its_size_during_a_takeover_between_two_full_files(
    tmp_path: Path, body_bytes: int
) -> None:
    folder_bytes = 600_000
    predecessor = open_journal(tmp_path, folder_bytes)
    predecessor_count = 0
    while predecessor.has_capacity_for(
        new_message := Message(
            f"old{predecessor_count}", "keyed", 3, 1e12 - predecessor_count, bytes(body_bytes)
        )
    ):
        predecessor.record_attempt(predecessor.record_accepted(new_message), 1.0, "a")
        predecessor_count += 1
    for _ in range(3000):  # until the file is as large as it gets
        predecessor.record_attempt(predecessor.outstanding["old0"], 1.0, "a")
    successor = open_journal(tmp_path, folder_bytes)
    successor_count = 0
    while successor.has_capacity_for(
        new_message := Message(f"new{successor_count}", "keyed", 3, 1e12, bytes(body_bytes))
    ):
        successor.record_accepted(new_message)
        successor_count += 1
    predecessor.close()
    max_used_bytes = 0
    taken_over_count = 0
    for batch_index, batch in enumerate(successor.take_over("journal") or ()):
        taken_over_count += len(batch)
        # Clients submit messages between two batches.
        successor.record_completed(successor.record_accepted(make_message(f"between{batch_index}")))
        max_used_bytes = max(max_used_bytes, disk_usage(tmp_path))
    assert taken_over_count == predecessor_count
    assert len(successor.outstanding) == predecessor_count + successor_count
    assert max_used_bytes <= folder_bytes
    successor.close()
    assert len(open_journal(tmp_path, folder_bytes).outstanding) == predecessor_count + successor_count


def test_interrupted_takeover_continues_later(tmp_path: Path) -> None:
    successor = open_successor(tmp_path, 3 * TAKEOVER_BATCH_SIZE)
    takeover = taken_over_ids(successor)
    while not next(takeover):
        pass
    takeover.close()  # interrupted after the first batch
    assert len(successor.outstanding) == TAKEOVER_BATCH_SIZE
    assert successor.other_slots == ["journal"]
    assert sum(map(len, taken_over_ids(successor))) == 2 * TAKEOVER_BATCH_SIZE
    assert len(successor.outstanding) == 3 * TAKEOVER_BATCH_SIZE
    assert not successor.other_slots


def test_takeover_of_two_thousand_messages_delays_no_client(tmp_path: Path) -> None:
    """The test acts as the old process: it holds a slot, and releases it while the new process serves."""

    async def play() -> None:
        (tmp_path / "state").mkdir()
        predecessor = Journal(tmp_path / "state", FOLDER_BYTES, Telemetry())
        expires = make_clock()() + 600_000.0
        for number in range(2000):
            predecessor.record_accepted(Message(f"m{number}", "keyed", 3, expires + number, bytes(200)))
        harness = ScenarioHarness(tmp_path, copy.deepcopy(SETTINGS))
        harness.settings["allowed"]["mostHeld"] = 3000
        # High enough that no message is handed back during the test, however slow the machine.
        harness.settings["allowed"]["tryLimit"] = 10_000
        harness.release_slot = predecessor.close
        # The last PING has a connection of its own: that of s1 may be closed by then, after 2 s without a request.
        await harness.run("""
            sender release_slot
            sender expect attempt id=m0
            sender never taken_over
            s1 send PING
            s1 expect +PONG
            s1 send SUBMIT new1 c=keyed,d=20000,dest=2
            s1 expect +OK
            n3 expect new1
            n3 send 200
            sender expect end id=new1 how=ok
            sender expect taken_over messages=2000
            s2 send PING
            s2 expect +PONG""")

    asyncio.run(play())


@pytest.mark.parametrize("upgrades", [1, 2])
def test_messages_of_a_new_process_that_dies_are_taken_over_by_the_old_one(
    tmp_path: Path, upgrades: int
) -> None:
    # Guards against messages without an end after an upgrade whose new process accepted them and died.
    expires = make_clock()() + 20_000.0
    failures = itertools.count(1)

    def fail_upgrade() -> None:
        """Act as the new process: accept messages, one of them in flight and one with a notification, and end."""
        failure = next(failures)
        new = Journal(tmp_path / "state", FOLDER_BYTES, Telemetry())
        assert new.path.name == "journal.1"
        new.record_accepted(Message(f"untried{failure}", "unsafe", 2, expires, b"body"))
        in_flight = new.record_accepted(Message(f"unsafe{failure}", "unsafe", 2, expires, b"body"))
        new.record_attempt(in_flight, make_clock()(), "a")
        new.record_accepted(Message(f"ended{failure}", "unsafe", 2, expires, b"body"))
        new.record_pending_notification(StatusNotification(f"ended{failure}", True, 100.0))
        new.close()

    async def play() -> None:
        harness = ScenarioHarness(tmp_path, copy.deepcopy(SETTINGS))
        harness.release_slot = fail_upgrade
        (tmp_path / "state").mkdir(exist_ok=True)
        failed_upgrades = [
            f"""
            sender release_slot
            sender expect taken_over slot=journal.1 messages=3
            d expect ended{failure} handed_back
            d expect unsafe{failure} given_up
            n3 expect untried{failure}
            n3 send 200
            sender expect end id=untried{failure} how=ok"""
            for failure in range(1, upgrades + 1)
        ]
        await harness.run("".join(failed_upgrades))

    asyncio.run(play())
