"""Incremental updates of the endpoint list: completeness, priority of drains, cost proportional to the change."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

from conftest import Relay, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated, Outcome, Policy
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.incremental_update import (
    CHUNK_SIZE,
    URGENT_CHUNK_SIZE,
    IncrementalUpdateQueue,
    UpdateChunk,
)
from kestreltrack.journal import Journal
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry

UP, DRAINING, REMOVED = EndpointLifecycle.UP, EndpointLifecycle.DRAINING, EndpointLifecycle.REMOVED


def endpoint(
    number: int, state: EndpointLifecycle = UP, port: int = 1, dest: int | None = None
) -> ListedEndpoint:
    dest = number // 2 if dest is None else dest
    return ListedEndpoint(f"u{number}", f"127.0.0.1:{port}", dest, "plain", "a", state, 5.0)


def listed_endpoints(policy: Policy) -> dict[str, tuple[int, bool]]:
    """Return the destination of each endpoint that the policy has listed, and whether it accepts calls, by uid."""
    return {
        endpoint.name: (number, endpoint.accepts_calls)
        for number, destination in policy.destinations.items()
        for endpoint in destination.endpoints.values()
        if endpoint.listed
    }


def remaining_chunks(queue: IncrementalUpdateQueue) -> Iterator[UpdateChunk]:
    """Remove and yield all queued chunks."""
    while chunk := queue.next_chunk():
        yield chunk


def test_large_list_is_applied_in_chunks_and_drain_overtakes_them() -> None:
    queue = IncrementalUpdateQueue(EndpointList())
    driver = Relay()
    last = 5 * CHUNK_SIZE - 1
    queue.enqueue(EndpointListUpdate(1, True, tuple(endpoint(n) for n in range(5 * CHUNK_SIZE))))

    first = queue.next_chunk()
    assert first and len(first.event.entries) == CHUNK_SIZE and not first.event.complete
    driver.do(first.event)

    queue.enqueue(EndpointListUpdate(2, False, (endpoint(7, DRAINING),)))
    second = queue.next_chunk()
    assert second and [(e.endpoint, e.lifecycle) for e in second.event.entries] == [("u7", DRAINING)]
    driver.do(second.event)
    assert (
        listed_endpoints(driver.policy)["u7"] == (3, False)
        and len(listed_endpoints(driver.policy)) == CHUNK_SIZE
    )

    # The last endpoint is still deferred, so it is applied only once, as draining.
    queue.enqueue(EndpointListUpdate(3, False, (endpoint(last, DRAINING),)))
    for chunk in remaining_chunks(queue):
        driver.do(chunk.event)
    assert len(listed_endpoints(driver.policy)) == 5 * CHUNK_SIZE
    assert not listed_endpoints(driver.policy)[f"u{last}"][1]


def test_many_drains_are_passed_on_before_additions() -> None:
    queue = IncrementalUpdateQueue(EndpointList())
    all_up = tuple(endpoint(n) for n in range(2 * URGENT_CHUNK_SIZE))
    queue.enqueue(EndpointListUpdate(1, True, all_up))
    for _ in remaining_chunks(queue):
        pass
    all_draining = tuple(replace(listed, state=DRAINING) for listed in all_up)

    queue.enqueue(EndpointListUpdate(2, True, (*all_draining, endpoint(9 * URGENT_CHUNK_SIZE))))

    chunks = [chunk.event.entries for _ in range(3) if (chunk := queue.next_chunk())]
    assert [len(entries) for entries in chunks] == [URGENT_CHUNK_SIZE, URGENT_CHUNK_SIZE, 1]


def test_changed_address_is_a_removal_and_an_addition() -> None:
    queue = IncrementalUpdateQueue(EndpointList())
    queue.enqueue(EndpointListUpdate(1, True, (endpoint(1),)))

    assert queue.enqueue(EndpointListUpdate(2, False, (endpoint(1, port=2),))) == {"u1"}

    queue.next_chunk()
    chunk = queue.next_chunk()
    assert chunk and [change.state for change in chunk.update.endpoints] == [REMOVED, UP]
    assert queue.enqueue(EndpointListUpdate(3, False, (endpoint(1, DRAINING, port=2),))) == set()


ENDPOINTS = st.builds(
    endpoint, st.integers(0, 700), st.sampled_from([UP, UP, DRAINING]), st.integers(1, 2), st.integers(0, 9)
)
UPDATES = st.lists(
    st.tuples(
        st.booleans(),
        st.lists(ENDPOINTS, max_size=500, unique_by=lambda listed: listed.uid),
        st.sets(st.integers(0, 700), max_size=40),
        st.integers(0, 4),
    ),
    min_size=1,
    max_size=8,
)


@settings(max_examples=60, deadline=None)
@given(UPDATES)
def test_any_sequence_of_updates_results_in_the_list_of_the_source(
    updates: list[tuple[bool, list[ListedEndpoint], set[int], int]],
) -> None:
    queue = IncrementalUpdateQueue(EndpointList())
    driver = Relay()
    expected = dict[str, ListedEndpoint]()
    for revision, (complete, listed, removed_numbers, chunk_count) in enumerate(updates):
        removals = tuple(
            replace(expected[f"u{n}"], state=REMOVED)
            for n in sorted(removed_numbers)
            if not complete and f"u{n}" in expected
        )
        removed_uids = {removal.uid for removal in removals}
        if complete:
            expected = {}
        expected = {uid: known for uid, known in expected.items() if uid not in removed_uids}
        expected |= {added.uid: added for added in listed}
        queue.enqueue(EndpointListUpdate(revision, complete, (*removals, *listed)))
        for _ in range(chunk_count):
            if chunk := queue.next_chunk():
                driver.do(chunk.event)
    for chunk in remaining_chunks(queue):
        driver.do(chunk.event)

    assert listed_endpoints(driver.policy) == {uid: (e.dest, e.state is UP) for uid, e in expected.items()}
    snapshot = queue.endpoint_list.snapshot().endpoints
    assert {e.uid: e for e in snapshot if e.state is not REMOVED} == expected


def test_single_change_does_not_iterate_over_all_destinations() -> None:
    driver = Relay(*(entry(n) for n in range(300)))
    iterations = list[int]()

    class RecordingDict(dict[int, object]):
        def values(self) -> object:  # type: ignore[override]
            iterations.append(len(self))
            return super().values()

    driver.policy.destinations = RecordingDict(driver.policy.destinations)  # type: ignore[assignment]

    driver.do(EndpointsUpdated([entry(7, lifecycle=DRAINING)], complete=False))

    assert not iterations and listed_endpoints(driver.policy)["e7"] == (7, False)


def test_endpoint_removed_during_an_attempt_is_deleted_after_the_attempt() -> None:
    driver = Relay(entry(1), entry(2))
    driver.arrive(1)
    driver.do(EndpointsUpdated([entry(1, lifecycle=REMOVED)], complete=False))
    assert driver.policy.destinations[1].endpoints and driver.policy.draining_destinations == {1}

    driver.end("m1", Outcome.OK)
    # A change of any endpoint triggers the cleanup.
    driver.do(EndpointsUpdated([entry(2)], complete=False))

    assert not driver.policy.destinations[1].endpoints and not driver.policy.draining_destinations


def test_journal_records_only_the_changes_of_an_update(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 10_000_000, Telemetry())
    journal.record_endpoints(EndpointListUpdate(1, True, tuple(endpoint(n) for n in range(3000))))
    bytes_before = journal.file_bytes

    journal.record_endpoints(EndpointListUpdate(2, False, (endpoint(7, DRAINING), endpoint(8, REMOVED))))
    journal.record_endpoints(EndpointListUpdate(3, False, (endpoint(9, REMOVED),)))

    assert journal.file_bytes - bytes_before < 1000
    journal.close()
    recovered = Journal(tmp_path, 10_000_000, Telemetry()).endpoints
    # Both endpoints of destination 4 were removed: one of them is persisted as removed.
    assert recovered and recovered.revision == 3 and len(recovered.endpoints) == 2999
    states = [listed.state for listed in recovered.endpoints if listed.uid in ("u7", "u8", "u9")]
    assert states == [DRAINING, REMOVED]
