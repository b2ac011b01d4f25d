"""Breadth-first search and random walks of the state space, and the check for convergence."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from kestreltrack.fleet.replicated_config.protocol import CommitCoordinator, PreparedChange
from kestreltrack.testing.model_checking.replicated_config.state import PARAMETERS, ReplicationState
from kestreltrack.testing.model_checking.replicated_config.steps import (
    RestartStep,
    Step,
    next_states,
    restart_process,
)

# The probability that a step of a random walk lets time pass; leases would rarely expire with a uniform choice.
TIME_STEP_PROBABILITY = 0.2
# Any state converges within fewer rounds without message loss.
CONVERGENCE_ROUNDS = 12
NOT_CONVERGING = "it does not converge"


@dataclass(frozen=True, slots=True)
class SearchLimits:
    """Bounds on a search.

    Attributes:
        max_in_flight: The maximum number of messages in flight.
        max_states: The maximum number of states; states beyond it are not explored.
        convergence_check_interval: One in this many states is checked for convergence; 0 disables the check.
    """

    max_in_flight: int = 1
    max_states: int = 1_000_000
    convergence_check_interval: int = 0


DEFAULT_LIMITS = SearchLimits()


@dataclass(frozen=True, slots=True)
class ReplicationSearchResult:
    """The extent of a search, and the trace to the first violation, if any.

    Attributes:
        states: The number of distinct states reached; the number of steps for a random walk.
        depth: The length of the longest trace explored.
        violation: A description of the violation in the last state of `trace`; empty if there is none.
        trace: The steps to the violation, or all steps of a random walk; empty for a search without a violation.
        max_committed_revision: The highest committed revision; 0 where a violation cut the search or walk short.
    """

    states: int
    depth: int
    violation: str = ""
    trace: tuple[Step, ...] = ()
    max_committed_revision: int = 0


def converges(state: ReplicationState, rounds: int = CONVERGENCE_ROUNDS) -> bool:
    """Return whether all senders act on the last proposed revision after rounds without message loss."""
    after = state.copy_all()
    for _ in range(rounds):
        _run_lossless_round(after)
        if after.violation():
            return False
        after.now += 1.0
    last_proposed = after.commit_record.prepared.revision
    return all(revisions == {last_proposed} for revisions in after.readable_revisions())


def _run_lossless_round(state: ReplicationState) -> None:
    """Deliver the record to all senders, renew their leases, and deliver their promises to a coordinator."""
    record = state.commit_record
    if state.coordinator is None or state.coordinator.version != record.prepared:
        state.coordinator = CommitCoordinator(PARAMETERS, state.replicas[0].voters, record.prepared)
    change = PreparedChange(record.prepared, record.committed)
    for sender, replica in enumerate(state.replicas):
        replica.commit(record.committed)
        replica.acknowledge(change)
        request = replica.make_request(state.clock(sender))
        for voter, voter_replica in enumerate(state.replicas):
            response = voter_replica.handle_request(state.clock(voter), f"s{sender}", request)
            replica.handle_response(state.clock(sender), f"s{voter}", response)
    for sender, replica in enumerate(state.replicas):
        promise = replica.make_promise(state.clock(sender))
        state.coordinator.handle_promise(state.coordinator_clock(), f"s{sender}", promise)
    written = state.coordinator.next_record(state.coordinator_clock(), record, compatible=False)
    if written:
        state.commit_record = written


def explore(
    initial: ReplicationState,
    depth: int,
    limits: SearchLimits = DEFAULT_LIMITS,
    restart: RestartStep = restart_process,
) -> ReplicationSearchResult:
    """Explore each state once, breadth first, and stop at the first violation, whose trace is a shortest one.

    Args:
        initial: The initial state.
        depth: The maximum number of steps from it.
        limits: Further bounds on the search.
        restart: Restarts the process of a sender.
    """
    seen = {initial.canonical_key()}
    queue: deque[tuple[ReplicationState, tuple[Step, ...]]] = deque([(initial, ())])
    reached_depth = max_committed = 0
    while queue:
        state, trace = queue.popleft()
        reached_depth = len(trace)
        if reached_depth >= depth:
            continue
        for step, after in next_states(state, limits.max_in_flight, restart):
            violation = after.violation()
            if violation:
                return ReplicationSearchResult(len(seen), reached_depth + 1, violation, (*trace, step))
            key = after.canonical_key()
            if key in seen or len(seen) >= limits.max_states:
                continue
            seen.add(key)
            max_committed = max(max_committed, after.commit_record.committed.revision)
            if _is_convergence_checked(len(seen), limits) and not converges(after):
                return ReplicationSearchResult(len(seen), reached_depth + 1, NOT_CONVERGING, (*trace, step))
            queue.append((after, (*trace, step)))
    return ReplicationSearchResult(len(seen), reached_depth, "", (), max_committed)


def _is_convergence_checked(states: int, limits: SearchLimits) -> bool:
    interval = limits.convergence_check_interval
    return interval > 0 and states % interval == 0


def random_walk(
    initial: ReplicationState,
    seed: int,
    length: int,
    max_in_flight: int = 2,
    restart: RestartStep = restart_process,
) -> ReplicationSearchResult:
    """Follow one random trace, which may be far longer than the depth that a search reaches."""
    rng = random.Random(seed)
    state = initial.copy_all()
    trace = list[Step]()
    for _ in range(length):
        choices = list(next_states(state, max_in_flight, restart))
        # The first choice lets time pass.
        step, state = choices[0] if rng.random() < TIME_STEP_PROBABILITY else rng.choice(choices)
        trace.append(step)
        violation = state.violation()
        if violation:
            return ReplicationSearchResult(len(trace), len(trace), violation, tuple(trace))
    violation = "" if converges(state) else NOT_CONVERGING
    max_committed = state.commit_record.committed.revision
    return ReplicationSearchResult(length, length, violation, tuple(trace), max_committed)
