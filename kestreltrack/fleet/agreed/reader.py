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

from kestreltrack.fleet.agreed.document import Version

RECENT = 64  # asks remembered: more are never within one lease
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Terms:
    """Milliseconds that all senders have alike."""

    lease_ms: float = 3000.0  # of the asker's clock, from its ask
    look_ms: float = 100.0  # at the longest between two looks at one's lease
    drift: float = 0.01  # how far any clock may be from true time
    bound_ms: float = 5000.0  # that operators are told

    def __post_init__(self) -> None:
        """Refuse terms that break the bound."""
        if not 0.0 <= self.drift < 0.5 or self.lease_ms <= 0.0 or self.look_ms < 0.0:
            raise ValueError("a lease lasts, a look is no debt, and drift is a small share")
        if self.worst_ms > self.bound_ms:
            raise ValueError(
                f"{self.worst_ms:.0f} ms until all have stopped are over bound_ms: less lease_ms"
            )

    @property
    def wait_ms(self) -> float:
        """After so long by any clock, be it the fastest, a lease is over by its holder's, be it the slowest."""
        return self.lease_ms * (1.0 + self.drift) / (1.0 - self.drift)

    @property
    def worst_ms(self) -> float:
        """From a majority's acknowledgement until nobody acts on anything older, whatever happens to whom."""
        return self.wait_ms + self.look_ms / (1.0 - self.drift)


@dataclass(frozen=True, slots=True)
class Kept:
    """What must outlast the process: written with fsync before anything is said or done by it."""

    force: Version
    acknowledged: Version  # the same, or what was prepared on it


@dataclass(frozen=True, slots=True)
class Ask:
    """To a voter: may I act on what I have acknowledged?"""

    seq: int
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class Answer:
    """From a voter; without `granted` the asker is behind `acknowledged`."""

    seq: int
    granted: bool
    acknowledged: Version


@dataclass(frozen=True, slots=True)
class Prepared:
    """A change on its base, which is in force; who hears of it has read both documents before."""

    version: Version
    base: Version


@dataclass(frozen=True, slots=True)
class Promise:
    """From a voter: it has acknowledged; `clear` where nobody that it granted a lease can be behind."""

    version: Version
    clear: bool


@dataclass(slots=True)
class Reader:
    """One sender: its own reading, and its side as a voter."""

    terms: Terms
    kept: Kept
    voters: frozenset[str]
    began: float
    seq: int = 0  # best begun at the process's start in ms: answers to the one before it are not taken then
    asked: dict[int, float] = field(default_factory=dict)
    granted: dict[str, float] = field(
        default_factory=dict
    )  # when the newest ask was made that each voter granted
    grants: dict[str, tuple[float, Version]] = field(default_factory=dict)  # as a voter: until when, on what

    # The own reading

    def lease(self) -> float:
        """Until when it lasts: a majority granted asks that were made no sooner than its begin."""
        made = sorted((at for voter, at in self.granted.items() if voter in self.voters), reverse=True)
        need = majority(self.voters)
        return made[need - 1] + self.terms.lease_ms if len(made) >= need else NEVER

    def reading(self, now: float) -> tuple[Version, Version] | None:
        """Act on the narrow reading of these two (one, where they are the same); `None`: on nothing."""
        return (self.kept.force, self.kept.acknowledged) if now < self.lease() else None

    def ask(self, now: float) -> Ask:
        """One ask for all voters."""
        self.seq += 1
        self.asked[self.seq] = now
        while len(self.asked) > RECENT:
            del self.asked[next(iter(self.asked))]
        return Ask(self.seq, self.kept.acknowledged)

    def answered(self, now: float, voter: str, answer: Answer) -> None:
        """Take an answer; a late or repeated one is worth what is left of its ask."""
        made = self.asked.get(answer.seq, NEVER)
        if answer.granted and made + self.terms.lease_ms > now:
            self.granted[voter] = max(made, self.granted.get(voter, NEVER))

    def prepared(self, word: Prepared) -> bool:
        """Acknowledge; whether there is something to keep.  An old word, or one of another base, changes nothing."""
        if word.version <= self.kept.acknowledged or word.base < self.kept.force:
            return False
        self.kept = Kept(word.base, word.version)
        return True

    def in_force(self, version: Version) -> bool:
        """It has taken force; whether there is something to keep."""
        if version <= self.kept.force:
            return False
        self.kept = Kept(version, max(version, self.kept.acknowledged))
        return True

    # As a voter

    def asked_by(self, now: float, sender: str, ask: Ask) -> Answer:
        """Grant a lease, unless the asker is behind what was acknowledged here."""
        granted = ask.acknowledged >= self.kept.acknowledged
        if granted:
            self.grants = {name: row for name, row in self.grants.items() if row[0] > now}
            until, on = self.grants.get(sender, (NEVER, ask.acknowledged))
            self.grants[sender] = (max(until, now + self.terms.wait_ms), max(on, ask.acknowledged))
        return Answer(ask.seq, granted, self.kept.acknowledged)

    def promise(self, now: float) -> Promise:
        """What this voter says of what it has acknowledged; after a restart it has forgotten its grants."""
        mine = self.kept.acknowledged
        knows = now >= self.began + self.terms.wait_ms
        behind = any(until > now and on < mine for until, on in self.grants.values())
        return Promise(mine, knows and not behind)


def majority(voters: frozenset[str]) -> int:
    """How many are more than half."""
    return len(voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class Record:
    """What stands in the store; each change of it is one transaction that compares it first."""

    force: Version
    prepared: Version  # the same while nothing is under way
    settled: bool = True  # whether nobody can be behind `force`

    def prepare(self, base: Version, version: Version) -> Record | None:
        """Put a change beside what is in force, in the place of one that never took force."""
        if base != self.force or version <= self.prepared:
            return None
        return Record(self.force, version, self.settled)

    def take_force(self, version: Version, settled: bool) -> Record | None:
        """Put it in force, unless another has been prepared meanwhile."""
        if version != self.prepared:
            return None
        if version == self.force:
            return Record(version, version, True) if settled and not self.settled else None
        return Record(version, version, settled)


@dataclass(slots=True)
class Publisher:
    """Whoever sees to it that a change takes force; another may take its place at any moment, knowing nothing."""

    terms: Terms
    voters: frozenset[str]
    version: Version
    promised: dict[str, float] = field(default_factory=dict)  # when its first promise came
    clear: set[str] = field(default_factory=set)

    def told(self, now: float, voter: str, promise: Promise) -> None:
        """Take a promise; what a voter has once said holds for good, also when it comes late or twice."""
        if voter not in self.voters or promise.version != self.version:
            return
        self.promised.setdefault(voter, now)
        if promise.clear:
            self.clear.add(voter)

    def settled(self, now: float) -> bool:
        """Whether nobody acts on anything older."""
        need = majority(self.voters)
        if len(self.clear) >= need:
            return True
        complete = sorted(self.promised.values())
        return len(complete) >= need and now >= complete[need - 1] + self.terms.wait_ms

    def next(self, now: float, record: Record, adds: bool) -> Record | None:
        """What to write in the place of `record`, if anything yet; `adds`: the change contradicts nothing."""
        settled = self.settled(now)
        return record.take_force(self.version, settled) if settled or (adds and record.settled) else None
