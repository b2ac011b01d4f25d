"""Connects outage probing (`fleet/outage_probing`) to the decision module and to the other members of the fleet.

Message delivery never waits for it: a quota that the decision module has received expires after one second, or three
for an unused one, unless it is renewed, and the module then decides on its own.
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

# Interval between ticks of the participant and the coordinator.
TICK_INTERVAL_S = 0.1


class QuotaSharing:
    """Runs both roles of a sender in outage probing.

    The sender is a participant for its own unhealthy destinations, and the coordinator of the destinations that are
    assigned to it.

    Attributes:
        coordinator: `None` until the membership has bound its address.
    """

    def __init__(
        self,
        membership: Membership,
        policy: Policy,
        notify: Callable[[Event], None],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Start without any destination, and receive the members' user messages from now on.

        Args:
            membership: The fleet members.
            policy: The state of the decision module, for reading.
            notify: Takes events for the decision module.
            clock: Returns the time in milliseconds.
            telemetry: Counts and logs.
        """
        self.membership = membership
        self.policy = policy
        self._notify = notify
        self.local_name = membership.local_member.name
        self._clock = clock
        self.telemetry = telemetry
        self.participant = self._new_participant(membership.process_start_ms())
        self.coordinator: ProbingCoordinator | None = None
        # Name and process start of the members that have been sent the destinations that are down.
        self._informed_members: set[tuple[str, int]] = set()
        membership.on_user_message = self._on_user_message

    def _new_participant(self, process_start_ms: int) -> ProbingParticipant:
        return ProbingParticipant(self._clock(), process_start_ms, self.membership.random_seed())

    async def run(self) -> None:
        """Tick periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self._tick()
            except Exception as error:
                # A fault here must not end the process, which still has clients to answer.  The decision module
                # continues on its own.
                self.telemetry.record_fault("fleet.quota_sharing_fault", error=repr(error))

    def _tick(self) -> None:
        now_ms = self._clock()
        quota_share = 1.0 / self.policy.settings.sender_count
        swim = self.membership.swim
        if swim is None:
            # Until the previous process releases the address, it has all of the quota but the reserved fraction.
            quota_share *= self.participant.parameters.reserved_fraction
        elif self.coordinator is None:
            # A new incarnation: the quota that the previous process leased has to expire first.
            self.participant = self._new_participant(swim.local_member.process_start_ms)
            self.coordinator = ProbingCoordinator(swim.local_member.process_start_ms)
        names = self.membership.member_names()
        self._announce_to_new_members(now_ms)
        unhealthy = unhealthy_destinations(self.policy, now_ms, self.participant.destinations)
        self._apply(self.participant.tick(now_ms, unhealthy, names, quota_share))
        if self.coordinator:
            self._announce(self.coordinator, now_ms, names or ())

    def _announce(self, coordinator: ProbingCoordinator, now_ms: float, names: Iterable[str]) -> None:
        """Send the announcements that are due to all members, including this one."""
        rows = coordinator.due_announcements(now_ms)
        if rows:
            self._handle_announcements(self.local_name, Announcements(rows))
            self._send(names, (Announcements(page) for page in split_into_pages(rows)))

    def _announce_to_new_members(self, now_ms: float) -> None:
        """Announce the destinations that are down to members that have joined or restarted since the last tick."""
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
                self.telemetry.log(
                    "destination_health", dest=event.dest, up=event.up, seen_ms=round(now_ms - event.at)
                )
            self._notify(event)
        for dest in actions.started_turns:
            self.telemetry.log("trial_call", dest=dest)
        for coordinator_name, rows in actions.requests.items():
            if coordinator_name == self.local_name:
                self._handle_requests(coordinator_name, Requests(rows))
            else:
                self._send([coordinator_name], (Requests(page) for page in split_into_pages(rows)))

    def close(self) -> None:
        """Give up all quotas that this process has leased."""
        self._apply(self.participant.stop(self._clock()))

    def _send(self, names: Iterable[str], packets: Iterable[Packet]) -> None:
        """Send the packets to each of these members except this one; each packet is encoded once."""
        encoded_packets = [ENCODE(packet) for packet in packets]
        for name in names:
            if name == self.local_name:
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
        results = (self.coordinator.handle_request(now_ms, name, row) for row in requests.rows)
        responses = [response for response in results if response]
        if name == self.local_name:
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
        """Return the gauges of the operators' metrics by name."""
        coordinated = self.coordinator.destinations.values() if self.coordinator else ()
        down_count = sum(1 for destination in coordinated if destination.down)
        return {
            "pursued": len(self.participant.destinations),
            "kept": len(coordinated),
            "kept_out": down_count,
            **self.participant.counts,
        }
