"""How a version of a document is committed, so that no two senders act on versions that contradict.  No I/O.

A few senders are *voters*.  Every sender asks them, again and again, for a *read lease*: the right to act on what it
has acknowledged.  It holds one while a majority of voters has granted it, counted from when it sent the requests.

A change is *prepared* first: `CommitRecord` holds it beside the committed version, and each change of the record is
one transaction.  A sender that receives the prepared change stores it, and from then on acts on the intersection of
both versions; that is its *acknowledgement*.  A voter that has acknowledged grants no more leases to a sender that
has not.  The change is *committed* when a majority of voters has acknowledged it, and one of these holds:

- A majority of voters states that no sender to which they granted a lease is behind.  A voter that has restarted has
  forgotten its grants, and cannot state that until the last of them has certainly expired.
- `ReadLeaseParameters.certain_expiry_ms` has passed since the majority was complete: a sender that is behind has no
  lease by then.

Each lease was granted by a majority, and each change is committed by one, so at least one voter is in both, and it
granted no lease to a sender that is behind after it acknowledged.  No clock is compared with another, and no list
says which senders hold leases.  A sender without a lease starts nothing that a document rules on
(`compatibility.without_lease`).  A change that is compatible with its base is committed at once, provided that no
sender can be behind that base.

A sender stores what it has acknowledged and what is committed on disk before it says or does anything by it
(`storage.py`), so it never acts on an older version than before, also after a restart.
`testing/model_checking/replicated_config` explores all interleavings of these transitions.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.fleet.replicated_config.errors import InvalidLeaseParametersError
from kestreltrack.fleet.replicated_config.version import Version

# A lease lasts for a few requests (one each quarter of it, and one for each change): never more than this many.
MAX_REMEMBERED_REQUESTS = 64
# A time before all others.
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class ReadLeaseParameters:
    """Parameters that all senders have alike.

    Attributes:
        lease_ms: How long a lease lasts by the clock of its holder, from its request.
        lease_check_ms: The longest time between two checks of a sender's own lease.
        clock_drift: The largest relative deviation of any clock from true time.
        max_stop_ms: The bound on `worst_case_stop_ms` that operators are given.

    Raises:
        InvalidLeaseParametersError: The parameters contradict each other or break the bound.
    """

    lease_ms: float = 3000.0
    lease_check_ms: float = 100.0
    clock_drift: float = 0.01
    max_stop_ms: float = 5000.0

    def __post_init__(self) -> None:
        """Check the parameters."""
        if not 0.0 <= self.clock_drift < 0.5 or self.lease_ms <= 0.0 or self.lease_check_ms < 0.0:
            raise InvalidLeaseParametersError(
                "expected a lease over 0 ms, a check interval of at least 0 ms and a clock drift from 0 to 0.5"
            )
        if self.worst_case_stop_ms > self.max_stop_ms:
            raise InvalidLeaseParametersError(
                f"up to {self.worst_case_stop_ms:.0f} ms pass until all have stopped, over the bound of "
                f"{self.max_stop_ms:.0f} ms: expected a smaller lease_ms"
            )

    @property
    def certain_expiry_ms(self) -> float:
        """Return the time after which a lease is over by any clock.

        It is counted by the fastest clock, while the holder's may be the slowest.
        """
        return self.lease_ms * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)

    @property
    def worst_case_stop_ms(self) -> float:
        """Return the longest time from a majority's acknowledgement until no sender acts on an older version."""
        return self.certain_expiry_ms + self.lease_check_ms / (1.0 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The versions that must outlast the process; stored with fsync before anything is said or done by them.

    Attributes:
        committed: The version in force.
        acknowledged: The same version, or the change that was prepared on it.
    """

    committed: Version
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class ReadLeaseRequest:
    """Asks a voter for a lease on the acknowledged version."""

    seq: int
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class ReadLeaseResponse:
    """A voter's answer; where it is not granted, the requester is behind the voter's `acknowledged` version."""

    seq: int
    granted: bool
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class PreparedChange:
    """A change and the committed version that it is based on; whoever receives it has read both documents before."""

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
    """The protocol state of one sender: its own lease, and the leases it has granted where it is a voter.

    All times are milliseconds of this sender's own clock.

    Attributes:
        parameters: The parameters of leases.
        state: The versions that are stored on disk.
        voters: The folder ids of the voters.
        started_at: When the process started.
        seq: The number of the last request.  It best begins at the process's start in Unix time: responses to the
            process before are then not taken for responses to this one.
        pending_requests: When each of the last requests was made, by number.
        lease_request_times: When the newest request was made that each voter granted.
        issued_leases: As a voter: until when each sender has a lease, and on which version.
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
        """Return when the lease expires: a majority has granted requests no older than `lease_ms` until then."""
        request_times = sorted(
            (at for voter, at in self.lease_request_times.items() if voter in self.voters), reverse=True
        )
        needed = majority(self.voters)
        if len(request_times) < needed:
            return NEVER
        return request_times[needed - 1] + self.parameters.lease_ms

    def readable_versions(self, now: float) -> tuple[Version, Version] | None:
        """Return the versions whose intersection to act on; `None`: this sender has no lease."""
        if now >= self.lease_expires_at():
            return None
        return (self.state.committed, self.state.acknowledged)

    def make_request(self, now: float) -> ReadLeaseRequest:
        """Return one request for all voters."""
        self.seq += 1
        self.pending_requests[self.seq] = now
        while len(self.pending_requests) > MAX_REMEMBERED_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        return ReadLeaseRequest(self.seq, self.state.acknowledged)

    def handle_response(self, now: float, voter: str, response: ReadLeaseResponse) -> None:
        """Count a response; one that is late or repeated grants only what remains of its request's lease."""
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
        """Take note that a version is committed, and return whether the state to store has changed."""
        if version <= self.state.committed:
            return False
        self.state = PersistentState(version, max(version, self.state.acknowledged))
        return True

    # As a voter

    def handle_request(self, now: float, sender: str, request: ReadLeaseRequest) -> ReadLeaseResponse:
        """Grant a lease, unless the requester is behind what was acknowledged here."""
        granted = request.acknowledged >= self.state.acknowledged
        if granted:
            self._record_lease(now, sender, request.acknowledged)
        return ReadLeaseResponse(request.seq, granted, self.state.acknowledged)

    def _record_lease(self, now: float, sender: str, version: Version) -> None:
        """Remember a lease until it has certainly expired, and forget those that have."""
        self.issued_leases = {
            name: (expires_at, on)
            for name, (expires_at, on) in self.issued_leases.items()
            if expires_at > now
        }
        previous_expiry, previous_version = self.issued_leases.get(sender, (NEVER, version))
        self.issued_leases[sender] = (
            max(previous_expiry, now + self.parameters.certain_expiry_ms),
            max(previous_version, version),
        )

    def make_promise(self, now: float) -> Promise:
        """Return what this voter states of the version that it has acknowledged."""
        version = self.state.acknowledged
        # A process that started less than a lease ago has forgotten what the one before it granted.
        knows_all_leases = now >= self.started_at + self.parameters.certain_expiry_ms
        has_stale_lease = any(
            expires_at > now and on < version for expires_at, on in self.issued_leases.values()
        )
        return Promise(version, knows_all_leases and not has_stale_lease)


def majority(voters: frozenset[str]) -> int:
    """Return the smallest number that is more than half of the voters."""
    return len(voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class CommitRecord:
    """The record in the store; each change of it is one transaction that compares it first.

    Attributes:
        committed: The version in force.
        prepared: The change under way; equal to `committed` where there is none.
        settled: Whether no sender can be behind `committed`.
    """

    committed: Version
    prepared: Version
    settled: bool = True

    def prepare(self, base: Version, version: Version) -> CommitRecord | None:
        """Return the record with a change prepared, in the place of one that was never committed.

        Returns `None` where another version is committed, or one as high was prepared.
        """
        if base != self.committed or version <= self.prepared:
            return None
        return CommitRecord(self.committed, version, self.settled)

    def commit(self, version: Version, settled: bool) -> CommitRecord | None:
        """Return the record with a change committed; `None` where another was prepared, or nothing changes."""
        if version != self.prepared:
            return None
        if version == self.committed:
            return CommitRecord(version, version, True) if settled and not self.settled else None
        return CommitRecord(version, version, settled)


@dataclass(slots=True)
class CommitCoordinator:
    """Collects the promises of voters for one version, and decides when it is committed.

    Another one may take its place at any moment, and needs to know nothing of the one before.

    Attributes:
        parameters: The parameters of leases.
        voters: The folder ids of the voters.
        version: The version to be committed.
        promised_at: When the first promise of each voter came, in milliseconds of the coordinator's clock.
        voters_without_stale_leases: The voters that have stated that no sender they granted a lease is behind.
    """

    parameters: ReadLeaseParameters
    voters: frozenset[str]
    version: Version
    promised_at: dict[str, float] = field(default_factory=dict)
    voters_without_stale_leases: set[str] = field(default_factory=set)

    def handle_promise(self, now: float, voter: str, promise: Promise) -> None:
        """Count a promise; it holds for good, also when it comes late or twice."""
        if voter not in self.voters or promise.version != self.version:
            return
        self.promised_at.setdefault(voter, now)
        if promise.no_stale_leases:
            self.voters_without_stale_leases.add(voter)

    def is_settled(self, now: float) -> bool:
        """Return whether no sender acts on anything older than `version`."""
        needed = majority(self.voters)
        if len(self.voters_without_stale_leases) >= needed:
            return True
        promise_times = sorted(self.promised_at.values())
        if len(promise_times) < needed:
            return False
        return now >= promise_times[needed - 1] + self.parameters.certain_expiry_ms

    def next_record(self, now: float, record: CommitRecord, compatible: bool) -> CommitRecord | None:
        """Return the record to write in the place of `record`, if there is one yet.

        `compatible`: the change contradicts nothing in the committed version.
        """
        settled = self.is_settled(now)
        if settled or (compatible and record.settled):
            return record.commit(self.version, settled)
        return None
