"""The pursuit against a plain model of etcd's history: whatever comes in whatever order, it ends with the
store's list, tells each change exactly once, and each planted defect is caught.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import Phase as Stage
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from kestreltrack.discovery.etcd.errors import FailureReason
from kestreltrack.discovery.etcd.watch_state import WatchStateMachine
from kestreltrack.discovery.etcd.watch_types import (
    CloseWatch,
    ConfirmRevision,
    KeyChange,
    OpenWatch,
    PrefixUpdate,
    ReadPage,
    RequestProgress,
    Wait,
    WatchParameters,
    WatchPhase,
    WatchResponse,
)

KEYS = [b"a", b"b", b"c", b"d", b"e"]
MEMBERS = 3
TERMS = WatchParameters(member_count=MEMBERS, page_size=2, open_interval_ms=200.0)


class Model(RuleBasedStateMachine):
    """A store with members that lag, streams that break and repeat, and one follower."""

    made: Callable[[], WatchStateMachine] = staticmethod(lambda: WatchStateMachine(TERMS, random.Random(3)))

    def __init__(self) -> None:
        super().__init__()
        self.follower, self.now = self.made(), 0.0
        self.cluster, self.revision, self.compacted = 1, 2, 0
        self.events = [KeyChange(key, b"0", 2) for key in KEYS]  # three pages
        self.seen = [2] * MEMBERS
        self.stuck = set[int]()
        self.picture, self.at = dict[bytes, bytes](), 0  # what was told
        self.watch: tuple[int, int] | None = None  # member, next revision to send
        self.coming, self.last = list[WatchResponse](), list[WatchResponse]()
        self.confirming = self.asked = False

    # The store ---------------------------------------------------------------------------------

    def store(self, revision: int) -> dict[bytes, bytes]:
        kept = dict[bytes, bytes]()
        for event in self.events:
            if event.revision <= revision:
                kept.pop(event.key, None)
                kept |= {event.key: event.value} if event.value is not None else {}
        return dict(sorted(kept.items()))

    @rule(
        writes=st.dictionaries(st.sampled_from(KEYS), st.one_of(st.none(), st.binary(max_size=1)), max_size=3)
    )
    def write(self, writes: dict[bytes, bytes | None]) -> None:
        """One transaction: one revision, also where it touches other keys alone."""
        self.revision += 1
        there = self.store(self.revision)
        for key, value in writes.items():
            if value is not None or key in there:
                self.events.append(KeyChange(key, value, self.revision))
        self.seen = [s if m in self.stuck else self.revision for m, s in enumerate(self.seen)]

    @rule()
    def compact(self) -> None:
        self.compacted = self.revision

    @rule(member=st.integers(0, MEMBERS - 1))
    def lag(self, member: int) -> None:
        self.stuck.add(member)

    @rule(member=st.integers(0, MEMBERS - 1))
    def catch_up(self, member: int) -> None:
        self.stuck.discard(member)
        self.seen[member] = self.revision

    @rule(same_cluster=st.booleans(), keep=st.integers(0, 3))
    def restored_from_a_backup(self, same_cluster: bool, keep: int) -> None:
        self.cluster += not same_cluster
        self.revision, self.compacted = max(1, self.revision - keep - 1), 0
        self.events = [e for e in self.events if e.revision <= self.revision]
        self.seen, self.stuck = [self.revision] * MEMBERS, set()
        if (
            same_cluster
        ):  # the history may not grow past the follower unseen: no field of the API would tell it
            self.connection_breaks()
            self.heal_and_follow()
        else:
            self.connection_breaks()

    # The follower's steps ------------------------------------------------------------------------

    def hear(self, told: PrefixUpdate | None) -> None:
        if told is None:
            return
        if told.complete:
            self.picture = {change.key: change.value or b"" for change in told.changes}
            assert self.picture == self.store(told.revision), "a whole picture is one of the store's"
        else:
            due = [e for e in self.events if self.at < e.revision <= told.revision]
            assert list(told.changes) == due, "each change exactly once, in order, revisions complete"
            for change in told.changes:
                self.picture.pop(change.key, None)
                self.picture |= {change.key: change.value} if change.value is not None else {}
        self.at = told.revision

    def closed(self) -> None:
        self.watch, self.coming, self.last, self.confirming, self.asked = None, [], [], False, False

    @rule()
    def connection_breaks(self) -> None:
        if self.watch:
            self.closed()
            self.follower.step_failed(self.now, FailureReason.UNREACHABLE)

    @rule(fails=st.booleans())
    def step(self, fails: bool = False) -> None:
        if self.watch:
            return
        step = self.follower.next_step(self.now)
        if isinstance(step, Wait):
            assert step.delay_ms > 0
            self.now += step.delay_ms
        elif isinstance(step, OpenWatch):
            self.watch = (step.member_index, step.start_revision)
            self.coming = [WatchResponse(self.cluster, self.seen[step.member_index], created=True)]
        else:
            self.read(step, fails)

    def read(self, step: ReadPage, fails: bool) -> None:
        if fails or step.member_index in self.stuck:
            self.now += TERMS.response_timeout_ms
            self.follower.step_failed(self.now, FailureReason.TIMEOUT)
        elif 0 < step.revision < self.compacted:
            self.follower.step_failed(self.now, FailureReason.COMPACTED)
        elif step.revision > self.revision:
            self.follower.step_failed(self.now, FailureReason.INVALID_RESPONSE)
        else:
            kept = self.store(step.revision or self.revision)
            rest = [KeyChange(k, v, 0) for k, v in kept.items() if k > step.after_key]
            page = tuple(rest[: TERMS.page_size])
            told = self.follower.page_received(
                self.cluster, self.revision, page, len(page) < len(rest)
            )
            self.hear(told)

    @rule(many=st.integers(1, 4), pieces=st.booleans())
    def member_sends(self, many: int = 4, pieces: bool = False) -> None:
        """The member puts its next responses on the stream."""
        if not self.watch:
            return
        member, start = self.watch
        if start < self.compacted and start <= self.seen[member]:
            self.coming.append(
                WatchResponse(self.cluster, self.seen[member], cancelled=FailureReason.COMPACTED)
            )
            self.watch = (member, self.revision + 100)
            return
        end = min(self.seen[member], start + many - 1)
        changes = [e for e in self.events if start <= e.revision <= end]
        if end >= start:
            self.watch = (member, end + 1)
        whole = WatchResponse(self.cluster, self.seen[member], changes=tuple(changes))
        if changes and pieces:
            parts = [
                replace(whole, changes=(c,), fragment=n < len(changes) - 1) for n, c in enumerate(changes)
            ]
            self.coming += parts
        elif changes:
            self.coming.append(whole)
        elif self.asked and start > self.seen[member]:
            self.asked = False
            self.coming.append(WatchResponse(self.cluster, self.seen[member]))

    @rule()
    def member_repeats(self) -> None:
        if self.last and not self.last[0].fragment and not any(h.fragment for h in self.coming[:1]):
            self.coming[:0] = self.last

    @rule()
    def hear_one(self) -> None:
        if not self.coming:
            return
        what = self.coming.pop(0)
        self.last = [what] if what.changes and not what.fragment and not self.follower._fragments else []
        self.hear(self.follower.response_received(self.now, what))
        self.look()

    @rule()
    def a_write_falls_between_two_pages(self) -> None:
        self.step(fails=False)
        self.write({KEYS[0]: b"5", KEYS[4]: b"6"})
        self.step(fails=False)

    @rule()
    def a_batch_comes_twice(self) -> None:
        self.write({key: b"7" for key in KEYS[:2]})
        self.member_sends(many=4)
        while self.coming:
            self.hear_one()
        self.member_repeats()
        self.hear_one()

    @rule(heard=st.integers(1, 2))
    def a_batch_is_cut_in_the_middle(self, heard: int) -> None:
        self.write({key: b"9" for key in KEYS[:3]})
        self.write({key: b"8" for key in KEYS[1:]})
        self.member_sends(many=4, pieces=True)
        for _ in range(heard):
            self.hear_one()
        self.connection_breaks()

    @rule(ms=st.sampled_from([1.0, 50.0, 400.0, 1100.0]))
    def time_passes(self, ms: float) -> None:
        self.now += ms
        if self.watch:
            for task in self.follower.due_actions(self.now):
                self.confirming |= isinstance(task, ConfirmRevision)
                self.asked |= isinstance(task, RequestProgress)
                if isinstance(task, CloseWatch):
                    self.closed()

    def look(self) -> None:
        if self.watch and self.follower.phase not in (WatchPhase.OPENING, WatchPhase.WATCHING):
            self.closed()

    @rule()
    def confirmation_comes(self) -> None:
        if self.confirming and self.watch and self.watch[0] not in self.stuck:
            self.confirming = False
            self.follower.confirmation_received(self.now, self.cluster, self.revision)
            self.look()

    # What must hold ------------------------------------------------------------------------------

    @invariant()
    def what_was_passed_over_was_told(self) -> None:
        """Progress may carry the revision on only where nothing in between was left untold."""
        at = self.follower.delivered_revision
        if at > self.at and self.follower._can_resume and self.cluster == self.follower.cluster_id:
            if at <= self.revision:
                assert not [e for e in self.events if self.at < e.revision <= at]
            self.at = at

    def heal_and_follow(self) -> None:
        """Once all is well again, the picture is the store's, and its age is known."""
        for member in range(MEMBERS):
            self.catch_up(member)
        for _ in range(300):
            self.step(fails=False)
            self.member_sends()
            while self.coming:
                self.hear_one()
            self.time_passes(50.0)
            self.confirmation_comes()
            if (
                self.follower.confirmed_at >= self.now - 500.0
                and self.follower.delivered_revision == self.revision
                and self.follower.phase is WatchPhase.WATCHING
            ):
                break
        assert self.picture == self.store(self.revision)
        assert self.follower.delivered_revision == self.revision
        assert self.follower.age_ms(self.now) < 2000.0
        self.at = self.revision

    def teardown(self) -> None:
        self.heal_and_follow()


CI = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Stage.generate],
    suppress_health_check=list(HealthCheck),
)


def test_any_interleaving_ends_with_the_stores_list() -> None:
    run_state_machine_as_test(Model, settings=CI)


# Planted defects -----------------------------------------------------------------------------------


class IgnoresCompaction(WatchStateMachine):
    def response_received(self, now: float, what: WatchResponse) -> PrefixUpdate | None:
        return None if what.cancelled is FailureReason.COMPACTED else super().response_received(now, what)


class SkipsARevision(WatchStateMachine):
    def next_step(self, now: float) -> Any:
        step = super().next_step(now)
        return (
            replace(step, start_revision=step.start_revision + 1)
            if isinstance(step, OpenWatch) and step.start_revision > 3
            else step
        )


class TellsRepeats(WatchStateMachine):
    def _deliver_new_changes(self, parts: list[KeyChange]) -> PrefixUpdate | None:
        self._advance_to(max(change.revision for change in parts))
        return PrefixUpdate(self.delivered_revision, False, tuple(parts))


class TellsHalfARevision(WatchStateMachine):
    def response_received(self, now: float, what: WatchResponse) -> PrefixUpdate | None:
        return super().response_received(now, replace(what, fragment=False))


class KeepsPartsOfABrokenStream(WatchStateMachine):
    def step_failed(self, now: float, why: FailureReason) -> None:
        parts = self._fragments
        super().step_failed(now, why)
        self._fragments = parts

    def next_step(self, now: float) -> Any:
        parts, step = self._fragments, super().next_step(now)
        self._fragments = parts
        return step


class TrustsAnotherCluster(WatchStateMachine):
    def response_received(self, now: float, what: WatchResponse) -> PrefixUpdate | None:
        return super().response_received(now, replace(what, cluster_id=self.cluster_id))

    def confirmation_received(self, now: float, cluster: int, revision: int) -> None:
        super().confirmation_received(now, self.cluster_id, max(revision, self._revision_at_request))


class NeverConfirms(WatchStateMachine):
    def due_actions(self, now: float) -> list[Any]:
        return (
            [task for task in super().due_actions(now) if not isinstance(task, ConfirmRevision)]
            if self.delivered_revision < 0
            else []
        )


class RangesWithoutAPin(WatchStateMachine):
    def next_step(self, now: float) -> Any:
        step = super().next_step(now)
        return replace(step, revision=0) if isinstance(step, ReadPage) else step


DEFECTS = [
    IgnoresCompaction,
    SkipsARevision,
    TellsRepeats,
    TellsHalfARevision,
    KeepsPartsOfABrokenStream,
    TrustsAnotherCluster,
    NeverConfirms,
    RangesWithoutAPin,
]


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda d: d.__name__)
def test_a_planted_defect_is_caught(defect: type[WatchStateMachine]) -> None:
    class Planted(Model):
        made = staticmethod(lambda: defect(TERMS, random.Random(3)))

    many = settings(CI, max_examples=1000)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Planted, settings=many)


# Crowds, budgets, rests ------------------------------------------------------------------------------


def test_a_crowd_that_lost_a_member_comes_back_spread_out() -> None:
    whens = []
    for seed in range(300):
        one = WatchStateMachine(replace(TERMS, reconnect_spread_ms=200.0), random.Random(seed))
        one.members.current = 0
        one.step_failed(0.0, FailureReason.UNREACHABLE)
        step = one.next_step(0.0)
        assert isinstance(step, Wait) and one.members.current != 0, "another member, not this one"
        whens.append(step.delay_ms)
    tenths = [sum(20.0 * n <= when < 20.0 * (n + 1) for when in whens) for n in range(10)]
    assert max(whens) <= 200.0 and min(tenths) > 0 and max(tenths) < 60


def test_openings_are_budgeted_whatever_fails() -> None:
    one, now, opened = (
        WatchStateMachine(replace(TERMS, open_burst=3.0, open_interval_ms=1000.0), random.Random(1)),
        0.0,
        0,
    )
    while now < 60_000.0:
        step = one.next_step(now)
        if isinstance(step, Wait):
            now += step.delay_ms
        else:
            opened += 1
            one.step_failed(now, FailureReason.COMPACTED if opened % 2 else FailureReason.UNREACHABLE)
    assert opened <= 3 + 61


def test_a_member_that_fails_rests_longer_each_time_within_bounds() -> None:
    one, rests = (
        WatchStateMachine(replace(TERMS, member_count=1, open_burst=100.0), random.Random(1)),
        list[float](),
    )
    now = 0.0
    for _ in range(12):
        one.step_failed(now, FailureReason.UNREACHABLE)
        rests.append(one.members.backoffs[0].retry_at - now)
        now = one.members.backoffs[0].retry_at
    assert 100.0 <= rests[0] <= 200.0 and 2500.0 <= rests[-1] <= 5000.0
    assert rests[3] > rests[0]
