"""The reasons that the module gives agree with what it does, and a capture tells the life of a message by them."""

from __future__ import annotations

import io
import json
import sys
from collections import Counter
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

import pytest
import test_random
from captures.scripts import FOLDER, Stepping
from conftest import Relay, entry

from kestreltrack.capture import recorder
from kestreltrack.capture.cursor import CaptureFiles, InvalidTimeError
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.writer import BlockingWriter as Patient
from kestreltrack.cli.app import main
from kestreltrack.decision import (
    EndpointLifecycle,
    EndpointsUpdated,
    Outcome,
    Policy,
    Settings,
    message_rules,
)
from kestreltrack.decision.records import Destination, Message
from kestreltrack.explain import destination_timeline, message_timeline
from kestreltrack.explain.tracing import (
    UNEXPLAINED,
    AttemptChosen,
    HealthChanged,
    MessageBlocked,
    MessageGivenUp,
    TraceEvent,
    TraceFilter,
    TracingPolicy,
)
from kestreltrack.telemetry import Telemetry


class Watched(TracingPolicy):
    """Watches all, and holds its own reasons against what it does."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.notes = list[tuple[float, TraceEvent]]()
        self.start_tracing(TraceFilter(lambda now, note: self.notes.append((now, note)), everything=True))

    def _start_call(self, first: Message) -> None:
        assert self.why_blocked(first) == ("", ""), "it goes although a rule bars it"
        super()._start_call(first)


def played(seed: int, kind: type[Policy], monkeypatch: pytest.MonkeyPatch) -> test_random.Play:
    monkeypatch.setattr(test_random, "Policy", kind)
    play = test_random.Play(seed)
    play.run(150)
    return play


@pytest.mark.parametrize("seed", range(12))
def test_each_message_that_stays_is_barred_by_a_rule_and_none_that_goes_is(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    plain = played(seed, Policy, monkeypatch)
    watched = played(seed, Watched, monkeypatch)
    assert watched.sent == plain.sent, "being watched changes nothing"
    assert isinstance(watched.policy, Watched)
    notes = [note for _, note in watched.policy.notes]
    passed = [note for note in notes if isinstance(note, MessageBlocked)]
    assert passed and not [note for note in passed if note.rule in ("", UNEXPLAINED)]
    chosen = {(n.id, n.attempt): n.endpoint for n in notes if isinstance(n, AttemptChosen)}
    assert chosen == {(id_, n): s.endpoint for id_, sends in plain.sent.items() for n, s in enumerate(sends)}
    given_up = Counter(n.id for n in notes if isinstance(n, MessageGivenUp))
    assert given_up == Counter(r.event.id for r in plain.checker.records.values() if r.final_answers)


def test_random_days_meet_nearly_all_rules(monkeypatch: pytest.MonkeyPatch) -> None:
    rules, states, ends = set[str](), set[str](), set[str]()
    for seed in range(20):
        policy = played(seed, Watched, monkeypatch).policy
        assert isinstance(policy, Watched)
        rules |= {note.rule for _, note in policy.notes if isinstance(note, MessageBlocked)}
        states |= {note.state for _, note in policy.notes if isinstance(note, HealthChanged)}
        ends |= {note.reason for _, note in policy.notes if isinstance(note, MessageGivenUp)}
    assert rules >= {
        "cap",
        "told wait",
        "circuit open",
        "trial out",
        "slow start",
        "no slot",
        "tag not eligible",
        "key held",
        "key rests",
        "in doubt elsewhere",
        "draining",
        "no time",
        "not listed",
    }
    assert states >= {"told wait", "open", "slow start", "well"} and ends >= {"in doubt", "no time"}


@pytest.mark.parametrize("defect", ["has_time_left", "blocking_rule"])
def test_a_dispatch_that_passes_a_rule_by_is_caught(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    class Defective(Watched):
        blind = False

        def _first_message(self, destination: Destination) -> Message | None:
            self.blind = True
            with pytest.MonkeyPatch.context() as patch:
                if defect == "has_time_left":
                    patch.setattr(message_rules, "has_time_left", lambda message, now: True)
                found = super()._first_message(destination)
            self.blind = False
            return found

        def blocking_rule(self, destination: Destination) -> str:
            skipped = self.blind and defect == "blocking_rule"
            return "" if skipped else super().blocking_rule(destination)

    with pytest.raises(AssertionError, match="although a rule bars it"):
        for seed in range(12):
            played(seed, Defective, monkeypatch)


def told(name: str, id_: str) -> message_timeline.MessageTimeline:
    (found,) = message_timeline.build_timelines(CaptureFiles([FOLDER / f"{name}.ktc"]), id_)
    assert not found.divergence
    return found


def test_the_life_of_a_message_that_waited_for_a_told_wait() -> None:
    found = told("wait-forgotten", "m2")
    assert set(found.waited_ms) >= {"told wait"} and found.waited_ms["told wait"] > 2000
    passed = [row.text for row in found.rows if row.what == "passed over"]
    assert passed[0].startswith("told wait: e2: 2801 ms to go")


def test_the_life_of_a_message_at_a_dead_destination_shows_each_trial() -> None:
    found = told("dead-destination", "m1")
    sent = [row for row in found.rows if row.what.startswith("sent")]
    ended = [row for row in found.rows if row.what.startswith("attempt") and "unreachable" in row.text]
    assert found.attempts == len(sent) >= 5 and len(ended) >= len(sent) - 1
    assert all("as a trial" in row.text for row in sent[1:])
    assert found.waited_ms["circuit open"] > 5000


def test_ends_say_why() -> None:
    assert told("doubt", "m1").end == "failed, with no promise (in doubt)"
    late = told("late-end", "m1")
    assert late.end == "refused: trying again is harmless (no time)"
    assert late.waited_ms["not listed"] == pytest.approx(9850, abs=60) and late.attempts == 0


def test_a_message_that_is_not_there_has_no_life() -> None:
    assert message_timeline.build_timelines(CaptureFiles([FOLDER / "doubt.ktc"]), "m") == []


def capture(place: Path, monkeypatch: pytest.MonkeyPatch, checkpoint: int, file_bytes: int = 10**8) -> Path:
    """A day with messages m1 to m60, a failure, a drain, a wait; one id comes again at the end."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_RECORDS", checkpoint)
    monkeypatch.setattr(recorder, "CHECKPOINT_COST_FACTOR", 0.0)
    place.mkdir()
    writer = Patient(place, 10**8, 1e9, print)

    def made(settings: Settings, seed: int) -> Stepping:
        return Stepping(Policy(settings, seed), writer, Telemetry(), "one", False, file_bytes)

    with mock.patch("conftest.Policy", made):
        relay = Relay(entry(1), entry(2))
        for n in range(60):
            relay.arrive(1 + n % 2, "keyed")
            relay.wait(40)
            for id_ in [id_ for id_, _ in relay.policy.policy.calls]:  # type: ignore[attr-defined]
                refused = id_ == "m21" and not relay.tries[id_]
                relay.end(
                    id_, Outcome.REJECTED if refused else Outcome.OK, retry_after_ms=300.0 if refused else 0.0
                )
            if n == 40:
                relay.do(EndpointsUpdated([entry(2, lifecycle=EndpointLifecycle.DRAINING)], complete=False))
        del relay.tries["m5"]
        relay.do(relay.message(1, "keyed", id="m5"))
        relay.wait(100)
        relay.end("m5")
        relay.wait(600)
    relay.policy.close(relay.now)  # type: ignore[attr-defined]
    return place


def test_a_life_begins_at_the_nearest_checkpoint(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    whole = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 10**9)]))
    cut = CaptureFiles(capture_files([capture(tmp_path / "b", monkeypatch, 50)]))
    files = CaptureFiles(capture_files([capture(tmp_path / "c", monkeypatch, 10**9, 3000)]))
    assert len(whole.checkpoints()) == 1 and len(cut.checkpoints()) > 5 and len(files.files) > 3
    for id_ in ("m1", "m6", "m21", "m42", "m60"):
        (first,), (second,), (third,) = (
            message_timeline.build_timelines(tape, id_) for tape in (whole, cut, files)
        )
        assert first.rows == second.rows == third.rows and first.end == second.end == third.end
        assert place_of(cut, id_) > 0 or id_ == "m1"
    again = message_timeline.build_timelines(cut, "m5")
    assert [each.end for each in again] == ["delivered", "delivered"] and again[0].arrived < again[1].arrived
    assert [row.what for row in message_timeline.build_timelines(cut, "m21")[0].rows][:3] == [
        "sent 0",
        "attempt 0",
        "passed over",
    ]


def said(*words: str) -> tuple[int, str, str]:
    """Exit code and what was printed; in this process, as one of its own takes a second."""
    out, err = (io.TextIOWrapper(io.BytesIO(), "utf-8") for _ in range(2))
    with mock.patch.object(sys, "argv", ["kestreltrack", *words]), redirect_stdout(out), redirect_stderr(err):
        code = main()
    told = []
    for stream in (out, err):
        stream.flush()
        told.append(stream.buffer.getvalue().decode())
    return code, told[0], told[1]


def place_of(tape: CaptureFiles, id_: str) -> int:
    return tape.checkpoint_before(message_timeline.blocks_naming(tape, id_)[0]).block


def test_the_turns_of_a_destination(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    tape = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 50)]))
    found = destination_timeline.build_timeline(tape, 1)
    states = [(turn.endpoint, turn.state) for turn in found.changes]
    assert ("", "told wait") in states and found.outcomes["refused"] == 1 and found.arrived == 31
    assert (
        found.attempts == 32
        and found.ends["delivered"] == 31
        and found.max_in_flight >= 1
        and not found.divergence
    )
    other = destination_timeline.build_timeline(tape, 2)
    assert ("e2", "draining") in [(turn.endpoint, turn.state) for turn in other.changes]
    assert other.arrived == 30 and other.waited_ms["draining"] > 500
    late = destination_timeline.build_timeline(
        tape, 2, since=tape.parse_time("2s"), until=tape.parse_time("2.2s")
    )
    assert 0 < late.arrived < 5 and late.span[1] <= tape.parse_time("2.2s")


def test_times_are_read_as_people_write_them(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    tape = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 10**9)]))
    zero = tape.clock_origin()[0]
    assert [tape.parse_time(t) - zero for t in ("90", "1.5m", "250ms", "1h")] == [
        90_000,
        90_000,
        250,
        3_600_000,
    ]
    start = tape.wall_time(zero)
    assert tape.parse_time(start.isoformat()) == pytest.approx(zero, abs=1)
    assert tape.parse_time(f"{start:%H:%M:%S.%f}") == pytest.approx(zero, abs=1)
    for junk in ("soon", "25:99", "-3", ""):
        with pytest.raises(InvalidTimeError, match="expected a span"):
            tape.parse_time(junk)


def test_the_command(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    place = str(capture(tmp_path / "a", monkeypatch, 50))
    code, out, _ = said("explain", place, "m21")
    assert code == 0 and "told wait" in out and "end: delivered" in out
    code, out, _ = said("explain", place, "m21", "--json")
    (sheet,) = json.loads(out)
    assert code == 0 and sheet["attempts"] == 2 and sheet["waited_ms"]["told wait"] > 200
    code, out, _ = said("explain", place, "--dest", "1")
    assert code == 0 and "told wait" in out and "message-seconds" in out
    code, out, _ = said("explain", place, "--dest", "2", "--json", "--from", "1s")
    assert code == 0 and json.loads(out)["dest"] == 2
    for arguments, expected, words in (
        ((place, "m99"), 1, "no such message"),
        ((place,), 2, "the ID of a message, or --dest"),
        ((place, "m1", "--dest", "1"), 2, "or --dest"),
        ((place, "--dest", "77"), 1, "nothing in this capture"),
        ((str(tmp_path), "m1"), 2, "no capture there"),
        ((place, "--dest", "1", "--from", "x"), 2, "expected a span"),
    ):
        code, _, err = said("explain", *arguments)
        assert code == expected and words in err
    code, out, _ = said("replay", place, "--from", "1s", "--until", "1500ms", "--json")
    part = json.loads(out)
    assert code == 0 and part["identical"] and 5 < part["compared"] < 200 and part["span_ms"] <= 1500
