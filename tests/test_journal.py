"""The journal: what it reads back, after a clean end, a torn or spoilt record, and many rewrites."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointLifecycle, Outcome
from kestreltrack.journal import AttemptStart, Journal, JournalFullError, OutstandingMessage
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint, Message, StatusNotification
from kestreltrack.telemetry import Telemetry

MB = 1_000_000
LIST = EndpointListUpdate(
    7, True, (ListedEndpoint("s-1", "127.0.0.1:9", 3, "plain", "a", EndpointLifecycle.DRAINING, 2.5),)
)


def opened(folder: Path, size: int = MB) -> Journal:
    return Journal(folder, size, Telemetry())


def message(id_: str = "m1", body: bytes = b"\x00\xff body") -> Message:
    return Message(id_, "keyed", 3, 1.5e12, body, "acme", 5, "k1")


def adopted(journal: Journal, slot: str = "journal") -> list[OutstandingMessage]:
    return [held for part in journal.take_over(slot) or () for held in part]


def used(folder: Path) -> int:
    """As the platform counts: every file in whole blocks of 512 bytes."""
    return sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())


def test_no_descriptor_for_a_rewrite_is_a_full_journal_and_spoils_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def no_descriptor(*_: object) -> int:
        raise OSError(24, "Too many open files")

    journal = opened(tmp_path)
    journal.record_accepted(message("m1"))
    journal.max_file_bytes = journal.file_bytes
    with monkeypatch.context() as patch:
        patch.setattr(os, "open", no_descriptor)
        with pytest.raises(JournalFullError, match="Too many"):
            journal.record_accepted(message("m2"))
    journal.max_file_bytes = MB
    journal.record_accepted(message("m3"))
    journal.close()  # as at its death: the kernel lets go of the slot
    assert list(opened(tmp_path).outstanding) == ["m1", "m3"]


def test_all_that_is_held_comes_back(tmp_path: Path) -> None:
    journal = opened(tmp_path)
    journal.record_endpoints(LIST)
    first, second = journal.record_accepted(message("m1")), journal.record_accepted(message("m2"))
    journal.record_completed(journal.record_accepted(message("m3")))
    journal.record_attempt(first, 10.0, "a")
    journal.record_outcome(first, Outcome.REJECTED)
    journal.record_attempt(first, 20.0, "b")
    journal.record_outcome(first, Outcome.TIMED_OUT)
    journal.record_attempt(first, 30.0, "c")
    journal.record_owed_notification(StatusNotification("m2", True, 250.0))
    for _ in range(2):  # the second time from the rewritten file
        journal.close()
        journal = opened(tmp_path)
        assert list(journal.outstanding) == ["m1", "m2"] and journal.endpoints == LIST
        again = journal.outstanding["m1"]
        assert again.message == message("m1") and again.attempts == 3
        assert again.ambiguous == AttemptStart(20.0, "b") and again.in_flight == AttemptStart(30.0, "c")
        assert journal.outstanding["m2"].owed_notification == StatusNotification("m2", True, 250.0)
    assert second.owed_notification == StatusNotification("m2", True, 250.0)


def test_a_claim_that_was_out_is_the_first_doubt_only_where_none_came_before(tmp_path: Path) -> None:
    journal = opened(tmp_path)
    held = journal.record_accepted(message())
    journal.record_attempt(held, 10.0, "a")
    journal.record_outcome(held, Outcome.UNREACHABLE)
    assert held.first_ambiguous() is None
    journal.record_attempt(held, 20.0, "b")
    assert held.first_ambiguous() == AttemptStart(20.0, "b")
    for at in (
        30.0,
        40.0,
    ):  # each process that dies leaves a claim out: a key's window runs from the first of them
        journal.close()
        journal = opened(tmp_path)
        journal.record_attempt(journal.outstanding["m1"], at, "c")
        assert journal.outstanding["m1"].first_ambiguous() == AttemptStart(20.0, "b")


@settings(derandomize=True, deadline=None, max_examples=40)
@given(cut=st.integers(1, 60))
def test_a_torn_last_record_is_dropped(tmp_path_factory: pytest.TempPathFactory, cut: int) -> None:
    folder = tmp_path_factory.mktemp("torn")
    journal = opened(folder)
    journal.record_accepted(message("m1"))
    journal.record_accepted(message("m2"))
    journal.close()
    path = folder / "journal"
    os.truncate(path, path.stat().st_size - cut)
    again = opened(folder)
    assert list(again.outstanding) == ["m1"]
    assert again.telemetry.counters["journal.torn"] == 1
    again.record_accepted(message("m4"))  # the next record does not run into the torn one
    again.close()
    assert list(opened(folder).outstanding) == ["m1", "m4"]


@pytest.mark.parametrize("spoil", [b"\x00", b"{", b"\n"])
def test_a_corrupt_record_is_counted_and_the_rest_read(tmp_path: Path, spoil: bytes) -> None:
    journal = opened(tmp_path)
    for id_ in ("m1", "m2", "m3"):
        journal.record_accepted(message(id_))
    journal.close()
    path = tmp_path / "journal"
    lines = path.read_bytes().splitlines(keepends=True)
    lines[1] = lines[1][:30] + spoil + lines[1][31:]
    path.write_bytes(b"".join(lines))
    again = opened(tmp_path)
    assert list(again.outstanding) == ["m1", "m3"]
    assert again.telemetry.counters["journal.corrupt"] >= 1


def test_records_from_another_world_do_not_end_the_process(tmp_path: Path) -> None:
    good = opened(tmp_path)
    good.record_accepted(message())
    good.close()
    with (tmp_path / "journal").open("ab") as file:
        file.write(b"not a record\n5 \n\xff\xff\n")
    again = opened(tmp_path)
    assert list(again.outstanding) == ["m1"] and again.telemetry.counters["journal.corrupt"] == 3


def test_the_folder_stays_within_its_size_however_much_passes_through(tmp_path: Path) -> None:
    size, most, passed = 200_000, 0, 0
    journal = opened(tmp_path, size)
    journal.record_endpoints(LIST)
    for n in range(400):
        if n % 3 == 0 and len(journal.outstanding) > 8:
            journal.record_completed(next(iter(journal.outstanding.values())))
        new = message(f"m{n}", bytes(3000))
        if journal.has_capacity_for(new):
            held, passed = journal.record_accepted(new), passed + 4000
            journal.record_attempt(held, float(n), "a")
            journal.record_outcome(held, Outcome.ERROR)
        most = max(most, used(tmp_path))
    assert passed > 2 * size, "more went through than the folder holds"
    assert most <= 0.7 * size + 2 * 512
    assert journal.telemetry.counters["journal.compactions"] > 1
    alive = list(journal.outstanding)
    journal.close()
    assert list(opened(tmp_path, size).outstanding) == alive


def test_no_room_is_seen_before_the_message_is_taken(tmp_path: Path) -> None:
    journal = opened(tmp_path, 100_000)
    assert journal.has_capacity_for(message(body=bytes(1000)))
    assert not journal.has_capacity_for(message(body=bytes(64_000)))


def test_a_failed_write_leaves_no_half_record(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = opened(tmp_path)
    journal.record_accepted(message("m1"))
    write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: write(fd, data[:20]))  # as on a full disk
    with pytest.raises(JournalFullError):
        journal.record_accepted(message("m2"))
    monkeypatch.undo()
    assert list(journal.outstanding) == ["m1"]
    journal.record_accepted(message("m3"))
    journal.close()
    again = opened(tmp_path)
    assert list(again.outstanding) == ["m1", "m3"] and not again.telemetry.counters["journal.corrupt"]


def test_a_successor_beside_the_process_in_service_adopts_its_messages_once_it_has_ended(
    tmp_path: Path,
) -> None:
    old = opened(tmp_path)
    old.record_accepted(message("m1"))
    held = old.record_accepted(message("m2"))
    old.record_attempt(held, 10.0, "a")
    new = opened(tmp_path)
    assert new.path != old.path and new.other_slots == ["journal"]
    assert new.max_file_bytes < old.max_file_bytes  # both files fit in the folder meanwhile
    new.record_accepted(message("m3"))
    assert new.take_over("journal") is None  # it lives: nothing of its is touched
    old.record_accepted(message("m4"))
    old.close()
    taken = adopted(new)
    assert sorted(h.message.id for h in taken) == ["m1", "m2", "m4"]
    assert next(h for h in taken if h.message.id == "m2").in_flight == AttemptStart(10.0, "a")
    assert (
        not (tmp_path / "journal").exists()
        and new.other_slots == []
        and new.max_file_bytes == old.max_file_bytes
    )
    new.close()
    assert sorted(opened(tmp_path).outstanding) == ["m1", "m2", "m3", "m4"]


def test_a_message_left_in_both_slots_by_a_crash_in_the_hand_over_is_taken_once(tmp_path: Path) -> None:
    old = opened(tmp_path)
    old.record_accepted(message("m1"))
    new = opened(tmp_path)
    old.close()
    os.link(tmp_path / "journal", tmp_path / "kept")
    assert [h.message.id for h in adopted(new)] == ["m1"]
    os.rename(tmp_path / "kept", tmp_path / "journal")  # as if the process died before the file went
    new.close()
    again = opened(tmp_path)
    assert list(again.outstanding) == ["m1"] and not (tmp_path / "journal.1").exists()


def test_a_successor_adopts_more_than_its_share_beside_the_other_would_hold(tmp_path: Path) -> None:
    old = opened(tmp_path, 100_000)
    for number in range(40):  # some 24 kB held: more than the successor's part while both live
        old.record_accepted(message(f"m{number}", bytes(400)))
    new = opened(tmp_path, 100_000)
    assert new.max_outstanding_bytes < 24_000
    old.close()
    assert len(adopted(new)) == 40 and len(new.outstanding) == 40
    new.close()
    assert len(opened(tmp_path, 100_000).outstanding) == 40 and used(tmp_path) <= 100_000


def test_a_wait_told_to_one_process_of_the_sender_is_news_to_the_other_once(tmp_path: Path) -> None:
    old, new = SharedRetryAfter(tmp_path, "journal"), SharedRetryAfter(tmp_path, "journal.1")
    old.record(6, 900.0, now_ms=800.0)
    old.record(5, 2_000.0, now_ms=1_000.0)  # the first is over: it is left out
    assert new.read_changes(1_000.0) == {5: 2_000.0} and not new.read_changes(1_000.0)
    old.record(5, 3_000.0, now_ms=1_500.0)
    assert new.read_changes(1_500.0) == {5: 3_000.0}
    new.record(7, 2_500.0, now_ms=1_500.0)
    assert old.read_changes(1_500.0) == {7: 2_500.0}, "what came from here by way of the other is no news"
    (tmp_path / "waits.journal").write_bytes(b"{spoilt")
    assert not new.read_changes(1_500.0)


def test_two_waits_told_within_one_tick_of_the_file_system_are_both_heard(tmp_path: Path) -> None:
    old, new = SharedRetryAfter(tmp_path, "journal"), SharedRetryAfter(tmp_path, "journal.1")
    times = (5_000_000_000, 5_000_000_000)
    old.record(5, 2_000.0, now_ms=1_000.0)
    os.utime(tmp_path / "waits.journal", ns=times)
    assert new.read_changes(1_000.0) == {5: 2_000.0}
    old.record(6, 4_000.0, now_ms=1_000.0)
    os.utime(tmp_path / "waits.journal", ns=times)
    assert new.read_changes(1_000.0) == {6: 4_000.0}, "the time alone does not tell that a file changed"


def test_a_wait_reaches_a_third_process_through_the_second(tmp_path: Path) -> None:
    first, second = SharedRetryAfter(tmp_path, "journal"), SharedRetryAfter(tmp_path, "journal.1")
    first.record(5, 9_000.0, now_ms=1_000.0)
    second.read_changes(1_000.0)
    second.record(6, 4_000.0, now_ms=1_500.0)
    (tmp_path / "waits.journal").unlink()  # as if the first had never kept it: the second's file has it too
    assert SharedRetryAfter(tmp_path, "journal").read_changes(2_000.0) == {5: 9_000.0, 6: 4_000.0}
    again = SharedRetryAfter(tmp_path, "journal.1")  # the slot its predecessor held
    assert again.read_changes(5_000.0) == {5: 9_000.0}, "what is over binds nobody"
