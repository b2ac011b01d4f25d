"""What a member believes of the others: standings, incarnations and suspicions.  No I/O, no clock of its own.

SWIM's order of facts (Das, Gupta, Motivala 2002): of two facts about one member that with the larger incarnation
holds; within one incarnation suspect goes before alive, gone and left before both.  A suspicion ends by a larger
incarnation, or by time: the more members are witnesses of it, the sooner (Lifeguard; Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from kestreltrack.fleet.membership.wire import Alive, Fact, Gone, Left, Suspect

WITNESSES = 3  # beyond the first, that bring a suspicion to its shortest: Lifeguard's K
SUSPECT_ROUNDS = (
    4.0  # shortest suspicion, in probe intervals and for each power of ten of members: Lifeguard's alpha
)
SUSPECT_LONGEST = 6.0  # the longest, in shortest ones: Lifeguard's beta
MOST_MEMBERS = 4096  # more are not taken in: memory is bounded, whatever is sent here


class Standing(Enum):
    """What a member is held to be."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # it did not answer; it goes on being served until the suspicion runs out
    GONE = "gone"
    LEFT = "left"  # it said so itself


@dataclass(slots=True)
class Suspicion:
    """Since when, from whom, and how long at the shortest and the longest."""

    began: float
    shortest: float
    longest: float
    wanted: int  # witnesses beyond the first that make it shortest
    by: set[str] = field(default_factory=set)

    def ends(self) -> float:
        """When it runs out, with the witnesses there are."""
        if self.wanted < 1:
            return self.began + self.shortest
        seen = min(len(self.by) - 1, self.wanted)
        share = math.log(seen + 1) / math.log(self.wanted + 1)
        return self.began + max(self.shortest, self.longest - (self.longest - self.shortest) * share)


@dataclass(slots=True)
class Seen:
    """One member as it is seen from here."""

    info: Alive
    standing: Standing
    since: float
    suspicion: Suspicion | None = None  # also in `Table.suspects`

    @property
    def here(self) -> bool:
        """Whether it counts as a member: alive or suspect."""
        return self.standing in (Standing.ALIVE, Standing.SUSPECT)

    def fact(self) -> Fact:
        """What there is to tell of it."""
        info = self.info
        if self.standing is Standing.SUSPECT and self.suspicion:
            return Suspect(info.name, info.incarnation, min(self.suspicion.by))
        if self.standing is Standing.GONE:
            return Gone(info.name, info.incarnation, info.name)
        return Left(info.name, info.incarnation) if self.standing is Standing.LEFT else info


@dataclass(frozen=True, slots=True)
class Change:
    """A member's standing changed, and why: one line of the log."""

    name: str
    standing: Standing
    cause: str
    incarnation: int


class Table:
    """All members but oneself."""

    def __init__(self, me: str, round_ms: float) -> None:
        """`round_ms` is the probe interval, which suspicions are measured in."""
        self.me, self.round_ms = me, round_ms
        self.seen: dict[str, Seen] = {}
        self.present: dict[str, Seen] = {}  # those of them that count as members
        self.suspects: dict[str, Suspicion] = {}
        self.changes: list[Change] = []
        self.refused = 0  # facts about new members beyond the bound
        self.taken_twice = 0  # facts that give a living member's name another address

    def count(self) -> int:
        """Members, oneself among them."""
        return 1 + len(self.present)

    def take(self, now: float, fact: Fact) -> bool:
        """Take in a fact about another member; whether it was news (and is to be told on)."""
        if isinstance(fact, Alive):
            return self._alive(now, fact)
        seen = self.seen.get(fact.name)
        if seen is None or fact.incarnation < seen.info.incarnation:
            return False
        if isinstance(fact, Suspect):
            return self._suspect(now, seen, fact)
        standing = Standing.LEFT if isinstance(fact, Left) else Standing.GONE
        ended = seen.standing in (Standing.GONE, Standing.LEFT) and fact.incarnation == seen.info.incarnation
        if ended and (seen.standing is standing or standing is Standing.GONE):
            return False
        cause = "left on purpose" if isinstance(fact, Left) else f"told by {fact.by}"
        self._at_least(seen, fact.incarnation)
        self._set(now, seen, standing, cause)
        return True

    def _alive(self, now: float, info: Alive) -> bool:
        seen = self.seen.get(info.name)
        if seen is None:
            if len(self.seen) >= MOST_MEMBERS:
                self.refused += 1
                return False
            self.seen[info.name] = self.present[info.name] = Seen(info, Standing.ALIVE, now)
            self.changes.append(Change(info.name, Standing.ALIVE, "joined", info.incarnation))
            return True
        if info.incarnation <= seen.info.incarnation:
            return False
        if seen.standing is Standing.ALIVE and info.address != seen.info.address:
            self.taken_twice += (
                1  # the first keeps its name until it is suspected: a flap would serve neither
            )
            return False
        back = "came back" if not seen.here else "refuted" if seen.standing is Standing.SUSPECT else ""
        seen.info = info
        if back:
            self._set(now, seen, Standing.ALIVE, back)
        return True

    def _suspect(self, now: float, seen: Seen, fact: Suspect) -> bool:
        # Else somebody saw it alive in a later incarnation than the one that ended: it is there, and suspected.
        if not seen.here and fact.incarnation == seen.info.incarnation:
            return False
        if seen.standing is Standing.SUSPECT and seen.suspicion and fact.incarnation == seen.info.incarnation:
            if fact.by in seen.suspicion.by or len(seen.suspicion.by) > seen.suspicion.wanted:
                return False
            seen.suspicion.by.add(fact.by)
            return True
        self._at_least(seen, fact.incarnation)
        self._set(now, seen, Standing.SUSPECT, f"no answer to {fact.by}")
        shortest = SUSPECT_ROUNDS * max(1.0, math.log10(max(1, self.count()))) * self.round_ms
        wanted = min(WITNESSES, self.count() - 3)  # it, oneself and the first witness are none
        seen.suspicion = Suspicion(now, shortest, SUSPECT_LONGEST * shortest, wanted, {fact.by})
        self.suspects[fact.name] = seen.suspicion
        return True

    @staticmethod
    def _at_least(seen: Seen, incarnation: int) -> None:
        if incarnation > seen.info.incarnation:
            info = seen.info
            seen.info = Alive(
                info.name, info.address, incarnation, info.zone, info.region, info.version, info.start
            )

    def _set(self, now: float, seen: Seen, standing: Standing, cause: str) -> None:
        seen.standing, seen.since, seen.suspicion = standing, now, None
        self.suspects.pop(seen.info.name, None)
        if seen.here:
            self.present[seen.info.name] = seen
        else:
            self.present.pop(seen.info.name, None)
        self.changes.append(Change(seen.info.name, standing, cause, seen.info.incarnation))

    def run_out(self, now: float) -> list[Gone]:
        """Suspicions that have: each becomes a fact, taken in already and to be told on."""
        found = list[Gone]()
        for name, suspicion in list(self.suspects.items()):
            if now >= suspicion.ends():
                seen, witnesses = self.seen[name], ", ".join(sorted(suspicion.by))
                found.append(Gone(name, seen.info.incarnation, self.me))
                self._set(now, seen, Standing.GONE, f"no answer to {witnesses}")
        return found

    def next_end(self) -> float:
        """When the next suspicion runs out."""
        return min((suspicion.ends() for suspicion in self.suspects.values()), default=math.inf)

    def paused(self, gap: float) -> None:
        """This process stood still: what it could not hear meanwhile is no evidence."""
        for suspicion in self.suspects.values():
            suspicion.began += gap

    def forget(self, before: float) -> None:
        """Let go of those that ended before then."""
        for name in [n for n, seen in self.seen.items() if not seen.here and seen.since < before]:
            del self.seen[name]
