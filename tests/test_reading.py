"""What is made of captures for people: pages, pictures, columns; and what a restart leaves in them."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import polars as pl
import pytest
from captures.scripts import Stepping
from conftest import SETTINGS, entry
from test_explain import capture, said

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.capture.writer import BlockingWriter as Patient
from kestreltrack.decision import EndpointsUpdated, MessageArrived, Policy, TimerExpired
from kestreltrack.explain import columns, destination_timeline, message_timeline, report, report_page
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.demo.environment import SETTINGS as WORLD_SETTINGS
from kestreltrack.testing.demo.environment import DemoEnvironment


def test_the_report_counts_what_happened(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    tape = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 50)]))
    picture = report.collect(tape)
    assert set(picture.destinations) == {1, 2} and not picture.divergence and picture.concurrency_limit == 8
    one, two = picture.destinations[1], picture.destinations[2]
    assert (
        one.counts["arrived"].sum() == 31
        and one.end_counts["delivered"] == 31
        and one.counts["not ok"].sum() == 1
    )
    assert two.counts["arrived"].sum() == 30 and two.queued.max() >= 8
    assert (
        report.HEALTH_STATES.index("told wait") in one.health_state
        and report.HEALTH_STATES.index("draining") in two.health_state
    )
    found = destination_timeline.build_timeline(tape, 1)
    assert one.counts["sent"].sum() == found.attempts and one.in_flight.max() == found.max_in_flight
    written = report_page.write_report(picture, tmp_path / "r")
    page = written[0].read_text()
    assert page.count("data:image/png;base64,") == len(written) - 1 == 4 and "http" not in page
    assert all(file.read_bytes()[:4] == b"\x89PNG" for file in written[1:])


def test_columns_agree_with_the_lives(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    place = capture(tmp_path / "a", monkeypatch, 50)
    tables = columns.load_tables([place])
    events, messages = tables["events"], tables["messages"]
    tape = CaptureFiles(capture_files([place]))
    for id_ in ("m1", "m21", "m42"):
        (told,) = message_timeline.build_timelines(tape, id_)
        (row,) = messages.filter(pl.col("id") == id_).to_dicts()
        assert row["attempts"] == told.attempts and row["dest"] == told.dest and row["class"] == "keyed"
        ended = None if told.ended is None else pytest.approx(told.ended - told.arrived, abs=0.01)
        assert row["held_ms"] == ended and (row["end"] or "") == told.end.partition(":")[0]
    assert events["wall"].is_sorted() and events.filter(pl.col("what") == "Arrived").height == 61
    found = columns.query(
        tables, "SELECT outcome, count(*) AS n FROM events WHERE what = 'Ended' GROUP BY outcome"
    )
    assert dict(found.iter_rows())["refused"] == 1
    for junk in ("SELECT nothing FROM nowhere", "DELETE", ""):
        with pytest.raises(columns.QueryError):
            columns.query(tables, junk)


def test_two_senders_on_one_time_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    places = [capture(tmp_path / name, monkeypatch, 10**9) for name in ("a", "b")]
    code, out, _ = said("capture", "merge", *map(str, places), "--out", str(tmp_path / "m"), "--json")
    both = json.loads(out)
    one = columns.load_tables([places[0]])["events"].height
    assert code == 0 and both["rows"]["events"] == 2 * one
    assert pl.read_parquet(tmp_path / "m" / "events.parquet")["wall"].is_sorted()
    code, out, _ = said(
        "capture", "query", str(tmp_path / "m"), "--json", "--out", str(tmp_path / "q.parquet")
    )
    assert (
        code == 0
        and sum(row["messages"] for row in json.loads(out)) > 50
        and (tmp_path / "q.parquet").exists()
    )
    assert said("capture", "query", str(tmp_path / "m"), "--sql", "SELECT x FROM events")[0] == 2
    assert said("capture", "query", str(tmp_path / "none"))[0] == 2


def test_the_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    place, key = capture(tmp_path / "a", monkeypatch, 50), tmp_path / "key"
    code, out, _ = said("report", str(place), "--out", str(tmp_path / "r"), "--json")
    assert (
        code == 0 and len(json.loads(out)["destinations"]) == 2 and (tmp_path / "r" / "report.html").exists()
    )
    key.write_bytes(b"x" * 20)
    code, out, _ = said(
        "capture", "anonymise", str(place), "--out", str(tmp_path / "n"), "--key-file", str(key)
    )
    assert code == 0 and replay(capture_files([tmp_path / "n"])).identical()
    for arguments, words in (
        (("--out", str(place), "--key-file", str(key)), "another folder"),
        (("--out", str(tmp_path / "o"), "--key-file", str(tmp_path / "none")), "No such file"),
    ):
        code, _, err = said("capture", "anonymise", str(place), *arguments)
        assert code == 2 and words in err


def test_a_restart_goes_on_in_the_same_folder_and_replays(tmp_path: Path) -> None:
    """Also after an end without a stop: what the first process handed over stays, and recovery is its own stretch."""
    now = 0.0
    for process in range(3):
        writer = Patient(tmp_path, 10**8, 1e9, print)
        witness = Stepping(Policy(SETTINGS, process), writer, Telemetry(), "n1", False, 10**8)
        recovered = (
            [MessageArrived("m1", 1, "keyed", 15_000.0, attempts=process, ambiguous_since=now - 500.0)]
            if process
            else []
        )
        witness.step(now, [EndpointsUpdated([entry(1)], complete=True, cached=bool(process)), *recovered])
        if not process:
            witness.step(now, [MessageArrived("m1", 1, "keyed", 15_000.0)])
        for _ in range(20):
            now += 100.0
            witness.step(now, [TimerExpired(0)])
        witness._flush_block(now)
        if process == 2:
            witness.close(now)
        writer.close()  # its thread writes what it has; the witness of a killed process says nothing more
        now += 1000.0
    files = capture_files([tmp_path])
    done = replay(files)
    assert len(files) == 3 and done.identical() and not done.faults and done.events["Arrived"] == 3
    lives = message_timeline.build_timelines(CaptureFiles(files), "m1")
    assert [each.attempts_before for each in lives] == [0, 1, 2] and all(each.attempts for each in lives)


def test_a_killed_sender_leaves_a_capture_that_replays(tmp_path: Path) -> None:
    """SIGKILL under load on sockets, and a second life in the same folder."""
    place = tmp_path / "capture"

    async def day() -> int:
        world = DemoEnvironment(tmp_path, seed=3, destination_count=6, capture=place)
        await world.start()
        assert world.load_generator
        await world.load_generator.run(80.0, 2.0, world.draw_message)
        await world.sender.signal(signal.SIGKILL)
        assert world.sender.process
        await world.sender.process.wait()
        await world.sender.start(world.platform.address, WORLD_SETTINGS, world.operator_environment())
        await world.wait_until_settled(15.0)
        owed = len(world.pending())
        await world.stop()
        return owed

    assert asyncio.run(day()) == 0
    files = capture_files([place])
    done = replay(files)
    assert done.identical() and not done.faults and len(files) == 2 and done.events["Arrived"] >= 100
    tape = CaptureFiles(files)
    steps = [step for step in tape.steps() if step.after_gap]
    assert len(steps) == 2, "the second life shows as one"
