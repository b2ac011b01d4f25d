"""Carries turns and shares (`fleet/trials`) between the module of this sender and the keepers among the members.

Nothing waits for it: what the module is told it goes by for a second, and by itself after that.
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

TICK_INTERVAL_S = 0.1


class QuotaSharing:
    """Both sides of one sender: of its own partners in trouble, and of those that it keeps."""

    def __init__(
        self,
        membership: Membership,
        policy: Policy,
        notify: Callable[[Event], None],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """`tell` takes events for the module."""
        self.membership, self.policy, self._notify = membership, policy, notify
        self.own_name = membership.local_member.name
        self._clock, self.telemetry = clock, telemetry
        self.participant = self._new_participant(membership.process_start_ms())
        self.coordinator: ProbingCoordinator | None = None  # none before the member is bound
        self._informed_members = set[tuple[str, int]]()  # processes of members that have heard what is out
        membership.on_user_message = self._on_user_message

    def _new_participant(self, start: int) -> ProbingParticipant:
        return ProbingParticipant(self._clock(), start, self.membership.random_seed())

    async def run(self) -> None:
        """See to it ten times a second."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self._tick()
            except (
                Exception
            ) as bad:  # must not end the process that owes answers; the module goes on by itself
                self.telemetry.record_fault("fleet.quota_sharing_fault", error=repr(bad))

    def _tick(self) -> None:
        now, part, swim = self._clock(), 1.0 / self.policy.settings.sender_count, self.membership.swim
        if swim is None:  # the process before this one has all but the floor, until it lets go of the address
            part *= self.participant.parameters.reserved_fraction
        elif self.coordinator is None:  # and what it lent has to run out first
            self.participant, self.coordinator = (
                self._new_participant(swim.local_member.process_start_ms),
                ProbingCoordinator(swim.local_member.process_start_ms),
            )
        names = self.membership.member_names()
        self._inform_new_members(now)
        self._apply(
            self.participant.tick(
                now, unhealthy_destinations(self.policy, now, self.participant.destinations), names, part
            )
        )
        if self.coordinator and (words := self.coordinator.due_announcements(now)):
            self._handle_announcements(self.own_name, Announcements(words))
            self._send(names or (), (Announcements(page) for page in split_into_pages(words)))

    def _inform_new_members(self, now: float) -> None:
        """Members, or processes of members, that were not here before hear of what is out."""
        swim = self.membership.swim
        here = {(info.name, info.process_start_ms) for info in swim.active_members()} if swim else set()
        if (
            self.coordinator
            and (new := here - self._informed_members)
            and (words := self.coordinator.outage_announcements(now))
        ):
            self._send([name for name, _ in new], (Announcements(page) for page in split_into_pages(words)))
        self._informed_members = here

    def _apply(self, actions: ProbingActions) -> None:
        now = self._clock()
        for event in actions.events:
            if isinstance(event, HealthReported):
                self.telemetry.log("partner", dest=event.dest, up=event.up, seen_ms=round(now - event.at))
            self._notify(event)
        for dest in actions.started_turns:
            self.telemetry.log("turn", dest=dest)
        for keeper, rows in actions.requests.items():
            if keeper == self.own_name:
                self._handle_requests(keeper, Requests(rows))
            else:
                self._send([keeper], (Requests(page) for page in split_into_pages(rows)))

    def close(self) -> None:
        """This process stops."""
        self._apply(self.participant.stop(self._clock()))

    def _send(self, names: Iterable[str], packets: Iterable[Packet]) -> None:
        """To each of these but oneself; a packet is encoded once for all."""
        encoded = [ENCODE(packet) for packet in packets]
        for name in names:
            for data in encoded if name != self.own_name else ():
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
        now = self._clock()
        answered = (self.coordinator.handle_request(now, name, row) for row in requests.rows)
        replies = [reply for reply in answered if reply]
        if name == self.own_name:
            self._handle_responses(name, replies)
        else:
            self._send([name], (Responses(page) for page in split_into_pages(replies)))

    def _handle_responses(self, name: str, rows: list[ResponseRow]) -> None:
        for row in rows:
            self.participant.handle_response(self._clock(), name, row)

    def _handle_announcements(self, name: str, announcements: Announcements) -> None:
        now = self._clock()
        for row in announcements.rows:
            self._apply(
                self.participant.handle_announcement(
                    now, name, row, lambda dest: destination_health(self.policy, now, dest)
                )
            )

    def gauges(self) -> dict[str, int]:
        """For the operators' figures."""
        kept = self.coordinator.destinations.values() if self.coordinator else ()
        out = sum(bool(case.down) for case in kept)
        return {
            "pursued": len(self.participant.destinations),
            "kept": len(kept),
            "kept_out": out,
            **self.participant.counts,
        }
