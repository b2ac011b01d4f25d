"""The transitions of the model: every step that is possible in a state."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

from kestreltrack.fleet.replicated_config.protocol import CommitCoordinator, ConfigReplica, PreparedChange
from kestreltrack.testing.model_checking.replicated_config.state import (
    PARAMETERS,
    ReplicationState,
    version,
)

# The kind of step, followed by its senders or its revision, if any.
Step = tuple[str, ...]
Message = TypeVar("Message")
NextState = tuple[Step, ReplicationState]
# Restarts the process of a sender in a state.
RestartStep = Callable[[ReplicationState, int], None]


def restart_process(state: ReplicationState, sender: int) -> None:
    """Replace the process of a sender by a new one at the same time, which loads the persistent state."""
    previous = state.replicas[sender]
    state.replicas[sender] = ConfigReplica(
        PARAMETERS, previous.state, previous.voters, state.clock(sender), seq=previous.seq
    )


def next_states(
    state: ReplicationState, max_in_flight: int, restart: RestartStep = restart_process
) -> Iterator[NextState]:
    """Yield every possible step with the state that follows it.

    An immediate response is part of the step of its request.  At most `max_in_flight` messages are in flight.
    """
    after = state.copy()
    after.now += 1.0
    yield ("time",), after
    may_delay = state.messages_in_flight() < max_in_flight
    yield from _request_steps(state, may_delay)
    yield from _record_steps(state)
    yield from _change_steps(state, may_delay)
    yield from _arrival_steps(state)
    yield from _crash_steps(state, restart)


def _crash_steps(state: ReplicationState, restart: RestartStep) -> Iterator[NextState]:
    if not state.crashes_left:
        return
    for sender in range(len(state.replicas)):
        after = state.copy()
        after.crashes_left -= 1
        restart(after, sender)
        yield ("restart", f"s{sender}"), after
    if state.coordinator:
        after = state.copy()
        after.crashes_left -= 1
        after.coordinator = None
        yield ("coordinator crashes",), after


def _request_steps(state: ReplicationState, may_delay: bool) -> Iterator[NextState]:
    """Yield the lease requests; a sender that requests a lease from another one also requests it from itself."""
    for sender in range(len(state.replicas)):
        for voter in range(len(state.replicas)):
            if voter != sender:
                yield from _request_steps_between(state, sender, voter, may_delay)


def _request_steps_between(
    state: ReplicationState, sender: int, voter: int, may_delay: bool
) -> Iterator[NextState]:
    names = (f"s{sender}", f"s{voter}")
    after = state.copy(sender, voter)
    replica = after.replicas[sender]
    now = after.clock(sender)
    request = replica.make_request(now)
    replica.handle_response(now, names[0], replica.handle_request(now, names[0], request))
    if may_delay:
        late = after.copy(sender)
        late.requests_in_flight.append((sender, voter, request))
        yield ("requests", *names), late
    response = after.replicas[voter].handle_request(after.clock(voter), names[0], request)
    if may_delay and response.granted:
        late = after.copy(sender)
        late.responses_in_flight.append((sender, voter, response))
        yield ("requests, response is late", *names), late
    replica.handle_response(now, names[1], response)
    yield ("requests and has the response", *names), after


def _record_steps(state: ReplicationState) -> Iterator[NextState]:
    """Yield the updates of the record in the store, and the starts of new coordinators."""
    record = state.commit_record
    revision = record.prepared.revision
    voters = state.replicas[0].voters
    if revision < state.max_revision:
        # This may replace a prepared change that has not been committed.
        proposed = record.prepare(record.committed, version(revision + 1))
        if proposed:
            after = state.copy()
            after.commit_record = proposed
            after.coordinator = CommitCoordinator(PARAMETERS, voters, proposed.prepared)
            yield ("prepare", str(revision + 1)), after
    if state.coordinator is None:
        if record.prepared != record.committed or not record.settled:
            after = state.copy()
            after.coordinator = CommitCoordinator(PARAMETERS, voters, record.prepared)
            yield ("another coordinator",), after
        return
    follows_committed = revision == record.committed.revision + 1
    compatible = revision in state.compatible_revisions and follows_committed
    written = state.coordinator.next_record(state.coordinator_clock(), record, compatible)
    if written:
        after = state.copy()
        after.commit_record = written
        yield ("commit", str(revision)), after


def _change_steps(state: ReplicationState, may_delay: bool) -> Iterator[NextState]:
    """Yield the delivery of commits and prepared changes to senders, and the resulting promises."""
    record = state.commit_record
    change = PreparedChange(record.prepared, record.committed)
    is_uncommitted = change.version != record.committed
    for sender, replica in enumerate(state.replicas):
        if replica.state.committed < record.committed:
            after = state.copy(sender)
            after.replicas[sender].commit(record.committed)
            yield ("learns of the commit", f"s{sender}"), after
        if replica.state.acknowledged < change.version and is_uncommitted:
            if may_delay:
                late = state.copy()
                late.changes_in_flight.append((sender, change))
                yield ("is sent the change", f"s{sender}"), late
            after = state.copy(sender)
            after.replicas[sender].acknowledge(change)
            yield from _promise_steps(after, sender, may_delay, "acknowledges")
        elif state.coordinator and replica.state.acknowledged == state.coordinator.version:
            yield from _promise_steps(state, sender, may_delay, "promises again")


def _promise_steps(
    state: ReplicationState, sender: int, may_delay: bool, step_name: str
) -> Iterator[NextState]:
    """Yield the promise of a sender, delivered at once or delayed; a lost one stays in flight."""
    promise = state.replicas[sender].make_promise(state.clock(sender))
    if may_delay:
        late = state.copy()
        late.promises_in_flight.append((sender, promise))
        yield (f"{step_name}, promise is late", f"s{sender}"), late
    after = state.copy()
    if after.coordinator:
        after.coordinator.handle_promise(after.coordinator_clock(), f"s{sender}", promise)
    yield (step_name, f"s{sender}"), after


def _arrival_steps(state: ReplicationState) -> Iterator[NextState]:
    """Yield the arrivals of messages in flight; a lost message stays in flight."""
    yield from _arrivals(state, is_duplicated=False)
    if state.duplicates_left:
        yield from _arrivals(state, is_duplicated=True)


def _arrivals(state: ReplicationState, is_duplicated: bool) -> Iterator[NextState]:
    """Yield the arrival of each message in flight; a duplicated one remains in flight."""
    for n, (sender, voter, response) in enumerate(state.responses_in_flight):
        after = state.copy(sender)
        after.replicas[sender].handle_response(after.clock(sender), f"s{voter}", response)
        _consume_message(after, after.responses_in_flight, n, is_duplicated)
        yield ("late response", f"s{sender}", f"s{voter}"), after
    for n, (sender, voter, request) in enumerate(state.requests_in_flight):
        after = state.copy(sender, voter)
        lease_response = after.replicas[voter].handle_request(after.clock(voter), f"s{sender}", request)
        after.replicas[sender].handle_response(after.clock(sender), f"s{voter}", lease_response)
        _consume_message(after, after.requests_in_flight, n, is_duplicated)
        yield ("late request", f"s{sender}", f"s{voter}"), after
    for n, (sender, change) in enumerate(state.changes_in_flight):
        after = state.copy(sender)
        after.replicas[sender].acknowledge(change)
        _consume_message(after, after.changes_in_flight, n, is_duplicated)
        yield ("late change", f"s{sender}"), after
    for n, (sender, promise) in enumerate(state.promises_in_flight):
        after = state.copy()
        if after.coordinator:
            after.coordinator.handle_promise(after.coordinator_clock(), f"s{sender}", promise)
        _consume_message(after, after.promises_in_flight, n, is_duplicated)
        yield ("late promise", f"s{sender}"), after


def _consume_message(state: ReplicationState, messages: list[Message], n: int, is_duplicated: bool) -> None:
    if is_duplicated:
        state.duplicates_left -= 1
    else:
        del messages[n]
