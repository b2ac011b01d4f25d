"""One member of a fleet: probes, suspicions and news, after SWIM with Lifeguard's refinements.  No I/O.

Who holds it gives it datagrams and the time, and sends what it returns.  Load is the same in a fleet of any size: one
probe each interval, three members told of news five times a second while there is any, one page of the whole state
each half minute.  What is refined after Lifeguard: a member that has reason to think itself slow (no answer and no
`Nack` either, a refuted suspicion) probes less often and waits longer; a suspicion is shorter the more witnesses it
has; whoever is suspected hears so with the next ping.

A member that was paused (SIGSTOP, a machine that sleeps) convicts nobody of not having answered meanwhile, and is not
`caught_up` until another has told it the whole state.  Times are milliseconds of a clock that only goes forward.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from kestreltrack.fleet.membership.dissemination import DisseminationQueue
from kestreltrack.fleet.membership.member_table import (
    MemberRecord,
    MemberState,
    MemberStateChange,
    MemberTable,
)
from kestreltrack.fleet.membership.wire import (
    ENCODE,
    Ack,
    Alive,
    Body,
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
    encode_datagram,
    remaining_bytes,
    updates_that_fit,
)

INDIRECT_PROBE_MEMBERS = (
    3  # members asked to probe in one's place (SWIM's k): 0.04 of false alarms at 10% loss, 3 more calls
)
GOSSIP_INTERVAL_MS, GOSSIP_FANOUT = 200.0, 3  # news go to so many members, so often, while there is any
NACK_TIMEOUT_FRACTION = 0.8  # of the time that a helper has: then it says that it still waits
MAX_LOCAL_HEALTH_SCORE = 8  # Lifeguard's S: intervals and time-outs grow up to nine times
STATE_SYNC_INTERVAL_MS = (
    30_000.0  # between pages of the whole state asked of somebody: mends what all news have missed
)
RECONNECT_INTERVAL_MS = (
    5_000.0  # between tries to reach one that is gone, or a seed that is not a member: a cut heals
)
PAUSE_DETECTION_INTERVALS = 3.0  # intervals without a tick: this process stood still
STATE_PAGE_TIMEOUT_MS = 500.0  # for the answer to a page; then another member is asked
INACTIVE_MEMBER_RETENTION_MS = 3_600_000.0  # what ended is remembered so long, and tried now and then


@dataclass(frozen=True, slots=True)
class ProbeTiming:
    """`round_ms`: the probe interval; `answer_ms`: for a direct answer.  Published values are 1,000 and 500."""

    probe_interval_ms: float = 1000.0
    probe_timeout_ms: float = 400.0


@dataclass(slots=True)
class Probe:
    """The probe that is out."""

    seq: int
    target: str
    sent_at: float
    helpers: set[str]
    nacked: set[str]
    indirect_sent: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe made for another member."""

    origin_address: str  # its address
    seq: int  # of its request
    nack_at: float
    expires_at: float


OutgoingDatagram = tuple[str, bytes]  # an address, and what to send there


class Swim:
    """One member."""

    def __init__(self, local_member: Alive, timing: ProbeTiming, seed: int) -> None:
        """`me.incarnation` is best the time of start: a later process of the same name then has a larger one."""
        self.local_member, self.timing, self.random = local_member, timing, random.Random(seed)
        self.table, self.dissemination = (
            MemberTable(local_member.name, timing.probe_interval_ms),
            DisseminationQueue(),
        )
        self.counts: dict[str, int] = {}  # of what was dropped, by reason; and of what was sent
        self.local_health_score = 0  # Lifeguard's local health multiplier, less one
        self.caught_up = False
        self.has_left = False
        self._seeds: list[str] = []
        self._seq = 0
        self._probe_order: list[str] = []
        self._probe: Probe | None = None
        self._indirect_probes: dict[int, IndirectProbe] = {}
        self._page_request: tuple[str, str, float] | None = (
            None  # asked of whom, after which name, until when
        )
        self._now = self._probe_at = self._gossip_at = self._sync_at = self._reconnect_at = -math.inf
        self._outgoing: list[OutgoingDatagram] = []
        self._user_messages: list[tuple[str, bytes]] = []

    # What the shell calls ------------------------------------------------------------------------

    def join(self, now: float, seeds: Iterable[str]) -> list[OutgoingDatagram]:
        """Join through any of `seeds` (addresses; one's own is passed over)."""
        self._now = now
        self._seeds = [seed for seed in seeds if seed != self.local_member.address]
        self._probe_at = now + self.random.random() * self.timing.probe_interval_ms  # not all in one instant
        self._gossip_at, self._sync_at, self._reconnect_at = (
            now + GOSSIP_INTERVAL_MS,
            now + STATE_SYNC_INTERVAL_MS * self.random.random(),
            now,
        )
        self.caught_up = not self._seeds  # the first of a fleet has nobody to learn from
        return self.tick(now)

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Other seeds from now on; each that is no member is reached for now and then.

        The first ones count as if they had been there from the beginning.
        """
        first = not (self._seeds or self.table.active_members)
        self._seeds = [seed for seed in seeds if seed != self.local_member.address]
        if first and self._seeds:
            self.caught_up, self._reconnect_at = False, self._now
        elif not (self._seeds or self.table.active_members):
            self.caught_up = True  # those found before were nobody

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Do what is due; to be called at `due`, and no harm in between."""
        gap = now - self._now
        if gap > PAUSE_DETECTION_INTERVALS * self._probe_interval() and not self.has_left:
            self._recover_from_pause(gap)
        self._now = now
        if self.has_left:
            return self._take_outgoing()
        for gone in self.table.expire_suspicions(now):
            self.dissemination.enqueue(gone)
        self._advance_probe(now)
        self._advance_indirect_probes(now)
        if now >= self._probe_at:
            self._start_probe(now)
        if self._page_request and now >= self._page_request[2]:
            self._request_state_page(now, self._page_request[1])
        if now >= self._sync_at:
            self._sync_at = now + STATE_SYNC_INTERVAL_MS * (0.5 + self.random.random())
            self._request_state_page(now, "")
        if now >= self._reconnect_at:
            self._reconnect(now)
        if now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_INTERVAL_MS
            for seen in self._random_members(GOSSIP_FANOUT if len(self.dissemination) else 0):
                self._send(seen.info.address, Gossip())
        return self._take_outgoing()

    def next_due(self) -> float:
        """When the next tick is due."""
        times = [self._probe_at, self._sync_at, self._reconnect_at, self.table.next_suspicion_expiry()]
        if len(self.dissemination):
            times.append(self._gossip_at)
        if self._probe:
            times.append(
                self._probe.sent_at
                + (self._probe_interval() if self._probe.indirect_sent else self._probe_timeout())
            )
        if self._page_request:
            times.append(self._page_request[2])
        times += [
            errand.nack_at if errand.nack_at > self._now else errand.expires_at
            for errand in self._indirect_probes.values()
        ]
        return min(times)

    def receive(self, now: float, source: str, data: bytes) -> list[OutgoingDatagram]:
        """Take a datagram from an address; one that is not sound is counted and changes nothing."""
        if self.has_left:
            return []
        gap = now - self._now
        if (
            gap > PAUSE_DETECTION_INTERVALS * self._probe_interval()
        ):  # what lay in the socket while this process stood still
            self._recover_from_pause(gap)
            self._now = now
        try:
            name, body, news = decode_datagram(data)
        except MalformedDatagramError as bad:
            self._count(str(bad))
            return []
        known = self.table.members.get(name)
        if name == self.local_member.name or (known and known.is_active and known.info.address != source):
            self._count("foreign_name")  # a name taken twice, or claimed: the first goes on having it
            return []
        for fact in news:
            self._apply_update(now, fact)
        self._handle_packet(now, source, name, body)
        return self._take_outgoing()

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Say farewell: the others need not find out."""
        if not self.has_left:
            self._now, self.has_left = now, True
            farewell = ENCODE(Left(self.local_member.name, self.local_member.incarnation))
            for seen in self._random_members(2 * GOSSIP_FANOUT):
                self._outgoing.append(
                    (seen.info.address, encode_datagram(self.local_member.name, Gossip(), [farewell]))
                )
        return self._take_outgoing()

    def send_user_message(self, member_name: str, data: bytes) -> list[OutgoingDatagram]:
        """Send a member something of another part of the fleet; nothing to one that is not here."""
        seen = self.table.members.get(member_name)
        if seen and seen.is_active and not self.has_left:
            self._send(seen.info.address, UserMessage(data))
        return self._take_outgoing()

    def take_user_messages(self) -> list[tuple[str, bytes]]:
        """What came from members for other parts since the last call: names, and what they sent."""
        found, self._user_messages = self._user_messages, []
        return found

    def take_changes(self) -> list[MemberStateChange]:
        """What changed since the last call."""
        found, self.table.changes = self.table.changes, []
        return found

    def active_members(self) -> list[Alive]:
        """All members, oneself among them, by name."""
        return sorted(
            [self.local_member, *(seen.info for seen in self.table.active_members.values())],
            key=lambda info: info.name,
        )

    # News ----------------------------------------------------------------------------------------

    def _apply_update(self, now: float, update: MemberUpdate) -> None:
        if update.name != self.local_member.name:
            if self.table.apply_update(now, update):
                self.dissemination.enqueue(update)
            return
        if isinstance(update, Alive):
            if (
                update.incarnation > self.local_member.incarnation
                or update.address != self.local_member.address
            ):
                self._count("foreign_name")
            if (
                update.incarnation <= self.local_member.incarnation
                or update.address != self.local_member.address
            ):
                return
        elif update.incarnation < self.local_member.incarnation:
            self.dissemination.enqueue(
                self.local_member
            )  # refuted already, and somebody has not heard: the answer to it says so again
            return
        # Somebody holds this one to be suspect or gone, or remembers a later incarnation of it: refute.
        info = self.local_member
        self.local_member = Alive(
            info.name,
            info.address,
            update.incarnation + 1,
            info.zone,
            info.region,
            info.version,
            info.process_start_ms,
        )
        self.dissemination.enqueue(self.local_member)
        if isinstance(update, Suspect):
            self._adjust_local_health(1)

    def _send(self, address: str, body: Body, first: Iterable[MemberUpdate] = ()) -> None:
        """A packet with as much news as it holds; `first` goes in front of it."""
        ahead = [ENCODE(fact) for fact in first]
        waiting = self.dissemination.pending()
        chosen = updates_that_fit(self.local_member.name, body, [*ahead, *(fact for _, fact in waiting)])
        self.dissemination.mark_transmitted(
            [name for name, _ in waiting[: max(0, len(chosen) - len(ahead))]], self.table.member_count()
        )
        self._outgoing.append((address, encode_datagram(self.local_member.name, body, chosen)))

    def _take_outgoing(self) -> list[OutgoingDatagram]:
        out, self._outgoing = self._outgoing, []
        self.counts["sent"] = self.counts.get("sent", 0) + len(out)
        return out

    def _random_members(self, limit: int) -> list[MemberRecord]:
        """Other members drawn anew."""
        if limit <= 0:
            return []
        here = list(self.table.active_members.values())
        return here if len(here) <= limit else self.random.sample(here, limit)

    # Probes --------------------------------------------------------------------------------------

    def _probe_interval(self) -> float:
        return self.timing.probe_interval_ms * (self.local_health_score + 1)

    def _probe_timeout(self) -> float:
        return self.timing.probe_timeout_ms * (self.local_health_score + 1)

    def _adjust_local_health(self, change: int) -> None:
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, max(0, self.local_health_score + change))

    def _start_probe(self, now: float) -> None:
        """The next of a shuffled ring: each member is probed once in a round of all (SWIM 4.3)."""
        self._probe_at = now + self._probe_interval()
        if self._probe is not None:
            return
        while self._probe_order or self._shuffle_probe_order():
            seen = self.table.members.get(self._probe_order.pop())
            if seen is None or not seen.is_active:
                continue
            name = seen.info.name
            self._probe = Probe(self._next_seq(), name, now, set(), set())
            # Whoever is suspected hears so first of all (Lifeguard's buddy system): it can refute at once.
            self._send(
                seen.info.address, Ping(self._probe.seq, name), [seen.to_update()] if seen.suspicion else ()
            )
            return

    def _shuffle_probe_order(self) -> bool:
        self._probe_order = list(self.table.active_members)
        self.random.shuffle(self._probe_order)
        return bool(self._probe_order)

    def _advance_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None:
            return
        seen = self.table.members.get(probe.target)
        if seen is None or not seen.is_active:
            self._probe = None
        elif not probe.indirect_sent and now >= probe.sent_at + self._probe_timeout():
            probe.indirect_sent = True
            helpers = [
                s for s in self._random_members(INDIRECT_PROBE_MEMBERS + 1) if s.info.name != probe.target
            ][:INDIRECT_PROBE_MEMBERS]
            probe.helpers = {helper.info.name for helper in helpers}
            for helper in helpers:
                self._send(helper.info.address, PingRequest(probe.seq, probe.target, seen.info.address))
        elif probe.indirect_sent and now >= probe.sent_at + self._probe_interval():
            self._probe = None
            self._adjust_local_health(len(probe.helpers - probe.nacked) if probe.helpers else 1)
            fact = Suspect(probe.target, seen.info.incarnation, self.local_member.name)
            if self.table.apply_update(now, fact):
                self.dissemination.enqueue(fact)

    def _advance_indirect_probes(self, now: float) -> None:
        for seq, errand in list(self._indirect_probes.items()):
            if now >= errand.expires_at:
                del self._indirect_probes[seq]
            elif now >= errand.nack_at > -math.inf:
                errand.nack_at = -math.inf
                self._send(errand.origin_address, Nack(errand.seq))

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    # Answers -------------------------------------------------------------------------------------

    def _handle_packet(self, now: float, source: str, sender_name: str, body: Body) -> None:
        known = self.table.members.get(sender_name)
        if isinstance(body, Ping):
            if body.target in ("", self.local_member.name):
                # One that is held to be gone, and pings, hears so; a stranger learns who answers.
                wrong = known and not known.is_active and known.info.address == source
                first = [known.to_update()] if known and wrong else []
                self._send(source, Ack(body.seq), [*first, self.local_member] if not body.target else first)
        elif isinstance(body, PingRequest):
            if body.target != self.local_member.name and len(self._indirect_probes) < 64:
                seq = self._next_seq()
                nack_at = now + NACK_TIMEOUT_FRACTION * (
                    self.timing.probe_interval_ms - self.timing.probe_timeout_ms
                )
                self._indirect_probes[seq] = IndirectProbe(
                    source, body.seq, nack_at, now + self.timing.probe_interval_ms
                )
                self._send(body.target_address, Ping(seq, body.target))
        elif isinstance(body, Ack):
            self._handle_ack(now, sender_name, body.seq)
        elif isinstance(body, Nack):
            probe = self._probe
            if probe and probe.seq == body.seq:
                probe.nacked.add(sender_name)
        elif isinstance(body, StateRequest):
            self._send_state_page(source, body.after_name)
        elif isinstance(body, StatePage):
            self._handle_state_page(now, sender_name, body)
        elif isinstance(body, UserMessage) and known and known.is_active:
            self._user_messages.append((sender_name, body.data))
        elif isinstance(body, UserMessage):
            self._count("stranger")

    def _handle_ack(self, now: float, sender_name: str, seq: int) -> None:
        if errand := self._indirect_probes.pop(seq, None):
            self._send(errand.origin_address, Ack(errand.seq))
        probe = self._probe
        if probe and probe.seq == seq and (sender_name == probe.target or sender_name in probe.helpers):
            self._probe = None
            self._adjust_local_health(-1)

    # The whole state -----------------------------------------------------------------------------

    def _send_state_page(self, source: str, after_name: str) -> None:
        """Members in the order of names, as many as one datagram holds; oneself is one of them."""
        names = sorted(name for name in (*self.table.members, self.local_member.name) if name > after_name)
        left, chosen, more = (
            remaining_bytes(self.local_member.name, StatePage(after_name, "x" * 64)),
            list[bytes](),
            "",
        )
        for before, name in zip([after_name, *names], names, strict=False):
            row = [ENCODE(fact) for fact in self._updates_about(name)]
            left -= sum(map(len, row))
            if left < 0:
                more = before
                break
            chosen += row
        self._outgoing.append(
            (source, encode_datagram(self.local_member.name, StatePage(after_name, more), chosen))
        )

    def _updates_about(self, name: str) -> list[MemberUpdate]:
        """All there is to tell of one member: where it is, then what is held of it."""
        seen = self.table.members.get(name)
        if seen is None:
            return [self.local_member]
        return [seen.info, seen.to_update()] if seen.suspicion else [seen.to_update()]

    def _request_state_page(self, now: float, after_name: str) -> None:
        """Of some member, or of a seed while there is none."""
        some = [seen.info.address for seen in self._random_members(1)] or self.random.sample(
            self._seeds, len(self._seeds)
        )[:1]
        self._page_request = (
            (some[0], after_name, now + STATE_PAGE_TIMEOUT_MS * (self.local_health_score + 1))
            if some
            else None
        )
        if some:
            self._send(some[0], StateRequest(after_name), [self.local_member])

    def _handle_state_page(self, now: float, name: str, state: StatePage) -> None:
        if self._page_request is None or self._page_request[1] != state.after_name:
            return  # nobody asked, or it came late
        if state.next_after_name > state.after_name:
            address = self._page_request[0]
            self._page_request = (
                address,
                state.next_after_name,
                now + STATE_PAGE_TIMEOUT_MS * (self.local_health_score + 1),
            )
            self._send(address, StateRequest(state.next_after_name))
        else:
            self._page_request, self.caught_up = None, True

    # Joining, cuts that heal, pauses -------------------------------------------------------------

    def _reconnect(self, now: float) -> None:
        """Ping one that is gone, or a seed that is not a member: whoever answers is told what is held of it."""
        self._reconnect_at = now + RECONNECT_INTERVAL_MS * (0.5 + self.random.random()) * (
            0.2 if not self.caught_up else 1.0
        )
        self.table.forget_inactive(now - INACTIVE_MEMBER_RETENTION_MS)
        here = {seen.info.address for seen in self.table.active_members.values()}
        ended = [s.info.address for s in self.table.members.values() if s.state is MemberState.DEAD]
        places = [address for address in (*self._seeds, *ended) if address not in here]
        if places:
            address = self.random.choice(places)
            gone = next((s for s in self.table.members.values() if s.info.address == address), None)
            facts: list[MemberUpdate] = [self.local_member, gone.to_update()] if gone else [self.local_member]
            self._send(address, Ping(self._next_seq(), ""), facts)
        if not self.caught_up and self._page_request is None:
            self._request_state_page(now, "")

    def _recover_from_pause(self, pause_ms: float) -> None:
        self._count("paused")
        self.table.extend_suspicions(pause_ms)
        self._probe, self._indirect_probes, self._page_request = None, {}, None
        self.caught_up = not (self._seeds or self.table.active_members)
        self._probe_at, self._reconnect_at = (
            self._now + pause_ms + self._probe_interval(),
            self._now + pause_ms,
        )

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1
