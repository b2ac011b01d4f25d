"""The protocol of versions: every interleaving to a depth, planted defects, and long simulations."""

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


def test_no_interleaving_lets_two_senders_contradict_or_one_go_back() -> None:
    """Deeper searches and their state counts: docs/agreed.md."""
    for first, depth in (
        (initial_state(), 3),
        (prepared_by_majority(initial_state()), 3),
        (prepared_by_majority(initial_state(max_revision=3)), 3),
    ):
        found = explore(first, depth, SearchLimits(convergence_check_interval=40))
        assert not found.violation and found.depth == depth and found.states > 800


@pytest.mark.parametrize("compatible", [frozenset(), frozenset({2}), frozenset({2, 3})])
def test_long_random_walks_neither_violate_a_property_nor_stand_still(compatible: frozenset[int]) -> None:
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


# Planted defects ---------------------------------------------------------------------------------

HANDLE_RESPONSE = ConfigReplica.handle_response
HANDLE_REQUEST = ConfigReplica.handle_request
MAKE_PROMISE = ConfigReplica.make_promise
READABLE_VERSIONS = ConfigReplica.readable_versions


def without_clock_drift(self: ReadLeaseParameters) -> float:
    """Return the length of a lease as if all clocks ran alike."""
    return self.lease_ms


def lease_from_arrival(self: ConfigReplica, now: float, voter: str, response: ReadLeaseResponse) -> None:
    """Count a lease from when its response arrived."""
    if response.seq in self.pending_requests:
        self.pending_requests[response.seq] = now
    HANDLE_RESPONSE(self, now, voter, response)


def settled_by_majority(self: CommitCoordinator, now: float) -> bool:
    """Commit as soon as a majority has acknowledged."""
    return len(self.promised_at) >= 2


def lease_on_old_version(
    self: ConfigReplica, now: float, sender: str, request: ReadLeaseRequest
) -> ReadLeaseResponse:
    """As a voter that has acknowledged, go on granting leases on the old version."""
    state, self.state = self.state, PersistentState(Version(1, 0), Version(1, 0))
    response = HANDLE_REQUEST(self, now, sender, request)
    self.state = state
    return response


def promise_after_restart(self: ConfigReplica, now: float) -> Promise:
    """As a voter that has restarted, state that it granted nothing."""
    self.started_at = -1e9
    return MAKE_PROMISE(self, now)


def read_before_commit(self: ConfigReplica, now: float) -> tuple[Version, Version] | None:
    """Act on what is prepared before it is committed."""
    pair = READABLE_VERSIONS(self, now)
    return None if pair is None else (pair[1], pair[1])


def endless_lease(self: ConfigReplica) -> float:
    """Let a sender that is cut off go on by what it has."""
    return 1e9


DEFECTS: dict[str, tuple[type, str, object]] = {
    "no lease margin": (ReadLeaseParameters, "certain_expiry_ms", property(without_clock_drift)),
    "lease counted from arrival": (ConfigReplica, "handle_response", lease_from_arrival),
    "commit before all acknowledged": (CommitCoordinator, "is_settled", settled_by_majority),
    "leases on the old after acknowledging": (ConfigReplica, "handle_request", lease_on_old_version),
    "leases forgotten by a restart": (ConfigReplica, "make_promise", promise_after_restart),
    "acts before the commit": (ConfigReplica, "readable_versions", read_before_commit),
    "no lease needed": (ConfigReplica, "lease_expires_at", endless_lease),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, defect = DEFECTS[name]
    state = initial_state(max_duplicates=0, max_crashes=0)
    if "restart" in name:
        for sender in (0, 1):
            restart_process(state, sender)
    else:
        state = prepared_by_majority(state)
    if "arrival" in name:
        # Some steps of the search are taken: two responses are late, and time has passed twice.
        request = state.replicas[2].make_request(0.0)
        response = ReadLeaseResponse(request.seq, True, request.acknowledged)
        state.responses_in_flight += [(2, voter, response) for voter in (0, 1)]
        state.now = 2.0
    monkeypatch.setattr(owner, attribute, defect)
    found = explore(state, 7, SearchLimits(max_in_flight=0, max_states=60_000))
    assert "acts on [2]" in found.violation, f"{found.states} states to depth {found.depth} did not show it"


def restart_with_initial_state(state: ReplicationState, sender: int) -> None:
    """Start a new process with what was committed at first, as if its folder had been restored."""
    restart_process(state, sender)
    state.replicas[sender].state = PersistentState(Version(1, 1), Version(1, 1))


def test_going_back_after_a_restart_is_found() -> None:
    first = prepared_by_majority(initial_state())
    found = explore(first, 4, SearchLimits(max_in_flight=0), restart=restart_with_initial_state)
    assert "after revision 2" in found.violation and any(step[0] == "restart" for step in found.trace)


def test_a_standstill_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def needs_four_voters(self: CommitCoordinator, now: float) -> bool:
        return len(self.voters_without_stale_leases) > 3

    monkeypatch.setattr(CommitCoordinator, "is_settled", needs_four_voters)
    first = prepared_by_majority(initial_state())
    found = explore(first, 2, SearchLimits(convergence_check_interval=1))
    assert found.violation == "it does not converge"


# Long simulations --------------------------------------------------------------------------------

SENDER_COUNT = 5
VOTERS = frozenset({"s0", "s1", "s2"})
# The coordinator is at this sender.
COORDINATOR_SENDER = 3


class SimulatedFleet:
    """Five senders, three of them voters, with the parameters of `run`; messages are lost, late or repeated."""

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
        self.asleep_until = [0.0] * SENDER_COUNT
        self.commits = 1
        self.majority_at: float | None = None
        self.longest_commit_ms = 0.0

    def clock(self, sender: int) -> float:
        return self.clock_rates[sender] * self.now

    def send(self, arrive: Callable[[], object]) -> None:
        """Put a message in flight: it is lost, late by up to seconds, or repeated."""
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
        """Send a sender what is prepared and committed."""
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

    def is_awake(self, sender: int) -> bool:
        return self.now >= self.asleep_until[sender]

    def step(self) -> None:
        """Let some time pass, and let one sender act."""
        draw = self.draw
        self.now += draw.expovariate(1.0 / 15.0)
        sender = draw.randrange(SENDER_COUNT)
        if draw.random() < 0.05 and self.is_awake(sender):
            self.request_leases(sender)
        if draw.random() < 0.001:
            self.asleep_until[sender] = self.now + draw.uniform(0.0, 10_000.0)
        if draw.random() < 0.001:
            self.restart(sender)
        if self.record.prepared == self.record.committed and draw.random() < 0.01:
            self.propose()
        if self.coordinator and draw.random() < 0.1 and self.is_awake(sender):
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
        """Return the versions that each sender with a lease acts on."""
        pairs = [
            replica.readable_versions(self.clock(sender))
            for sender, replica in enumerate(self.replicas)
            if self.is_awake(sender)
        ]
        return [{*pair} for pair in pairs if pair]


@pytest.mark.parametrize("seed", range(6))
def test_no_senders_contradict_with_late_messages_restarts_and_clocks_one_percent_apart(seed: int) -> None:
    """Also how long a change takes to be committed."""
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
def test_parameters_that_break_the_bound_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(InvalidLeaseParametersError):
        ReadLeaseParameters(**invalid)
    assert ReadLeaseParameters().worst_case_stop_ms < 3200.0
