"""The commit protocol: all interleavings to a depth, mutants, and long simulations."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import pytest

from kestreltrack.fleet.replicated_config.errors import InvalidLeaseParametersError
from kestreltrack.fleet.replicated_config.protocol import (
    CommitCoordinator,
    CommitRecord,
    ConfigReplica,
    PersistentState,
    PreparedChange,
    Promise,
    ReadLeaseParameters,
    ReadLeaseRequest,
    ReadLeaseResponse,
)
from kestreltrack.fleet.replicated_config.version import Version
from kestreltrack.testing.model_checking.replicated_config import (
    ReplicationState,
    SearchLimits,
    explore,
    initial_state,
    prepared_by_majority,
    random_walk,
    restart_process,
)


def test_no_interleaving_lets_senders_contradict_each_other_or_return_to_an_older_version() -> None:
    """Deeper searches and their state counts: docs/agreed.md."""
    for first, depth in (
        (initial_state(), 3),
        (prepared_by_majority(initial_state()), 3),
        (prepared_by_majority(initial_state(max_revision=3)), 3),
    ):
        found = explore(first, depth, SearchLimits(convergence_check_interval=40))
        assert not found.violation and found.depth == depth and found.states > 800


@pytest.mark.parametrize("compatible", [frozenset(), frozenset({2}), frozenset({2, 3})])
def test_long_random_walks_violate_no_property_and_commit_changes(compatible: frozenset[int]) -> None:
    walks = [
        random_walk(
            initial_state(max_revision=4, compatible_revisions=compatible, max_crashes=3, max_duplicates=5),
            seed,
            60,
        )
        for seed in range(40)
    ]
    assert not [found for found in walks if found.violation]
    assert max(found.max_committed_revision for found in walks) >= 3


# Mutants: variants of the protocol with one defect each ------------------------------------------

HANDLE_RESPONSE = ConfigReplica.handle_response
HANDLE_REQUEST = ConfigReplica.handle_request
MAKE_PROMISE = ConfigReplica.make_promise
READABLE_VERSIONS = ConfigReplica.readable_versions


def without_clock_drift(self: ReadLeaseParameters) -> float:
    """Ignore clock drift in the time after which a lease has certainly expired."""
    return self.lease_ms


def lease_from_arrival(self: ConfigReplica, now: float, voter: str, response: ReadLeaseResponse) -> None:
    """Count a lease from when its response arrives."""
    if response.seq in self.pending_requests:
        self.pending_requests[response.seq] = now
    HANDLE_RESPONSE(self, now, voter, response)


def settled_by_majority(self: CommitCoordinator, now: float) -> bool:
    """Commit as soon as a majority of voters has acknowledged, whatever leases there are."""
    return len(self.promised_at) >= 2


def lease_on_old_version(
    self: ConfigReplica, now: float, sender: str, request: ReadLeaseRequest
) -> ReadLeaseResponse:
    """Grant leases on the old version after acknowledging the new one."""
    state = self.state
    self.state = PersistentState(Version(1, 0), Version(1, 0))
    response = HANDLE_REQUEST(self, now, sender, request)
    self.state = state
    return response


def promise_after_restart(self: ConfigReplica, now: float) -> Promise:
    """Promise after a restart as if the previous process had granted no leases."""
    self.started_at = -1e9
    return MAKE_PROMISE(self, now)


def read_before_commit(self: ConfigReplica, now: float) -> tuple[Version, Version] | None:
    """Act on the prepared version before it is committed."""
    versions = READABLE_VERSIONS(self, now)
    return None if versions is None else (versions[1], versions[1])


def endless_lease(self: ConfigReplica) -> float:
    """Let a partitioned sender continue to act on its version."""
    return 1e9


MUTANTS: dict[str, tuple[type, str, object]] = {
    "no margin for clock drift": (ReadLeaseParameters, "certain_expiry_ms", property(without_clock_drift)),
    "lease counted from the arrival of the response": (ConfigReplica, "handle_response", lease_from_arrival),
    "commit while stale leases exist": (CommitCoordinator, "is_settled", settled_by_majority),
    "leases on the old version after acknowledging": (ConfigReplica, "handle_request", lease_on_old_version),
    "leases forgotten by a restart": (ConfigReplica, "make_promise", promise_after_restart),
    "prepared version acted on before the commit": (ConfigReplica, "readable_versions", read_before_commit),
    "no lease needed": (ConfigReplica, "lease_expires_at", endless_lease),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, replacement = MUTANTS[name]
    state = initial_state(max_duplicates=0, max_crashes=0)
    if "restart" in name:
        for sender in (0, 1):
            restart_process(state, sender)
    else:
        state = prepared_by_majority(state)
    if "arrival" in name:
        # The first steps of the violation: two responses are delayed, and time has passed twice.
        request = state.replicas[2].make_request(0.0)
        response = ReadLeaseResponse(request.seq, True, request.acknowledged)
        state.responses_in_flight += [(2, voter, response) for voter in (0, 1)]
        state.now = 2.0
    monkeypatch.setattr(owner, attribute, replacement)
    found = explore(state, 7, SearchLimits(max_in_flight=0, max_states=60_000))
    assert "acts on [2]" in found.violation, f"{found.states} states to depth {found.depth} did not show it"


def restart_with_initial_state(state: ReplicationState, sender: int) -> None:
    """Start a new process with the initial versions, as if its folder had been restored from a backup."""
    restart_process(state, sender)
    state.replicas[sender].state = PersistentState(Version(1, 1), Version(1, 1))


def test_a_return_to_an_older_version_after_a_restart_is_detected() -> None:
    first = prepared_by_majority(initial_state())
    found = explore(first, 4, SearchLimits(max_in_flight=0), restart=restart_with_initial_state)
    assert "after revision 2" in found.violation and any(step[0] == "restart" for step in found.trace)


def test_a_change_that_is_never_committed_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def needs_four_voters(self: CommitCoordinator, now: float) -> bool:
        return len(self.voters_without_stale_leases) > 3

    monkeypatch.setattr(CommitCoordinator, "is_settled", needs_four_voters)
    first = prepared_by_majority(initial_state())
    found = explore(first, 2, SearchLimits(convergence_check_interval=1))
    assert found.violation == "it does not converge"


# Long simulations --------------------------------------------------------------------------------

SENDER_COUNT = 5
VOTERS = frozenset({"s0", "s1", "s2"})
# The sender that runs the coordinator.
COORDINATOR_SENDER = 3


class SimulatedFleet:
    """Five senders, three of them voters, with the default parameters; messages are lost, delayed or duplicated."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.parameters = ReadLeaseParameters()
        self.clock_rates = [self.draw.choice((0.99, 1.0, 1.01)) for _ in range(SENDER_COUNT)]
        self.now = 0.0
        first = Version(1, 1)
        stored = PersistentState(first, first)
        self.replicas = [ConfigReplica(self.parameters, stored, VOTERS, -1e6) for _ in range(SENDER_COUNT)]
        self.record = CommitRecord(first, first)
        self.coordinator: CommitCoordinator | None = None
        self.in_flight: list[tuple[float, Callable[[], object]]] = []
        self.paused_until = [0.0] * SENDER_COUNT
        self.commits = 1
        self.majority_at: float | None = None
        self.longest_commit_ms = 0.0

    def clock(self, sender: int) -> float:
        return self.clock_rates[sender] * self.now

    def send(self, arrive: Callable[[], object]) -> None:
        """Put a message in flight; it may be lost, delayed by seconds, or duplicated."""
        for _ in range(self.draw.choice((0, 1, 1, 1, 1, 1, 1, 1, 1, 2))):
            is_prompt = self.draw.random() < 0.95
            delay_ms = self.draw.uniform(1, 30) if is_prompt else self.draw.uniform(500, 6000)
            self.in_flight.append((self.now + delay_ms, arrive))

    def request_leases(self, sender: int) -> None:
        replica = self.replicas[sender]
        request = replica.make_request(self.clock(sender))

        def respond(voter: int) -> None:
            response = self.replicas[voter].handle_request(self.clock(voter), f"s{sender}", request)
            self.send(partial(handle_response, voter, response))

        def handle_response(voter: int, response: ReadLeaseResponse) -> None:
            if self.replicas[sender] is replica:
                replica.handle_response(self.clock(sender), f"s{voter}", response)

        for voter in range(len(VOTERS)):
            self.send(partial(respond, voter))

    def send_record(self, sender: int) -> None:
        """Send the prepared and the committed version to a sender."""
        change = PreparedChange(self.record.prepared, self.record.committed)
        self.send(lambda: self.replicas[sender].acknowledge(change))
        self.send(lambda: self.replicas[sender].commit(change.base))

    def send_promise(self, sender: int, coordinator: CommitCoordinator) -> None:
        promise = self.replicas[sender].make_promise(self.clock(sender))
        self.send(lambda: coordinator.handle_promise(self.clock(COORDINATOR_SENDER), f"s{sender}", promise))

    def propose(self) -> None:
        next_version = Version(1, self.record.committed.revision + 1)
        self.record = self.record.prepare(self.record.committed, next_version) or self.record
        self.coordinator = CommitCoordinator(self.parameters, VOTERS, self.record.prepared)
        self.majority_at = None

    def advance_commit(self, coordinator: CommitCoordinator) -> None:
        if self.majority_at is None and len(coordinator.promised_at) >= 2:
            self.majority_at = self.now
        written = coordinator.next_record(self.clock(COORDINATOR_SENDER), self.record, False)
        if written:
            self.record = written
            self.commits += 1
            self.longest_commit_ms = max(self.longest_commit_ms, self.now - (self.majority_at or self.now))

    def restart(self, sender: int) -> None:
        before = self.replicas[sender]
        self.replicas[sender] = ConfigReplica(
            self.parameters, before.state, VOTERS, self.clock(sender), before.seq
        )

    def is_running(self, sender: int) -> bool:
        return self.now >= self.paused_until[sender]

    def step(self) -> None:
        """Advance the time and let one sender act."""
        draw = self.draw
        self.now += draw.expovariate(1.0 / 15.0)
        sender = draw.randrange(SENDER_COUNT)
        if draw.random() < 0.05 and self.is_running(sender):
            self.request_leases(sender)
        if draw.random() < 0.001:
            self.paused_until[sender] = self.now + draw.uniform(0.0, 10_000.0)
        if draw.random() < 0.001:
            self.restart(sender)
        if self.record.prepared == self.record.committed and draw.random() < 0.01:
            self.propose()
        if self.coordinator and draw.random() < 0.1 and self.is_running(sender):
            self.send_record(sender)
            self.send_promise(sender, self.coordinator)
            self.advance_commit(self.coordinator)
        self.deliver()

    def deliver(self) -> None:
        for message in [message for message in self.in_flight if message[0] <= self.now]:
            self.in_flight.remove(message)
            _, arrive = message
            arrive()

    def acted_on(self) -> list[set[Version]]:
        """Return the versions that each running sender with a lease acts on."""
        versions = [
            replica.readable_versions(self.clock(sender))
            for sender, replica in enumerate(self.replicas)
            if self.is_running(sender)
        ]
        return [{*pair} for pair in versions if pair]


@pytest.mark.parametrize("seed", range(6))
def test_senders_do_not_contradict_each_other_with_delays_restarts_and_one_percent_clock_drift(
    seed: int,
) -> None:
    """Each change is also committed within the bound on the time to stop, plus 1 s."""
    fleet = SimulatedFleet(seed)
    for _ in range(20_000):
        fleet.step()
        acted_on = fleet.acted_on()
        assert all(one & other for one in acted_on for other in acted_on), f"{acted_on} at {fleet.now}"
    assert fleet.commits > 20
    assert fleet.longest_commit_ms <= fleet.parameters.worst_case_stop_ms + 1_000.0


# Parameters --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "invalid",
    [{"lease_ms": 5000.0}, {"clock_drift": 0.5}, {"lease_ms": 0.0}, {"lease_check_ms": -1.0}],
)
def test_invalid_lease_parameters_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(InvalidLeaseParametersError):
        ReadLeaseParameters(**invalid)
    assert ReadLeaseParameters().worst_case_stop_ms < 3200.0
