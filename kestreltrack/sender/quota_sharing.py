"""Carries probing turns and quotas (`fleet/outage_probing`) between the decision module and the coordinators.

Nothing waits for it: what the decision module is told holds for a second; after that the module decides alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from kestreltrack.decision import Event, HealthReported, Policy
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.outage_probing.coordinator import ProbingCoordinator
from kestreltrack.fleet.outage_probing.participant import ProbingActions, ProbingParticipant
from kestreltrack.fleet.outage_probing.wire import (
    ENCODE,
    Announcements,
    Packet,
    Requests,
    ResponseRow,
    Responses,
    decode_packet,
    split_into_pages,
)
from kestreltrack.ports import Clock
from kestreltrack.sender.health_view import destination_health, unhealthy_destinations
from kestreltrack.telemetry import Telemetry

# Between two steps of the participant and the coordinator.
TICK_INTERVAL_S = 0.1


class QuotaSharing:
    """Both roles of one sender.

    It is a participant for its own unhealthy destinations, and the coordinator of those that fall to it.
    """

    def __init__(
        self,
        membership: Membership,
        policy: Policy,
        notify: Callable[[Event], None],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Start with no destination; `notify` takes events for the decision module."""
        self.membership = membership
        self.policy = policy
        self._notify = notify
        self.own_name = membership.local_member.name
        self._clock = clock
        self.telemetry = telemetry
        self.participant = self._new_participant(membership.process_start_ms())
        self.coordinator: ProbingCoordinator | None = None  # `None` until the membership's address is bound
        # Name and start of the processes that have received which destinations are down.
        self._informed_members: set[tuple[str, int]] = set()
        membership.on_user_message = self._on_user_message

    def _new_participant(self, process_start_ms: int) -> ProbingParticipant:
        return ProbingParticipant(self._clock(), process_start_ms, self.membership.random_seed())

    async def run(self) -> None:
        """Make a step ten times a second, without end."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self._tick()
            except Exception as error:
                # It must not end the process that owes answers; the decision module goes on alone.
                self.telemetry.record_fault("fleet.quota_sharing_fault", error=repr(error))

    def _tick(self) -> None:
        now_ms = self._clock()
        quota_share = 1.0 / self.policy.settings.sender_count
        swim = self.membership.swim
        if swim is None:  # the old process has all but the reserved part, until it releases the address
            quota_share *= self.participant.parameters.reserved_fraction
        elif self.coordinator is None:
            # A new incarnation begins: what the old process leased has to expire first.
            self.participant = self._new_participant(swim.local_member.process_start_ms)
            self.coordinator = ProbingCoordinator(swim.local_member.process_start_ms)
        names = self.membership.member_names()
        self._inform_new_members(now_ms)
        unhealthy = unhealthy_destinations(self.policy, now_ms, self.participant.destinations)
        self._apply(self.participant.tick(now_ms, unhealthy, names, quota_share))
        if self.coordinator:
            self._announce(self.coordinator, now_ms, names or ())

    def _announce(self, coordinator: ProbingCoordinator, now_ms: float, names: Iterable[str]) -> None:
        """Send the announcements that are due to all members, this one among them."""
        rows = coordinator.due_announcements(now_ms)
        if rows:
            self._handle_announcements(self.own_name, Announcements(rows))
            self._send(names, (Announcements(page) for page in split_into_pages(rows)))

    def _inform_new_members(self, now_ms: float) -> None:
        """Send the destinations that are down to members, or processes of members, that have newly joined."""
        swim = self.membership.swim
        present: set[tuple[str, int]] = set()
        if swim:
            present = {(member.name, member.process_start_ms) for member in swim.active_members()}
        joined = present - self._informed_members
        if self.coordinator and joined:
            rows = self.coordinator.outage_announcements(now_ms)
            self._send([name for name, _ in joined], (Announcements(page) for page in split_into_pages(rows)))
        self._informed_members = present

    def _apply(self, actions: ProbingActions) -> None:
        now_ms = self._clock()
        for event in actions.events:
            if isinstance(event, HealthReported):
                self.telemetry.log("partner", dest=event.dest, up=event.up, seen_ms=round(now_ms - event.at))
            self._notify(event)
        for dest in actions.started_turns:
            self.telemetry.log("turn", dest=dest)
        for coordinator_name, rows in actions.requests.items():
            if coordinator_name == self.own_name:
                self._handle_requests(coordinator_name, Requests(rows))
            else:
                self._send([coordinator_name], (Requests(page) for page in split_into_pages(rows)))

    def close(self) -> None:
        """Give back what this process has leased: it stops."""
        self._apply(self.participant.stop(self._clock()))

    def _send(self, names: Iterable[str], packets: Iterable[Packet]) -> None:
        """Send the packets to each of these members but this one; a packet is encoded once for all of them."""
        encoded_packets = [ENCODE(packet) for packet in packets]
        for name in names:
            if name == self.own_name:
                continue
            for data in encoded_packets:
                self.membership.send_user_message(name, data)

    def _on_user_message(self, name: str, data: bytes) -> None:
        packet = decode_packet(data)
        if packet is None or self.coordinator is None:
            self.telemetry.count("fleet.malformed")
        elif isinstance(packet, Requests):
            self._handle_requests(name, packet)
        elif isinstance(packet, Announcements):
            self._handle_announcements(name, packet)
        else:
            self._handle_responses(name, packet.rows)

    def _handle_requests(self, name: str, requests: Requests) -> None:
        assert self.coordinator
        now_ms = self._clock()
        answers = (self.coordinator.handle_request(now_ms, name, row) for row in requests.rows)
        responses = [answer for answer in answers if answer]
        if name == self.own_name:
            self._handle_responses(name, responses)
        else:
            self._send([name], (Responses(page) for page in split_into_pages(responses)))

    def _handle_responses(self, name: str, rows: list[ResponseRow]) -> None:
        for row in rows:
            self.participant.handle_response(self._clock(), name, row)

    def _handle_announcements(self, name: str, announcements: Announcements) -> None:
        now_ms = self._clock()
        for row in announcements.rows:
            self._apply(
                self.participant.handle_announcement(
                    now_ms, name, row, lambda dest: destination_health(self.policy, now_ms, dest)
                )
            )

    def gauges(self) -> dict[str, int]:
        """Return the gauges for the operators' metrics by name."""
        coordinated = self.coordinator.destinations.values() if self.coordinator else ()
        down_count = sum(1 for destination in coordinated if destination.down)
        return {
            "pursued": len(self.participant.destinations),
            "kept": len(coordinated),
            "kept_out": down_count,
            **self.participant.counts,
        }
