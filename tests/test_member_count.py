"""The number of senders that share a limit: partitions, crashes and late reads never push the quotas beyond it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from itertools import pairwise

import pytest
from conftest import Relay, entry
from etcd_harness import PREFIX, EtcdHarness, run_scenario
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointsUpdated, SenderCountChanged
from kestreltrack.discovery.etcd.member_count import MemberCountReader
from kestreltrack.fleet.membership.member_count import MemberCount
from kestreltrack.ports import make_clock

GRACE_PERIOD_S = 20
DECREASE_INTERVAL_S = 3
LEASE_S = 4
SENDER_COUNT = 5
SENDER_SETS = st.sets(st.integers(0, SENDER_COUNT - 1), max_size=SENDER_COUNT)
# A duration in seconds, and the senders that during it cannot reach the registry, crash, or have failing reads.
Span = tuple[int, set[int], set[int], set[int]]
SPANS = st.lists(
    st.tuples(st.integers(1, GRACE_PERIOD_S - LEASE_S - 2), SENDER_SETS, SENDER_SETS, SENDER_SETS),
    max_size=14,
)


class FleetModel:
    """Senders with leases in one registry, each with its own member count."""

    def __init__(self, count_type: type[MemberCount]) -> None:
        self.counts = [
            count_type(SENDER_COUNT, GRACE_PERIOD_S * 1000.0, DECREASE_INTERVAL_S * 1000.0)
            for _ in range(SENDER_COUNT)
        ]
        self.lease_s = [LEASE_S] * SENDER_COUNT
        self.now_s = 0
        self.last_decrease_s = [-1e9] * SENDER_COUNT
        self.unregistered_since_s = [0] * SENDER_COUNT

    def advance_one_second(self, cut_off: set[int], crashed: set[int], failing_reads: set[int]) -> None:
        self.now_s += 1
        self._renew_leases(cut_off, crashed)
        registered = [f"n{sender}" for sender, lease_s in enumerate(self.lease_s) if lease_s > 0]
        for sender, count in enumerate(self.counts):
            if sender in crashed:
                continue
            before = count.value
            if sender in cut_off or sender in failing_reads:
                count.record_read_failure()
            else:
                count.record_members(self.now_s * 1000.0, registered)
            if count.value < before:
                since_decrease_s = self.now_s - self.last_decrease_s[sender]
                assert before - count.value == 1 and since_decrease_s >= DECREASE_INTERVAL_S, (
                    "decreases by one, at most once per interval"
                )
                self.last_decrease_s[sender] = self.now_s
        running = [count for sender, count in enumerate(self.counts) if sender not in crashed]
        assert sum(1.0 / count.value for count in running) <= 1.0 + 1e-9

    def _renew_leases(self, cut_off: set[int], crashed: set[int]) -> None:
        for sender in range(SENDER_COUNT):
            # The guarantee holds only if no running sender is unregistered for the whole grace period.
            unregistered_s = self.now_s - self.unregistered_since_s[sender]
            must_reach = unregistered_s >= GRACE_PERIOD_S - LEASE_S - 1
            renews_lease = sender not in crashed and (sender not in cut_off or must_reach)
            self.lease_s[sender] = LEASE_S if renews_lease else self.lease_s[sender] - 1
            if renews_lease or sender in crashed:
                self.unregistered_since_s[sender] = self.now_s


def simulate_fleet(spans: list[Span], count_type: type[MemberCount] = MemberCount) -> FleetModel:
    fleet = FleetModel(count_type)
    crashed = set[int]()
    for number, (seconds, cut_off, crashing, failing_reads) in enumerate(spans):
        # Crashes are final, so only every fifth span has them, and one sender always survives.
        if number % 5 == 4 and len(crashed | crashing) < SENDER_COUNT:
            crashed |= crashing
        for _ in range(seconds):
            fleet.advance_one_second(cut_off - crashed, crashed, failing_reads)
    return fleet


@settings(max_examples=300, deadline=None, derandomize=True)
@given(SPANS)
def test_quotas_of_all_senders_never_exceed_the_limit(spans: list[Span]) -> None:
    simulate_fleet(spans)


PARTITION = [(3, set[int](), set[int](), set[int]()), (12, {0, 1, 2}, set[int](), set[int]())]
ALTERNATING = [(5, {0, 1, 2, 3}, set[int](), {4}), (3, set[int](), set[int](), set[int]())] * 4


# Mutants -------------------------------------------------------------------------------------------


class DecreasesAtOnce(MemberCount):
    def record_members(self, now: float, names: Iterable[str]) -> int:
        self.value = max(1, len(list(names)))
        return self.value


class DecreasesByHalves(MemberCount):
    def record_members(self, now: float, names: Iterable[str]) -> int:
        before = self.value
        if super().record_members(now, names) < before:
            self.value = max(1, before // 2)
        return self.value


class CountsWithoutNames(MemberCount):
    def record_members(self, now: float, names: Iterable[str]) -> int:
        return super().record_members(now, [str(number) for number, _ in enumerate(names)])


class IgnoresReadFailures(MemberCount):
    def record_read_failure(self) -> int:
        return self.value


class DecreasesOnReadFailure(MemberCount):
    def record_read_failure(self) -> int:
        self.value = max(1, self.value - 1)
        return self.value


MUTANTS = [
    DecreasesAtOnce,
    DecreasesByHalves,
    DecreasesOnReadFailure,
    CountsWithoutNames,
    IgnoresReadFailures,
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_mutant_exceeds_the_limit(mutant: type[MemberCount]) -> None:
    @settings(max_examples=3000, deadline=None, derandomize=True, database=None, phases=[Phase.generate])
    @given(SPANS)
    def search(spans: list[Span]) -> None:
        for timeline in (spans, PARTITION * 3, ALTERNATING):
            simulate_fleet(timeline, mutant)

    with pytest.raises(AssertionError):
        search()


def test_missing_senders_are_removed_one_by_one() -> None:
    count = MemberCount(5, GRACE_PERIOD_S * 1000.0, DECREASE_INTERVAL_S * 1000.0)

    values = [count.record_members(second * 1000.0, ["a", "b"]) for second in range(60)]

    assert values[: GRACE_PERIOD_S - 1] == [5] * (GRACE_PERIOD_S - 1) and values[-1] == 2
    decreases = [second for second in range(1, 60) if values[second] < values[second - 1]]
    assert len(decreases) == 3
    assert all(after - before >= DECREASE_INTERVAL_S for before, after in pairwise(decreases))


def test_more_senders_count_at_once_and_failed_reads_change_nothing() -> None:
    count = MemberCount(2, 10_000.0, 1000.0)

    assert count.record_members(0.0, map(str, range(9))) == 9
    assert [count.record_read_failure() for _ in range(50)] == [9] * 50
    assert count.record_members(60_000.0, ["0"]) == 9, (
        "an empty registry after a partition is no evidence of fewer senders yet"
    )


def test_policy_uses_its_quota_of_the_new_sender_count() -> None:
    relay = Relay(entry(1), entry(2, kind="apart"), sender_count=2)

    relay.do(SenderCountChanged(8))
    relay.do(EndpointsUpdated([entry(3)], complete=False))

    quotas = {
        limits.send_rate.base_rate_per_s / limits.sender_count
        for dest in relay.policy.destinations.values()
        for endpoint in dest.endpoints.values()
        for limits in endpoint.limits
    }
    assert quotas == {20.0 / 8}


def test_registered_senders_are_counted_and_failed_reads_keep_the_number() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        notified = list[int]()
        count = MemberCount(1, 60_000.0, 1000.0)
        reader = MemberCountReader(
            lambda: harness.source.client,
            PREFIX,
            count,
            notified.append,
            make_clock(),
            harness.telemetry,
            0.4,
        )
        for number in range(3):
            harness.cluster.put(f"{PREFIX}senders/n{number}", "{}")
        task = asyncio.create_task(reader.run())
        await harness.wait_until(lambda: notified == [3])
        for number in range(3):
            harness.cluster.delete(f"{PREFIX}senders/n{number}")
            await harness.cluster.apply_fault(number, "refuse")
        await harness.wait_until(
            lambda: harness.telemetry.counters["discovery.etcd.member_count_failed"] >= 1
        )
        assert notified == [3] and count.value == 3
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_scenario(scenario)
