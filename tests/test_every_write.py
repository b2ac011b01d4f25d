"""SIGKILL after every write to the state folder, and after all that is observed outside of the process.

From every point at which a process may crash (`crash_harness.py`) the next process starts on a copy of the folder,
and the invariants are checked over what all processes together did.
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
    SilentTelemetry,
    World,
    check,
    crash,
    outstanding_in,
    run_process,
)

from kestreltrack.journal import AttemptStart, Journal
from kestreltrack.ports import Message


def run_first_process(folder: Path, ids: list[str] = ALL_IDS) -> tuple[World, list[CrashPoint]]:
    folder.mkdir()
    world = World()
    points = run_process(folder, world, 0.0, ids)
    check(world, [])
    return world, points


def test_crash_at_any_point_loses_no_end_and_repeats_nothing_that_must_not_be(tmp_path: Path) -> None:
    world, points = run_first_process(tmp_path / "first")
    assert len(points) > 200
    for n, point in enumerate(points):
        next_world = crash(point, world, tmp_path / str(n))
        run_process(tmp_path / str(n), next_world, point.now_s + RESTART_DELAYS_S[n % 2], [])
        check(next_world, [point])


def test_record_cut_at_any_byte_was_never_written(tmp_path: Path) -> None:
    world, points = run_first_process(tmp_path / "first")
    file_names = set[str]()
    for n, (previous_point, point) in enumerate(pairwise(points)):
        if point.writing is None:
            continue
        (name, start), files = point.writing, point.files
        file_names.add(name)
        size = len(files[name]) - start
        for cut in {1, 9, size // 2, size - 1} - {0, size}:
            cut_point = replace(
                point,
                files=files | {name: files[name][: start + cut]},
                observations=previous_point.observations,
            )
            assert outstanding_in(cut_point.files) == outstanding_in(previous_point.files)
        folder = tmp_path / str(n)  # the last of these cuts, to the end of all
        next_world = crash(cut_point, world, folder)
        run_process(folder, next_world, point.now_s + 0.6, [])
        check(next_world, [cut_point])
    assert file_names == {"journal", "journal.new"}, "the compacted file was cut too"


def test_cut_record_of_a_batch_leaves_each_message_as_before_or_as_begun(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 10**6, SilentTelemetry())
    messages = [journal.record_accepted(Message(f"m{n}", "unsafe", 1, EPOCH_MS)) for n in range(3)]
    start = journal.file_bytes
    journal.record_attempt(messages[0], 5.0, "a", *messages[1:])
    data = (tmp_path / "journal").read_bytes()
    for cut in range(start, len(data)):
        in_flight = [entry.in_flight for entry in outstanding_in({"journal": data[:cut]}).values()]
        begun_count = sum(out is not None for out in in_flight)
        assert in_flight == [AttemptStart(5.0, "a")] * begun_count + [None] * (3 - begun_count)
        assert begun_count == data[start:cut].count(b"\n")


@pytest.mark.parametrize(
    "message_id", ["keyed1", "keyed4", "keyed5", "keyed6", "unsafe2", "unsafe4", "safe1", "safe5"]
)
def test_two_crashes_one_after_the_other_at_any_points(tmp_path: Path, message_id: str) -> None:
    world, points = run_first_process(tmp_path / "first", [message_id])
    for n, point in enumerate(points):
        folder = tmp_path / str(n)
        second = crash(point, world, folder)
        for m, next_point in enumerate(run_process(folder, second, point.now_s + 0.4, [])):
            third = crash(next_point, second, tmp_path / f"{n}-{m}")
            # At once, or when the window is over as counted from the first attempt, and not from the second.
            run_process(tmp_path / f"{n}-{m}", third, next_point.now_s + (0.05, 0.6)[m % 2], [])
            check(third, [point, next_point])


@pytest.mark.parametrize("seed", range(40))
def test_three_crashes_at_random_points(tmp_path: Path, seed: int) -> None:
    random_source = random.Random(seed)
    world, points = run_first_process(tmp_path / "0")
    crashes = list[CrashPoint]()
    for n in range(1, 4):
        if not points:
            break  # nothing was outstanding any more: no file is written, and nothing is observed
        crashes.append(point := random_source.choice(points[: len(points) // 2 + 1]))
        world = crash(point, world, tmp_path / str(n))
        points = run_process(
            tmp_path / str(n), world, point.now_s + random_source.choice(RESTART_DELAYS_S), []
        )
    check(world, crashes)


@pytest.mark.parametrize("share", [0.2, 0.4, 0.6])
def test_crash_at_any_point_of_a_takeover(tmp_path: Path, share: float) -> None:
    world, points = run_first_process(tmp_path / "first")
    first_crash = points[int(len(points) * share)]
    second = crash(first_crash, world, tmp_path / "second")
    assert len(outstanding_in(first_crash.files)) > 2
    points = run_process(tmp_path / "second", second, first_crash.now_s + 0.05, [], takes_over=True)
    check(second, [first_crash])
    for n, point in enumerate(points):
        third = crash(point, second, tmp_path / str(n))
        run_process(tmp_path / str(n), third, point.now_s + RESTART_DELAYS_S[n % 2], [])
        check(third, [first_crash, point])
