"""The machine list told in slices: nothing lost, drains first, each change told for what it costs."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from conftest import Relay, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated, Outcome, Policy
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.incremental_update import CHUNK_SIZE, URGENT_CHUNK_SIZE, IncrementalUpdateQueue
from kestreltrack.journal import Journal
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry

UP, DRAINING, REMOVED = EndpointLifecycle.UP, EndpointLifecycle.DRAINING, EndpointLifecycle.REMOVED


def machine(
    number: int, state: EndpointLifecycle = UP, address: int = 1, dest: int | None = None
) -> ListedEndpoint:
    dest = number // 2 if dest is None else dest
    return ListedEndpoint(f"u{number}", f"127.0.0.1:{address}", dest, "plain", "a", state, 5.0)


def told(policy: Policy) -> dict[str, tuple[int, bool]]:
    """What the module holds as listed: destination, and whether work may go there."""
    return {
        e.name: (number, e.accepts_calls)
        for number, d in policy.destinations.items()
        for e in d.endpoints.values()
        if e.listed
    }


def test_a_large_list_is_told_in_slices_and_a_drain_overtakes_them() -> None:
    feed, relay = IncrementalUpdateQueue(EndpointList()), Relay()
    feed.enqueue(EndpointListUpdate(1, True, tuple(machine(n) for n in range(5 * CHUNK_SIZE))))
    first = feed.next_chunk()
    assert first and len(first.event.entries) == CHUNK_SIZE and not first.event.complete
    relay.do(first.event)
    feed.enqueue(EndpointListUpdate(2, False, (machine(7, DRAINING),)))
    second = feed.next_chunk()
    assert second and [(e.endpoint, e.lifecycle) for e in second.event.entries] == [("u7", DRAINING)]
    relay.do(second.event)
    assert told(relay.policy)["u7"] == (3, False) and len(told(relay.policy)) == CHUNK_SIZE
    feed.enqueue(
        EndpointListUpdate(3, False, (machine(5 * CHUNK_SIZE - 1, DRAINING),))
    )  # it waits still: told once, drained
    while part := feed.next_chunk():
        relay.do(part.event)
    assert len(told(relay.policy)) == 5 * CHUNK_SIZE
    assert not told(relay.policy)[f"u{5 * CHUNK_SIZE - 1}"][1]


def test_a_mass_of_drains_is_told_before_all_else() -> None:
    feed = IncrementalUpdateQueue(EndpointList())
    all_up = tuple(machine(n) for n in range(2 * URGENT_CHUNK_SIZE))
    feed.enqueue(EndpointListUpdate(1, True, all_up))
    while feed.next_chunk():
        pass
    drained = tuple(replace(m, state=DRAINING) for m in all_up)
    feed.enqueue(EndpointListUpdate(2, True, (*drained, machine(9 * URGENT_CHUNK_SIZE))))
    parts = [part.event.entries for _ in range(3) if (part := feed.next_chunk())]
    assert [len(part) for part in parts] == [URGENT_CHUNK_SIZE, URGENT_CHUNK_SIZE, 1]


def test_a_move_is_a_removal_and_an_addition() -> None:
    feed = IncrementalUpdateQueue(EndpointList())
    feed.enqueue(EndpointListUpdate(1, True, (machine(1),)))
    assert feed.enqueue(EndpointListUpdate(2, False, (machine(1, address=2),))) == {"u1"}
    feed.next_chunk()
    part = feed.next_chunk()
    assert part and [m.state for m in part.update.endpoints] == [REMOVED, UP]
    assert feed.enqueue(EndpointListUpdate(3, False, (machine(1, DRAINING, address=2),))) == set()


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
    updates: list[tuple[bool, list[ListedEndpoint], set[int], int]],
) -> None:
    feed, relay, plain = IncrementalUpdateQueue(EndpointList()), Relay(), dict[str, ListedEndpoint]()
    for rev, (whole, listed, removed, slices) in enumerate(updates):
        gone = (
            ()
            if whole
            else tuple(replace(plain[f"u{n}"], state=REMOVED) for n in sorted(removed) if f"u{n}" in plain)
        )
        plain = {} if whole else {u: m for u, m in plain.items() if u not in {g.uid for g in gone}}
        plain |= {m.uid: m for m in listed}
        feed.enqueue(EndpointListUpdate(rev, whole, (*gone, *listed)))
        for _ in range(slices):
            if part := feed.next_chunk():
                relay.do(part.event)
    while part := feed.next_chunk():
        relay.do(part.event)
    assert told(relay.policy) == {u: (m.dest, m.state is UP) for u, m in plain.items()}
    assert {m.uid: m for m in feed.endpoint_list.snapshot().endpoints if m.state is not REMOVED} == plain


def test_a_change_costs_the_module_what_changed() -> None:
    relay = Relay(*(entry(n) for n in range(300)))
    looked = list[int]()

    class Watched(dict[int, object]):
        def values(self) -> object:  # type: ignore[override]
            looked.append(len(self))
            return super().values()

    relay.policy.destinations = Watched(relay.policy.destinations)  # type: ignore[assignment]
    relay.do(EndpointsUpdated([entry(7, lifecycle=DRAINING)], complete=False))
    assert not looked and told(relay.policy)["e7"] == (7, False)


def test_an_endpoint_that_left_with_a_call_out_is_forgotten_once_it_ended() -> None:
    relay = Relay(entry(1), entry(2))
    relay.arrive(1)
    relay.do(EndpointsUpdated([entry(1, lifecycle=REMOVED)], complete=False))
    assert relay.policy.destinations[1].endpoints and relay.policy.draining_destinations == {1}
    relay.end("m1", Outcome.OK)
    relay.do(EndpointsUpdated([entry(2)], complete=False))  # any change: it is not for the leaver alone
    assert not relay.policy.destinations[1].endpoints and not relay.policy.draining_destinations


def test_the_journal_keeps_changes_and_not_the_whole_list_again(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 10_000_000, Telemetry())
    journal.record_endpoints(EndpointListUpdate(1, True, tuple(machine(n) for n in range(3000))))
    before = journal.file_bytes
    journal.record_endpoints(EndpointListUpdate(2, False, (machine(7, DRAINING), machine(8, REMOVED))))
    journal.record_endpoints(EndpointListUpdate(3, False, (machine(9, REMOVED),)))
    assert journal.file_bytes - before < 1000
    journal.close()
    kept = Journal(tmp_path, 10_000_000, Telemetry()).endpoints
    assert kept and kept.revision == 3 and len(kept.endpoints) == 2999  # destination 4 stands there as away
    assert [m.state for m in kept.endpoints if m.uid in ("u7", "u8", "u9")] == [DRAINING, REMOVED]
