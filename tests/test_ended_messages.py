"""The memory of messages that ended a short time ago, in one process and in the journal file of another."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from test_journal import make_message

from kestreltrack.journal import Journal
from kestreltrack.journal.ended_messages import MAX_IDS, MEMORY_MS, EndedMessages, EndKind
from kestreltrack.telemetry import Telemetry

FOLDER_BYTES = 3_000_000


def test_an_ended_message_is_remembered_for_a_limited_time() -> None:
    ended = EndedMessages()
    ended.add("m1", 5.0, EndKind.ANSWERED)
    assert ended.find("m1", 5.0 + MEMORY_MS) is EndKind.ANSWERED and ended.find("m2", 5.0) is None
    assert ended.find("m1", 6.0 + MEMORY_MS) is None
    assert ended.encoded_bytes == len(ended) == 0


def test_at_the_limit_the_message_that_ended_first_is_forgotten() -> None:
    ended = EndedMessages()
    for number in range(MAX_IDS + 1):
        ended.add(f"m{number}", 0.0, EndKind.ANSWERED)
    assert ended.find("m0", 0.0) is None and ended.find("m1", 0.0)


def test_at_the_limit_in_bytes_the_message_that_ended_first_is_forgotten() -> None:
    ended = EndedMessages(1000)
    for number in range(100):
        ended.add(f"m{number:03}", float(number), EndKind.ANSWERED)
        assert ended.encoded_bytes <= 1000
    assert ended.find("m060", 99.0) is None and ended.find("m099", 99.0)


def test_merged_ends_are_in_the_order_of_their_times() -> None:
    ended = EndedMessages(400)
    ends = [(f"m{number:03}", float(number), EndKind.ANSWERED) for number in range(40)]
    random.Random(1).shuffle(ends)
    for end in ends:
        ended.update([end])
    assert [message_id for message_id, _, _ in ended.items()] == sorted(id_ for id_, _, _ in ended.items())
    assert ended.find("m039", 39.0)


@pytest.mark.parametrize("compacted", [False, True])
@pytest.mark.parametrize("kind", EndKind)
def test_ends_outlive_the_process_and_compactions(kind: EndKind, compacted: bool, tmp_path: Path) -> None:
    journal = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    for number in range(50):
        journal.record_completed(journal.record_accepted(make_message(f"m{number}")), 1000.0 + number, kind)
    journal.record_completed(journal.record_accepted(make_message("requeued")))
    if compacted:
        journal._compact()
    journal.close()
    restarted = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    assert [restarted.find_end(f"m{number}", 2000.0) for number in range(50)] == [kind] * 50
    assert restarted.find_end("requeued", 2000.0) is None
    restarted.close()


def test_ids_of_the_other_process_are_known_at_every_moment_of_its_life(tmp_path: Path) -> None:
    first = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    second = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    for here, there in ((first, second), (second, first)):
        name = here.slot
        outstanding = here.record_accepted(make_message(f"{name} a"))
        assert there.is_outstanding_elsewhere(f"{name} a")
        here._compact()
        kept = here.record_accepted(make_message(f"{name} b"))
        assert there.is_outstanding_elsewhere(f"{name} a") and there.is_outstanding_elsewhere(f"{name} b")
        here.record_completed(outstanding, 1000.0)
        assert not there.is_outstanding_elsewhere(f"{name} a")
        assert there.find_end(f"{name} a", 1001.0) is EndKind.ANSWERED
        here._compact()
        assert there.is_outstanding_elsewhere(f"{name} b")
        assert there.find_end(f"{name} a", 1001.0) is EndKind.ANSWERED
        here.record_completed(kept, 1002.0)
    first.close()
    for _ in second.take_over("journal") or ():
        pass
    assert second.find_end("journal a", 1003.0) and second.find_end("journal b", 1003.0)
    second.close()
    third = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    assert third.find_end("journal a", 1003.0) and third.find_end("journal.1 b", 1003.0)
    third.close()


def test_incomplete_line_of_the_other_process_is_read_once_it_is_complete(tmp_path: Path) -> None:
    first = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    second = Journal(tmp_path, FOLDER_BYTES, Telemetry())
    line = first.path.read_bytes()
    first.record_accepted(make_message("m1"))
    record = first.path.read_bytes()[len(line) :]
    first.path.write_bytes(line + record[:20])
    assert not second.is_outstanding_elsewhere("m1")
    with first.path.open("ab") as file:
        file.write(record[20:])
    assert second.is_outstanding_elsewhere("m1")
    first.close()
    second.close()


def test_ended_ids_leave_the_room_for_messages_and_the_folder_in_its_limit(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 200_000, Telemetry())
    for number in range(5000):
        message = make_message(f"m{number:0100}")
        assert journal.has_capacity_for(message)
        journal.record_completed(journal.record_accepted(message), float(number))
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 200_000
    assert journal.find_end(f"m{4999:0100}", 5000.0)
    journal.close()
