"""The emulator's mechanisms against results by hand, its rules against planted breaches, runs against each other."""

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
from test_explain import said

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
from kestreltrack.testing.emulator.virtual_time import DeadlockError, VirtualTimeLoop, run_in_virtual_time

SHORT = {"day.length_s": 8.0, "day.tail_s": 32.0}


def test_the_driven_clock_passes_only_where_all_wait() -> None:
    async def work() -> tuple[float, list[int]]:
        order = list[int]()
        loop = asyncio.get_running_loop()
        for n, at in enumerate((3600.0, 10.0, 10.5, 0.5)):
            loop.call_later(at, order.append, n)
        await asyncio.sleep(3600.5)
        return loop.time(), order

    assert run_in_virtual_time(work(), start=100.0) == (3700.5, [3, 1, 2, 0])
    with pytest.raises(DeadlockError):
        run_in_virtual_time(asyncio.Event().wait())


def test_limits_take_their_exact_counts() -> None:
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
    assert sum(counted.try_acquire(10.0 * n) for n in range(201)) == 5, "refused calls use it up too"
    assert all(RateLimit("none", 0.0).try_acquire(0.0) for _ in range(100))


def partner(
    loop: asyncio.AbstractEventLoop, cores: int = 1, queue: int = 10**6, **limit: float
) -> SimulatedDestination:
    made = SimulatedDestination(1, "kind", RateLimit("none", 0.0), loop, RandomStreams(1).uniform("x"))
    made.endpoints.append(SimulatedEndpoint("p1-0", made, cores, queue, 1.0, 0))
    made.health.capacity = float(cores)
    return made


@pytest.mark.parametrize(
    ("cores", "deterministic", "load"), [(1, False, 0.5), (1, False, 0.8), (1, True, 0.7), (4, False, 0.75)]
)
def test_queues_wait_as_the_formulas_say(cores: int, deterministic: bool, load: float) -> None:
    """M/M/1, M/D/1 (Pollaczek-Khinchine) and M/M/c (Erlang C); the figure within 4 errors of batch means."""
    rng, mean = np.random.default_rng(5), 100.0
    gaps = rng.exponential(mean / (load * cores), 40_000)
    work = np.full(40_000, mean) if deterministic else rng.exponential(mean, 40_000)

    async def serve() -> list[float]:
        loop, took = asyncio.get_running_loop(), list[float]()
        one = partner(loop, cores)
        for n, at in enumerate(np.cumsum(gaps) / 1000.0):

            def arrive(n: int = n, at: float = float(at)) -> None:
                def done(reply: Reply) -> None:
                    took.append((loop.time() - at) * 1000.0 - float(work[n]))

                one.endpoints[0].call(Request(f"m{n}", float(work[n]), False, 0), done)

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
    one: SimulatedDestination, *work: float, sender: int = 0, keyed: bool = True, id_: str = ""
) -> list[tuple[float, Reply]]:
    found = list[tuple[float, Reply]]()
    for n, each in enumerate(work):
        request = Request(id_ or f"m{n}", each, keyed, sender)
        one.endpoints[0].call(request, lambda reply: found.append((one.now(), reply)))
    return found


def test_a_partner_queues_refuses_hangs_slows_and_remembers() -> None:
    async def world() -> None:
        loop = asyncio.get_running_loop()
        one = partner(loop, cores=1, queue=1)
        effects = list[bool]()
        one.on_executed = lambda request, repeat: effects.append(repeat)
        found = calls(one, 100.0, 100.0, 100.0)
        await asyncio.sleep(1.0)
        assert [(round(at), r.status) for at, r in found] == [(1, "full"), (100, "ok"), (200, "ok")]
        repeat = calls(one, 100.0, id_="m0")
        await asyncio.sleep(1.0)
        assert (
            repeat[0][0] == pytest.approx(1005.0)
            and repeat[0][1].duplicate
            and effects == [False, False, True]
        )
        await asyncio.sleep(25.0)
        calls(one, 100.0, id_="m0")
        await asyncio.sleep(1.0)
        assert effects[-1] is False, "forgotten after 25 s"
        one.inject_fault("slow", 5000.0, 3.0)
        slow, began = calls(one, 100.0, id_="s"), one.now()
        await asyncio.sleep(1.0)
        assert slow[0][0] - began == pytest.approx(300.0)
        await asyncio.sleep(5.0)
        one.inject_fault("hangs", 2000.0, 1.0)
        hung = calls(one, 100.0, id_="h")
        await asyncio.sleep(3.0)
        assert not hung and one.health.warm_fraction(one.now()) < 1.0, "never answered, and cold afterwards"
        one.inject_fault("shuts", 2000.0, 1.0)
        one.retry_after_probability = 1.0
        shut = calls(one, 100.0, id_="t")
        await asyncio.sleep(0.1)
        assert shut[0][1].status == "full" and shut[0][1].retry_after_ms == pytest.approx(2000.0)

    run_in_virtual_time(world())


def test_a_cancelled_call_runs_on_unless_it_is_queued_where_that_helps() -> None:
    async def world(cancels: bool) -> int:
        one = partner(asyncio.get_running_loop(), cores=1)
        one.cancels_queued, effects = cancels, list[str]()
        one.on_executed = lambda request, repeat: effects.append(request.id)
        found = list[Reply]()
        ends = [one.endpoints[0].call(Request(f"m{n}", 100.0, False, 0), found.append) for n in range(2)]
        for end in ends:
            end()
        await asyncio.sleep(1.0)
        assert not found, "nobody listens any more"
        return len(effects)

    assert (run_in_virtual_time(world(True)), run_in_virtual_time(world(False))) == (1, 2)


def test_a_cold_partner_falls_over_where_it_is_sent_too_much() -> None:
    async def world(work: float) -> list[dict[int, float]]:
        one = partner(asyncio.get_running_loop(), cores=2)
        fell = list[dict[int, float]]()
        one.on_overload = lambda work, fallen: fell.append(work)
        one.inject_fault("hangs", 1000.0, 1.0)
        await asyncio.sleep(1.0)
        assert one.health.warm_fraction(one.now()) == pytest.approx(0.25, abs=0.01)
        # It can do 2 x 0.25 ms a ms: 2 times that over 3 s are 3000 ms, and three calls for chance.
        for n in range(40):
            calls(one, work, sender=n % 2, id_=f"c{n}")
        return fell

    assert (
        run_in_virtual_time(world(60.0)) == []
        and run_in_virtual_time(world(80.0)) == []
        and len(run_in_virtual_time(world(100.0))) == 1
    )
    assert set(run_in_virtual_time(world(100.0))[0]) == {0, 1}


def test_connections_are_capped_with_idle_ones() -> None:
    async def world() -> None:
        one = partner(asyncio.get_running_loop())
        one.endpoints[0].max_connections = 2
        assert [one.endpoints[0].connect() for _ in range(3)] == [True, True, False]
        one.endpoints[0].disconnect()
        assert one.endpoints[0].connect()
        one.inject_fault("unreachable", 1000.0, 1.0)
        one.endpoints[0].disconnect()
        assert not one.endpoints[0].connect()

    run_in_virtual_time(world())


def test_streams_are_apart_and_the_same_again() -> None:
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
def test_a_scenario_at_fault_names_the_key(text: str, tmp_path: Path) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(f"extends = 'hub'\n{text}\n")
    with pytest.raises(InvalidScenarioError, match=BAD[text]):
        load_scenario(str(file))


def test_scenarios_build_on_each_other(tmp_path: Path) -> None:
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
    with pytest.raises(InvalidScenarioError, match="there are busy"):
        load_scenario("nowhere")


def test_one_seed_is_one_run_in_any_process(tmp_path: Path) -> None:
    def shown(result: object) -> object:
        return json.loads(json.dumps({k: v for k, v in result.items() if k != "took_s"}))  # type: ignore[attr-defined]

    scenario = load_scenario(
        "crashes", SHORT | {"trouble": [{"kind": "crash", "at_s": 3, "for_s": 2, "part": 0.4}]}
    )
    first, second = shown(run_scenario(scenario, 5).as_dict()), shown(run_scenario(scenario, 5).as_dict())
    assert first == second != shown(run_scenario(scenario, 6).as_dict())
    words = [f"--set={k}={v}" for k, v in SHORT.items()]
    words.append('--set=trouble=[{"kind": "crash", "at_s": 3, "for_s": 2, "part": 0.4}]')
    command = [sys.executable, "-m", "kestreltrack", "emulate", "crashes", "--seed", "5", "--json", *words]
    env = ENV | {"PYTHONHASHSEED": "77"}
    done = subprocess.run(command, capture_output=True, text=True, env=env, check=True, timeout=120)
    assert shown(json.loads(done.stdout)) == first
    assert first["events"]["SenderCrashed"] == 1 and not first["breaches"]  # type: ignore[index]


def test_another_policy_meets_the_same_world(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario, worlds = load_scenario("hub", SHORT), list[list[tuple[float, Event]]]()
    for pause in (250.0, 900.0):
        monkeypatch.setattr("kestreltrack.decision.circuit_breaker.FIRST_PAUSE_MS", pause)
        worlds.append([])
        seen = worlds[-1]
        emulate(scenario, 3, (lambda now, event, seen=seen: seen.append((now, event)),))  # type: ignore[misc]
    asked = [[(at, e) for at, e in world if isinstance(e, MessageRequested)] for world in worlds]
    assert asked[0] == asked[1] and len(asked[0]) > 200 and worlds[0] != worlds[1]


def test_a_captured_world_replays(tmp_path: Path) -> None:
    code, out, _ = said(
        "emulate", "rolling", "--set", "day.length_s=15", "--capture", str(tmp_path), "--json"
    )
    found = json.loads(out)
    assert code == 0 and found["events"]["SenderCrashed"] >= 1 and found["service"]["lost"] < 20
    for sender in range(3):
        done = replay(capture_files([tmp_path / f"sender-{sender}"]))
        assert done.identical() and not done.faults and done.events["Arrived"] > 50


def test_the_command() -> None:
    code, out, _ = said("emulate")
    assert code == 0 and "monday" in out
    code, out, _ = said("emulate", "calm", "--set", "day.length_s=5")
    assert code == 0 and "kept" in out
    for words, text in ((("nowhere",), "there are busy"), (("calm", "--set", "x"), "expected KEY=VALUE")):
        code, _, err = said("emulate", *words)
        assert code == 2 and text in err


# Worth and rules ----------------------------------------------------------------------------------


def test_worth_by_hand() -> None:
    worth = ServiceScorer(load_scenario("hub", {"day.length_s": 10.0}))
    for id_, cls in (
        ("a", "listing-update"),
        ("b", "slot-booking"),
        ("c", "slot-booking"),
        ("d", "slot-booking"),
    ):
        worth(0.0, MessageRequested(id_, 1, cls, "cedar-law", id_ != "c", 99_000.0))
    for id_, at in (("a", 14_000.0), ("b", 3000.0), ("c", 100.0)):
        worth(at, AttemptAnswered(id_, 0, 1, "p1-0", "ok", 0.0, id_ == "a", 50.0))
    worth(20_000.0, FinalAnswerGiven("d", 0, "failed"))
    service = worth.score()
    # a: half of the way from 4 to 24 s, so 1 - 0.5 / 2 of 2; b: all of 1; c: 5 % of 1; d: nothing of 1.
    assert service.whole == pytest.approx((1.5 + 1.0 + 0.05) / 4.05)
    assert service.worst_class == pytest.approx(1.05 / 2.05) and service.worst_firm == pytest.approx(
        2.5 / 4.0
    )
    assert (service.on_time, service.late, service.lost) == (2, 1, 0)
    assert service.deductions["new connections"] == pytest.approx(0.02 / 4)
    assert service.deductions["late failures"] == pytest.approx(0.02 / 4)


def attempt(id_: str = "m", sender: int = 0, out: int = 1, sick: bool = False) -> AttemptStarted:
    return AttemptStarted(id_, sender, 1, "p1-0", 0, out, sick)


def answered(outcome: str, wait: float = 0.0, id_: str = "m", sender: int = 0) -> AttemptAnswered:
    return AttemptAnswered(id_, sender, 1, "p1-0", outcome, wait, False, 10.0)


BREACHES: dict[str, list[tuple[float, Event]]] = {
    "one attempt at a time": [(0, attempt()), (1, attempt(sender=1))],
    "one final answer": [(0, attempt()), (1, answered("ok")), (2, FinalAnswerGiven("m", 0, "failed"))],
    "answers in time": [(30_000, FinalAnswerGiven("m", 0, "failed"))],
    "repeats within allowance": [
        (0, MessageExecuted("u", 1, False, 1.0)),
        (5, MessageExecuted("u", 1, False, 1.0)),
    ],
    "drains kept": [(0, EndpointStateLearned(0, "p1-0", "draining")), (501, attempt())],
    "waits heeded": [(0, attempt()), (10, answered("refused", 500.0)), (505, attempt())],
    "attempts within the limit": [(0, attempt()), (1, answered("error"))] * 9,
    "cap": [(0, attempt(out=8))],
    "isolation": [(0, attempt(out=6, sick=True)), (1, answered("error")), (2500, attempt(out=6, sick=True))],
    "no returning partner pushed over": [
        (0, FaultChanged("hangs", "1", True)),
        (5, attempt()),
        (9, answered("timed out")),
        (20, DestinationOverloaded(1, {0: 9.0, 1: 3.0})),
    ],
}


def judged(events: list[tuple[float, Event]]) -> set[str]:
    rules = SystemInvariants(invariant_parameters(load_scenario("hub")), 10)
    for id_, cls in (("m", "listing-update"), ("u", "slot-booking")):
        rules(0.0, MessageRequested(id_, 1, cls, "cedar-law", True, 24_000.0))
        rules(0.0, MessageAccepted(id_, 0))
    for now, event in events:
        rules(now, event)
    return {breach.rule for breach in rules.violations}


@pytest.mark.parametrize("rule", BREACHES)
def test_each_rule_fires_on_its_breach_and_on_no_other(rule: str) -> None:
    assert judged(BREACHES[rule]) == {rule}


def test_what_is_no_breach() -> None:
    assert not judged([(0, attempt()), (1, answered("error")), (2, attempt()), (9, answered("ok"))])
    assert not judged([(0, EndpointStateLearned(0, "p1-0", "draining")), (499, attempt())])
    away: list[tuple[float, Event]] = [(20_000, SenderCrashed(0)), (25_000, SenderStarted(0, 1))]
    assert not judged([*away, (26_500, FinalAnswerGiven("m", 0, "failed"))]), (
        "its time was up while its sender was away"
    )
    assert judged([*away, (26_600, FinalAnswerGiven("m", 0, "failed"))]) == {"answers in time"}
    assert not judged(
        [(0, attempt()), (10, answered("refused", 500.0)), (20, SenderCrashed(0)), (100, attempt())]
    )
    assert not judged([(0, FaultChanged("hangs", "1", True)), (20, DestinationOverloaded(1, {0: 9.0}))]), (
        "nobody had seen it fail"
    )
    rules = SystemInvariants(invariant_parameters(load_scenario("hub")), 10)
    rules(0.0, MessageRequested("m", 1, "listing-update", "cedar-law", True, 24_000.0))
    rules(0.0, MessageAccepted("m", 0))
    assert [breach.rule for breach in rules.finish(30_000.0)] == ["one final answer"]


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


def test_the_loop_is_asyncios_own() -> None:
    assert issubclass(VirtualTimeLoop, asyncio.SelectorEventLoop)
