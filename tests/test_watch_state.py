"""The state machine of the watch against a model of etcd's history.

Under any interleaving of writes, faults and responses, the watcher ends with the store's content and delivers each
change exactly once.  The model detects every mutant of the state machine.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
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
MEMBER_COUNT = 3
PARAMETERS = WatchParameters(member_count=MEMBER_COUNT, page_size=2, open_interval_ms=200.0)


class EtcdModel(RuleBasedStateMachine):
    """A store whose members lag, streams that break and repeat responses, and one watcher."""

    create_watcher: Callable[[], WatchStateMachine] = staticmethod(
        lambda: WatchStateMachine(PARAMETERS, random.Random(3))
    )

    def __init__(self) -> None:
        super().__init__()
        self.watcher = self.create_watcher()
        self.now = 0.0
        # The store: its history, and the revision that each member has reached.
        self.cluster_id = 1
        self.revision = 2
        self.compacted_revision = 0
        self.events = [KeyChange(key, b"0", 2) for key in KEYS]  # three pages of a listing
        self.member_revisions = [2] * MEMBER_COUNT
        self.lagging_members = set[int]()
        # What the watcher has delivered.
        self.content = dict[bytes, bytes]()
        self.delivered_revision = 0
        # The open watch: its member and the next revision to send, responses in flight, and pending requests.
        self.watch: tuple[int, int] | None = None
        self.pending_responses = list[WatchResponse]()
        self.last_responses = list[WatchResponse]()
        self.confirmation_requested = False
        self.progress_requested = False

    # The store ---------------------------------------------------------------------------------

    def content_at(self, revision: int) -> dict[bytes, bytes]:
        content = dict[bytes, bytes]()
        for event in self.events:
            if event.revision <= revision:
                apply_change(content, event)
        return dict(sorted(content.items()))

    @rule(
        writes=st.dictionaries(st.sampled_from(KEYS), st.one_of(st.none(), st.binary(max_size=1)), max_size=3)
    )
    def write(self, writes: dict[bytes, bytes | None]) -> None:
        """Commit a transaction; without changes it stands for one that writes only keys outside the prefix."""
        self.revision += 1
        content = self.content_at(self.revision)
        for key, value in writes.items():
            if value is not None or key in content:
                self.events.append(KeyChange(key, value, self.revision))
        self.member_revisions = [
            revision if member in self.lagging_members else self.revision
            for member, revision in enumerate(self.member_revisions)
        ]

    @rule()
    def compact(self) -> None:
        self.compacted_revision = self.revision

    @rule(member=st.integers(0, MEMBER_COUNT - 1))
    def lag(self, member: int) -> None:
        self.lagging_members.add(member)

    @rule(member=st.integers(0, MEMBER_COUNT - 1))
    def catch_up(self, member: int) -> None:
        self.lagging_members.discard(member)
        self.member_revisions[member] = self.revision

    @rule(same_cluster=st.booleans(), lost_revisions=st.integers(0, 3))
    def restore_from_backup(self, same_cluster: bool, lost_revisions: int) -> None:
        self.cluster_id += not same_cluster
        self.revision = max(1, self.revision - lost_revisions - 1)
        self.compacted_revision = 0
        self.events = [event for event in self.events if event.revision <= self.revision]
        self.member_revisions = [self.revision] * MEMBER_COUNT
        self.lagging_members = set()
        self.connection_breaks()
        if same_cluster:
            # No field of the API would show a restore after which the new history passes the watcher's revision.
            self.clear_faults_and_catch_up()

    # The watcher ---------------------------------------------------------------------------------

    def receive_update(self, update: PrefixUpdate | None) -> None:
        """Check an update that the watcher delivers, and apply it."""
        if update is None:
            return
        if update.complete:
            self.content = {change.key: change.value or b"" for change in update.changes}
            assert self.content == self.content_at(update.revision), (
                "a complete update is the store's content"
            )
        else:
            due = [
                event for event in self.events if self.delivered_revision < event.revision <= update.revision
            ]
            assert list(update.changes) == due, "each change exactly once, in order, in whole revisions"
            for change in update.changes:
                apply_change(self.content, change)
        self.delivered_revision = update.revision

    def watch_closed(self) -> None:
        self.watch = None
        self.pending_responses = []
        self.last_responses = []
        self.confirmation_requested = False
        self.progress_requested = False

    @rule()
    def connection_breaks(self) -> None:
        if self.watch:
            self.watch_closed()
            self.watcher.step_failed(self.now, FailureReason.UNREACHABLE)

    @rule(fails=st.booleans())
    def step(self, fails: bool = False) -> None:
        if self.watch:
            return
        step = self.watcher.next_step(self.now)
        if isinstance(step, Wait):
            assert step.delay_ms > 0
            self.now += step.delay_ms
        elif isinstance(step, OpenWatch):
            self.watch = (step.member_index, step.start_revision)
            member_revision = self.member_revisions[step.member_index]
            self.pending_responses = [WatchResponse(self.cluster_id, member_revision, created=True)]
        else:
            self.read_page(step, fails)

    def read_page(self, step: ReadPage, fails: bool) -> None:
        if fails or step.member_index in self.lagging_members:
            self.now += PARAMETERS.response_timeout_ms
            self.watcher.step_failed(self.now, FailureReason.TIMEOUT)
        elif 0 < step.revision < self.compacted_revision:
            self.watcher.step_failed(self.now, FailureReason.COMPACTED)
        elif step.revision > self.revision:
            self.watcher.step_failed(self.now, FailureReason.INVALID_RESPONSE)
        else:
            content = self.content_at(step.revision or self.revision)
            remaining = [KeyChange(key, value, 0) for key, value in content.items() if key > step.after_key]
            page = tuple(remaining[: PARAMETERS.page_size])
            more = len(page) < len(remaining)
            self.receive_update(self.watcher.page_received(self.cluster_id, self.revision, page, more))

    @rule(revision_count=st.integers(1, 4), fragmented=st.booleans())
    def member_sends(self, revision_count: int = 4, fragmented: bool = False) -> None:
        """Send the member's next responses on the stream."""
        if not self.watch:
            return
        member, start = self.watch
        member_revision = self.member_revisions[member]
        if start < self.compacted_revision and start <= member_revision:
            self.pending_responses.append(
                WatchResponse(self.cluster_id, member_revision, cancelled=FailureReason.COMPACTED)
            )
            self.watch = (member, self.revision + 100)
            return
        end = min(member_revision, start + revision_count - 1)
        changes = [event for event in self.events if start <= event.revision <= end]
        if end >= start:
            self.watch = (member, end + 1)
        response = WatchResponse(self.cluster_id, member_revision, changes=tuple(changes))
        if changes and fragmented:
            self.pending_responses += [
                replace(response, changes=(change,), fragment=index < len(changes) - 1)
                for index, change in enumerate(changes)
            ]
        elif changes:
            self.pending_responses.append(response)
        elif self.progress_requested and start > member_revision:
            self.progress_requested = False
            self.pending_responses.append(WatchResponse(self.cluster_id, member_revision))

    @rule()
    def member_repeats(self) -> None:
        within_batch = any(response.fragment for response in self.pending_responses[:1])
        if self.last_responses and not self.last_responses[0].fragment and not within_batch:
            self.pending_responses[:0] = self.last_responses

    @rule()
    def response_arrives(self) -> None:
        if not self.pending_responses:
            return
        response = self.pending_responses.pop(0)
        repeatable = response.changes and not response.fragment and not self.watcher._fragments
        self.last_responses = [response] if repeatable else []
        self.receive_update(self.watcher.response_received(self.now, response))
        self.close_abandoned_watch()

    @rule()
    def write_between_two_pages(self) -> None:
        self.step(fails=False)
        self.write({KEYS[0]: b"5", KEYS[4]: b"6"})
        self.step(fails=False)

    @rule()
    def batch_is_repeated(self) -> None:
        self.write({key: b"7" for key in KEYS[:2]})
        self.member_sends(revision_count=4)
        while self.pending_responses:
            self.response_arrives()
        self.member_repeats()
        self.response_arrives()

    @rule(received_count=st.integers(1, 2))
    def connection_breaks_within_batch(self, received_count: int) -> None:
        self.write({key: b"9" for key in KEYS[:3]})
        self.write({key: b"8" for key in KEYS[1:]})
        self.member_sends(revision_count=4, fragmented=True)
        for _ in range(received_count):
            self.response_arrives()
        self.connection_breaks()

    @rule(span_ms=st.sampled_from([1.0, 50.0, 400.0, 1100.0]))
    def time_passes(self, span_ms: float) -> None:
        self.now += span_ms
        if self.watch:
            for action in self.watcher.due_actions(self.now):
                self.confirmation_requested |= isinstance(action, ConfirmRevision)
                self.progress_requested |= isinstance(action, RequestProgress)
                if isinstance(action, CloseWatch):
                    self.watch_closed()

    def close_abandoned_watch(self) -> None:
        if self.watch and self.watcher.phase not in (WatchPhase.OPENING, WatchPhase.WATCHING):
            self.watch_closed()

    @rule()
    def confirmation_arrives(self) -> None:
        if self.confirmation_requested and self.watch and self.watch[0] not in self.lagging_members:
            self.confirmation_requested = False
            self.watcher.confirmation_received(self.now, self.cluster_id, self.revision)
            self.close_abandoned_watch()

    # Invariants ----------------------------------------------------------------------------------

    @invariant()
    def skipped_revisions_held_no_change(self) -> None:
        """A progress response may advance the revision only if no change in between was skipped."""
        advanced_to = self.watcher.delivered_revision
        same_history = self.watcher._can_resume and self.cluster_id == self.watcher.cluster_id
        if advanced_to > self.delivered_revision and same_history:
            if advanced_to <= self.revision:
                assert not [
                    event for event in self.events if self.delivered_revision < event.revision <= advanced_to
                ]
            self.delivered_revision = advanced_to

    def is_caught_up_and_confirmed(self) -> bool:
        return (
            self.watcher.confirmed_at >= self.now - 500.0
            and self.watcher.delivered_revision == self.revision
            and self.watcher.phase is WatchPhase.WATCHING
        )

    def clear_faults_and_catch_up(self) -> None:
        """Clear all faults, and check that the watcher reaches the store's content and confirms its age."""
        for member in range(MEMBER_COUNT):
            self.catch_up(member)
        for _ in range(300):
            self.step(fails=False)
            self.member_sends()
            while self.pending_responses:
                self.response_arrives()
            self.time_passes(50.0)
            self.confirmation_arrives()
            if self.is_caught_up_and_confirmed():
                break
        assert self.content == self.content_at(self.revision)
        assert self.watcher.delivered_revision == self.revision
        assert self.watcher.age_ms(self.now) < 2000.0
        self.delivered_revision = self.revision

    def teardown(self) -> None:
        self.clear_faults_and_catch_up()


def apply_change(content: dict[bytes, bytes], change: KeyChange) -> None:
    """Apply a change; a key that is overwritten moves to the end."""
    content.pop(change.key, None)
    if change.value is not None:
        content[change.key] = change.value


MODEL_SETTINGS = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


def test_any_interleaving_ends_with_the_stores_content() -> None:
    run_state_machine_as_test(EtcdModel, settings=MODEL_SETTINGS)


# Mutants: variants of the state machine with one defect each -----------------------------------------


class IgnoresCompaction(WatchStateMachine):
    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        if response.cancelled is FailureReason.COMPACTED:
            return None
        return super().response_received(now, response)


class SkipsRevision(WatchStateMachine):
    def next_step(self, now: float) -> Any:
        step = super().next_step(now)
        if isinstance(step, OpenWatch) and step.start_revision > 3:
            return replace(step, start_revision=step.start_revision + 1)
        return step


class DeliversRepeats(WatchStateMachine):
    def _deliver_new_changes(self, changes: list[KeyChange]) -> PrefixUpdate | None:
        self._advance_to(max(change.revision for change in changes))
        return PrefixUpdate(self.delivered_revision, False, tuple(changes))


class DeliversPartialRevisions(WatchStateMachine):
    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        return super().response_received(now, replace(response, fragment=False))


class KeepsFragmentsOfBrokenStream(WatchStateMachine):
    def step_failed(self, now: float, reason: FailureReason) -> None:
        fragments = self._fragments
        super().step_failed(now, reason)
        self._fragments = fragments

    def next_step(self, now: float) -> Any:
        fragments = self._fragments
        step = super().next_step(now)
        self._fragments = fragments
        return step


class AcceptsOtherCluster(WatchStateMachine):
    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        return super().response_received(now, replace(response, cluster_id=self.cluster_id))

    def confirmation_received(self, now: float, cluster_id: int, revision: int) -> None:
        super().confirmation_received(now, self.cluster_id, max(revision, self._revision_at_request))


class NeverConfirms(WatchStateMachine):
    def due_actions(self, now: float) -> list[Any]:
        if self.delivered_revision >= 0:
            return []
        return [action for action in super().due_actions(now) if not isinstance(action, ConfirmRevision)]


class ListsAtChangingRevisions(WatchStateMachine):
    def next_step(self, now: float) -> Any:
        step = super().next_step(now)
        return replace(step, revision=0) if isinstance(step, ReadPage) else step


MUTANTS = [
    IgnoresCompaction,
    SkipsRevision,
    DeliversRepeats,
    DeliversPartialRevisions,
    KeepsFragmentsOfBrokenStream,
    AcceptsOtherCluster,
    NeverConfirms,
    ListsAtChangingRevisions,
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_mutant_is_detected(mutant: type[WatchStateMachine]) -> None:
    class ModelWithMutant(EtcdModel):
        create_watcher = staticmethod(lambda: mutant(PARAMETERS, random.Random(3)))

    with pytest.raises(AssertionError):
        run_state_machine_as_test(ModelWithMutant, settings=settings(MODEL_SETTINGS, max_examples=1000))


# Reconnection: spread, rate limit, backoff -------------------------------------------------------------


def test_reconnections_of_senders_that_lose_a_member_together_are_spread() -> None:
    delays_ms = []
    for seed in range(300):
        watcher = WatchStateMachine(replace(PARAMETERS, reconnect_spread_ms=200.0), random.Random(seed))
        watcher.members.current = 0
        watcher.step_failed(0.0, FailureReason.UNREACHABLE)
        step = watcher.next_step(0.0)
        assert isinstance(step, Wait) and watcher.members.current != 0, "another member is selected"
        delays_ms.append(step.delay_ms)

    counts_by_tenth = [sum(20.0 * n <= delay < 20.0 * (n + 1) for delay in delays_ms) for n in range(10)]
    assert max(delays_ms) <= 200.0 and min(counts_by_tenth) > 0 and max(counts_by_tenth) < 60


def test_any_failures_keep_openings_within_the_rate_limit() -> None:
    parameters = replace(PARAMETERS, open_burst=3.0, open_interval_ms=1000.0)
    watcher = WatchStateMachine(parameters, random.Random(1))
    now = 0.0
    openings = 0
    while now < 60_000.0:
        step = watcher.next_step(now)
        if isinstance(step, Wait):
            now += step.delay_ms
        else:
            openings += 1
            reason = FailureReason.COMPACTED if openings % 2 else FailureReason.UNREACHABLE
            watcher.step_failed(now, reason)
    assert openings <= 3 + 61


def test_backoff_of_a_failing_member_grows_within_bounds() -> None:
    watcher = WatchStateMachine(replace(PARAMETERS, member_count=1, open_burst=100.0), random.Random(1))
    backoffs_ms = list[float]()
    now = 0.0
    for _ in range(12):
        watcher.step_failed(now, FailureReason.UNREACHABLE)
        retry_at = watcher.members.backoffs[0].retry_at
        backoffs_ms.append(retry_at - now)
        now = retry_at
    assert 100.0 <= backoffs_ms[0] <= 200.0 and 2500.0 <= backoffs_ms[-1] <= 5000.0
    assert backoffs_ms[3] > backoffs_ms[0]
