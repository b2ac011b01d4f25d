"""A state of the model: the senders, the store, the coordinator, the messages in flight and the time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from itertools import combinations

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

# A time step is 1 ms: leases expire, and the clocks diverge noticeably, within a few steps.
PARAMETERS = ReadLeaseParameters(lease_ms=2.0, lease_check_ms=0.0, clock_drift=1.0 / 3.0, max_stop_ms=10.0)
FAST_CLOCK_RATE = 1.0 + PARAMETERS.clock_drift
SLOW_CLOCK_RATE = 1.0 - PARAMETERS.clock_drift
# Long enough ago that all leases granted by previous processes have expired.
STARTED_AT_MS = -100.0
# The assumed time of a request that its sender no longer remembers.
FORGOTTEN_AT_MS = -1e9
# Times are rounded to this many decimal places for comparison, which hides floating-point error.
TIME_DIGITS = 3


def version(revision: int) -> Version:
    """Return the version of a revision; the model has a single epoch."""
    return Version(1, revision)


@dataclass(slots=True)
class ReplicationState:
    """A state; all senders are voters and are identified by their index.

    Attributes:
        now: The true time in milliseconds.
        replicas: The protocol state of each sender.
        commit_record: The record in the store.
        coordinator: The current coordinator, if any.
        compatible_revisions: The revisions that are compatible with their predecessor; any other two contradict.
        max_revision: The highest revision that may be proposed.
        crashes_left: The number of crashes that may still occur.
        duplicates_left: The number of messages that may still be duplicated.
        responses_in_flight: The receiving sender, the responding voter and the response.
        requests_in_flight: The requesting sender, the receiving voter and the request.
        changes_in_flight: The receiving sender and the change.
        promises_in_flight: The promising voter and the promise.
        last_acted_on: The newest version that each sender has acted on.
    """

    now: float
    replicas: list[ConfigReplica]
    commit_record: CommitRecord
    coordinator: CommitCoordinator | None
    compatible_revisions: frozenset[int]
    max_revision: int
    crashes_left: int
    duplicates_left: int
    responses_in_flight: list[tuple[int, int, ReadLeaseResponse]] = field(default_factory=list)
    requests_in_flight: list[tuple[int, int, ReadLeaseRequest]] = field(default_factory=list)
    changes_in_flight: list[tuple[int, PreparedChange]] = field(default_factory=list)
    promises_in_flight: list[tuple[int, Promise]] = field(default_factory=list)
    last_acted_on: list[Version] = field(default_factory=list)

    def clock(self, sender: int) -> float:
        """Return the time of a sender's clock."""
        if sender == 0:
            return self.now * FAST_CLOCK_RATE
        if sender == len(self.replicas) - 1:
            return self.now * SLOW_CLOCK_RATE
        return self.now

    def coordinator_clock(self) -> float:
        """Return the time of the coordinator's clock."""
        return self.now * FAST_CLOCK_RATE

    def messages_in_flight(self) -> int:
        """Return the number of messages in flight."""
        return (
            len(self.responses_in_flight)
            + len(self.requests_in_flight)
            + len(self.changes_in_flight)
            + len(self.promises_in_flight)
        )

    # Copies

    def copy(self, *changed: int) -> ReplicationState:
        """Return a copy that may be modified, except for the replicas not in `changed`: it shares them."""
        return replace(
            self,
            replicas=[
                _copy_replica(replica) if sender in changed else replica
                for sender, replica in enumerate(self.replicas)
            ],
            responses_in_flight=list(self.responses_in_flight),
            requests_in_flight=list(self.requests_in_flight),
            changes_in_flight=list(self.changes_in_flight),
            promises_in_flight=list(self.promises_in_flight),
            last_acted_on=list(self.last_acted_on),
            coordinator=None if self.coordinator is None else _copy_coordinator(self.coordinator),
        )

    def copy_all(self) -> ReplicationState:
        """Return a copy that shares no mutable state with this one."""
        return self.copy(*range(len(self.replicas)))

    # Invariants

    def readable_revisions(self) -> list[frozenset[int]]:
        """Return the revisions whose intersection each sender acts on; an empty set for a sender without a lease."""
        versions = [
            replica.readable_versions(self.clock(sender)) for sender, replica in enumerate(self.replicas)
        ]
        return [frozenset(readable.revision for readable in pair or ()) for pair in versions]

    def violation(self) -> str:
        """Describe the violated invariant, if any, and record what each sender acts on, so call once a state."""
        readable = self.readable_revisions()
        for (sender, one), (other_sender, other) in combinations(enumerate(readable), 2):
            if one and other and self._contradict(one, other):
                return f"s{sender} acts on {sorted(one)} and s{other_sender} on {sorted(other)}"
        for sender, revisions in enumerate(readable):
            if not revisions:
                continue
            newest = version(max(revisions))
            if newest < self.last_acted_on[sender]:
                return f"s{sender} acts on {sorted(revisions)} after {self.last_acted_on[sender]}"
            self.last_acted_on[sender] = newest
        return ""

    def _contradict(self, one: frozenset[int], other: frozenset[int]) -> bool:
        """Return whether two senders contradict each other.

        A sender does only what every document of its intersection allows, so one compatible pair is enough.
        """
        return not any(self._is_compatible(a, b) for a in one for b in other)

    def _is_compatible(self, one: int, other: int) -> bool:
        if one == other:
            return True
        return abs(one - other) == 1 and max(one, other) in self.compatible_revisions

    # Equivalence of states

    def canonical_key(self) -> tuple[object, ...]:
        """Return a key that is equal for equivalent states.

        Times are relative to the current time and expired entries are omitted, so states that differ only by a shift
        in time are equivalent.
        """
        record = (self.commit_record.committed, self.commit_record.prepared, self.commit_record.settled)
        return (
            tuple(self._replica_key(sender) for sender in range(len(self.replicas))),
            record,
            self._coordinator_key(),
            self._messages_key(),
            self.crashes_left,
            self.duplicates_left,
        )

    def _replica_key(self, sender: int) -> tuple[object, ...]:
        replica = self.replicas[sender]
        now = self.clock(sender)
        own_leases = sorted(
            (voter, round(requested_at - now, TIME_DIGITS))
            for voter, requested_at in replica.lease_request_times.items()
            if now - requested_at < PARAMETERS.lease_ms
        )
        issued_leases = sorted(
            (name, round(expires_at - now, TIME_DIGITS), leased_version)
            for name, (expires_at, leased_version) in replica.issued_leases.items()
            if expires_at > now
        )
        knows_all_leases_at = replica.started_at + PARAMETERS.certain_expiry_ms
        return (
            replica.state.committed,
            replica.state.acknowledged,
            tuple(own_leases),
            tuple(issued_leases),
            max(0.0, round(knows_all_leases_at - now, TIME_DIGITS)),
            self.last_acted_on[sender],
        )

    def _coordinator_key(self) -> tuple[object, ...] | None:
        coordinator = self.coordinator
        now = self.coordinator_clock()
        if coordinator is None:
            return None
        promises = sorted(
            (voter, max(-PARAMETERS.certain_expiry_ms, round(first_promise_at - now, TIME_DIGITS)))
            for voter, first_promise_at in coordinator.promised_at.items()
        )
        return (
            coordinator.version,
            tuple(promises),
            tuple(sorted(coordinator.voters_without_stale_leases)),
        )

    def _messages_key(self) -> tuple[object, ...]:
        responses = sorted(
            (sender, voter, self._request_age(sender, response.seq), response.granted)
            for sender, voter, response in self.responses_in_flight
        )
        requests = sorted(
            (sender, voter, self._request_age(sender, request.seq), request.acknowledged)
            for sender, voter, request in self.requests_in_flight
        )
        changes = sorted((sender, change.version) for sender, change in self.changes_in_flight)
        promises = sorted(
            (sender, promise.version, promise.no_stale_leases) for sender, promise in self.promises_in_flight
        )
        return (tuple(responses), tuple(requests), tuple(changes), tuple(promises))

    def _request_age(self, sender: int, seq: int) -> float:
        """Return the age of a request, at most the duration of a lease."""
        requested_at = self.replicas[sender].pending_requests.get(seq, FORGOTTEN_AT_MS)
        age = self.clock(sender) - requested_at
        return round(age, TIME_DIGITS) if age < PARAMETERS.lease_ms else PARAMETERS.lease_ms


def _copy_replica(replica: ConfigReplica) -> ConfigReplica:
    return replace(
        replica,
        pending_requests=dict(replica.pending_requests),
        lease_request_times=dict(replica.lease_request_times),
        issued_leases=dict(replica.issued_leases),
    )


def _copy_coordinator(coordinator: CommitCoordinator) -> CommitCoordinator:
    return replace(
        coordinator,
        promised_at=dict(coordinator.promised_at),
        voters_without_stale_leases=set(coordinator.voters_without_stale_leases),
    )


def initial_state(
    senders: int = 3,
    max_revision: int = 2,
    compatible_revisions: frozenset[int] = frozenset(),
    max_crashes: int = 1,
    max_duplicates: int = 1,
) -> ReplicationState:
    """Return a state in which revision 1 is committed and each sender has a lease on it."""
    first = version(1)
    voters = frozenset(f"s{sender}" for sender in range(senders))
    stored = PersistentState(first, first)
    replicas = [ConfigReplica(PARAMETERS, stored, voters, STARTED_AT_MS) for _ in range(senders)]
    state = ReplicationState(
        now=0.0,
        replicas=replicas,
        commit_record=CommitRecord(first, first),
        coordinator=None,
        compatible_revisions=compatible_revisions,
        max_revision=max_revision,
        crashes_left=max_crashes,
        duplicates_left=max_duplicates,
        last_acted_on=[first] * senders,
    )
    _grant_all_leases(replicas)
    return state


def _grant_all_leases(replicas: Sequence[ConfigReplica]) -> None:
    for sender, replica in enumerate(replicas):
        request = replica.make_request(0.0)
        for voter, voter_replica in enumerate(replicas):
            response = voter_replica.handle_request(0.0, f"s{sender}", request)
            replica.handle_response(0.0, f"s{voter}", response)


def prepared_by_majority(state: ReplicationState) -> ReplicationState:
    """Return the state that follows an initial state once a majority of voters has acknowledged revision 2."""
    after = state.copy_all()
    committed = after.commit_record.committed
    change = PreparedChange(version(2), committed)
    after.commit_record = CommitRecord(committed, change.version)
    after.coordinator = CommitCoordinator(PARAMETERS, after.replicas[0].voters, change.version)
    for sender in range(len(after.replicas) // 2 + 1):
        replica = after.replicas[sender]
        replica.acknowledge(change)
        after.coordinator.handle_promise(0.0, f"s{sender}", replica.make_promise(0.0))
    return after
