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

# Members asked for an indirect probe (SWIM's k): at a packet loss of 10% a false alarm in 4% of the probes that a
# direct answer misses, for three more packets.
INDIRECT_PROBE_MEMBERS = 3
# Part of the time that a helper has: after it the helper says that it still waits, early enough to arrive in time.
NACK_TIMEOUT_FRACTION = 0.8
# Probes made for others at a time: memory is bounded whatever is requested.
MAX_INDIRECT_PROBES = 64


@dataclass(slots=True)
class Probe:
    """The probe of this member that waits for its answer."""

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
    # Sequence number of the request, which the answer repeats.
    origin_seq: int
    # When a nack is due; none once it has been sent.
    nack_at: float | None
    expires_at: float

    def next_due(self, now: float) -> float:
        """Return when its nack is due or, after that, when it expires."""
        if self.nack_at is not None and self.nack_at > now:
            return self.nack_at
        return self.expires_at


class FailureDetector:
    """The probes of one member."""

    def __init__(self, packets: PacketSender, health: LocalHealth) -> None:
        """Begin without a probe."""
        self._packets = packets
        self._table = packets.table
        self._health = health
        self._probe: Probe | None = None
        self._probe_order: list[str] = []
        self._indirect_probes: dict[int, IndirectProbe] = {}

    def reset(self) -> None:
        """Forget all probes that wait for an answer."""
        self._probe = None
        self._indirect_probes = {}

    def next_due(self, now: float) -> list[float]:
        """Return the times at which a probe has to be advanced."""
        times = [probe.next_due(now) for probe in self._indirect_probes.values()]
        if self._probe is not None:
            times.append(self._probe_deadline(self._probe))
        return times

    def _probe_deadline(self, probe: Probe) -> float:
        """Return when the direct probe, or after it the indirect one, has had its time."""
        if probe.indirect_sent:
            return probe.sent_at + self._health.probe_interval_ms()
        return probe.sent_at + self._health.probe_timeout_ms()

    def start_probe(self, now: float) -> None:
        """Probe the next member of a shuffled round: each member is probed once in a round (SWIM, section 4.3)."""
        if self._probe is not None:
            return
        while self._probe_order or self._shuffle_probe_order():
            target = self._table.members.get(self._probe_order.pop())
            if target is None or not target.is_active:
                continue
            name = target.info.name
            self._probe = Probe(self._packets.next_seq(), name, now)
            # A suspected member is notified with the ping (Lifeguard's buddy system): it can refute at once.
            suspicion = [target.to_update()] if target.suspicion else []
            self._packets.send(target.info.address, Ping(self._probe.seq, name), suspicion)
            return

    def _shuffle_probe_order(self) -> bool:
        """Begin a new round; return whether there is any member to probe."""
        self._probe_order = list(self._table.active_members)
        self._packets.random.shuffle(self._probe_order)
        return bool(self._probe_order)

    def advance(self, now: float) -> None:
        """Ask others for an indirect probe, or suspect the target, when their time has come."""
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
        drawn = self._packets.random_members(INDIRECT_PROBE_MEMBERS + 1)
        others = [member for member in drawn if member.info.name != probe.target]
        helpers = others[:INDIRECT_PROBE_MEMBERS]
        probe.helpers = {helper.info.name for helper in helpers}
        request = PingRequest(probe.seq, probe.target, target.info.address)
        for helper in helpers:
            self._packets.send(helper.info.address, request)

    def _suspect(self, now: float, probe: Probe, target: MemberRecord) -> None:
        # Each helper that sent neither an answer nor a nack is evidence that this member itself is slow.
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
        """Probe a member for another one, unless it is this member or too many such probes are in flight."""
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
        """Take an answer to a probe of this member, or pass it on to the member that asked for the probe."""
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
        """Record that a helper is reachable although the target has not answered it."""
        if self._probe is not None and self._probe.seq == seq:
            self._probe.nacked.add(sender_name)
