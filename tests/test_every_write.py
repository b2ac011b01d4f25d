"""Crashes after every write to the state folder and after every event that is observed outside of the process.

For each crash point (`crash_harness.py`) another process starts on a copy of the folder, and the invariants are
checked over everything that all processes together did.
"""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest
from crash_harness import (
    ALL_IDS,
    EPOCH_MS,
    RESTART_DELAYS_S,
    CrashPoint,
    History,
    SilentTelemetry,
    check_invariants,
    outstanding_in,
    restore_after_crash,
    run_process,
)

from kestreltrack.journal import AttemptStart, Journal
from kestreltrack.ports import Message


def run_first_process(folder: Path, ids: list[str] = ALL_IDS) -> tuple[History, list[CrashPoint]]:
    folder.mkdir()
    history = History()
    points = run_process(folder, history, 0.0, ids)
    check_invariants(history, [])
    return history, points


def test_crash_at_any_point_loses_no_end_and_repeats_nothing_that_must_not_be(tmp_path: Path) -> None:
    history, points = run_first_process(tmp_path / "first")
    assert len(points) > 200
    for n, point in enumerate(points):
        next_history = restore_after_crash(point, history, tmp_path / str(n))
        run_process(tmp_path / str(n), next_history, point.now_s + RESTART_DELAYS_S[n % 2], [])
        check_invariants(next_history, [point])


def test_partially_written_record_is_ignored(tmp_path: Path) -> None:
    history, points = run_first_process(tmp_path / "first")
    file_names = set[str]()
    for n, (previous_point, point) in enumerate(pairwise(points)):
        if point.writing is None:
            continue
        name, offset = point.writing
        files = point.files
        file_names.add(name)
        size = len(files[name]) - offset
        for cut in {1, 9, size // 2, size - 1} - {0, size}:
            cut_point = replace(
                point,
                files=files | {name: files[name][: offset + cut]},
                observation_count=previous_point.observation_count,
            )
            assert outstanding_in(cut_point.files) == outstanding_in(previous_point.files)
        folder = tmp_path / str(n)  # continue from the last cut until all messages have ended
        next_history = restore_after_crash(cut_point, history, folder)
        run_process(folder, next_history, point.now_s + 0.6, [])
        check_invariants(next_history, [cut_point])
    assert file_names == {"journal", "journal.new"}, "compacted files must be cut as well"


def test_partially_written_batch_leaves_each_attempt_started_or_not(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 10**6, SilentTelemetry())
    messages = [journal.record_accepted(Message(f"m{n}", "unsafe", 1, EPOCH_MS)) for n in range(3)]
    offset = journal.file_bytes
    journal.record_attempt(messages[0], 5.0, "a", *messages[1:])
    data = (tmp_path / "journal").read_bytes()
    for cut in range(offset, len(data)):
        in_flight = [entry.in_flight for entry in outstanding_in({"journal": data[:cut]}).values()]
        started_count = sum(start is not None for start in in_flight)
        assert in_flight == [AttemptStart(5.0, "a")] * started_count + [None] * (3 - started_count)
        assert started_count == data[offset:cut].count(b"\n")


@pytest.mark.parametrize(
    "message_id", ["keyed1", "keyed4", "keyed5", "keyed6", "unsafe2", "unsafe4", "safe1", "safe5"]
)
def test_two_crashes_one_after_the_other_at_any_points(tmp_path: Path, message_id: str) -> None:
    history, points = run_first_process(tmp_path / "first", [message_id])
    for n, point in enumerate(points):
        folder = tmp_path / str(n)
        second_history = restore_after_crash(point, history, folder)
        for m, next_point in enumerate(run_process(folder, second_history, point.now_s + 0.4, [])):
            third_history = restore_after_crash(next_point, second_history, tmp_path / f"{n}-{m}")
            # Restart at once, or after the deduplication window of the first attempt but within that of the second.
            run_process(tmp_path / f"{n}-{m}", third_history, next_point.now_s + (0.05, 0.6)[m % 2], [])
            check_invariants(third_history, [point, next_point])


@pytest.mark.parametrize("seed", range(40))
def test_three_crashes_at_random_points(tmp_path: Path, seed: int) -> None:
    random_source = random.Random(seed)
    history, points = run_first_process(tmp_path / "0")
    crashes = list[CrashPoint]()
    for n in range(1, 4):
        if not points:
            break  # no message was outstanding any more: no file is written, and nothing is observed
        crashes.append(point := random_source.choice(points[: len(points) // 2 + 1]))
        history = restore_after_crash(point, history, tmp_path / str(n))
        points = run_process(
            tmp_path / str(n), history, point.now_s + random_source.choice(RESTART_DELAYS_S), []
        )
    check_invariants(history, crashes)


@pytest.mark.parametrize("share", [0.2, 0.4, 0.6])
def test_crash_at_any_point_of_a_takeover(tmp_path: Path, share: float) -> None:
    history, points = run_first_process(tmp_path / "first")
    first_crash = points[int(len(points) * share)]
    second_history = restore_after_crash(first_crash, history, tmp_path / "second")
    assert len(outstanding_in(first_crash.files)) > 2
    points = run_process(tmp_path / "second", second_history, first_crash.now_s + 0.05, [], takes_over=True)
    check_invariants(second_history, [first_crash])
    for n, point in enumerate(points):
        third_history = restore_after_crash(point, second_history, tmp_path / str(n))
        run_process(tmp_path / str(n), third_history, point.now_s + RESTART_DELAYS_S[n % 2], [])
        check_invariants(third_history, [first_crash, point])
