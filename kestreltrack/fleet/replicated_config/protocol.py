"""The commit protocol, under which no two senders act on contradictory versions of a document.  No I/O.

A few senders are *voters*.  Every sender periodically requests a *read lease* from them: the right to act on the
version that it has acknowledged.  It holds the lease while a majority of voters has granted it, for `lease_ms` from
when it sent the requests.

A change is *prepared* first: `CommitRecord` holds it beside the committed version, and each change of the record is
one transaction.  A sender that receives the prepared change stores it, and from then on acts on the intersection of
both versions; this is its *acknowledgement*.  A voter that has acknowledged a change grants no more leases to senders
that have not.  The change is *committed* when a majority of voters has acknowledged it and one of these holds:

- A majority of voters states that no sender to which they granted a lease is behind.  A voter that has restarted has
  lost its record of grants, and cannot state this until the last of them has certainly expired.
- `ReadLeaseParameters.certain_expiry_ms` has passed since the majority was complete: by then no sender that is behind
  has a lease.

Each lease is granted by a majority of voters and each change is committed by a majority, so at least one voter is in
both, and it grants no lease to a sender that is behind once it has acknowledged the change.  No two clocks are
compared, and there is no list of the senders that hold leases.  A sender without a lease starts nothing that a
document regulates (`compatibility.without_lease`).  A change that is compatible with its base is committed at once,
provided that no sender can be behind that base.

A sender stores the acknowledged and the committed version on disk before it sends anything or acts by them
(`storage.py`), so it never acts on an older version than before, even after a restart.
`testing/model_checking/replicated_config` explores all interleavings of these transitions.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.fleet.replicated_config.errors import InvalidLeaseParametersError
from kestreltrack.fleet.replicated_config.version import Version

# A lease spans fewer requests than this: one for each quarter of its duration, and one for each change.
MAX_REMEMBERED_REQUESTS = 64
# Earlier than any time of the clock.
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class ReadLeaseParameters:
    """Parameters of read leases, which must be the same at all senders.

    Attributes:
        lease_ms: The duration of a lease from its request, by the clock of its holder.
        lease_check_ms: The longest time between two checks of a sender's own lease.
        clock_drift: The largest relative deviation of any clock from true time.
        max_stop_ms: The bound on `worst_case_stop_ms` that is guaranteed to operators.

    Raises:
        InvalidLeaseParametersError: The parameters are inconsistent or exceed the bound.
    """

    lease_ms: float = 3000.0
    lease_check_ms: float = 100.0
    clock_drift: float = 0.01
    max_stop_ms: float = 5000.0

    def __post_init__(self) -> None:
        """Validate the parameters."""
        if not 0.0 <= self.clock_drift < 0.5 or self.lease_ms <= 0.0 or self.lease_check_ms < 0.0:
            raise InvalidLeaseParametersError(
                "expected a lease over 0 ms, a check interval of at least 0 ms and a clock drift from 0 to 0.5"
            )
        if self.worst_case_stop_ms > self.max_stop_ms:
            raise InvalidLeaseParametersError(
                f"senders may take up to {self.worst_case_stop_ms:.0f} ms to stop, which exceeds the bound of "
                f"{self.max_stop_ms:.0f} ms: expected a smaller lease_ms"
            )

    @property
    def certain_expiry_ms(self) -> float:
        """Return the time after which a lease has expired by every clock.

        It is measured by a clock that may be the fastest, while the holder's clock may be the slowest.
        """
        return self.lease_ms * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)

    @property
    def worst_case_stop_ms(self) -> float:
        """Return the longest time from the acknowledgement by a majority until no sender acts on an older version."""
        return self.certain_expiry_ms + self.lease_check_ms / (1.0 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The versions that must survive the process; stored with fsync before the sender sends or does anything by them.

    Attributes:
        committed: The version in force.
        acknowledged: The same version, or the one that was prepared on top of it.
    """

    committed: Version
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class ReadLeaseRequest:
    """A request to a voter for a lease on the acknowledged version."""

    seq: int
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class ReadLeaseResponse:
    """A voter's response; if the lease is not granted, the requester is behind the voter's `acknowledged` version."""

    seq: int
    granted: bool
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class PreparedChange:
    """A change and the committed version that it is based on; a recipient has already read both documents."""

    version: Version
    base: Version


@dataclass(frozen=True, slots=True)
class Promise:
    """A voter's statement that it has acknowledged a version.

    Attributes:
        version: The version.
        no_stale_leases: Whether no sender to which it granted a lease can be behind that version.
    """

    version: Version
    no_stale_leases: bool


@dataclass(slots=True)
class ConfigReplica:
    """The protocol state of one sender: its own lease and, if it is a voter, the leases that it has granted.

    All times are milliseconds of this sender's own clock.

    Attributes:
        parameters: The parameters of leases.
        state: The versions that are stored on disk.
        voters: The folder ids of the voters.
        started_at: When the process started.
        seq: The sequence number of the last request.  It should start at the Unix time at which the process started,
            so that a response to the previous process is not mistaken for one to this process.
        pending_requests: The time of each recent request, by sequence number.
        lease_request_times: The time of the newest request that each voter has granted.
        issued_leases: If this sender is a voter: when the lease of each sender expires, and its version.
    """

    parameters: ReadLeaseParameters
    state: PersistentState
    voters: frozenset[str]
    started_at: float
    seq: int = 0
    pending_requests: dict[int, float] = field(default_factory=dict)
    lease_request_times: dict[str, float] = field(default_factory=dict)
    issued_leases: dict[str, tuple[float, Version]] = field(default_factory=dict)

    # This sender's own lease

    def lease_expires_at(self) -> float:
        """Return when the lease expires: until then, a majority has granted requests no older than `lease_ms`."""
        request_times = sorted(
            (
                requested_at
                for voter, requested_at in self.lease_request_times.items()
                if voter in self.voters
            ),
            reverse=True,
        )
        needed = majority(self.voters)
        if len(request_times) < needed:
            return NEVER
        return request_times[needed - 1] + self.parameters.lease_ms

    def readable_versions(self, now: float) -> tuple[Version, Version] | None:
        """Return the versions whose intersection to act on; `None` if this sender has no lease."""
        if now >= self.lease_expires_at():
            return None
        return (self.state.committed, self.state.acknowledged)

    def make_request(self, now: float) -> ReadLeaseRequest:
        """Return a request to send to all voters."""
        self.seq += 1
        self.pending_requests[self.seq] = now
        while len(self.pending_requests) > MAX_REMEMBERED_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        return ReadLeaseRequest(self.seq, self.state.acknowledged)

    def handle_response(self, now: float, voter: str, response: ReadLeaseResponse) -> None:
        """Record a response; a late or duplicated one grants only what remains of the lease of its request."""
        requested_at = self.pending_requests.get(response.seq, NEVER)
        if response.granted and requested_at + self.parameters.lease_ms > now:
            self.lease_request_times[voter] = max(requested_at, self.lease_request_times.get(voter, NEVER))

    def acknowledge(self, change: PreparedChange) -> bool:
        """Acknowledge a change, and return whether the state to store has changed.

        An old change, or one on an older base than the committed version, changes nothing.
        """
        if change.version <= self.state.acknowledged or change.base < self.state.committed:
            return False
        self.state = PersistentState(change.base, change.version)
        return True

    def commit(self, version: Version) -> bool:
        """Record that a version is committed, and return whether the state to store has changed."""
        if version <= self.state.committed:
            return False
        self.state = PersistentState(version, max(version, self.state.acknowledged))
        return True

    # As a voter

    def handle_request(self, now: float, sender: str, request: ReadLeaseRequest) -> ReadLeaseResponse:
        """Grant a lease, unless the requester is behind the version acknowledged by this voter."""
        granted = request.acknowledged >= self.state.acknowledged
        if granted:
            self._record_lease(now, sender, request.acknowledged)
        return ReadLeaseResponse(request.seq, granted, self.state.acknowledged)

    def _record_lease(self, now: float, sender: str, version: Version) -> None:
        """Record a lease until it has certainly expired, and discard the leases that have."""
        self.issued_leases = {
            name: (expires_at, leased_version)
            for name, (expires_at, leased_version) in self.issued_leases.items()
            if expires_at > now
        }
        previous_expiry, previous_version = self.issued_leases.get(sender, (NEVER, version))
        self.issued_leases[sender] = (
            max(previous_expiry, now + self.parameters.certain_expiry_ms),
            max(previous_version, version),
        )

    def make_promise(self, now: float) -> Promise:
        """Return this voter's promise for the version that it has acknowledged."""
        version = self.state.acknowledged
        # After a restart, leases granted by the previous process are unknown until they have expired.
        knows_all_leases = now >= self.started_at + self.parameters.certain_expiry_ms
        has_stale_lease = any(
            expires_at > now and leased_version < version
            for expires_at, leased_version in self.issued_leases.values()
        )
        return Promise(version, knows_all_leases and not has_stale_lease)


def majority(voters: frozenset[str]) -> int:
    """Return the smallest number of voters that is more than half of them."""
    return len(voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class CommitRecord:
    """The record in the store; each change of it is one compare-and-set transaction.

    Attributes:
        committed: The version in force.
        prepared: The version that is being committed; equal to `committed` if there is none.
        settled: Whether no sender can be behind `committed`.
    """

    committed: Version
    prepared: Version
    settled: bool = True

    def prepare(self, base: Version, version: Version) -> CommitRecord | None:
        """Return the record with a version prepared, replacing a prepared version that was never committed.

        Returns `None` if the committed version is not `base`, or if a version at least as high was prepared.
        """
        if base != self.committed or version <= self.prepared:
            return None
        return CommitRecord(self.committed, version, self.settled)

    def commit(self, version: Version, settled: bool) -> CommitRecord | None:
        """Return the record with a version committed; `None` if another was prepared or nothing changes."""
        if version != self.prepared:
            return None
        if version == self.committed:
            return CommitRecord(version, version, True) if settled and not self.settled else None
        return CommitRecord(version, version, settled)


@dataclass(slots=True)
class CommitCoordinator:
    """Collects the promises of voters for one version and decides when it is committed.

    A new coordinator may replace it at any time, without any of its state.

    Attributes:
        parameters: The parameters of leases.
        voters: The folder ids of the voters.
        version: The version to be committed.
        promised_at: When the first promise of each voter arrived, in milliseconds of the coordinator's clock.
        voters_without_stale_leases: The voters whose promises had `no_stale_leases` set.
    """

    parameters: ReadLeaseParameters
    voters: frozenset[str]
    version: Version
    promised_at: dict[str, float] = field(default_factory=dict)
    voters_without_stale_leases: set[str] = field(default_factory=set)

    def handle_promise(self, now: float, voter: str, promise: Promise) -> None:
        """Record a promise; promises are never withdrawn, so late and duplicated ones count."""
        if voter not in self.voters or promise.version != self.version:
            return
        self.promised_at.setdefault(voter, now)
        if promise.no_stale_leases:
            self.voters_without_stale_leases.add(voter)

    def is_settled(self, now: float) -> bool:
        """Return whether no sender acts on a version older than `version`."""
        needed = majority(self.voters)
        if len(self.voters_without_stale_leases) >= needed:
            return True
        promise_times = sorted(self.promised_at.values())
        if len(promise_times) < needed:
            return False
        return now >= promise_times[needed - 1] + self.parameters.certain_expiry_ms

    def next_record(self, now: float, record: CommitRecord, compatible: bool) -> CommitRecord | None:
        """Return the record to replace `record` with; `None` while nothing can be committed.

        Args:
            now: The time of the coordinator's clock in milliseconds.
            record: The current record.
            compatible: Whether the change is compatible with the committed version.
        """
        settled = self.is_settled(now)
        if settled or (compatible and record.settled):
            return record.commit(self.version, settled)
        return None
