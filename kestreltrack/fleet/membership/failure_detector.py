"""Failure detection: direct probes, indirect probes through other members, and suspicions.

Sources: SWIM, sections 3.1 (probes), 4.2 (suspicion) and 4.3 (round-robin probe targets); Lifeguard, LHA-Probe (nacks
and local health) and Buddy System.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.fleet.membership.local_health import LocalHealth
from kestreltrack.fleet.membership.member_table import MemberRecord
from kestreltrack.fleet.membership.packet_sender import PacketSender
from kestreltrack.fleet.membership.wire import Ack, Nack, Ping, PingRequest, Suspect

# Members asked for an indirect probe (SWIM's k). At a packet loss of 10%, 4% of the probes without a direct answer
# raise a false alarm; the cost is three more packets.
INDIRECT_PROBE_MEMBERS = 3
# Fraction of a helper's time after which it sends a nack, so that the nack arrives before the probe ends.
NACK_TIMEOUT_FRACTION = 0.8
# Concurrent probes made for other members; bounds memory however many are requested.
MAX_INDIRECT_PROBES = 64


@dataclass(slots=True)
class Probe:
    """A probe by this member that is waiting for its answer."""

    seq: int
    target: str
    sent_at: float
    helpers: set[str] = field(default_factory=set)
    nacked: set[str] = field(default_factory=set)
    indirect_sent: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe made for another member."""

    origin_address: str
    # Sequence number of the request; the answer repeats it.
    origin_seq: int
    # When a nack is due; `None` once it has been sent.
    nack_at: float | None
    expires_at: float

    def next_due(self, now: float) -> float:
        """Return when its nack is due or, once that time has passed, when it expires."""
        if self.nack_at is not None and self.nack_at > now:
            return self.nack_at
        return self.expires_at


class FailureDetector:
    """Probes other members, directly and indirectly, and suspects those that do not answer."""

    def __init__(self, packets: PacketSender, health: LocalHealth) -> None:
        """Create a detector without outstanding probes."""
        self._packets = packets
        self._table = packets.table
        self._health = health
        self._probe: Probe | None = None
        self._probe_order: list[str] = []
        self._indirect_probes: dict[int, IndirectProbe] = {}

    def reset(self) -> None:
        """Discard all outstanding probes."""
        self._probe = None
        self._indirect_probes = {}

    def next_due(self, now: float) -> list[float]:
        """Return the times at which a probe has to be advanced."""
        times = [probe.next_due(now) for probe in self._indirect_probes.values()]
        if self._probe is not None:
            times.append(self._probe_deadline(self._probe))
        return times

    def _probe_deadline(self, probe: Probe) -> float:
        """Return when the direct probe times out or, once indirect probes are requested, when these do."""
        if probe.indirect_sent:
            return probe.sent_at + self._health.probe_interval_ms()
        return probe.sent_at + self._health.probe_timeout_ms()

    def start_probe(self, now: float) -> None:
        """Probe the next member of a shuffled round, in which each member is probed once (SWIM, section 4.3)."""
        if self._probe is not None:
            return
        while self._probe_order or self._shuffle_probe_order():
            target = self._table.members.get(self._probe_order.pop())
            if target is None or not target.is_active:
                continue
            name = target.info.name
            self._probe = Probe(self._packets.next_seq(), name, now)
            # The ping tells a suspected member of the suspicion, so that it can refute it at once (Buddy System).
            suspicion = [target.to_update()] if target.suspicion else []
            self._packets.send(target.info.address, Ping(self._probe.seq, name), suspicion)
            return

    def _shuffle_probe_order(self) -> bool:
        """Start a new round; return whether there is any member to probe."""
        self._probe_order = list(self._table.active_members)
        self._packets.random.shuffle(self._probe_order)
        return bool(self._probe_order)

    def advance(self, now: float) -> None:
        """Request indirect probes, suspect the target or send nacks, where these are due."""
        self._advance_probe(now)
        self._advance_indirect_probes(now)

    def _advance_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None:
            return
        target = self._table.members.get(probe.target)
        if target is None or not target.is_active:
            self._probe = None
        elif now < self._probe_deadline(probe):
            return
        elif probe.indirect_sent:
            self._probe = None
            self._suspect(now, probe, target)
        else:
            self._request_indirect_probes(probe, target)

    def _request_indirect_probes(self, probe: Probe, target: MemberRecord) -> None:
        probe.indirect_sent = True
        candidates = self._packets.random_members(INDIRECT_PROBE_MEMBERS + 1)
        others = [member for member in candidates if member.info.name != probe.target]
        helpers = others[:INDIRECT_PROBE_MEMBERS]
        probe.helpers = {helper.info.name for helper in helpers}
        request = PingRequest(probe.seq, probe.target, target.info.address)
        for helper in helpers:
            self._packets.send(helper.info.address, request)

    def _suspect(self, now: float, probe: Probe, target: MemberRecord) -> None:
        # A helper that sent neither an ack nor a nack is evidence that this member itself is slow.
        silent_helpers = len(probe.helpers - probe.nacked) if probe.helpers else 1
        self._health.adjust(silent_helpers)
        update = Suspect(probe.target, target.info.incarnation, self._packets.local_member.name)
        if self._table.apply_update(now, update):
            self._packets.dissemination.enqueue(update)

    def _advance_indirect_probes(self, now: float) -> None:
        for seq, probe in list(self._indirect_probes.items()):
            if now >= probe.expires_at:
                del self._indirect_probes[seq]
            elif probe.nack_at is not None and now >= probe.nack_at:
                probe.nack_at = None
                self._packets.send(probe.origin_address, Nack(probe.origin_seq))

    def handle_ping_request(self, now: float, source: str, request: PingRequest) -> None:
        """Probe a member on behalf of another, unless it is this member or too many such probes are in flight."""
        if request.target == self._packets.local_member.name:
            return
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        seq = self._packets.next_seq()
        timing = self._health.timing
        nack_at = now + NACK_TIMEOUT_FRACTION * (timing.probe_interval_ms - timing.probe_timeout_ms)
        expires_at = now + timing.probe_interval_ms
        self._indirect_probes[seq] = IndirectProbe(source, request.seq, nack_at, expires_at)
        self._packets.send(request.target_address, Ping(seq, request.target))

    def handle_ack(self, sender_name: str, seq: int) -> None:
        """Complete a probe of this member, or forward the ack to the member that requested the probe."""
        indirect = self._indirect_probes.pop(seq, None)
        if indirect is not None:
            self._packets.send(indirect.origin_address, Ack(indirect.origin_seq))
        probe = self._probe
        if probe is None or probe.seq != seq:
            return
        if sender_name == probe.target or sender_name in probe.helpers:
            self._probe = None
            self._health.adjust(-1)

    def handle_nack(self, sender_name: str, seq: int) -> None:
        """Record that a helper is reachable although the target has not answered it yet."""
        if self._probe is not None and self._probe.seq == seq:
            self._probe.nacked.add(sender_name)
