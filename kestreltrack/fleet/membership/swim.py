"""One member of a fleet: SWIM with the Lifeguard extensions, without I/O.

The caller passes in datagrams and the time, and sends the datagrams that are returned.  The number of datagrams does
not depend on the size of the fleet: one probe per interval, updates to three members five times a second while there
are any, and one transfer of the member list every half minute.  From Lifeguard: a member that appears to be slow
itself (neither an `Ack` nor a `Nack`, or a suspicion to refute) probes less often and waits longer; a suspicion is
shorter the more members confirm it; a suspected member is notified with the next ping.

A member that was paused (SIGSTOP, or a suspended machine) does not suspect others of not answering meanwhile, and is
not `caught_up` until another member has sent it the complete list.  Times are milliseconds of a monotonic clock.

Sources: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (2018).
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from kestreltrack.fleet.membership.failure_detector import FailureDetector
from kestreltrack.fleet.membership.local_health import LocalHealth, ProbeTiming
from kestreltrack.fleet.membership.member_table import (
    MemberRecord,
    MemberState,
    MemberStateChange,
    MemberTable,
    with_incarnation,
)
from kestreltrack.fleet.membership.packet_sender import OutgoingDatagram, PacketSender
from kestreltrack.fleet.membership.state_sync import StateSync
from kestreltrack.fleet.membership.wire import (
    ENCODE,
    Ack,
    Alive,
    Body,
    DropReason,
    Gossip,
    Left,
    MalformedDatagramError,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    StatePage,
    StateRequest,
    Suspect,
    UserMessage,
    decode_datagram,
)

__all__ = ["OutgoingDatagram", "ProbeTiming", "Swim"]

# Interval between gossip rounds while there are pending updates.
GOSSIP_INTERVAL_MS = 200.0
# Members that receive updates in a gossip round.
GOSSIP_FANOUT = 3
# Mean interval between transfers of the member list, which repair what dissemination has not delivered.
STATE_SYNC_INTERVAL_MS = 30_000.0
# Mean interval between attempts to reach a dead member or a seed that is not a member, which heal a partition.
RECONNECT_INTERVAL_MS = 5_000.0
# Fraction of that interval that is used until this member has caught up.
RECONNECT_FRACTION_BEFORE_CAUGHT_UP = 0.2
# Probe intervals without a tick after which this process counts as having been paused.
PAUSE_DETECTION_INTERVALS = 3.0
# Time for which an inactive member is remembered; a dead one is pinged occasionally meanwhile.
INACTIVE_MEMBER_RETENTION_MS = 3_600_000.0


class Swim:
    """One member of the fleet."""

    def __init__(self, local_member: Alive, timing: ProbeTiming, seed: int) -> None:
        """Take the local member, whose incarnation should be its start time: it then grows with each process."""
        self.timing = timing
        self.table = MemberTable(local_member.name, timing.probe_interval_ms)
        self.has_left = False
        self._packets = PacketSender(local_member, self.table, seed)
        self._dissemination = self._packets.dissemination
        self._random = self._packets.random
        self._health = LocalHealth(timing)
        self._failure_detector = FailureDetector(self._packets, self._health)
        self._state_sync = StateSync(self._packets, self._health)
        self._seeds: list[str] = []
        self._user_messages: list[tuple[str, bytes]] = []
        self._now = -math.inf
        self._probe_at = -math.inf
        self._gossip_at = -math.inf
        self._sync_at = -math.inf
        self._reconnect_at = -math.inf

    # Views ---------------------------------------------------------------------------------------

    @property
    def local_member(self) -> Alive:
        """This member as it describes itself."""
        return self._packets.local_member

    @property
    def caught_up(self) -> bool:
        """Whether the complete list of another member has been received, or there is no member to request it from."""
        return self._state_sync.caught_up

    @property
    def local_health_score(self) -> int:
        """Lifeguard's local health multiplier, minus one."""
        return self._health.score

    @property
    def counts(self) -> dict[str, int]:
        """Datagrams sent, datagrams dropped by reason, and pauses of this process."""
        return self._packets.counts

    def active_members(self) -> list[Alive]:
        """Return all active members, this one included, sorted by name."""
        others = (member.info for member in self.table.active_members.values())
        return sorted([self.local_member, *others], key=lambda info: info.name)

    def take_user_messages(self) -> list[tuple[str, bytes]]:
        """Return the names of the sending members and the data of user messages received since the last call."""
        messages = self._user_messages
        self._user_messages = []
        return messages

    def take_changes(self) -> list[MemberStateChange]:
        """Return the state changes of members since the last call."""
        changes = self.table.changes
        self.table.changes = []
        return changes

    # Time ----------------------------------------------------------------------------------------

    def join(self, now: float, seeds: Iterable[str]) -> list[OutgoingDatagram]:
        """Join the fleet through any of these seeds; the address of this member is ignored."""
        self._now = now
        self._seeds = self._without_local_address(seeds)
        # Random, so that members that start together do not probe at the same time.
        self._probe_at = now + self._random.random() * self.timing.probe_interval_ms
        self._gossip_at = now + GOSSIP_INTERVAL_MS
        self._sync_at = now + STATE_SYNC_INTERVAL_MS * self._random.random()
        self._reconnect_at = now
        # Without seeds there is no member to request the list from.
        self._state_sync.caught_up = not self._seeds
        return self.tick(now)

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; each that is not a member is pinged occasionally.

        If there were no seeds and no other members before, this is the same as joining through the new seeds.
        """
        had_no_peers = self._has_no_peers()
        self._seeds = self._without_local_address(seeds)
        if had_no_peers and self._seeds:
            self._state_sync.caught_up = False
            self._reconnect_at = self._now
        elif self._has_no_peers():
            # None of the previous seeds was a member.
            self._state_sync.caught_up = True

    def _without_local_address(self, seeds: Iterable[str]) -> list[str]:
        return [seed for seed in seeds if seed != self.local_member.address]

    def _has_no_peers(self) -> bool:
        return not (self._seeds or self.table.active_members)

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Perform all actions that are due; call it at `next_due`, an earlier call is harmless."""
        if not self.has_left:
            self._detect_pause(now)
        self._now = now
        if self.has_left:
            return self._packets.take_outgoing()
        for update in self.table.expire_suspicions(now):
            self._dissemination.enqueue(update)
        self._advance_probes(now)
        self._advance_state_sync(now)
        if now >= self._reconnect_at:
            self._reconnect(now)
        if now >= self._gossip_at:
            self._gossip(now)
        return self._packets.take_outgoing()

    def next_due(self) -> float:
        """Return when the next tick is due."""
        times = [self._probe_at, self._sync_at, self._reconnect_at, self.table.next_suspicion_expiry()]
        if len(self._dissemination):
            times.append(self._gossip_at)
        times += self._failure_detector.next_due(self._now)
        times += self._state_sync.next_due()
        return min(times)

    def _advance_probes(self, now: float) -> None:
        self._failure_detector.advance(now)
        if now >= self._probe_at:
            self._probe_at = now + self._health.probe_interval_ms()
            self._failure_detector.start_probe(now)

    def _advance_state_sync(self, now: float) -> None:
        self._state_sync.retry_expired(now, self._seeds)
        if now >= self._sync_at:
            self._sync_at = now + STATE_SYNC_INTERVAL_MS * (0.5 + self._random.random())
            self._state_sync.request_page(now, "", self._seeds)

    def _gossip(self, now: float) -> None:
        self._gossip_at = now + GOSSIP_INTERVAL_MS
        fanout = GOSSIP_FANOUT if len(self._dissemination) else 0
        for member in self._packets.random_members(fanout):
            self._packets.send(member.info.address, Gossip())

    def _reconnect(self, now: float) -> None:
        """Ping a dead member, or a seed that is not a member; an answer heals a partition."""
        interval_fraction = 1.0 if self.caught_up else RECONNECT_FRACTION_BEFORE_CAUGHT_UP
        self._reconnect_at = now + RECONNECT_INTERVAL_MS * (0.5 + self._random.random()) * interval_fraction
        self.table.forget_inactive(now - INACTIVE_MEMBER_RETENTION_MS)
        addresses = self._addresses_to_reconnect()
        if addresses:
            address = self._random.choice(addresses)
            member = self._member_at(address)
            updates: list[MemberUpdate] = [self.local_member]
            if member is not None:
                # Tells the member its recorded state, so that it can refute it.
                updates.append(member.to_update())
            self._packets.send(address, Ping(self._packets.next_seq(), ""), updates)
        if not self.caught_up and not self._state_sync.in_progress:
            self._state_sync.request_page(now, "", self._seeds)

    def _addresses_to_reconnect(self) -> list[str]:
        active = {member.info.address for member in self.table.active_members.values()}
        dead = [
            member.info.address for member in self.table.members.values() if member.state is MemberState.DEAD
        ]
        return [address for address in (*self._seeds, *dead) if address not in active]

    def _member_at(self, address: str) -> MemberRecord | None:
        return next(
            (member for member in self.table.members.values() if member.info.address == address), None
        )

    def _detect_pause(self, now: float) -> bool:
        """Recover from a pause of this process; return whether there was one."""
        pause_ms = now - self._now
        if pause_ms <= PAUSE_DETECTION_INTERVALS * self._health.probe_interval_ms():
            return False
        self._packets.count_pause()
        self.table.extend_suspicions(pause_ms)
        self._failure_detector.reset()
        self._state_sync.reset(caught_up=self._has_no_peers())
        self._probe_at = self._now + pause_ms + self._health.probe_interval_ms()
        self._reconnect_at = self._now + pause_ms
        return True

    # Datagrams -----------------------------------------------------------------------------------

    def receive(self, now: float, source: str, data: bytes) -> list[OutgoingDatagram]:
        """Handle a datagram from an address; an invalid one is counted and has no other effect."""
        if self.has_left:
            return []
        # The datagram may have been buffered by the socket while this process was paused.
        if self._detect_pause(now):
            self._now = now
        try:
            sender_name, body, updates = decode_datagram(data)
        except MalformedDatagramError as error:
            self._packets.count_dropped(error.reason)
            return []
        if self._is_foreign_name(sender_name, source):
            self._packets.count_dropped(DropReason.FOREIGN_NAME)
            return []
        for update in updates:
            self._apply_update(now, update)
        self._handle_packet(now, source, sender_name, body)
        return self._packets.take_outgoing()

    def _is_foreign_name(self, sender_name: str, source: str) -> bool:
        """Return whether another process already has this name; the first one keeps it."""
        if sender_name == self.local_member.name:
            return True
        member = self.table.members.get(sender_name)
        return member is not None and member.is_active and member.info.address != source

    def _handle_packet(self, now: float, source: str, sender_name: str, body: Body) -> None:
        match body:
            case Ping():
                self._handle_ping(source, sender_name, body)
            case PingRequest():
                self._failure_detector.handle_ping_request(now, source, body)
            case Ack():
                self._failure_detector.handle_ack(sender_name, body.seq)
            case Nack():
                self._failure_detector.handle_nack(sender_name, body.seq)
            case StateRequest():
                self._state_sync.send_page(source, body.after_name)
            case StatePage():
                self._state_sync.handle_page(now, body)
            case UserMessage():
                self._handle_user_message(sender_name, body)

    def _handle_ping(self, source: str, sender_name: str, ping: Ping) -> None:
        if ping.target not in ("", self.local_member.name):
            return
        updates = list[MemberUpdate]()
        sender = self.table.members.get(sender_name)
        if sender and not sender.is_active and sender.info.address == source:
            # Tells the sender that it is recorded as inactive, so that it can refute it.
            updates.append(sender.to_update())
        if not ping.target:
            # The sender does not know which member has this address.
            updates.append(self.local_member)
        self._packets.send(source, Ack(ping.seq), updates)

    def _handle_user_message(self, sender_name: str, message: UserMessage) -> None:
        sender = self.table.members.get(sender_name)
        if sender and sender.is_active:
            self._user_messages.append((sender_name, message.data))
        else:
            self._packets.count_dropped(DropReason.UNKNOWN_SENDER)

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Announce that this member leaves, so that the others do not have to detect it."""
        if not self.has_left:
            self._now = now
            self.has_left = True
            announcement = ENCODE(Left(self.local_member.name, self.local_member.incarnation))
            for member in self._packets.random_members(2 * GOSSIP_FANOUT):
                self._packets.send_with_updates(member.info.address, Gossip(), [announcement])
        return self._packets.take_outgoing()

    def send_user_message(self, member_name: str, data: bytes) -> list[OutgoingDatagram]:
        """Send data of another fleet component to a member; nothing is sent to an inactive member."""
        member = self.table.members.get(member_name)
        if member and member.is_active and not self.has_left:
            self._packets.send(member.info.address, UserMessage(data))
        return self._packets.take_outgoing()

    # Updates -------------------------------------------------------------------------------------

    def _apply_update(self, now: float, update: MemberUpdate) -> None:
        if update.name == self.local_member.name:
            self._apply_update_about_this_member(update)
        elif self.table.apply_update(now, update):
            self._dissemination.enqueue(update)

    def _apply_update_about_this_member(self, update: MemberUpdate) -> None:
        local = self.local_member
        if isinstance(update, Alive):
            other_address = update.address != local.address
            if other_address or update.incarnation > local.incarnation:
                self._packets.count_dropped(DropReason.FOREIGN_NAME)
            if other_address or update.incarnation <= local.incarnation:
                return
        elif update.incarnation < local.incarnation:
            # Already refuted, but the sender has not received that: the refutation is sent again.
            self._dissemination.enqueue(local)
            return
        self._refute(update)

    def _refute(self, update: MemberUpdate) -> None:
        """Raise the incarnation: another member records this one as suspect or inactive, or knows a larger one."""
        self._packets.local_member = with_incarnation(self.local_member, update.incarnation + 1)
        self._dissemination.enqueue(self.local_member)
        if isinstance(update, Suspect):
            self._health.adjust(1)
