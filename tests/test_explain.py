"""Trace events agree with the actions of the decision module, and the timelines built from them with a capture."""

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
from kestreltrack.capture.writer import BlockingWriter
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


class CheckedTracingPolicy(TracingPolicy):
    """Traces everything, and checks that no rule blocks a message for which a call starts."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.traces = list[tuple[float, TraceEvent]]()
        self.start_tracing(TraceFilter(lambda now, trace: self.traces.append((now, trace)), everything=True))

    def _start_call(self, first: Message) -> None:
        assert self.explain_block(first) == ("", ""), "the message is sent although a rule blocks it"
        super()._start_call(first)


def run_random_events(
    seed: int, policy_class: type[Policy], monkeypatch: pytest.MonkeyPatch
) -> test_random.RandomEventRun:
    monkeypatch.setattr(test_random, "Policy", policy_class)
    play = test_random.RandomEventRun(seed)
    play.run(150)
    return play


@pytest.mark.parametrize("seed", range(12))
def test_each_queued_message_is_blocked_by_a_rule_and_no_sent_message_is(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    plain = run_random_events(seed, Policy, monkeypatch)
    traced = run_random_events(seed, CheckedTracingPolicy, monkeypatch)
    assert traced.sent == plain.sent, "tracing changes no decision"
    assert isinstance(traced.policy, CheckedTracingPolicy)
    traces = [trace for _, trace in traced.policy.traces]
    blocked = [trace for trace in traces if isinstance(trace, MessageBlocked)]
    assert blocked and not [trace for trace in blocked if trace.rule in ("", UNEXPLAINED)]
    chosen = {(n.id, n.attempt): n.endpoint for n in traces if isinstance(n, AttemptChosen)}
    assert chosen == {(id_, n): s.endpoint for id_, sends in plain.sent.items() for n, s in enumerate(sends)}
    given_up = Counter(n.id for n in traces if isinstance(n, MessageGivenUp))
    assert given_up == Counter(r.event.id for r in plain.checker.records.values() if r.final_answers)


def test_random_events_trigger_nearly_all_rules(monkeypatch: pytest.MonkeyPatch) -> None:
    rules, states, ends = set[str](), set[str](), set[str]()
    for seed in range(20):
        policy = run_random_events(seed, CheckedTracingPolicy, monkeypatch).policy
        assert isinstance(policy, CheckedTracingPolicy)
        rules |= {trace.rule for _, trace in policy.traces if isinstance(trace, MessageBlocked)}
        states |= {trace.state for _, trace in policy.traces if isinstance(trace, HealthChanged)}
        ends |= {trace.reason for _, trace in policy.traces if isinstance(trace, MessageGivenUp)}
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
def test_a_dispatch_that_ignores_a_rule_is_detected(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    class Defective(CheckedTracingPolicy):
        ignores_rules = False

        def _first_message(self, destination: Destination) -> Message | None:
            self.ignores_rules = True
            with pytest.MonkeyPatch.context() as patch:
                if defect == "has_time_left":
                    patch.setattr(message_rules, "has_time_left", lambda message, now: True)
                chosen = super()._first_message(destination)
            self.ignores_rules = False
            return chosen

        def blocking_rule(self, destination: Destination) -> str:
            skipped = self.ignores_rules and defect == "blocking_rule"
            return "" if skipped else super().blocking_rule(destination)

    with pytest.raises(AssertionError, match="although a rule blocks it"):
        for seed in range(12):
            run_random_events(seed, Defective, monkeypatch)


def timeline_of(name: str, id_: str) -> message_timeline.MessageTimeline:
    (timeline,) = message_timeline.build_timelines(CaptureFiles([FOLDER / f"{name}.ktc"]), id_)
    assert not timeline.divergence
    return timeline


def test_the_timeline_of_a_message_that_waited_for_a_retry_after() -> None:
    timeline = timeline_of("wait-forgotten", "m2")
    assert set(timeline.waited_ms) >= {"told wait"} and timeline.waited_ms["told wait"] > 2000
    blocked = [row.text for row in timeline.rows if row.what == "passed over"]
    assert blocked[0].startswith("told wait: e2: 2801 ms left")


def test_the_timeline_of_a_message_for_a_dead_destination_shows_each_trial_call() -> None:
    timeline = timeline_of("dead-destination", "m1")
    sent = [row for row in timeline.rows if row.what.startswith("sent")]
    ended = [row for row in timeline.rows if row.what.startswith("attempt") and "unreachable" in row.text]
    assert timeline.attempts == len(sent) >= 5 and len(ended) >= len(sent) - 1
    assert all("as a trial" in row.text for row in sent[1:])
    assert timeline.waited_ms["circuit open"] > 5000


def test_the_end_of_a_message_includes_the_reason() -> None:
    assert timeline_of("doubt", "m1").end == "failed: not safe to retry (in doubt)"
    expired = timeline_of("late-end", "m1")
    assert expired.end == "refused: safe to retry (no time)"
    assert expired.waited_ms["not listed"] == pytest.approx(9850, abs=60) and expired.attempts == 0


def test_an_unknown_message_has_no_timeline() -> None:
    assert message_timeline.build_timelines(CaptureFiles([FOLDER / "doubt.ktc"]), "m") == []


def capture(folder: Path, monkeypatch: pytest.MonkeyPatch, checkpoint: int, file_bytes: int = 10**8) -> Path:
    """Write a capture of messages m1 to m60 with a retry-after and a drain; m5 arrives a second time at the end."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_RECORDS", checkpoint)
    monkeypatch.setattr(recorder, "CHECKPOINT_COST_FACTOR", 0.0)
    folder.mkdir()
    writer = BlockingWriter(folder, 10**8, 1e9, print)

    def recorded_policy(settings: Settings, seed: int) -> Stepping:
        return Stepping(Policy(settings, seed), writer, Telemetry(), "one", False, file_bytes)

    with mock.patch("conftest.Policy", recorded_policy):
        relay = Relay(entry(1), entry(2))
        for n in range(60):
            relay.arrive(1 + n % 2, "keyed")
            relay.wait(40)
            for id_ in [id_ for id_, _ in relay.policy.policy.calls]:  # type: ignore[attr-defined]
                rejected = id_ == "m21" and not relay.tries[id_]
                relay.end(
                    id_,
                    Outcome.REJECTED if rejected else Outcome.OK,
                    retry_after_ms=300.0 if rejected else 0.0,
                )
            if n == 40:
                relay.do(EndpointsUpdated([entry(2, lifecycle=EndpointLifecycle.DRAINING)], complete=False))
        del relay.tries["m5"]
        relay.do(relay.message(1, "keyed", id="m5"))
        relay.wait(100)
        relay.end("m5")
        relay.wait(600)
    relay.policy.close(relay.now)  # type: ignore[attr-defined]
    return folder


def test_a_timeline_from_the_nearest_checkpoint_equals_one_from_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one_checkpoint = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 10**9)]))
    many_checkpoints = CaptureFiles(capture_files([capture(tmp_path / "b", monkeypatch, 50)]))
    many_files = CaptureFiles(capture_files([capture(tmp_path / "c", monkeypatch, 10**9, 3000)]))
    assert len(one_checkpoint.checkpoints()) == 1
    assert len(many_checkpoints.checkpoints()) > 5 and len(many_files.files) > 3
    for id_ in ("m1", "m6", "m21", "m42", "m60"):
        (first,), (second,), (third,) = (
            message_timeline.build_timelines(each, id_)
            for each in (one_checkpoint, many_checkpoints, many_files)
        )
        assert first.rows == second.rows == third.rows and first.end == second.end == third.end
        assert checkpoint_block(many_checkpoints, id_) > 0 or id_ == "m1"
    reused = message_timeline.build_timelines(many_checkpoints, "m5")
    assert [each.end for each in reused] == ["delivered", "delivered"]
    assert reused[0].arrived < reused[1].arrived
    assert [row.what for row in message_timeline.build_timelines(many_checkpoints, "m21")[0].rows][:3] == [
        "sent 0",
        "attempt 0",
        "passed over",
    ]


def run_command(*arguments: str) -> tuple[int, str, str]:
    """Run a command in this process, as a start takes a second; return exit code, stdout and stderr."""
    out, err = (io.TextIOWrapper(io.BytesIO(), "utf-8") for _ in range(2))
    with (
        mock.patch.object(sys, "argv", ["kestreltrack", *arguments]),
        redirect_stdout(out),
        redirect_stderr(err),
    ):
        code = main()
    printed = []
    for stream in (out, err):
        stream.flush()
        printed.append(stream.buffer.getvalue().decode())
    return code, printed[0], printed[1]


def checkpoint_block(files: CaptureFiles, id_: str) -> int:
    return files.checkpoint_before(message_timeline.blocks_containing(files, id_)[0]).block


def test_the_timeline_of_a_destination_holds_its_changes_and_counts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 50)]))
    timeline = destination_timeline.build_timeline(files, 1)
    states = [(change.endpoint, change.state) for change in timeline.changes]
    assert ("", "told wait") in states and timeline.outcomes["refused"] == 1 and timeline.arrived == 31
    assert (
        timeline.attempts == 32
        and timeline.ends["delivered"] == 31
        and timeline.max_in_flight >= 1
        and not timeline.divergence
    )
    other = destination_timeline.build_timeline(files, 2)
    assert ("e2", "draining") in [(change.endpoint, change.state) for change in other.changes]
    assert other.arrived == 30 and other.waited_ms["draining"] > 500
    part = destination_timeline.build_timeline(
        files, 2, since=files.parse_time("2s"), until=files.parse_time("2.2s")
    )
    assert 0 < part.arrived < 5 and part.span[1] <= files.parse_time("2.2s")


def test_times_are_parsed_as_spans_times_of_day_and_dates(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 10**9)]))
    origin = files.clock_origin()[0]
    assert [files.parse_time(t) - origin for t in ("90", "1.5m", "250ms", "1h")] == [
        90_000,
        90_000,
        250,
        3_600_000,
    ]
    start = files.wall_time(origin)
    assert files.parse_time(start.isoformat()) == pytest.approx(origin, abs=1)
    assert files.parse_time(f"{start:%H:%M:%S.%f}") == pytest.approx(origin, abs=1)
    for invalid in ("soon", "25:99", "-3", ""):
        with pytest.raises(InvalidTimeError, match="expected a span"):
            files.parse_time(invalid)


def test_the_explain_command_prints_timelines_and_rejects_wrong_arguments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = str(capture(tmp_path / "a", monkeypatch, 50))
    code, out, _ = run_command("explain", folder, "m21")
    assert code == 0 and "told wait" in out and "end: delivered" in out
    code, out, _ = run_command("explain", folder, "m21", "--json")
    (document,) = json.loads(out)
    assert code == 0 and document["attempts"] == 2 and document["waited_ms"]["told wait"] > 200
    code, out, _ = run_command("explain", folder, "--dest", "1")
    assert code == 0 and "told wait" in out and "message-seconds" in out
    code, out, _ = run_command("explain", folder, "--dest", "2", "--json", "--from", "1s")
    assert code == 0 and json.loads(out)["dest"] == 2
    for arguments, expected_code, expected_text in (
        ((folder, "m99"), 1, "no such message"),
        ((folder,), 2, "the ID of a message, or --dest"),
        ((folder, "m1", "--dest", "1"), 2, "or --dest"),
        ((folder, "--dest", "77"), 1, "nothing in this capture"),
        ((str(tmp_path), "m1"), 2, "no capture there"),
        ((folder, "--dest", "1", "--from", "x"), 2, "expected a span"),
    ):
        code, _, err = run_command("explain", *arguments)
        assert code == expected_code and expected_text in err
    code, out, _ = run_command("replay", folder, "--from", "1s", "--until", "1500ms", "--json")
    replayed = json.loads(out)
    assert (
        code == 0 and replayed["identical"] and 5 < replayed["compared"] < 200 and replayed["span_ms"] <= 1500
    )
