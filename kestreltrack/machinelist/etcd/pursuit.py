"""How the keys of a prefix are followed: what to ask, of which member, when to leave it, what to tell.

Pure: clock readings, answers and faults go in; the next step and what to tell come out (`source.py` performs).
Times are milliseconds of one clock that only goes forward.

| phase | input | next | told |
| --- | --- | --- | --- |
| RESTING | due, picture whole | OPENING at the best member | |
| RESTING | due, no picture, or it cannot be continued | RANGING | |
| RANGING | a page, more to come | RANGING at the same revision | |
| RANGING | the last page | OPENING | the whole picture |
| RANGING | compacted, another cluster | RESTING, then RANGING from the beginning, same member | |
| OPENING | created | WATCHING | |
| OPENING, WATCHING | compacted, another cluster, a revision that went back | RESTING, then RANGING | |
| WATCHING | events that are complete | WATCHING | them, but for those already told |
| WATCHING | silence, lag, no leader, cancelled | RESTING, then another member | |
| any | the connection broke | RESTING, then another member | |

**Freshness.** An open connection proves nothing, and a progress answer proves only what that member knows.  So the
watch is confirmed again and again: a linearizable read through the same member gives a revision Q that the
cluster has agreed on, and the watch has to reach Q, by events or a progress answer, within `answer_ms`.  The
picture is as old as the last read that was confirmed so.

**Crowds.** Senders that lose a member together come back spread over `spread_ms`, each failure doubles the wait
with jitter, and openings draw on a budget (a token bucket), whatever the reason.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

NEVER = -1e18
FIRST_WAIT_MS = 200.0  # of a member after its first failure; doubles with each
PROGRESS_PARTS = 5  # a watch that is behind is asked so many times before it is left


class Why(Enum):
    """Why a member was left, or the picture given up."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    LAGGING = "lagging"
    NO_LEADER = "no_leader"
    TOKEN = "token"
    DENIED = "denied"
    CANCELLED = "cancelled"
    COMPACTED = "compacted"
    WENT_BACK = "went_back"
    OTHER_CLUSTER = "other_cluster"
    BAD_ANSWER = "bad_answer"


class Phase(Enum):
    """Where the pursuit stands."""

    RESTING = "resting"
    RANGING = "ranging"
    OPENING = "opening"
    WATCHING = "watching"


@dataclass(frozen=True, slots=True)
class Terms:
    """The operator's figures."""

    members: int
    page: int = 1000  # keys a page of the whole list
    confirm_ms: float = 1000.0  # between confirmations
    answer_ms: float = 1000.0  # for any answer, and for the watch to reach a confirmed revision
    spread_ms: float = 200.0  # over which a crowd that lost a member comes back
    most_wait_ms: float = 5000.0  # the longest rest of a member that fails
    burst: float = 6.0  # openings at once
    every_ms: float = 1000.0  # and one more after each such time


# Steps -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Rest:
    """Do nothing for so long."""

    ms: float


@dataclass(frozen=True, slots=True)
class AskPage:
    """Read the keys behind `after` (all where empty) at a revision (0: the newest), linearizably."""

    member: int
    after: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch from a revision on."""

    member: int
    start: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """Read the newest revision linearizably through the member that is watched."""

    member: int


@dataclass(frozen=True, slots=True)
class AskProgress:
    """Ask the watch how far it is."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Close the watch."""


Step = Rest | AskPage | OpenWatch
Task = Confirm | AskProgress | Leave

# What came, and what is passed on -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Change:
    """A key that was written, or deleted (no value)."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Heard:
    """One response of a watch."""

    cluster: int
    revision: int
    created: bool = False
    cancelled: Why | None = None
    fragment: bool = False
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class Told:
    """The whole picture at a revision, or the changes up to it in order, each revision complete."""

    revision: int
    whole: bool
    changes: tuple[Change, ...]


@dataclass(slots=True)
class _Member:
    fails: int = 0
    until: float = NEVER  # rests until then


class Pursuit:
    """One follower of one prefix."""

    def __init__(self, terms: Terms, rng: random.Random) -> None:
        """Nothing is known yet; the first step is a read of all."""
        self.terms, self.random = terms, rng
        self.phase, self.member = Phase.RESTING, rng.randrange(terms.members)
        self.members = [_Member() for _ in range(terms.members)]
        self.cluster, self.applied = 0, 0  # the newest revision that was told completely
        self.confirmed_at = NEVER  # the picture was right then
        self.counts: dict[str, int] = {}
        self._whole = False  # the picture can be continued from `applied`
        self._rest_until, self._tokens, self._at = NEVER, terms.burst, NEVER
        self._pages, self._pinned, self._read_at = list[Change](), 0, NEVER
        self._parts = list[Change]()  # of a response whose fragments are still coming
        self._asked_at = NEVER  # begin of the confirmation that is out, or of the opening
        self._next_confirm, self._asked_for = NEVER, 0  # next one; what was applied when it began
        self._need: tuple[int, float, float] | None = None  # revision to reach, its read's begin, known since
        self._progress_at = NEVER  # the watch is asked how far it is, again and again while `_need` is open

    # What next -----------------------------------------------------------------------------------

    def step(self, now: float) -> Step:
        """What to do now; called whenever the last step is over."""
        if self.phase is Phase.RESTING:
            if now < self._rest_until:
                return Rest(self._rest_until - now)
            if (short := self._spend(now)) > 0:
                return Rest(short)
            self.phase = Phase.OPENING if self._whole else Phase.RANGING
            self._pages, self._pinned = [], 0
        if self.phase is Phase.RANGING:
            self._read_at = self._read_at if self._pinned else now
            after = self._pages[-1].key if self._pages else b""
            return AskPage(self.member, after, self._pinned)
        self.phase, self._asked_at, self._need = Phase.OPENING, now, None
        self._parts = []
        return OpenWatch(self.member, self.applied + 1)

    def _spend(self, now: float) -> float:
        """Take one opening from the budget; returns how long to wait where there is none."""
        gained = (now - self._at) / self.terms.every_ms if self._at > NEVER else 0.0
        self._tokens, self._at = min(self.terms.burst, self._tokens + gained), now
        if self._tokens < 1.0 - 1e-9:
            return max(1.0, (1.0 - self._tokens) * self.terms.every_ms)
        self._tokens -= 1.0
        return 0.0

    # The whole list ------------------------------------------------------------------------------

    def page(
        self, now: float, cluster: int, revision: int, keys: tuple[Change, ...], more: bool
    ) -> Told | None:
        """A page came; `revision` is its header's.  Returns the whole picture after the last."""
        if not self._pinned:
            self._pinned = revision
            if self.cluster and cluster != self.cluster:
                self._count(Why.OTHER_CLUSTER)
            elif revision < self.applied:
                self._count(Why.WENT_BACK)
            self.cluster = cluster
        elif cluster != self.cluster:
            self._again(Why.OTHER_CLUSTER)
            return None
        self._pages.extend(keys)
        if more and keys:
            return None
        told = Told(self._pinned, True, tuple(self._pages))
        self.applied, self._whole, self._pages = self._pinned, True, []
        self.confirmed_at, self.phase = max(self.confirmed_at, self._read_at), Phase.OPENING
        return told

    def _again(self, why: Why) -> None:
        """Read all once more at the same member, as soon as the budget lets: it is not at fault."""
        self._count(why)
        self._whole, self._parts, self._need, self._asked_at = False, [], None, NEVER
        self.phase, self._rest_until = Phase.RESTING, NEVER

    # The watch -----------------------------------------------------------------------------------

    def heard(self, now: float, what: Heard) -> Told | None:
        """A response of the watch came; returns what it tells."""
        if what.cancelled is Why.COMPACTED:
            self._again(Why.COMPACTED)
            return None
        if what.cancelled is not None:
            self.broke(now, what.cancelled)
            return None
        if self.cluster and what.cluster != self.cluster:
            self._again(Why.OTHER_CLUSTER)
            return None
        if what.created:
            # One that lags is not told by its revision: the store may have gone back.  The confirmation tells.
            self.phase, self._next_confirm, self._asked_at = Phase.WATCHING, now, NEVER
            return None
        if what.changes or self._parts:
            self._parts.extend(what.changes)
            if what.fragment:
                return None  # a revision may end in the next one
            parts, self._parts = self._parts, []
            return self._passed_on(now, parts)
        self._reached(now, what.revision)
        return None

    def _passed_on(self, now: float, parts: list[Change]) -> Told | None:
        fresh = tuple(change for change in parts if change.revision > self.applied)
        if len(fresh) < len(parts):
            self._tally("repeated", len(parts) - len(fresh))
        if not fresh:
            return None
        self._reached(now, max(change.revision for change in fresh))
        return Told(self.applied, False, fresh)

    def _reached(self, now: float, revision: int) -> None:
        self.applied = max(self.applied, revision)
        if self._need and self.applied >= self._need[0]:
            self._confirmed(self._need[1])

    def _confirmed(self, read_began: float) -> None:
        self.confirmed_at, self._need = max(self.confirmed_at, read_began), None
        self.members[self.member].fails = 0

    def tasks(self, now: float) -> list[Task]:
        """What to do beside listening; called when something came, or `patience` is over."""
        if self._asked_at > NEVER and now - self._asked_at >= self.terms.answer_ms:
            self.broke(now, Why.SILENT)
        elif self._need and now - self._need[2] >= self.terms.answer_ms:
            self.broke(now, Why.LAGGING)
        if self.phase is Phase.OPENING:
            return []
        if self.phase is not Phase.WATCHING:
            return [Leave()]
        if self._need:
            if now < self._progress_at:
                return []
            self._progress_at = now + self.terms.answer_ms / PROGRESS_PARTS
            return [AskProgress()]
        if self._asked_at > NEVER or now < self._next_confirm:
            return []
        self._asked_at, self._asked_for = now, self.applied
        return [Confirm(self.member)]

    def patience(self, now: float) -> float:
        """How long to listen before `tasks` is asked again, in milliseconds."""
        if self._asked_at > NEVER:
            due = self._asked_at + self.terms.answer_ms
        elif self._need:
            due = min(self._need[2] + self.terms.answer_ms, self._progress_at)
        else:
            due = self._next_confirm
        return max(0.0, due - now)

    def agreed(self, now: float, cluster: int, revision: int) -> None:
        """The confirming read came back: what the cluster had agreed on when it began, or later."""
        began, self._asked_at = self._asked_at, NEVER
        self._next_confirm = began + self.terms.confirm_ms
        if self.phase is not Phase.WATCHING:
            return
        if cluster != self.cluster:
            self._again(Why.OTHER_CLUSTER)
        elif revision < self._asked_for:
            self._again(Why.WENT_BACK)
        elif revision <= self.applied:
            self._confirmed(began)
        else:
            self._need, self._progress_at = (revision, began, now), NEVER

    # Faults --------------------------------------------------------------------------------------

    def broke(self, now: float, why: Why) -> None:
        """The step that was under way failed: go to another member, or wait."""
        self._parts, self._need, self._asked_at = [], None, NEVER
        if why is Why.COMPACTED:
            return self._again(why)
        self._count(why)
        at = self.members[self.member]
        at.fails += 1
        most = min(self.terms.most_wait_ms, FIRST_WAIT_MS * 2.0 ** min(at.fails - 1, 12))
        at.until = now + most * (0.5 + 0.5 * self.random.random())
        self._choose(now)
        return None

    def moved(self, members: int, now: float, same: bool) -> None:
        """The operator named other members, or gave new keys for the `same`: go there now, without a rest."""
        if not same:
            self._whole, self.cluster, self.applied = False, 0, 0
        self.members, self.member = [_Member() for _ in range(members)], self.random.randrange(members)
        self._parts, self._need, self._asked_at, self._tokens = [], None, NEVER, self.terms.burst
        self.phase, self._rest_until = Phase.RESTING, now

    def _choose(self, now: float) -> None:
        """The member that is free first; among those free now, one by lot."""
        free = [n for n, m in enumerate(self.members) if m.until <= now]
        self.phase, self._pages, self._pinned = Phase.RESTING, [], 0
        if free:
            self.member = self.random.choice(free)
            self._rest_until = now + self.random.random() * self.terms.spread_ms
        else:
            self.member = min(range(len(self.members)), key=lambda n: self.members[n].until)
            self._rest_until = self.members[self.member].until

    def age_ms(self, now: float) -> float:
        """How old the picture may be; endless before the first."""
        return now - self.confirmed_at

    def _count(self, why: Why) -> None:
        self._tally(why.value)

    def _tally(self, name: str, by: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + by
