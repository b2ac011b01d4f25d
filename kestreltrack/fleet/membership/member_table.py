"""States, incarnations and suspicions of the other members, as known to one member.  No I/O, no clock of its own.

Updates are ordered as in SWIM (section 4.2): of two updates about one member, the larger incarnation prevails; within
one incarnation, suspect overrides alive, and dead and left override both.  A suspicion ends with a larger incarnation
or by timeout, which is shorter the more members confirm it (Lifeguard, LHA-Suspicion).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from kestreltrack.fleet.membership.wire import Alive, Dead, Left, MemberUpdate, Suspect

# Confirmations after the first report at which a suspicion has its shortest timeout: Lifeguard's K.
SUSPICION_CONFIRMATIONS = 3
# Shortest timeout of a suspicion, in probe intervals for each power of ten of members: Lifeguard's alpha.
SUSPICION_MULTIPLIER = 4.0
# Longest timeout of a suspicion, as a multiple of the shortest: Lifeguard's beta.
SUSPICION_MAX_TIMEOUT_MULTIPLIER = 6.0
# Further members are not recorded; bounds memory whatever is received.
MAX_MEMBERS = 4096


class MemberState(Enum):
    """State of a member; the values appear in the log, the status and the gauges."""

    ALIVE = "alive"
    # Did not answer; still counts as an active member until the suspicion expires.
    SUSPECT = "suspect"
    DEAD = "gone"
    # Announced its leave.
    LEFT = "left"


@dataclass(slots=True)
class Suspicion:
    """The suspicion of a member: when it began, who reported it, and its timeouts."""

    started_at: float
    min_timeout_ms: float
    max_timeout_ms: float
    # Reporters after the first at which the timeout is the shortest.
    needed_confirmations: int
    reporters: set[str] = field(default_factory=set)

    def expires_at(self) -> float:
        """Return when the suspicion expires, given its reporters so far (Lifeguard, LHA-Suspicion)."""
        if self.needed_confirmations < 1:
            return self.started_at + self.min_timeout_ms
        confirmations = min(len(self.reporters) - 1, self.needed_confirmations)
        fraction = math.log(confirmations + 1) / math.log(self.needed_confirmations + 1)
        timeout_range_ms = self.max_timeout_ms - self.min_timeout_ms
        return self.started_at + max(self.min_timeout_ms, self.max_timeout_ms - timeout_range_ms * fraction)

    def confirm(self, reporter: str) -> bool:
        """Add a reporter; return whether it is new and shortens the timeout."""
        if reporter in self.reporters or len(self.reporters) > self.needed_confirmations:
            return False
        self.reporters.add(reporter)
        return True


@dataclass(slots=True)
class MemberRecord:
    """What is known of one member."""

    info: Alive
    state: MemberState
    state_since: float
    # The same object as in `MemberTable.suspicions`.
    suspicion: Suspicion | None = None

    @property
    def is_active(self) -> bool:
        """Whether the member counts as running: alive or suspect."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def to_update(self) -> MemberUpdate:
        """Return an update that describes the state of the member."""
        info = self.info
        if self.state is MemberState.SUSPECT and self.suspicion:
            return Suspect(info.name, info.incarnation, min(self.suspicion.reporters))
        if self.state is MemberState.DEAD:
            return Dead(info.name, info.incarnation, info.name)
        if self.state is MemberState.LEFT:
            return Left(info.name, info.incarnation)
        return info


@dataclass(frozen=True, slots=True)
class MemberStateChange:
    """A change of a member's state and its cause, as they are logged."""

    name: str
    state: MemberState
    cause: str
    incarnation: int


def with_incarnation(info: Alive, incarnation: int) -> Alive:
    """Return a copy of a member's description with another incarnation."""
    return Alive(
        info.name, info.address, incarnation, info.zone, info.region, info.version, info.process_start_ms
    )


class MemberTable:
    """All members except the local one."""

    def __init__(self, local_name: str, probe_interval_ms: float) -> None:
        """Create an empty table; the timeouts of suspicions are multiples of the probe interval."""
        self.local_name = local_name
        self.probe_interval_ms = probe_interval_ms
        self.members: dict[str, MemberRecord] = {}
        # The members that are alive or suspect.
        self.active_members: dict[str, MemberRecord] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.changes: list[MemberStateChange] = []
        # Updates about new members that were rejected because of `MAX_MEMBERS`.
        self.rejected_updates = 0
        # Updates that were rejected because they give an alive member another address.
        self.address_conflicts = 0

    def member_count(self) -> int:
        """Return the number of active members, the local one included."""
        return 1 + len(self.active_members)

    def apply_update(self, now: float, update: MemberUpdate) -> bool:
        """Apply an update about another member; return whether it is new and has to be disseminated."""
        if isinstance(update, Alive):
            return self._apply_alive(now, update)
        member = self.members.get(update.name)
        if member is None or update.incarnation < member.info.incarnation:
            return False
        if isinstance(update, Suspect):
            return self._apply_suspect(now, member, update)
        return self._apply_inactive(now, member, update)

    def _apply_alive(self, now: float, info: Alive) -> bool:
        member = self.members.get(info.name)
        if member is None:
            return self._add_member(now, info)
        if info.incarnation <= member.info.incarnation:
            return False
        if member.state is MemberState.ALIVE:
            if info.address != member.info.address:
                # The first address keeps the name until the member is suspected, so that it does not alternate.
                self.address_conflicts += 1
                return False
            member.info = info
            return True
        cause = "refuted" if member.state is MemberState.SUSPECT else "came back"
        member.info = info
        self._set_state(now, member, MemberState.ALIVE, cause)
        return True

    def _add_member(self, now: float, info: Alive) -> bool:
        if len(self.members) >= MAX_MEMBERS:
            self.rejected_updates += 1
            return False
        member = MemberRecord(info, MemberState.ALIVE, now)
        self.members[info.name] = member
        self.active_members[info.name] = member
        self.changes.append(MemberStateChange(info.name, MemberState.ALIVE, "joined", info.incarnation))
        return True

    def _apply_suspect(self, now: float, member: MemberRecord, update: Suspect) -> bool:
        if update.incarnation == member.info.incarnation:
            if not member.is_active:
                return False
            if member.suspicion:
                return member.suspicion.confirm(update.reported_by)
        # Also for an inactive member if the incarnation is larger: another member saw it alive and suspects it.
        self._raise_incarnation(member, update.incarnation)
        self._set_state(now, member, MemberState.SUSPECT, f"no answer to {update.reported_by}")
        suspicion = self._new_suspicion(now, update.reported_by)
        member.suspicion = suspicion
        self.suspicions[update.name] = suspicion
        return True

    def _new_suspicion(self, now: float, reporter: str) -> Suspicion:
        member_count = self.member_count()
        min_timeout_ms = (
            SUSPICION_MULTIPLIER * max(1.0, math.log10(max(1, member_count))) * self.probe_interval_ms
        )
        # The suspected member, the local one and the first reporter cannot confirm it.
        needed_confirmations = min(SUSPICION_CONFIRMATIONS, member_count - 3)
        max_timeout_ms = SUSPICION_MAX_TIMEOUT_MULTIPLIER * min_timeout_ms
        return Suspicion(now, min_timeout_ms, max_timeout_ms, needed_confirmations, {reporter})

    def _apply_inactive(self, now: float, member: MemberRecord, update: Dead | Left) -> bool:
        if isinstance(update, Left):
            state = MemberState.LEFT
            cause = "left on purpose"
        else:
            state = MemberState.DEAD
            cause = f"told by {update.reported_by}"
        already_inactive = not member.is_active and update.incarnation == member.info.incarnation
        if already_inactive and (member.state is state or state is MemberState.DEAD):
            return False
        self._raise_incarnation(member, update.incarnation)
        self._set_state(now, member, state, cause)
        return True

    @staticmethod
    def _raise_incarnation(member: MemberRecord, incarnation: int) -> None:
        if incarnation > member.info.incarnation:
            member.info = with_incarnation(member.info, incarnation)

    def _set_state(self, now: float, member: MemberRecord, state: MemberState, cause: str) -> None:
        member.state = state
        member.state_since = now
        member.suspicion = None
        self.suspicions.pop(member.info.name, None)
        if member.is_active:
            self.active_members[member.info.name] = member
        else:
            self.active_members.pop(member.info.name, None)
        self.changes.append(MemberStateChange(member.info.name, state, cause, member.info.incarnation))

    def expire_suspicions(self, now: float) -> list[Dead]:
        """Mark the members whose suspicion has expired as dead, and return the updates to disseminate."""
        expired = list[Dead]()
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.expires_at():
                member = self.members[name]
                reporters = ", ".join(sorted(suspicion.reporters))
                expired.append(Dead(name, member.info.incarnation, self.local_name))
                self._set_state(now, member, MemberState.DEAD, f"no answer to {reporters}")
        return expired

    def next_suspicion_expiry(self) -> float:
        """Return when the next suspicion expires; infinity if there is none."""
        return min((suspicion.expires_at() for suspicion in self.suspicions.values()), default=math.inf)

    def extend_suspicions(self, pause_ms: float) -> None:
        """Extend all suspicions by a pause of this process, which could not receive refutations meanwhile."""
        for suspicion in self.suspicions.values():
            suspicion.started_at += pause_ms

    def forget_inactive(self, before: float) -> None:
        """Remove the members that have been inactive since before a time."""
        forgotten = [
            name
            for name, member in self.members.items()
            if not member.is_active and member.state_since < before
        ]
        for name in forgotten:
            del self.members[name]
