"""The emulator's parts against results by hand, invariants against planted violations, runs against each other."""

from __future__ import annotations

import asyncio
import json
import math
import subprocess
import sys
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from test_cli import ENV
from test_explain import run_command

from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.decision import circuit_breaker, endpoint_selection, message_rules
from kestreltrack.decision.policy import Policy
from kestreltrack.invariants.events import (
    AttemptAnswered,
    AttemptStarted,
    DestinationOverloaded,
    EndpointStateLearned,
    Event,
    FaultChanged,
    FinalAnswerGiven,
    MessageAccepted,
    MessageExecuted,
    MessageRequested,
    SenderCrashed,
    SenderStarted,
)
from kestreltrack.invariants.system import SystemInvariants
from kestreltrack.testing.emulator.calls import Reply, Request
from kestreltrack.testing.emulator.destination import SimulatedDestination, SimulatedEndpoint
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler
from kestreltrack.testing.emulator.rate_limit import RateLimit
from kestreltrack.testing.emulator.result import invariant_parameters, run_scenario
from kestreltrack.testing.emulator.scenario import (
    InvalidScenarioError,
    Scenario,
    load_scenario,
    scenario_names,
)
from kestreltrack.testing.emulator.scoring import ServiceScorer
from kestreltrack.testing.emulator.simulation import emulate
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time

SHORT = {"day.length_s": 8.0, "day.tail_s": 32.0}


def test_rate_limits_admit_exactly_their_number_of_calls() -> None:
    window = RateLimit("window", 4.0, 2000.0)
    assert [sum(window.try_acquire(at + n) for n in range(20)) for at in (0.0, 1990.0, 2500.0, 4000.0)] == [
        8,
        8,
        0,
        8,
    ]
    assert window.retry_after_ms(4500.0) == 1500.0 and window.fraction_left(4500.0) == 0.0
    rate = RateLimit("rate", 5.0, burst_s=1.0)
    assert sum(rate.try_acquire(0.0) for _ in range(9)) == 5 and rate.retry_after_ms(0.0) == pytest.approx(
        200.0
    )
    assert sum(rate.try_acquire(10.0 * n) for n in range(1, 101)) == 5, (
        "five a second, however often it is asked"
    )
    counted = RateLimit("rate", 5.0, burst_s=1.0, counts_rejections=True)
    assert sum(counted.try_acquire(10.0 * n) for n in range(201)) == 5, "rejected calls use up the limit too"
    assert all(RateLimit("none", 0.0).try_acquire(0.0) for _ in range(100))


def create_destination(
    loop: asyncio.AbstractEventLoop, cores: int = 1, queue: int = 10**6, **limit: float
) -> SimulatedDestination:
    destination = SimulatedDestination(1, "kind", RateLimit("none", 0.0), loop, RandomStreams(1).uniform("x"))
    destination.endpoints.append(SimulatedEndpoint("p1-0", destination, cores, queue, 1.0, 0))
    destination.health.capacity = float(cores)
    return destination


@pytest.mark.parametrize(
    ("cores", "deterministic", "load"), [(1, False, 0.5), (1, False, 0.8), (1, True, 0.7), (4, False, 0.75)]
)
def test_waiting_times_match_queueing_formulas(cores: int, deterministic: bool, load: float) -> None:
    """M/M/1, M/D/1 (Pollaczek-Khinchine) and M/M/c (Erlang C); the figure within 4 errors of batch means."""
    rng, mean = np.random.default_rng(5), 100.0
    gaps = rng.exponential(mean / (load * cores), 40_000)
    work = np.full(40_000, mean) if deterministic else rng.exponential(mean, 40_000)

    async def serve() -> list[float]:
        loop, took = asyncio.get_running_loop(), list[float]()
        destination = create_destination(loop, cores)
        for n, at in enumerate(np.cumsum(gaps) / 1000.0):

            def arrive(n: int = n, at: float = float(at)) -> None:
                def done(reply: Reply) -> None:
                    took.append((loop.time() - at) * 1000.0 - float(work[n]))

                destination.endpoints[0].call(Request(f"m{n}", float(work[n]), False, 0), done)

            loop.call_at(float(at), arrive)
        await asyncio.sleep(float(gaps.sum()) / 1000.0 + 60.0)
        return took

    waits = np.array(run_in_virtual_time(serve()))
    a = load * cores
    top = a**cores / math.factorial(cores) / (1.0 - load)
    waiting = top / (sum(a**k / math.factorial(k) for k in range(cores)) + top)  # Erlang C
    expected = waiting * mean / (cores * (1.0 - load)) * (0.5 if deterministic else 1.0)
    batches = waits[2000:38_000].reshape(36, -1).mean(axis=1)
    error = batches.std(ddof=1) / math.sqrt(len(batches))
    assert len(waits) == 40_000 and abs(batches.mean() - expected) < 4.0 * error < 0.4 * expected


def calls(
    destination: SimulatedDestination, *work: float, sender: int = 0, keyed: bool = True, id_: str = ""
) -> list[tuple[float, Reply]]:
    found = list[tuple[float, Reply]]()
    for n, each in enumerate(work):
        request = Request(id_ or f"m{n}", each, keyed, sender)
        destination.endpoints[0].call(request, lambda reply: found.append((destination.now(), reply)))
    return found


def test_destination_queues_rejects_deduplicates_and_shows_faults() -> None:
    async def simulate() -> None:
        loop = asyncio.get_running_loop()
        destination = create_destination(loop, cores=1, queue=1)
        executions = list[bool]()
        destination.on_executed = lambda request, repeat: executions.append(repeat)
        found = calls(destination, 100.0, 100.0, 100.0)
        await asyncio.sleep(1.0)
        assert [(round(at), r.status) for at, r in found] == [(1, "full"), (100, "ok"), (200, "ok")]
        repeat = calls(destination, 100.0, id_="m0")
        await asyncio.sleep(1.0)
        assert (
            repeat[0][0] == pytest.approx(1005.0)
            and repeat[0][1].duplicate
            and executions == [False, False, True]
        )
        await asyncio.sleep(25.0)
        calls(destination, 100.0, id_="m0")
        await asyncio.sleep(1.0)
        assert executions[-1] is False, "the deduplication window of 25 s is over"
        destination.inject_fault("slow", 5000.0, 3.0)
        slow, began = calls(destination, 100.0, id_="s"), destination.now()
        await asyncio.sleep(1.0)
        assert slow[0][0] - began == pytest.approx(300.0)
        await asyncio.sleep(5.0)
        destination.inject_fault("hangs", 2000.0, 1.0)
        hung = calls(destination, 100.0, id_="h")
        await asyncio.sleep(3.0)
        assert not hung and destination.health.warm_fraction(destination.now()) < 1.0, (
            "never answered, and cold afterwards"
        )
        destination.inject_fault("shuts", 2000.0, 1.0)
        destination.retry_after_probability = 1.0
        shut = calls(destination, 100.0, id_="t")
        await asyncio.sleep(0.1)
        assert shut[0][1].status == "full" and shut[0][1].retry_after_ms == pytest.approx(2000.0)

    run_in_virtual_time(simulate())


def test_abandoned_call_runs_on_unless_destination_cancels_queued_calls() -> None:
    async def simulate(cancels: bool) -> int:
        destination = create_destination(asyncio.get_running_loop(), cores=1)
        destination.cancels_queued = cancels
        executions = list[str]()
        destination.on_executed = lambda request, repeat: executions.append(request.id)
        found = list[Reply]()
        ends = [
            destination.endpoints[0].call(Request(f"m{n}", 100.0, False, 0), found.append) for n in range(2)
        ]
        for end in ends:
            end()
        await asyncio.sleep(1.0)
        assert not found, "the call was abandoned"
        return len(executions)

    assert (run_in_virtual_time(simulate(True)), run_in_virtual_time(simulate(False))) == (1, 2)


def test_destination_that_warms_up_collapses_under_too_much_work() -> None:
    async def simulate(work: float) -> list[dict[int, float]]:
        destination = create_destination(asyncio.get_running_loop(), cores=2)
        fell = list[dict[int, float]]()
        destination.on_overload = lambda work, fallen: fell.append(work)
        destination.inject_fault("hangs", 1000.0, 1.0)
        await asyncio.sleep(1.0)
        assert destination.health.warm_fraction(destination.now()) == pytest.approx(0.25, abs=0.01)
        # It can do 2 x 0.25 ms a ms: 2 times that over 3 s are 3000 ms, and three calls for chance.
        for n in range(40):
            calls(destination, work, sender=n % 2, id_=f"c{n}")
        return fell

    assert (
        run_in_virtual_time(simulate(60.0)) == []
        and run_in_virtual_time(simulate(80.0)) == []
        and len(run_in_virtual_time(simulate(100.0))) == 1
    )
    assert set(run_in_virtual_time(simulate(100.0))[0]) == {0, 1}


def test_connection_limit_counts_idle_connections() -> None:
    async def simulate() -> None:
        destination = create_destination(asyncio.get_running_loop())
        destination.endpoints[0].max_connections = 2
        assert [destination.endpoints[0].connect() for _ in range(3)] == [True, True, False]
        destination.endpoints[0].disconnect()
        assert destination.endpoints[0].connect()
        destination.inject_fault("unreachable", 1000.0, 1.0)
        destination.endpoints[0].disconnect()
        assert not destination.endpoints[0].connect()

    run_in_virtual_time(simulate())


def test_random_streams_are_independent_and_reproducible() -> None:
    first, again = RandomStreams(7), RandomStreams(7)
    values = [first.sampler((0.0, 1.0), "a", 1)() for _ in range(3)]
    other = again.uniform("b")
    for _ in range(1000):
        other()
    assert values == [again.sampler((0.0, 1.0), "a", 1)() for _ in range(3)]
    assert RandomStreams(8).sampler((0.0, 1.0), "a", 1)() != values[0] != first.sampler((0.0, 1.0), "a", 2)()
    draws = Sampler({"name": "lognorm", "s": 0.5, "scale": 100.0}, first.generator("c"))
    assert np.median([draws() for _ in range(4000)]) == pytest.approx(100.0, rel=0.1)


BAD = {
    "load.level = 'high'": "load.level: ",
    "load.levle = 1": "load: ",
    "load.level = {name = 'nodist'}": "load.level: 'nodist' is not a distribution",
    "load.level = {name = 'lognorm'}": "load.level: lognorm: ",
    "load.level = [2, 1]": "load.level: ",
    "partners = 0": "partners: ",
    "fleet.senders = -1": "fleet.senders: ",
    "class = []": "class: expected at least one",
    "fleet.zone_fees = [0, 0.1]": "fleet.zone_fees: expected one for each zone",
    "knows.weights = 'all'": "knows.weights: ",
    "day.length_s = 0": "day.length_s: ",
    "[": "at line 2",
}


@pytest.mark.parametrize("text", BAD)
def test_invalid_scenario_error_names_the_key(text: str, tmp_path: Path) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(f"extends = 'hub'\n{text}\n")
    with pytest.raises(InvalidScenarioError, match=BAD[text]):
        load_scenario(str(file))


def test_scenarios_extend_each_other(tmp_path: Path) -> None:
    assert len(scenario_names()) == 11 and all(
        isinstance(load_scenario(name), Scenario) for name in scenario_names()
    )
    assert (
        load_scenario("monday").load.clumps == 0.3
        and load_scenario("monday").load.full == load_scenario("hub").load.full
    )
    assert load_scenario("hub", {"load.level": 0.5}).load.level == 0.5
    (tmp_path / "loop.toml").write_text(f"extends = '{tmp_path / 'loop.toml'}'")
    with pytest.raises(InvalidScenarioError, match="extends itself"):
        load_scenario(str(tmp_path / "loop.toml"))
    with pytest.raises(InvalidScenarioError, match="scenarios of the library: busy"):
        load_scenario("nowhere")


def test_one_seed_is_one_run_in_any_process(tmp_path: Path) -> None:
    def comparable(result: object) -> object:
        return json.loads(json.dumps({k: v for k, v in result.items() if k != "took_s"}))  # type: ignore[attr-defined]

    scenario = load_scenario(
        "crashes", SHORT | {"trouble": [{"kind": "crash", "at_s": 3, "for_s": 2, "part": 0.4}]}
    )
    first, second = (
        comparable(run_scenario(scenario, 5).as_dict()),
        comparable(run_scenario(scenario, 5).as_dict()),
    )
    assert first == second != comparable(run_scenario(scenario, 6).as_dict())
    arguments = [f"--set={k}={v}" for k, v in SHORT.items()]
    arguments.append('--set=trouble=[{"kind": "crash", "at_s": 3, "for_s": 2, "part": 0.4}]')
    command = [
        sys.executable,
        "-m",
        "kestreltrack",
        "emulate",
        "crashes",
        "--seed",
        "5",
        "--json",
        *arguments,
    ]
    env = ENV | {"PYTHONHASHSEED": "77"}
    done = subprocess.run(command, capture_output=True, text=True, env=env, check=True, timeout=120)
    assert comparable(json.loads(done.stdout)) == first
    assert first["events"]["SenderCrashed"] == 1 and not first["breaches"]  # type: ignore[index]


def test_another_policy_meets_the_same_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario, runs = load_scenario("hub", SHORT), list[list[tuple[float, Event]]]()
    for pause in (250.0, 900.0):
        monkeypatch.setattr("kestreltrack.decision.circuit_breaker.FIRST_PAUSE_MS", pause)
        runs.append([])
        seen = runs[-1]
        emulate(scenario, 3, (lambda now, event, seen=seen: seen.append((now, event)),))  # type: ignore[misc]
    asked = [[(at, e) for at, e in run if isinstance(e, MessageRequested)] for run in runs]
    assert asked[0] == asked[1] and len(asked[0]) > 200 and runs[0] != runs[1]


def test_captures_of_a_simulation_replay_identically(tmp_path: Path) -> None:
    code, out, _ = run_command(
        "emulate", "rolling", "--set", "day.length_s=15", "--capture", str(tmp_path), "--json"
    )
    found = json.loads(out)
    assert code == 0 and found["events"]["SenderCrashed"] >= 1 and found["service"]["lost"] < 20
    for sender in range(3):
        done = replay(capture_files([tmp_path / f"sender-{sender}"]))
        assert done.identical() and not done.faults and done.events["Arrived"] > 50


def test_emulate_command_prints_table_and_reports_invalid_arguments() -> None:
    code, out, _ = run_command("emulate")
    assert code == 0 and "monday" in out
    code, out, _ = run_command("emulate", "calm", "--set", "day.length_s=5")
    assert code == 0 and "kept" in out
    for arguments, text in (
        (("nowhere",), "scenarios of the library: busy"),
        (("calm", "--set", "x"), "expected KEY=VALUE"),
    ):
        code, _, err = run_command("emulate", *arguments)
        assert code == 2 and text in err


# Score and invariants -------------------------------------------------------------------------------


def test_worth_by_hand() -> None:
    scorer = ServiceScorer(load_scenario("hub", {"day.length_s": 10.0}))
    for id_, cls in (
        ("a", "listing-update"),
        ("b", "slot-booking"),
        ("c", "slot-booking"),
        ("d", "slot-booking"),
    ):
        scorer(0.0, MessageRequested(id_, 1, cls, "cedar-law", id_ != "c", 99_000.0))
    for id_, at in (("a", 14_000.0), ("b", 3000.0), ("c", 100.0)):
        scorer(at, AttemptAnswered(id_, 0, 1, "p1-0", "ok", 0.0, id_ == "a", 50.0))
    scorer(20_000.0, FinalAnswerGiven("d", 0, "failed"))
    service = scorer.score()
    # a: half of the way from 4 to 24 s, so 1 - 0.5 / 2 of 2; b: all of 1; c: 5 % of 1; d: nothing of 1.
    assert service.whole == pytest.approx((1.5 + 1.0 + 0.05) / 4.05)
    assert service.worst_class == pytest.approx(1.05 / 2.05) and service.worst_firm == pytest.approx(
        2.5 / 4.0
    )
    assert (service.on_time, service.late, service.lost) == (2, 1, 0)
    assert service.deductions["new connections"] == pytest.approx(0.02 / 4)
    assert service.deductions["late failures"] == pytest.approx(0.02 / 4)


def attempt_started(id_: str = "m", sender: int = 0, out: int = 1, sick: bool = False) -> AttemptStarted:
    return AttemptStarted(id_, sender, 1, "p1-0", 0, out, sick)


def attempt_answered(outcome: str, wait: float = 0.0, id_: str = "m", sender: int = 0) -> AttemptAnswered:
    return AttemptAnswered(id_, sender, 1, "p1-0", outcome, wait, False, 10.0)


BREACHES: dict[str, list[tuple[float, Event]]] = {
    "one attempt at a time": [(0, attempt_started()), (1, attempt_started(sender=1))],
    "one final answer": [
        (0, attempt_started()),
        (1, attempt_answered("ok")),
        (2, FinalAnswerGiven("m", 0, "failed")),
    ],
    "answers in time": [(30_000, FinalAnswerGiven("m", 0, "failed"))],
    "repeats within allowance": [
        (0, MessageExecuted("u", 1, False, 1.0)),
        (5, MessageExecuted("u", 1, False, 1.0)),
    ],
    "drains kept": [(0, EndpointStateLearned(0, "p1-0", "draining")), (501, attempt_started())],
    "waits heeded": [
        (0, attempt_started()),
        (10, attempt_answered("refused", 500.0)),
        (505, attempt_started()),
    ],
    "attempts within the limit": [(0, attempt_started()), (1, attempt_answered("error"))] * 9,
    "cap": [(0, attempt_started(out=8))],
    "isolation": [
        (0, attempt_started(out=6, sick=True)),
        (1, attempt_answered("error")),
        (2500, attempt_started(out=6, sick=True)),
    ],
    "no returning partner pushed over": [
        (0, FaultChanged("hangs", "1", True)),
        (5, attempt_started()),
        (9, attempt_answered("timed out")),
        (20, DestinationOverloaded(1, {0: 9.0, 1: 3.0})),
    ],
}


def violated_rules(events: list[tuple[float, Event]]) -> set[str]:
    invariants = SystemInvariants(invariant_parameters(load_scenario("hub")), 10)
    for id_, cls in (("m", "listing-update"), ("u", "slot-booking")):
        invariants(0.0, MessageRequested(id_, 1, cls, "cedar-law", True, 24_000.0))
        invariants(0.0, MessageAccepted(id_, 0))
    for now, event in events:
        invariants(now, event)
    return {breach.rule for breach in invariants.violations}


@pytest.mark.parametrize("rule", BREACHES)
def test_each_invariant_reports_its_own_violation_only(rule: str) -> None:
    assert violated_rules(BREACHES[rule]) == {rule}


def test_permitted_sequences_are_no_violations() -> None:
    assert not violated_rules(
        [
            (0, attempt_started()),
            (1, attempt_answered("error")),
            (2, attempt_started()),
            (9, attempt_answered("ok")),
        ]
    )
    assert not violated_rules([(0, EndpointStateLearned(0, "p1-0", "draining")), (499, attempt_started())])
    away: list[tuple[float, Event]] = [(20_000, SenderCrashed(0)), (25_000, SenderStarted(0, 1))]
    assert not violated_rules([*away, (26_500, FinalAnswerGiven("m", 0, "failed"))]), (
        "its time was up while its sender was away"
    )
    assert violated_rules([*away, (26_600, FinalAnswerGiven("m", 0, "failed"))]) == {"answers in time"}
    assert not violated_rules(
        [
            (0, attempt_started()),
            (10, attempt_answered("refused", 500.0)),
            (20, SenderCrashed(0)),
            (100, attempt_started()),
        ]
    )
    assert not violated_rules(
        [(0, FaultChanged("hangs", "1", True)), (20, DestinationOverloaded(1, {0: 9.0}))]
    ), "nobody had seen it fail"
    invariants = SystemInvariants(invariant_parameters(load_scenario("hub")), 10)
    invariants(0.0, MessageRequested("m", 1, "listing-update", "cedar-law", True, 24_000.0))
    invariants(0.0, MessageAccepted("m", 0))
    assert [breach.rule for breach in invariants.finish(30_000.0)] == ["one final answer"]


GUARDS: dict[str, tuple[str, Any, str, Any]] = {
    "waits heeded": ("monday", endpoint_selection, "blocking_rule", lambda limits, now: ""),
    "drains kept": (
        "registry",
        endpoint_selection,
        "is_ready",
        lambda endpoint, now: not any(endpoint_selection.blocking_rule(g, now) for g in endpoint.limits),
    ),
    "cap": (
        "monday",
        Policy,
        "blocking_rule",
        lambda self, destination: (
            endpoint_selection.blocking_rule(destination.limits, self.now) if destination.limits else ""
        ),
    ),
    "repeats within allowance": ("monday", message_rules, "must_not_repeat", lambda message: False),
    "no returning partner pushed over": (
        "monday",
        endpoint_selection,
        "blocking_rule",
        lambda limits, now: "told wait" if now < limits.retry_after_until else "",
    ),
}


@pytest.mark.parametrize("rule", GUARDS)
def test_a_sender_without_a_guard_is_caught(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, owner, attribute, value = GUARDS[rule]
    monkeypatch.setattr(owner, attribute, value)
    if rule in ("waits heeded", "drains kept"):  # the last question before the first byte knows them too
        monkeypatch.setattr(Policy, "permits", lambda self, now, number, name: True)
    if rule == "cap":
        monkeypatch.setattr(circuit_breaker, "overdue_after_ms", lambda destination: 1e9)
    rows = (("hangs", 2, 0.5), ("shuts", 4, 0.3))
    trouble = [{"kind": kind, "at_s": at, "for_s": 6, "part": part} for kind, at, part in rows]
    more = {"directory.drains_every_s": 1.0, "trouble": trouble, "load.level": 0.95}
    found = run_scenario(
        load_scenario(name, SHORT | {"day.length_s": 16.0} | more), 5 if rule.startswith("repeats") else 2
    )
    assert rule in {breach.rule for breach in found.violations}
