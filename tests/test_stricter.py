"""Terms that stand beside the rules: what was taken on stays, is tried, and costs nobody else the room."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
import test_random
from conftest import CLASSES, SETTINGS, Relay, entry, finals, sends

from benchmarks.cold_start_load import IndependentSenders
from kestreltrack.decision import (
    Action,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    Outcome,
    RejectMessage,
    Settings,
)
from kestreltrack.invariants.sender import InvariantViolationError, SenderInvariants
from kestreltrack.journal import OutstandingMessage
from kestreltrack.ports import Message
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.telemetry import Telemetry

STAY = 0.7  # of its time, from the hand-in


class Strict(SenderInvariants):
    """Knows also when a message was handed in, and what may be answered without having been taken on."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.stays, self.fresh, self.early = dict[str, float](), set[str](), 0

    def observe(self, now: float, event: Event) -> None:
        super().observe(now, event)
        if isinstance(event, MessageArrived):
            self.stays[event.id] = now + STAY * (event.expires - now)
            self.fresh |= set() if event.accepted else {event.id}

    def check_actions(self, now: float, acts: list[Action]) -> None:
        for act in acts:
            if isinstance(act, RejectMessage | FailMessage):
                record = self.records[act.id]
                untried = len(record.attempts) - record.uncounted_attempts < self.settings.max_attempts
                early = now < min(self.stays[act.id], record.event.expires - 150.0) - 1e-6
                if early and untried and not record.possibly_executed() and act.id not in self.fresh:
                    raise InvariantViolationError(
                        f"{act.id} was taken on, has not run and is handed back early"
                    )
                self.early += early
        super().check_actions(now, acts)
        self.fresh.clear()


@pytest.mark.parametrize("seed", range(1, 9))
def test_what_was_taken_on_and_has_not_run_stays_on_arbitrary_days(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(test_random, "SenderInvariants", Strict)
    play = test_random.RandomEventRun(seed)
    play.run(400)
    assert play.count > 200


@pytest.mark.parametrize(("cls", "size"), [("safe", 3600.0), ("keyed", 9000.0), ("unsafe", 9000.0)])
def test_a_message_stays_though_no_attempt_can_end_in_its_time(cls: str, size: float) -> None:
    # Two usual latencies before the end are the last moment of an attempt, here long before seven tenths.
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1", took=size)
    relay.do(EndpointsUpdated([entry(1, lifecycle=EndpointLifecycle.DRAINING)], complete=False))
    time = CLASSES[cls].deadline_ms
    relay.arrive(1, cls)
    assert not finals(relay.wait(STAY * time - 20.0)), "it costs 0.3 of its worth before"
    relay.do(EndpointsUpdated([entry(1)], complete=False))
    assert finals(relay.wait(40.0)) == [RejectMessage("m2", 2000.0)], "and is answered then: nothing can go"
    assert len(sends(relay.log)) == 1, "nothing went that could not end"


def test_no_attempt_that_cannot_end_goes_with_others_in_a_call() -> None:
    relay = Relay(entry(1, kind="batch"))
    relay.arrive(1)
    relay.end("m1", took=1000.0)
    relay.do(relay.message(1, expires=1900.0), relay.message(1))
    assert relay.tries.keys() == {"m1", "m3"}


@pytest.mark.parametrize("hold", [20, 100])
def test_a_full_hold_turns_away_what_arrives_for_the_sick_and_keeps_room_for_the_well(hold: int) -> None:
    relay = Relay(entry(1), entry(2, rate=1000.0), entry(3), queue_capacity=hold)
    stays = dict[str, float]()
    while relay.now < 6000.0:  # of the ten seconds that each has
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, Outcome.UNREACHABLE if relay.where[id_] == "e1" else Outcome.OK, took=5.0)
        before = set(relay.policy.messages)
        acts = relay.do(*(relay.message(dest) for dest in (1, 1, 1, 2)))
        turned_away = {cast(RejectMessage, a).id for a in finals(acts)}
        assert not turned_away & before, "taken on, and not run"
        assert f"m{relay.count}" not in turned_away, "the well one's"
        assert len(relay.policy.messages) <= hold
        stays |= {id_: relay.now for id_ in set(relay.policy.messages) - before}
        assert not finals(relay.wait(20.0))
    assert hold / 2 <= len(relay.policy.messages) <= hold * 3 / 4
    acts = relay.do(*(relay.message(3) for _ in range(hold // 5)))
    assert len(sends(acts)) >= 2 and not finals(acts)


def test_what_has_stayed_makes_room_before_what_arrives_is_turned_away() -> None:
    relay = Relay(queue_capacity=20)  # no endpoint: nothing goes
    relay.do(*(relay.message(1, "unsafe") for _ in range(17)))
    relay.wait(STAY * 20_000.0)
    acts = relay.do(*(relay.message(2) for _ in range(3)))
    assert {cast(RejectMessage, a).id for a in finals(acts)} <= {f"m{n}" for n in range(1, 18)}
    assert len(finals(acts)) == 3


# What a restart finds ------------------------------------------------------------------------------


def recovered(relay: Relay, count: int, cls: str = "safe", **more: Any) -> list[MessageArrived]:
    """Messages that the process before had taken on, and had not come to try."""
    return [relay.message(1, cls, accepted=True, **more) for _ in range(count)]


def test_what_a_restart_finds_is_not_shed_by_a_full_hold() -> None:
    relay = Relay(queue_capacity=20)  # no list yet
    assert not finals(relay.do(*recovered(relay, 25, "unsafe"))), (
        "more than the hold: two folders in an upgrade"
    )
    assert finals(relay.arrive(2)) == [RejectMessage("m26", 2000.0)], "the hold is full for what arrives"
    assert not finals(relay.wait(STAY * 20_000.0 + 1000.0))
    assert len(sends(relay.do(EndpointsUpdated([entry(1)], complete=True)) + relay.wait(4000.0))) >= 6


@pytest.mark.parametrize("outcome", [None, Outcome.UNREACHABLE, Outcome.ERROR])
@pytest.mark.parametrize("tried", [0, 1, 8])
def test_most_of_what_a_restart_finds_untried_is_tried_in_time(outcome: Outcome | None, tried: int) -> None:
    # The partner hangs or fails for all the time that is left to them.
    relay = Relay(entry(1))
    relay.do(*recovered(relay, tried, attempts=1), *recovered(relay, 7))
    while relay.now < 10_000.0:
        for id_, _ in list(relay.policy.calls):
            if outcome:
                relay.end(id_, outcome, took=5.0, final=False)
        relay.wait(20.0)
    untried = {f"m{n}" for n in range(tried + 1, tried + 8)} - set(sends(relay.log))
    assert len(untried) <= 3, "over half given up with no call fails the day"


@pytest.mark.parametrize("tries", [0, 2])
def test_what_the_journal_holds_reaches_the_module_as_taken_on(tries: int) -> None:
    heard = list[Event]()

    async def play() -> None:
        decider = SimpleNamespace(handle=lambda now, event: heard.append(event), decide=lambda now: ())
        desk = Dispatcher(cast(Any, decider), lambda: 5.0, Telemetry())
        journal = SimpleNamespace(
            outstanding={"m1": OutstandingMessage(Message("m1", "safe", 1, 9000.0), tries)}
        )
        machines = transport = notices = cast(Any, SimpleNamespace(close_idle=None))
        core = Core(desk, SETTINGS, cast(Any, journal), machines, transport, notices, Telemetry())
        core.recover()
        await asyncio.sleep(0.0)
        await core.abandon()

    asyncio.run(play())
    assert heard == [MessageArrived("m1", 1, "safe", 9000.0, attempts=tries, accepted=True)]


# The sum of many at a cold partner -----------------------------------------------------------------


@pytest.mark.parametrize(("senders", "well"), [(20, 0.0), (60, 0.0), (60, 10_000.0)])
def test_many_that_know_nothing_of_each_other_stay_inside_a_cold_budget(senders: int, well: float) -> None:
    """Senders that start into an outage call a destination at its return, in sum, within its cold budget.

    60 senders with one message in four seconds made 38 calls in the first 2 s where 30.9 are allowed.  Each measures
    its demand from its first arrival on and counted that arrival, but nothing of the time before it.  Right before
    the return the 50 that had failed took their demands for 28.1 a second in sum where 14.3 was true, and
    each paces its trial calls by its demand.  Earlier: two failures were an outage only 2 s after the first.
    """
    worst, told, _ = IndependentSenders(senders, 20.0, 0.8, seed=1, well=well).play()
    assert worst.over_limit <= 1.0 and told.over_limit <= 1.0


SUM_SEEDS = (1, 2, 3)


@pytest.mark.parametrize("load", [0.8, 1.3])
@pytest.mark.parametrize("senders", [3, 20, 60, 200])
def test_the_sum_of_senders_that_start_into_an_outage_stays_inside_the_cold_budget(
    senders: int, load: float
) -> None:
    """No sender sees the others, and each goes by its own demand where that is above its even share.

    At a load of 1.3 these demands add up to more than the limit, whatever their measure: at 20 senders to 27.2 a
    second of 20.  Of 200 thin senders 109 hold one or two messages at the return, each of which gets three tries.
    """
    worst = [IndependentSenders(senders, 20.0, load, seed).play()[0].over_limit for seed in SUM_SEEDS]
    assert max(worst) <= 1.0, worst


@pytest.mark.parametrize("rate", [0.0, -1.0])
def test_a_rate_of_nothing_in_the_list_is_one_that_nobody_tells(rate: float) -> None:
    # A division by it ended the step: the module took no further word of that partner.
    relay = Relay(entry(1, rate=rate))
    relay.arrive(1)
    for _ in range(5):
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, Outcome.CONNECTION_BROKEN)
        relay.wait(2000.0)
    assert len(sends(relay.log)) >= 3
