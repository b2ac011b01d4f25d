"""The journal: recovery after a clean shutdown, after an incomplete or corrupt record, and after compactions."""

from __future__ import annotations

import os
import shutil
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointLifecycle, Outcome
from kestreltrack.journal import AttemptStart, Journal, JournalFullError, OutstandingMessage
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.journal.takeover import TAKEOVER_BATCH_SIZE
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint, Message, StatusNotification
from kestreltrack.telemetry import Telemetry

FOLDER_BYTES = 1_000_000
ENDPOINT_LIST = EndpointListUpdate(
    7, True, (ListedEndpoint("s-1", "127.0.0.1:9", 3, "plain", "a", EndpointLifecycle.DRAINING, 2.5),)
)


def open_journal(folder: Path, folder_bytes: int = FOLDER_BYTES) -> Journal:
    return Journal(folder, folder_bytes, Telemetry())


def make_message(id_: str = "m1", body: bytes = b"\x00\xff body") -> Message:
    return Message(id_, "keyed", 3, 1.5e12, body, "acme", 5, "k1")


def take_over_all(journal: Journal, slot: str = "journal") -> list[OutstandingMessage]:
    return [outstanding for batch in journal.take_over(slot) or () for outstanding in batch]


def disk_usage(folder: Path) -> int:
    """Return the size of the folder as the platform counts it: each file in blocks of 512 bytes."""
    return sum(-(-path.stat().st_size // 512) * 512 for path in folder.iterdir())


def test_compaction_without_a_free_descriptor_raises_journal_full_and_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail_without_descriptor(*_: object) -> int:
        raise OSError(24, "Too many open files")

    journal = open_journal(tmp_path)
    journal.record_accepted(make_message("m1"))
    journal.max_file_bytes = journal.file_bytes
    with monkeypatch.context() as patch:
        patch.setattr(os, "open", fail_without_descriptor)
        with pytest.raises(JournalFullError, match="Too many"):
            journal.record_accepted(make_message("m2"))
    journal.max_file_bytes = FOLDER_BYTES
    journal.record_accepted(make_message("m3"))
    journal.close()  # releases the slot, as the kernel does when the process ends
    assert list(open_journal(tmp_path).outstanding) == ["m1", "m3"]


def test_reopened_journal_recovers_all_outstanding_messages(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    journal.record_endpoints(ENDPOINT_LIST)
    first = journal.record_accepted(make_message("m1"))
    second = journal.record_accepted(make_message("m2"))
    journal.record_completed(journal.record_accepted(make_message("m3")))
    journal.record_attempt(first, 10.0, "a")
    journal.record_outcome(first, Outcome.REJECTED)
    journal.record_attempt(first, 20.0, "b")
    journal.record_outcome(first, Outcome.TIMED_OUT)
    journal.record_attempt(first, 30.0, "c")
    journal.record_pending_notification(StatusNotification("m2", True, 250.0))
    for _ in range(2):  # the second time from the compacted file
        journal.close()
        journal = open_journal(tmp_path)
        assert list(journal.outstanding) == ["m1", "m2"]
        assert journal.endpoints == ENDPOINT_LIST
        reopened = journal.outstanding["m1"]
        assert reopened.message == make_message("m1")
        assert reopened.attempts == 3
        assert reopened.ambiguous == AttemptStart(20.0, "b")
        assert reopened.in_flight == AttemptStart(30.0, "c")
        assert journal.outstanding["m2"].pending_notification == StatusNotification("m2", True, 250.0)
    assert second.pending_notification == StatusNotification("m2", True, 250.0)


def test_attempt_in_flight_at_a_crash_is_ambiguous_unless_an_earlier_one_is(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    outstanding = journal.record_accepted(make_message())
    journal.record_attempt(outstanding, 10.0, "a")
    journal.record_outcome(outstanding, Outcome.UNREACHABLE)
    assert outstanding.first_ambiguous() is None
    journal.record_attempt(outstanding, 20.0, "b")
    assert outstanding.first_ambiguous() == AttemptStart(20.0, "b")
    # Each crashed process leaves an attempt in flight; the deduplication window starts with the first of them.
    for started_ms in (30.0, 40.0):
        journal.close()
        journal = open_journal(tmp_path)
        journal.record_attempt(journal.outstanding["m1"], started_ms, "c")
        assert journal.outstanding["m1"].first_ambiguous() == AttemptStart(20.0, "b")


@settings(derandomize=True, deadline=None, max_examples=40)
@given(missing_bytes=st.integers(1, 60))
def test_incomplete_last_record_is_dropped(
    tmp_path_factory: pytest.TempPathFactory, missing_bytes: int
) -> None:
    folder = tmp_path_factory.mktemp("incomplete")
    journal = open_journal(folder)
    journal.record_accepted(make_message("m1"))
    journal.record_accepted(make_message("m2"))
    journal.close()
    path = folder / "journal"
    os.truncate(path, path.stat().st_size - missing_bytes)
    reopened = open_journal(folder)
    assert list(reopened.outstanding) == ["m1"]
    assert reopened.telemetry.counters["journal.torn"] == 1
    reopened.record_accepted(make_message("m4"))  # the next record is not appended to the incomplete one
    reopened.close()
    assert list(open_journal(folder).outstanding) == ["m1", "m4"]


@pytest.mark.parametrize("damage", [b"\x00", b"{", b"\n"])
def test_corrupt_record_is_counted_and_the_rest_is_read(tmp_path: Path, damage: bytes) -> None:
    journal = open_journal(tmp_path)
    for id_ in ("m1", "m2", "m3"):
        journal.record_accepted(make_message(id_))
    journal.close()
    path = tmp_path / "journal"
    lines = path.read_bytes().splitlines(keepends=True)
    lines[1] = lines[1][:30] + damage + lines[1][31:]
    path.write_bytes(b"".join(lines))
    reopened = open_journal(tmp_path)
    assert list(reopened.outstanding) == ["m1", "m3"]
    assert reopened.telemetry.counters["journal.corrupt"] >= 1


def test_lines_that_are_not_records_are_counted_and_skipped(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(make_message())
    journal.close()
    with (tmp_path / "journal").open("ab") as file:
        file.write(b"not a record\n5 \n\xff\xff\n")
    reopened = open_journal(tmp_path)
    assert list(reopened.outstanding) == ["m1"]
    assert reopened.telemetry.counters["journal.corrupt"] == 3


def test_folder_stays_within_its_size_however_many_messages_pass_through(tmp_path: Path) -> None:
    folder_bytes = 200_000
    max_used_bytes = 0
    recorded_bytes = 0
    journal = open_journal(tmp_path, folder_bytes)
    journal.record_endpoints(ENDPOINT_LIST)
    for number in range(400):
        if number % 3 == 0 and len(journal.outstanding) > 8:
            journal.record_completed(next(iter(journal.outstanding.values())))
        new_message = make_message(f"m{number}", bytes(3000))
        if journal.has_capacity_for(new_message):
            outstanding = journal.record_accepted(new_message)
            recorded_bytes += 4000
            journal.record_attempt(outstanding, float(number), "a")
            journal.record_outcome(outstanding, Outcome.ERROR)
        max_used_bytes = max(max_used_bytes, disk_usage(tmp_path))
    assert recorded_bytes > 2 * folder_bytes, "the records must exceed the size of the folder"
    assert max_used_bytes <= 0.7 * folder_bytes + 2 * 512
    assert journal.telemetry.counters["journal.compactions"] > 1
    outstanding_ids = list(journal.outstanding)
    journal.close()
    assert list(open_journal(tmp_path, folder_bytes).outstanding) == outstanding_ids


def test_capacity_is_checked_before_a_message_is_accepted(tmp_path: Path) -> None:
    journal = open_journal(tmp_path, 100_000)
    assert journal.has_capacity_for(make_message(body=bytes(1000)))
    assert not journal.has_capacity_for(make_message(body=bytes(64_000)))


def test_failed_write_leaves_no_partial_record(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(make_message("m1"))
    real_write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: real_write(fd, data[:20]))  # as on a full disk
    with pytest.raises(JournalFullError):
        journal.record_accepted(make_message("m2"))
    monkeypatch.undo()
    assert list(journal.outstanding) == ["m1"]
    journal.record_accepted(make_message("m3"))
    journal.close()
    reopened = open_journal(tmp_path)
    assert list(reopened.outstanding) == ["m1", "m3"]
    assert not reopened.telemetry.counters["journal.corrupt"]


def test_successor_takes_over_messages_once_its_predecessor_has_ended(tmp_path: Path) -> None:
    predecessor = open_journal(tmp_path)
    predecessor.record_accepted(make_message("m1"))
    outstanding = predecessor.record_accepted(make_message("m2"))
    predecessor.record_attempt(outstanding, 10.0, "a")
    successor = open_journal(tmp_path)
    assert successor.path != predecessor.path
    assert successor.other_slots == ["journal"]
    assert successor.max_file_bytes < predecessor.max_file_bytes  # so that both files fit into the folder
    successor.record_accepted(make_message("m3"))
    assert successor.take_over("journal") is None  # the predecessor is running: its files are left alone
    predecessor.record_accepted(make_message("m4"))
    predecessor.close()
    messages = take_over_all(successor)
    assert sorted(entry.message.id for entry in messages) == ["m1", "m2", "m4"]
    assert next(entry for entry in messages if entry.message.id == "m2").in_flight == AttemptStart(10.0, "a")
    assert not (tmp_path / "journal").exists()
    assert successor.other_slots == []
    assert successor.max_file_bytes == predecessor.max_file_bytes
    successor.close()
    assert sorted(open_journal(tmp_path).outstanding) == ["m1", "m2", "m3", "m4"]


def test_message_left_in_both_slots_by_a_crash_is_recovered_once(tmp_path: Path) -> None:
    predecessor = open_journal(tmp_path)
    predecessor.record_accepted(make_message("m1"))
    successor = open_journal(tmp_path)
    predecessor.close()
    os.link(tmp_path / "journal", tmp_path / "saved")
    assert [entry.message.id for entry in take_over_all(successor)] == ["m1"]
    os.rename(tmp_path / "saved", tmp_path / "journal")  # as if the process crashed before deleting the file
    successor.close()
    reopened = open_journal(tmp_path)
    assert list(reopened.outstanding) == ["m1"]
    assert not (tmp_path / "journal.1").exists()


def test_successor_takes_over_more_than_its_limit_beside_another_process(tmp_path: Path) -> None:
    predecessor = open_journal(tmp_path, 100_000)
    for number in range(40):  # about 24 kB: over the successor's limit while both run
        predecessor.record_accepted(make_message(f"m{number}", bytes(400)))
    successor = open_journal(tmp_path, 100_000)
    assert successor.max_outstanding_bytes < 24_000
    predecessor.close()
    assert len(take_over_all(successor)) == 40
    assert len(successor.outstanding) == 40
    successor.close()
    assert len(open_journal(tmp_path, 100_000).outstanding) == 40
    assert disk_usage(tmp_path) <= 100_000


def test_retry_after_of_one_process_is_reported_to_the_other_once(tmp_path: Path) -> None:
    predecessor = SharedRetryAfter(tmp_path, "journal")
    successor = SharedRetryAfter(tmp_path, "journal.1")
    predecessor.record(6, 900.0, now_ms=800.0)
    predecessor.record(5, 2_000.0, now_ms=1_000.0)  # the time for 6 has passed and is dropped
    assert successor.read_changes(1_000.0) == {5: 2_000.0}
    assert not successor.read_changes(1_000.0)
    predecessor.record(5, 3_000.0, now_ms=1_500.0)
    assert successor.read_changes(1_500.0) == {5: 3_000.0}
    successor.record(7, 2_500.0, now_ms=1_500.0)
    assert predecessor.read_changes(1_500.0) == {7: 2_500.0}, (
        "its own time, read back from the other file, is not a change"
    )
    (tmp_path / "waits.journal").write_bytes(b"{malformed")
    assert not successor.read_changes(1_500.0)


def test_two_retry_after_within_one_tick_of_the_file_system_clock_are_both_read(tmp_path: Path) -> None:
    predecessor = SharedRetryAfter(tmp_path, "journal")
    successor = SharedRetryAfter(tmp_path, "journal.1")
    times_ns = (5_000_000_000, 5_000_000_000)
    predecessor.record(5, 2_000.0, now_ms=1_000.0)
    os.utime(tmp_path / "waits.journal", ns=times_ns)
    assert successor.read_changes(1_000.0) == {5: 2_000.0}
    predecessor.record(6, 4_000.0, now_ms=1_000.0)
    os.utime(tmp_path / "waits.journal", ns=times_ns)
    assert successor.read_changes(1_000.0) == {6: 4_000.0}, (
        "the modification time alone does not show the change"
    )


def test_retry_after_reaches_a_third_process_through_the_second(tmp_path: Path) -> None:
    first = SharedRetryAfter(tmp_path, "journal")
    second = SharedRetryAfter(tmp_path, "journal.1")
    first.record(5, 9_000.0, now_ms=1_000.0)
    second.read_changes(1_000.0)
    second.record(6, 4_000.0, now_ms=1_500.0)
    (tmp_path / "waits.journal").unlink()  # the file of the second process contains the time as well
    assert SharedRetryAfter(tmp_path, "journal").read_changes(2_000.0) == {5: 9_000.0, 6: 4_000.0}
    reopened = SharedRetryAfter(tmp_path, "journal.1")  # the next process in the slot of the second
    assert reopened.read_changes(5_000.0) == {5: 9_000.0}, "a time that has passed is left out"


PLATFORM_FOLDER_BYTES = 3_000_000
MOST_ENDPOINTS = 3200  # of the pages


def listed_endpoint(number: int, state: EndpointLifecycle = EndpointLifecycle.UP) -> ListedEndpoint:
    place = number % MOST_ENDPOINTS
    return ListedEndpoint(
        f"s-{number:08x}", f"127.0.0.1:{10000 + place}", place // 2, "socio-menor", "van-east", state, 30.0
    )


def replace_endpoints(journal: Journal, first: int, count: int) -> None:
    """Replace endpoints of the list one by one: each drains, another is added, and the first is removed."""
    for number in range(first, first + count):
        draining = listed_endpoint(number, EndpointLifecycle.DRAINING)
        added = listed_endpoint(number + MOST_ENDPOINTS)
        journal.record_endpoints(EndpointListUpdate(2 + number, False, (draining, added)))
        removed = listed_endpoint(number, EndpointLifecycle.REMOVED)
        journal.record_endpoints(EndpointListUpdate(2 + number, False, (removed,)))


def test_messages_are_accepted_however_often_a_long_list_changes(tmp_path: Path) -> None:
    # Guards against changes of the list using up the room for messages until every message is rejected for good.
    journal = open_journal(tmp_path, PLATFORM_FOLDER_BYTES)
    complete = EndpointListUpdate(1, True, tuple(map(listed_endpoint, range(MOST_ENDPOINTS))))
    journal.record_endpoints(complete)
    for first in range(0, 4 * MOST_ENDPOINTS, 100):
        replace_endpoints(journal, first, 100)
        assert journal.has_capacity_for(make_message(body=b"x" * 200)), f"after {first + 100} replacements"
        assert disk_usage(tmp_path) < PLATFORM_FOLDER_BYTES


def test_changes_of_the_list_do_not_hide_that_the_room_for_messages_is_full(tmp_path: Path) -> None:
    # Guards against counting the list too low, so that an accepted message finds no space for its records.
    journal = open_journal(tmp_path, PLATFORM_FOLDER_BYTES)
    complete = EndpointListUpdate(1, True, tuple(map(listed_endpoint, range(MOST_ENDPOINTS))))
    journal.record_endpoints(complete)
    accepted = 0
    while journal.has_capacity_for(message := make_message(f"m{accepted}", b"x" * 200)):
        if accepted % 10 == 0:
            replace_endpoints(journal, accepted, 10)
        journal.record_accepted(message)
        accepted += 1
    for outstanding in list(journal.outstanding.values()):
        for start_ms in range(3):
            journal.record_attempt(outstanding, float(start_ms), "van-east")
            journal.record_outcome(outstanding, Outcome.REJECTED)
        journal.record_completed(outstanding)
    assert accepted and not journal.telemetry.counters["journal.full"]
    assert disk_usage(tmp_path) < PLATFORM_FOLDER_BYTES


def test_second_process_accepts_messages_beside_a_long_list(tmp_path: Path) -> None:
    # Guards against the new process of an upgrade rejecting every message until the old one has ended.
    open_journal(tmp_path, PLATFORM_FOLDER_BYTES)
    second = open_journal(tmp_path, PLATFORM_FOLDER_BYTES)
    second.record_endpoints(EndpointListUpdate(1, True, tuple(map(listed_endpoint, range(MOST_ENDPOINTS)))))
    assert second.has_capacity_for(make_message(body=b"x" * 200))


@pytest.mark.parametrize("list_received", [True, False])
def test_deferred_list_of_a_second_process_is_stored_when_the_first_has_ended(
    tmp_path: Path, list_received: bool
) -> None:
    # Guards against an upgrade that leaves no endpoint list, or an old one, for a start without discovery.
    first = open_journal(tmp_path, PLATFORM_FOLDER_BYTES)
    complete = EndpointListUpdate(1, True, tuple(map(listed_endpoint, range(MOST_ENDPOINTS))))
    first.record_endpoints(complete)
    for number in range(3 * TAKEOVER_BATCH_SIZE):
        first.record_accepted(make_message(f"m{number}"))
    second = open_journal(tmp_path, PLATFORM_FOLDER_BYTES)
    if list_received:
        # In two parts: only the second one makes the list too long.
        second.record_endpoints(EndpointListUpdate(1, True, complete.endpoints[:100]))
        second.record_endpoints(EndpointListUpdate(1, False, complete.endpoints[100:]))
        replace_endpoints(second, 0, 1)
    expected = second.endpoints or complete
    first.close()
    after_crash = list[EndpointListUpdate | None]()
    for step, _ in enumerate(second.take_over("journal") or ()):
        assert second.has_capacity_for(make_message(body=b"x" * 200)), f"step {step}"
        assert disk_usage(tmp_path) < PLATFORM_FOLDER_BYTES
        folder = shutil.copytree(tmp_path, tmp_path.with_name(f"{tmp_path.name}-after-step-{step}"))
        next_process = open_journal(folder, PLATFORM_FOLDER_BYTES)
        after_crash.append(next_process.endpoints)
        next_process.close()
    assert len(after_crash) > 3
    assert after_crash[-1] == expected
    assert all(endpoints in (complete, expected) for endpoints in after_crash)
    second.close()
    assert open_journal(tmp_path, PLATFORM_FOLDER_BYTES).endpoints == expected


@pytest.mark.parametrize("in_parts", [False, True])
def test_list_that_is_too_long_for_the_folder_leaves_room_for_messages(
    tmp_path: Path, in_parts: bool
) -> None:
    # Guards against a long list that fills the journal, so that every message is rejected for good.
    journal = open_journal(tmp_path, 1_000_000)
    endpoints = tuple(replace(listed_endpoint(number), dest=1) for number in range(MOST_ENDPOINTS))
    record_list(journal, endpoints, in_parts)
    assert journal.has_capacity_for(make_message(body=b"x" * 200))
    assert journal.telemetry.counters["journal.list_not_stored"] == 1
    assert journal.endpoints and len(journal.endpoints.endpoints) == MOST_ENDPOINTS
    # Nothing older than the list in use may be found at the next start.
    assert journal.file_bytes < 1_000
    removed = [replace(endpoint, state=EndpointLifecycle.REMOVED) for endpoint in endpoints[10:]]
    journal.record_endpoints(EndpointListUpdate(2, False, tuple(removed)))
    journal.close()
    restarted = open_journal(tmp_path, 1_000_000)
    assert restarted.endpoints and restarted.endpoints.revision == 2, "stored once it is shorter"
    restarted.close()


def record_list(journal: Journal, endpoints: tuple[ListedEndpoint, ...], in_parts: bool) -> None:
    if not in_parts:
        journal.record_endpoints(EndpointListUpdate(1, True, endpoints))
        return
    for start in range(0, len(endpoints), 200):
        journal.record_endpoints(EndpointListUpdate(1, start == 0, endpoints[start : start + 200]))
