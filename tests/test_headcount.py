"""How many share a limit: for any cuts, deaths and late reads the parts of all together stay within the whole."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from itertools import pairwise

import pytest
from conftest import Relay, entry
from etcd_rig import PREFIX, Rig, play
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointsUpdated, SenderCountChanged
from kestreltrack.discovery.etcd.member_count import MemberCountReader
from kestreltrack.fleet.membership.member_count import MemberCount
from kestreltrack.ports import make_clock

LINGER, STEP, LEASE = 20, 3, 4  # seconds of the model
SENDERS = 5
# For each second: which senders are cut off from the register, which are dead, whose read fails.
NAMES = st.sets(st.integers(0, SENDERS - 1), max_size=SENDERS)
Span = tuple[int, set[int], set[int], set[int]]
SPANS = st.lists(st.tuples(st.integers(1, LINGER - LEASE - 2), NAMES, NAMES, NAMES), max_size=14)


class Fleet:
    """Senders with leases on one register, each with a headcount of its own."""

    def __init__(self, made: type[MemberCount]) -> None:
        self.counts = [made(SENDERS, LINGER * 1000.0, STEP * 1000.0) for _ in range(SENDERS)]
        self.lease, self.now = [LEASE] * SENDERS, 0
        self.dead, self.fell = set[int](), [(-1e9, SENDERS)] * SENDERS
        self.gone_since = [0] * SENDERS

    def second(self, cut: set[int], dead: set[int], unread: set[int]) -> None:
        self.now += 1
        for n in range(SENDERS):
            # A sender that is alive is never away for as long as `linger`: that is the promise's condition.
            away = self.now - self.gone_since[n] >= LINGER - LEASE - 1
            reaches = n not in dead and (n not in cut or away)
            self.lease[n] = LEASE if reaches else self.lease[n] - 1
            self.gone_since[n] = self.now if reaches or n in dead else self.gone_since[n]
        registered = [f"n{n}" for n, left in enumerate(self.lease) if left > 0]
        for n, count in enumerate(self.counts):
            if n in dead:
                continue
            before = count.value
            if n in cut or n in unread:
                count.record_read_failure()
            else:
                count.record_members(self.now * 1000.0, registered)
            if count.value < before:
                assert before - count.value == 1 and self.now - self.fell[n][0] >= STEP, "a jump"
                self.fell[n] = (self.now, count.value)
        assert sum(1.0 / c.value for n, c in enumerate(self.counts) if n not in dead) <= 1.0 + 1e-9


def play_fleet(spans: list[Span], made: type[MemberCount] = MemberCount) -> Fleet:
    fleet, dead = Fleet(made), set[int]()
    for number, (seconds, cut, dying, unread) in enumerate(spans):
        dead |= dying if number % 5 == 4 and len(dead | dying) < SENDERS else set()  # for good
        for _ in range(seconds):
            fleet.second(cut - dead, dead, unread)
    return fleet


@settings(max_examples=300, deadline=None, derandomize=True)
@given(SPANS)
def test_the_parts_of_all_never_exceed_the_whole(spans: list[Span]) -> None:
    play_fleet(spans)


PARTITION = [(3, set[int](), set[int](), set[int]()), (12, {0, 1, 2}, set[int](), set[int]())]
BLINKING = [(5, {0, 1, 2, 3}, set[int](), {4}), (3, set[int](), set[int](), set[int]())] * 4


class AtOnce(MemberCount):
    def record_members(self, now: float, names: Iterable[str]) -> int:
        self.value = max(1, len(list(names)))
        return self.value


class ByHalves(MemberCount):
    def record_members(self, now: float, names: Iterable[str]) -> int:
        before = self.value
        if super().record_members(now, names) < before:
            self.value = max(1, before // 2)
        return self.value


class CountsWithoutNames(MemberCount):
    def record_members(self, now: float, names: Iterable[str]) -> int:
        return super().record_members(now, [str(n) for n, _ in enumerate(names)])


class BelievesAnInterruptedLook(MemberCount):
    def record_read_failure(self) -> int:
        return self.value


class TakesSilenceForNobody(MemberCount):
    def record_read_failure(self) -> int:
        self.value = max(1, self.value - 1)
        return self.value


DEFECTS = [AtOnce, ByHalves, TakesSilenceForNobody, CountsWithoutNames, BelievesAnInterruptedLook]


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda d: d.__name__)
def test_a_planted_defect_is_caught(defect: type[MemberCount]) -> None:
    @settings(max_examples=3000, deadline=None, derandomize=True, database=None, phases=[Phase.generate])
    @given(SPANS)
    def search(spans: list[Span]) -> None:
        for story in (spans, PARTITION * 3, BLINKING):
            play_fleet(story, defect)

    with pytest.raises(AssertionError):
        search()


def test_senders_that_are_gone_for_good_are_given_up_one_by_one() -> None:
    count = MemberCount(5, LINGER * 1000.0, STEP * 1000.0)
    values = [count.record_members(second * 1000.0, ["a", "b"]) for second in range(60)]
    assert values[: LINGER - 1] == [5] * (LINGER - 1) and values[-1] == 2
    falls = [n for n in range(1, 60) if values[n] < values[n - 1]]
    assert len(falls) == 3 and all(b - a >= STEP for a, b in pairwise(falls))


def test_more_senders_count_at_once_and_silence_changes_nothing() -> None:
    count = MemberCount(2, 10_000.0, 1000.0)
    assert count.record_members(0.0, map(str, range(9))) == 9
    assert [count.record_read_failure() for _ in range(50)] == [9] * 50
    assert count.record_members(60_000.0, ["0"]) == 9, (
        "after a partition the register is empty, and that says nothing yet"
    )


def test_the_module_takes_its_part_of_the_new_number() -> None:
    relay = Relay(entry(1), entry(2, kind="apart"), sender_count=2)
    relay.do(SenderCountChanged(8))
    relay.do(EndpointsUpdated([entry(3)], complete=False))
    parts = {
        g.send_rate.base_rate_per_s / g.sender_count
        for d in relay.policy.destinations.values()
        for e in d.endpoints.values()
        for g in e.limits
    }
    assert parts == {20.0 / 8}


def test_the_register_is_counted_and_a_cut_changes_nothing() -> None:
    async def story(rig: Rig) -> None:
        told = list[int]()
        counted = MemberCount(1, 60_000.0, 1000.0)
        census = MemberCountReader(
            lambda: rig.source.client, PREFIX, counted, told.append, make_clock(), rig.telemetry, 0.4
        )
        for n in range(3):
            rig.cluster.put(f"{PREFIX}senders/n{n}", "{}")
        task = asyncio.create_task(census.run())
        await rig.until(lambda: told == [3])
        for n in range(3):
            rig.cluster.delete(f"{PREFIX}senders/n{n}")
            await rig.cluster.apply_fault(n, "refuse")
        await rig.until(lambda: rig.telemetry.counters["discovery.etcd.member_count_failed"] >= 1)
        assert told == [3] and counted.value == 3
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    play(story)
