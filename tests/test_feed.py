"""The machine list told in slices: nothing lost, drains first, each change told for what it costs."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from conftest import Relay, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import Policy, api
from kestreltrack.decision.api import Lifecycle, Outcome
from kestreltrack.journal import Journal
from kestreltrack.machinelist import MachineList
from kestreltrack.machinelist.feed import SLICE, URGENT, Feed
from kestreltrack.ports import ListUpdate, Machine
from kestreltrack.telemetry import Telemetry

UP, DRAINING, REMOVED = Lifecycle.UP, Lifecycle.DRAINING, Lifecycle.REMOVED


def machine(number: int, state: Lifecycle = UP, address: int = 1, dest: int | None = None) -> Machine:
    dest = number // 2 if dest is None else dest
    return Machine(f"u{number}", f"127.0.0.1:{address}", dest, "plain", "a", state, 5.0)


def told(policy: Policy) -> dict[str, tuple[int, bool]]:
    """What the module holds as listed: destination, and whether work may go there."""
    return {
        e.name: (number, e.up) for number, d in policy.dests.items() for e in d.endpoints.values() if e.listed
    }


def test_a_large_list_is_told_in_slices_and_a_drain_overtakes_them() -> None:
    feed, relay = Feed(MachineList()), Relay()
    feed.take(ListUpdate(1, True, tuple(machine(n) for n in range(5 * SLICE))))
    first = feed.next()
    assert first and len(first.news.entries) == SLICE and not first.news.whole
    relay.do(first.news)
    feed.take(ListUpdate(2, False, (machine(7, DRAINING),)))
    second = feed.next()
    assert second and [(e.endpoint, e.lifecycle) for e in second.news.entries] == [("u7", DRAINING)]
    relay.do(second.news)
    assert told(relay.policy)["u7"] == (3, False) and len(told(relay.policy)) == SLICE
    feed.take(ListUpdate(3, False, (machine(5 * SLICE - 1, DRAINING),)))  # it waits still: told once, drained
    while part := feed.next():
        relay.do(part.news)
    assert len(told(relay.policy)) == 5 * SLICE
    assert not told(relay.policy)[f"u{5 * SLICE - 1}"][1]


def test_a_mass_of_drains_is_told_before_all_else() -> None:
    feed = Feed(MachineList())
    all_up = tuple(machine(n) for n in range(2 * URGENT))
    feed.take(ListUpdate(1, True, all_up))
    while feed.next():
        pass
    drained = tuple(replace(m, state=DRAINING) for m in all_up)
    feed.take(ListUpdate(2, True, (*drained, machine(9 * URGENT))))
    parts = [part.news.entries for _ in range(3) if (part := feed.next())]
    assert [len(part) for part in parts] == [URGENT, URGENT, 1]


def test_a_move_is_a_removal_and_an_addition() -> None:
    feed = Feed(MachineList())
    feed.take(ListUpdate(1, True, (machine(1),)))
    assert feed.take(ListUpdate(2, False, (machine(1, address=2),))) == {"u1"}
    feed.next()
    part = feed.next()
    assert part and [m.state for m in part.update.machines] == [REMOVED, UP]
    assert feed.take(ListUpdate(3, False, (machine(1, DRAINING, address=2),))) == set()


MACHINES = st.builds(
    machine, st.integers(0, 700), st.sampled_from([UP, UP, DRAINING]), st.integers(1, 2), st.integers(0, 9)
)
UPDATES = st.lists(
    st.tuples(
        st.booleans(),
        st.lists(MACHINES, max_size=500, unique_by=lambda m: m.uid),
        st.sets(st.integers(0, 700), max_size=40),
        st.integers(0, 4),
    ),
    min_size=1,
    max_size=8,
)


@settings(max_examples=60, deadline=None)
@given(UPDATES)
def test_whatever_comes_the_module_ends_with_the_list(
    updates: list[tuple[bool, list[Machine], set[int], int]],
) -> None:
    feed, relay, plain = Feed(MachineList()), Relay(), dict[str, Machine]()
    for rev, (whole, listed, removed, slices) in enumerate(updates):
        gone = (
            ()
            if whole
            else tuple(replace(plain[f"u{n}"], state=REMOVED) for n in sorted(removed) if f"u{n}" in plain)
        )
        plain = {} if whole else {u: m for u, m in plain.items() if u not in {g.uid for g in gone}}
        plain |= {m.uid: m for m in listed}
        feed.take(ListUpdate(rev, whole, (*gone, *listed)))
        for _ in range(slices):
            if part := feed.next():
                relay.do(part.news)
    while part := feed.next():
        relay.do(part.news)
    assert told(relay.policy) == {u: (m.dest, m.state is UP) for u, m in plain.items()}
    assert {m.uid: m for m in feed.machines.whole().machines if m.state is not REMOVED} == plain


def test_a_change_costs_the_module_what_changed() -> None:
    relay = Relay(*(entry(n) for n in range(300)))
    looked = list[int]()

    class Watched(dict[int, object]):
        def values(self) -> object:  # type: ignore[override]
            looked.append(len(self))
            return super().values()

    relay.policy.dests = Watched(relay.policy.dests)  # type: ignore[assignment]
    relay.do(api.ListNews([entry(7, lifecycle=DRAINING)], whole=False))
    assert not looked and told(relay.policy)["e7"] == (7, False)


def test_an_endpoint_that_left_with_a_call_out_is_forgotten_once_it_ended() -> None:
    relay = Relay(entry(1), entry(2))
    relay.arrive(1)
    relay.do(api.ListNews([entry(1, lifecycle=REMOVED)], whole=False))
    assert relay.policy.dests[1].endpoints and relay.policy.leaving == {1}
    relay.end("m1", Outcome.OK)
    relay.do(api.ListNews([entry(2)], whole=False))  # any change: it is not for the leaver alone
    assert not relay.policy.dests[1].endpoints and not relay.policy.leaving


def test_the_journal_keeps_changes_and_not_the_whole_list_again(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 10_000_000, Telemetry())
    journal.keep_machines(ListUpdate(1, True, tuple(machine(n) for n in range(3000))))
    before = journal.size
    journal.keep_machines(ListUpdate(2, False, (machine(7, DRAINING), machine(8, REMOVED))))
    journal.keep_machines(ListUpdate(3, False, (machine(9, REMOVED),)))
    assert journal.size - before < 1000
    journal.close()
    kept = Journal(tmp_path, 10_000_000, Telemetry()).machines
    assert kept and kept.rev == 3 and len(kept.machines) == 2999  # destination 4 stands there as away
    assert [m.state for m in kept.machines if m.uid in ("u7", "u8", "u9")] == [DRAINING, REMOVED]
