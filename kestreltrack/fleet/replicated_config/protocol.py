"""How a version of a document takes force, so that no two senders act on versions that contradict.  No I/O.

A few senders are *voters*.  Every sender asks them, each time anew, for a *reading lease*: the right to act on what
it has acknowledged.  It holds one while a majority has granted it, counted from when it asked.

A change is *prepared* (written beside what is in force; `Record` is the store's transaction).  Whoever hears of it
keeps it, and from then on acts on the narrow reading of the two: that is its *acknowledgement*.  A voter that has
acknowledged grants no more leases to anybody who has not.  The change takes *force* when a majority of voters has
acknowledged, and either

- a majority of them says that nobody to whom they granted a lease is behind (its own restart makes a voter say that
  it does not know, for one lease); or
- `Terms.wait_ms` is over since the majority was complete: whoever is behind then has no lease.

Each lease was granted by a majority, and each change takes force by one: one voter at least is in both, and it
granted none to anybody behind after it acknowledged.  No clock is compared with another, and no list says who the
holders are.  Whoever has no lease begins nothing that a document rules (`document.alone`).  A change that merely adds
takes force at once, if nobody can be behind its base.

What is acknowledged or in force is kept on disk before anything is said or done by it (`kept.py`); so nobody acts on
something older than before, also after a restart.  `lab/check/agreed.py` explores all interleavings of these tables.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.fleet.replicated_config.document import Version

MAX_REMEMBERED_REQUESTS = 64  # asks remembered: more are never within one lease
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class ReadLeaseParameters:
    """Milliseconds that all senders have alike."""

    lease_ms: float = 3000.0  # of the asker's clock, from its ask
    lease_check_ms: float = 100.0  # at the longest between two looks at one's lease
    clock_drift: float = 0.01  # how far any clock may be from true time
    max_stop_ms: float = 5000.0  # that operators are told

    def __post_init__(self) -> None:
        """Refuse terms that break the bound."""
        if not 0.0 <= self.clock_drift < 0.5 or self.lease_ms <= 0.0 or self.lease_check_ms < 0.0:
            raise ValueError("a lease lasts, a look is no debt, and drift is a small share")
        if self.worst_case_stop_ms > self.max_stop_ms:
            raise ValueError(
                f"{self.worst_case_stop_ms:.0f} ms until all have stopped are over bound_ms: less lease_ms"
            )

    @property
    def certain_expiry_ms(self) -> float:
        """After so long by any clock, be it the fastest, a lease is over by its holder's, be it the slowest."""
        return self.lease_ms * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)

    @property
    def worst_case_stop_ms(self) -> float:
        """From a majority's acknowledgement until nobody acts on anything older, whatever happens to whom."""
        return self.certain_expiry_ms + self.lease_check_ms / (1.0 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class PersistentState:
    """What must outlast the process: written with fsync before anything is said or done by it."""

    committed: Version
    acknowledged: Version  # the same, or what was prepared on it


@dataclass(frozen=True, slots=True)
class ReadLeaseRequest:
    """To a voter: may I act on what I have acknowledged?"""

    seq: int
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class ReadLeaseResponse:
    """From a voter; without `granted` the asker is behind `acknowledged`."""

    seq: int
    granted: bool
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class PreparedChange:
    """A change on its base, which is in force; who hears of it has read both documents before."""

    version: Version
    base: Version


@dataclass(frozen=True, slots=True)
class Promise:
    """From a voter: it has acknowledged; `clear` where nobody that it granted a lease can be behind."""

    version: Version
    no_stale_leases: bool


@dataclass(slots=True)
class ConfigReplica:
    """One sender: its own reading, and its side as a voter."""

    parameters: ReadLeaseParameters
    state: PersistentState
    voters: frozenset[str]
    started_at: float
    seq: int = 0  # best begun at the process's start in ms: answers to the one before it are not taken then
    pending_requests: dict[int, float] = field(default_factory=dict)
    lease_request_times: dict[str, float] = field(
        default_factory=dict
    )  # when the newest ask was made that each voter granted
    issued_leases: dict[str, tuple[float, Version]] = field(
        default_factory=dict
    )  # as a voter: until when, on what

    # The own reading

    def lease_expires_at(self) -> float:
        """Until when it lasts: a majority granted asks that were made no sooner than its begin."""
        made = sorted(
            (at for voter, at in self.lease_request_times.items() if voter in self.voters), reverse=True
        )
        need = majority(self.voters)
        return made[need - 1] + self.parameters.lease_ms if len(made) >= need else NEVER

    def readable_versions(self, now: float) -> tuple[Version, Version] | None:
        """Act on the narrow reading of these two (one, where they are the same); `None`: on nothing."""
        return (self.state.committed, self.state.acknowledged) if now < self.lease_expires_at() else None

    def make_request(self, now: float) -> ReadLeaseRequest:
        """One ask for all voters."""
        self.seq += 1
        self.pending_requests[self.seq] = now
        while len(self.pending_requests) > MAX_REMEMBERED_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        return ReadLeaseRequest(self.seq, self.state.acknowledged)

    def handle_response(self, now: float, voter: str, response: ReadLeaseResponse) -> None:
        """Take an answer; a late or repeated one is worth what is left of its ask."""
        made = self.pending_requests.get(response.seq, NEVER)
        if response.granted and made + self.parameters.lease_ms > now:
            self.lease_request_times[voter] = max(made, self.lease_request_times.get(voter, NEVER))

    def acknowledge(self, change: PreparedChange) -> bool:
        """Acknowledge; whether there is something to keep.  An old word, or one of another base, changes nothing."""
        if change.version <= self.state.acknowledged or change.base < self.state.committed:
            return False
        self.state = PersistentState(change.base, change.version)
        return True

    def commit(self, version: Version) -> bool:
        """It has taken force; whether there is something to keep."""
        if version <= self.state.committed:
            return False
        self.state = PersistentState(version, max(version, self.state.acknowledged))
        return True

    # As a voter

    def handle_request(self, now: float, sender: str, request: ReadLeaseRequest) -> ReadLeaseResponse:
        """Grant a lease, unless the asker is behind what was acknowledged here."""
        granted = request.acknowledged >= self.state.acknowledged
        if granted:
            self.issued_leases = {name: row for name, row in self.issued_leases.items() if row[0] > now}
            until, on = self.issued_leases.get(sender, (NEVER, request.acknowledged))
            self.issued_leases[sender] = (
                max(until, now + self.parameters.certain_expiry_ms),
                max(on, request.acknowledged),
            )
        return ReadLeaseResponse(request.seq, granted, self.state.acknowledged)

    def make_promise(self, now: float) -> Promise:
        """What this voter says of what it has acknowledged; after a restart it has forgotten its grants."""
        mine = self.state.acknowledged
        knows = now >= self.started_at + self.parameters.certain_expiry_ms
        behind = any(until > now and on < mine for until, on in self.issued_leases.values())
        return Promise(mine, knows and not behind)


def majority(voters: frozenset[str]) -> int:
    """How many are more than half."""
    return len(voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class CommitRecord:
    """What stands in the store; each change of it is one transaction that compares it first."""

    committed: Version
    prepared: Version  # the same while nothing is under way
    settled: bool = True  # whether nobody can be behind `force`

    def prepare(self, base: Version, version: Version) -> CommitRecord | None:
        """Put a change beside what is in force, in the place of one that never took force."""
        if base != self.committed or version <= self.prepared:
            return None
        return CommitRecord(self.committed, version, self.settled)

    def commit(self, version: Version, settled: bool) -> CommitRecord | None:
        """Put it in force, unless another has been prepared meanwhile."""
        if version != self.prepared:
            return None
        if version == self.committed:
            return CommitRecord(version, version, True) if settled and not self.settled else None
        return CommitRecord(version, version, settled)


@dataclass(slots=True)
class CommitCoordinator:
    """Whoever sees to it that a change takes force; another may take its place at any moment, knowing nothing."""

    parameters: ReadLeaseParameters
    voters: frozenset[str]
    version: Version
    promised_at: dict[str, float] = field(default_factory=dict)  # when its first promise came
    voters_without_stale_leases: set[str] = field(default_factory=set)

    def handle_promise(self, now: float, voter: str, promise: Promise) -> None:
        """Take a promise; what a voter has once said holds for good, also when it comes late or twice."""
        if voter not in self.voters or promise.version != self.version:
            return
        self.promised_at.setdefault(voter, now)
        if promise.no_stale_leases:
            self.voters_without_stale_leases.add(voter)

    def is_settled(self, now: float) -> bool:
        """Whether nobody acts on anything older."""
        need = majority(self.voters)
        if len(self.voters_without_stale_leases) >= need:
            return True
        complete = sorted(self.promised_at.values())
        return len(complete) >= need and now >= complete[need - 1] + self.parameters.certain_expiry_ms

    def next_record(self, now: float, record: CommitRecord, compatible: bool) -> CommitRecord | None:
        """What to write in the place of `record`, if anything yet; `adds`: the change contradicts nothing."""
        settled = self.is_settled(now)
        return record.commit(self.version, settled) if settled or (compatible and record.settled) else None
