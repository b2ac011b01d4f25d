"""What a member believes of the others: standings, incarnations and suspicions.  No I/O, no clock of its own.

SWIM's order of facts (Das, Gupta, Motivala 2002): of two facts about one member that with the larger incarnation
holds; within one incarnation suspect goes before alive, gone and left before both.  A suspicion ends by a larger
incarnation, or by time: the more members are witnesses of it, the sooner (Lifeguard; Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from kestreltrack.fleet.membership.wire import Alive, Dead, Left, MemberUpdate, Suspect

SUSPICION_CONFIRMATIONS = 3  # beyond the first, that bring a suspicion to its shortest: Lifeguard's K
SUSPICION_MULTIPLIER = (
    4.0  # shortest suspicion, in probe intervals and for each power of ten of members: Lifeguard's alpha
)
SUSPICION_MAX_TIMEOUT_MULTIPLIER = 6.0  # the longest, in shortest ones: Lifeguard's beta
MAX_MEMBERS = 4096  # more are not taken in: memory is bounded, whatever is sent here


class MemberState(Enum):
    """What a member is held to be."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # it did not answer; it goes on being served until the suspicion runs out
    DEAD = "gone"
    LEFT = "left"  # it said so itself


@dataclass(slots=True)
class Suspicion:
    """Since when, from whom, and how long at the shortest and the longest."""

    started_at: float
    min_timeout_ms: float
    max_timeout_ms: float
    needed_confirmations: int  # witnesses beyond the first that make it shortest
    reporters: set[str] = field(default_factory=set)

    def expires_at(self) -> float:
        """When it runs out, with the witnesses there are."""
        if self.needed_confirmations < 1:
            return self.started_at + self.min_timeout_ms
        seen = min(len(self.reporters) - 1, self.needed_confirmations)
        share = math.log(seen + 1) / math.log(self.needed_confirmations + 1)
        return self.started_at + max(
            self.min_timeout_ms, self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * share
        )


@dataclass(slots=True)
class MemberRecord:
    """One member as it is seen from here."""

    info: Alive
    state: MemberState
    state_since: float
    suspicion: Suspicion | None = None  # also in `Table.suspects`

    @property
    def is_active(self) -> bool:
        """Whether it counts as a member: alive or suspect."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def to_update(self) -> MemberUpdate:
        """What there is to tell of it."""
        info = self.info
        if self.state is MemberState.SUSPECT and self.suspicion:
            return Suspect(info.name, info.incarnation, min(self.suspicion.reporters))
        if self.state is MemberState.DEAD:
            return Dead(info.name, info.incarnation, info.name)
        return Left(info.name, info.incarnation) if self.state is MemberState.LEFT else info


@dataclass(frozen=True, slots=True)
class MemberStateChange:
    """A member's standing changed, and why: one line of the log."""

    name: str
    state: MemberState
    cause: str
    incarnation: int


class MemberTable:
    """All members but oneself."""

    def __init__(self, local_name: str, probe_interval_ms: float) -> None:
        """`round_ms` is the probe interval, which suspicions are measured in."""
        self.local_name, self.probe_interval_ms = local_name, probe_interval_ms
        self.members: dict[str, MemberRecord] = {}
        self.active_members: dict[str, MemberRecord] = {}  # those of them that count as members
        self.suspicions: dict[str, Suspicion] = {}
        self.changes: list[MemberStateChange] = []
        self.rejected_updates = 0  # facts about new members beyond the bound
        self.address_conflicts = 0  # facts that give a living member's name another address

    def member_count(self) -> int:
        """Members, oneself among them."""
        return 1 + len(self.active_members)

    def apply_update(self, now: float, update: MemberUpdate) -> bool:
        """Take in a fact about another member; whether it was news (and is to be told on)."""
        if isinstance(update, Alive):
            return self._apply_alive(now, update)
        seen = self.members.get(update.name)
        if seen is None or update.incarnation < seen.info.incarnation:
            return False
        if isinstance(update, Suspect):
            return self._apply_suspect(now, seen, update)
        standing = MemberState.LEFT if isinstance(update, Left) else MemberState.DEAD
        ended = (
            seen.state in (MemberState.DEAD, MemberState.LEFT) and update.incarnation == seen.info.incarnation
        )
        if ended and (seen.state is standing or standing is MemberState.DEAD):
            return False
        cause = "left on purpose" if isinstance(update, Left) else f"told by {update.reported_by}"
        self._raise_incarnation(seen, update.incarnation)
        self._set_state(now, seen, standing, cause)
        return True

    def _apply_alive(self, now: float, info: Alive) -> bool:
        seen = self.members.get(info.name)
        if seen is None:
            if len(self.members) >= MAX_MEMBERS:
                self.rejected_updates += 1
                return False
            self.members[info.name] = self.active_members[info.name] = MemberRecord(
                info, MemberState.ALIVE, now
            )
            self.changes.append(MemberStateChange(info.name, MemberState.ALIVE, "joined", info.incarnation))
            return True
        if info.incarnation <= seen.info.incarnation:
            return False
        if seen.state is MemberState.ALIVE and info.address != seen.info.address:
            self.address_conflicts += (
                1  # the first keeps its name until it is suspected: a flap would serve neither
            )
            return False
        back = "came back" if not seen.is_active else "refuted" if seen.state is MemberState.SUSPECT else ""
        seen.info = info
        if back:
            self._set_state(now, seen, MemberState.ALIVE, back)
        return True

    def _apply_suspect(self, now: float, member: MemberRecord, update: Suspect) -> bool:
        # Else somebody saw it alive in a later incarnation than the one that ended: it is there, and suspected.
        if not member.is_active and update.incarnation == member.info.incarnation:
            return False
        if (
            member.state is MemberState.SUSPECT
            and member.suspicion
            and update.incarnation == member.info.incarnation
        ):
            if (
                update.reported_by in member.suspicion.reporters
                or len(member.suspicion.reporters) > member.suspicion.needed_confirmations
            ):
                return False
            member.suspicion.reporters.add(update.reported_by)
            return True
        self._raise_incarnation(member, update.incarnation)
        self._set_state(now, member, MemberState.SUSPECT, f"no answer to {update.reported_by}")
        shortest = (
            SUSPICION_MULTIPLIER * max(1.0, math.log10(max(1, self.member_count()))) * self.probe_interval_ms
        )
        wanted = min(
            SUSPICION_CONFIRMATIONS, self.member_count() - 3
        )  # it, oneself and the first witness are none
        member.suspicion = Suspicion(
            now, shortest, SUSPICION_MAX_TIMEOUT_MULTIPLIER * shortest, wanted, {update.reported_by}
        )
        self.suspicions[update.name] = member.suspicion
        return True

    @staticmethod
    def _raise_incarnation(member: MemberRecord, incarnation: int) -> None:
        if incarnation > member.info.incarnation:
            info = member.info
            member.info = Alive(
                info.name,
                info.address,
                incarnation,
                info.zone,
                info.region,
                info.version,
                info.process_start_ms,
            )

    def _set_state(self, now: float, member: MemberRecord, state: MemberState, cause: str) -> None:
        member.state, member.state_since, member.suspicion = state, now, None
        self.suspicions.pop(member.info.name, None)
        if member.is_active:
            self.active_members[member.info.name] = member
        else:
            self.active_members.pop(member.info.name, None)
        self.changes.append(MemberStateChange(member.info.name, state, cause, member.info.incarnation))

    def expire_suspicions(self, now: float) -> list[Dead]:
        """Suspicions that have: each becomes a fact, taken in already and to be told on."""
        found = list[Dead]()
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.expires_at():
                seen, witnesses = self.members[name], ", ".join(sorted(suspicion.reporters))
                found.append(Dead(name, seen.info.incarnation, self.local_name))
                self._set_state(now, seen, MemberState.DEAD, f"no answer to {witnesses}")
        return found

    def next_suspicion_expiry(self) -> float:
        """When the next suspicion runs out."""
        return min((suspicion.expires_at() for suspicion in self.suspicions.values()), default=math.inf)

    def extend_suspicions(self, pause_ms: float) -> None:
        """This process stood still: what it could not hear meanwhile is no evidence."""
        for suspicion in self.suspicions.values():
            suspicion.started_at += pause_ms

    def forget_inactive(self, before: float) -> None:
        """Let go of those that ended before then."""
        for name in [
            n for n, seen in self.members.items() if not seen.is_active and seen.state_since < before
        ]:
            del self.members[name]
