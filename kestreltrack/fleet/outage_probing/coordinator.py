"""The keeper's side: whether a partner is out, whose turn it is to try it, who may use how much after its return.

A partner is out while a sender says so and none has had a success for `UP_MS`: one whose own network is broken stops
nobody else, and one that serves some calls is no matter of the fleet's.  While it is out all that lies here in
deposits is lent to one sender at a time; it gives it back after one trial, and the next turn comes `TURN_MS` later,
or as much later as the pool asks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kestreltrack.fleet.outage_probing.participant import (
    MIN_RETRY_AFTER_MS,
    PROBE_TURN_MS,
    RECOVERY_SHARING_MS,
    REQUEST_INTERVAL_MS,
)
from kestreltrack.fleet.outage_probing.wire import (
    MAX_AGE_MS,
    AnnouncementRow,
    ReportedState,
    RequestRow,
    ResponseRow,
    age_ms,
)
from kestreltrack.fleet.quota_leases import LeaseGrantor, QuotaLeaseParameters

DOWN_REPORT_TTL_MS = 5000.0  # how long a report counts that it is out: ten asks
UP_REPORT_TTL_MS = (
    2500.0  # after a success anywhere it is not out; 0.5 s more than senders say so, for the way
)
ANNOUNCEMENT_REPEATS, ANNOUNCEMENT_REPEAT_MS = (
    3,
    200.0,
)  # a word goes so many times to all: at a loss of 10% one in a thousand misses it
MAX_DESTINATIONS = 10_000  # partners that one keeper keeps: memory is bounded, whatever is asked


@dataclass(slots=True)
class CoordinatedDestination:
    """One partner."""

    grantor: LeaseGrantor
    down_reports: dict[str, tuple[float, float]] = field(default_factory=dict)  # until when, and last failure
    up_reports: dict[str, tuple[float, float, float]] = field(
        default_factory=dict
    )  # until when, last success, up since
    down: bool | None = None  # the verdict; none before the first report
    recovered_at: float = -math.inf  # since when it is up after an outage
    turn_holder: str = ""  # whose turn it is
    last_turn_holder: str = ""  # who had the last turn
    next_turn_at: float = -math.inf  # of a turn
    last_request_at: float = 0.0
    announcement_number: int = 0  # of words
    repeats_left: int = 0  # how often the last word is still to be told
    next_repeat_at: float = 0.0
    retry_after_until: float = -math.inf  # told to one of its askers


class ProbingCoordinator:
    """All partners that this member keeps."""

    def __init__(self, epoch: int, parameters: QuotaLeaseParameters | None = None) -> None:
        """`epoch`: the start of this process; a later process of the same name has a larger one."""
        self.epoch, self.parameters = epoch, parameters or QuotaLeaseParameters()
        self.destinations: dict[int, CoordinatedDestination] = {}
        # Numbers of words and replies are this process's own: a case that comes anew is not taken for the old one.
        self._announcement_number, self._response_number = 0, 0

    def handle_request(self, now: float, sender: str, row: RequestRow) -> ResponseRow | None:
        """Take a report and an ask; `None` to one that is older than another of that sender, or over the bound."""
        case = self.destinations.get(row.dest)
        if case is None:
            if len(self.destinations) >= MAX_DESTINATIONS:
                return None
            case = self.destinations[row.dest] = CoordinatedDestination(
                LeaseGrantor(self.parameters, self.epoch, self._response_number)
            )
        if row.seq <= case.grantor.latest_request.get(sender, 0):
            return None
        case.last_request_at = now
        self._record_report(now, case, sender, row)
        self._update_verdict(now, case)
        if case.turn_holder == sender and row.demand <= 0.0:
            self._end_turn(now, case, row.slow_start_rate)
        reply = case.grantor.handle_request(
            now, sender, row.to_lease_request(), self._exclusive_grant(now, case, sender)
        )
        assert reply
        self._response_number = max(self._response_number, reply.response_number)
        if case.down and reply.grant > 0.0:
            case.turn_holder = sender
        # While nothing lies here yet (this process is new) all go by their own floors: nobody would try at all.
        out = bool(case.down) and case.grantor.available_pool(now) > 0.0
        free = not case.down and now - case.recovered_at > RECOVERY_SHARING_MS
        return ResponseRow(
            row.dest, reply.seq, reply.epoch, reply.response_number, min(1.0, reply.grant), out, free
        )

    def _record_report(
        self, now: float, destination: CoordinatedDestination, sender: str, row: RequestRow
    ) -> None:
        destination.down_reports.pop(sender, None)
        if row.state is ReportedState.DOWN:
            destination.down_reports[sender] = (now + DOWN_REPORT_TTL_MS, now - row.observation_age_ms)
            destination.up_reports.pop(sender, None)
        elif row.state is ReportedState.UP:
            destination.up_reports[sender] = (
                now - row.observation_age_ms + UP_REPORT_TTL_MS,
                now - row.observation_age_ms,
                now - row.up_age_ms,
            )
        if now + row.retry_after_ms >= max(now, destination.retry_after_until) + MIN_RETRY_AFTER_MS:
            destination.retry_after_until = now + row.retry_after_ms
            self._schedule_announcement(now, destination, 1)

    def _update_verdict(self, now: float, destination: CoordinatedDestination) -> None:
        destination.down_reports = {
            name: said for name, said in destination.down_reports.items() if said[0] > now
        }
        destination.up_reports = {
            name: said for name, said in destination.up_reports.items() if said[0] > now
        }
        out = False if destination.up_reports else True if destination.down_reports else destination.down
        if out is not None and out != destination.down:
            if destination.down:
                destination.recovered_at = min(at for _, _, at in destination.up_reports.values())
            if out or destination.down:
                self._schedule_announcement(now, destination, ANNOUNCEMENT_REPEATS)
            destination.down, destination.turn_holder = out, ""

    def _schedule_announcement(self, now: float, destination: CoordinatedDestination, repeats: int) -> None:
        self._announcement_number += 1
        destination.announcement_number, destination.repeats_left, destination.next_repeat_at = (
            self._announcement_number,
            max(destination.repeats_left, repeats),
            now,
        )

    def _exclusive_grant(self, now: float, destination: CoordinatedDestination, sender: str) -> bool | None:
        """All, nothing, or (not out) a fair share."""
        if not destination.down:
            return None
        if destination.turn_holder not in ("", sender) and self._has_active_grant(now, destination):
            return False
        # Who had the last turn lets the others ask first: else one that cannot reach the partner might keep it.
        again = (
            2.0 * REQUEST_INTERVAL_MS
            if destination.last_turn_holder == sender and len(destination.down_reports) > 1
            else 0.0
        )
        return now >= destination.next_turn_at + again

    @staticmethod
    def _has_active_grant(now: float, destination: CoordinatedDestination) -> bool:
        return any(until > now for _, until in destination.grantor.grants.get(destination.turn_holder, ()))

    def _end_turn(self, now: float, destination: CoordinatedDestination, slow_start_rate: float) -> None:
        pool = slow_start_rate * destination.grantor.available_pool(now)
        destination.last_turn_holder, destination.turn_holder, destination.next_turn_at = (
            destination.turn_holder,
            "",
            now + max(PROBE_TURN_MS, 1000.0 / max(pool, 1e-3)),
        )

    def due_announcements(self, now: float) -> list[AnnouncementRow]:
        """What all members are to be told now; to be called ten times a second."""
        rows = list[AnnouncementRow]()
        for dest, case in list(self.destinations.items()):
            self._update_verdict(now, case)
            if case.repeats_left and now >= case.next_repeat_at:
                case.repeats_left, case.next_repeat_at = case.repeats_left - 1, now + ANNOUNCEMENT_REPEAT_MS
                rows.append(self._announcement(now, dest, case))
            if now - case.last_request_at > 2.0 * DOWN_REPORT_TTL_MS and not case.repeats_left:
                del self.destinations[dest]
        return rows

    def outage_announcements(self, now: float) -> list[AnnouncementRow]:
        """What a member that has just come has to be told: the last word about each partner that is out."""
        return [self._announcement(now, dest, case) for dest, case in self.destinations.items() if case.down]

    def _announcement(self, now: float, dest: int, destination: CoordinatedDestination) -> AnnouncementRow:
        wait = age_ms(destination.retry_after_until, now)
        if destination.down is None:
            return AnnouncementRow(dest, self.epoch, destination.announcement_number, None, 0.0, 0.0, wait)
        if destination.down:
            seen = max((at for _, at in destination.down_reports.values()), default=now)
            return AnnouncementRow(
                dest, self.epoch, destination.announcement_number, True, age_ms(now, seen), 0.0, wait
            )
        seen = max((at for _, at, _ in destination.up_reports.values()), default=-math.inf)
        # Of two that say how long it has been up, the longer one has seen it while the other had not.
        since = min((at for _, _, at in destination.up_reports.values()), default=-MAX_AGE_MS)
        return AnnouncementRow(
            dest,
            self.epoch,
            destination.announcement_number,
            False,
            age_ms(now, seen),
            age_ms(now, since),
            wait,
        )
