"""A sender's side: turns to try a partner that is out, and its share of what one bears that has just returned.

`tick` is given what the module shows of each partner in trouble (`Reading`) and returns asks for keepers and events
for the module.  A sender without a fresh reply goes on by itself, within its own part of the cold budget: as one of N
that never talked, and from a moment drawn at random, since all that lose their keeper lose it at once.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from kestreltrack.decision import HealthReported, QuotaLeased, RetryAfterReceived
from kestreltrack.fleet.outage_probing.wire import (
    MAX_AGE_MS,
    AnnouncementRow,
    ReportedState,
    RequestRow,
    ResponseRow,
    age_ms,
    coordinator_of,
)
from kestreltrack.fleet.quota_leases import LeaseHolder, QuotaLeaseParameters

REQUEST_INTERVAL_MS = 500.0  # between asks about one partner: four within a grant
SUCCESS_FRESH_MS = 2000.0  # after its last success a sender says no longer that the partner is up
PROBE_TURN_MS = (
    1000.0  # in which a turn has to be used, and between trials at the least: the module's own longest pause
)
QUOTA_VALID_MS = 1000.0  # how long the module may go by what it was told; it is told again at half of it
RECOVERY_TAIL_MS = (
    10_000.0  # shares go on after a slow start: what waited since the outage is still being worked off
)
MIN_QUOTA = 1e-6  # told for none of what bears calls again: the module then knows that it waits for nothing
RECOVERY_SHARING_MS = (
    2.0 * RECOVERY_TAIL_MS
)  # after its return a partner is shared out for so long: slow start and tail
REFUTATION_MS = 10_000.0  # who has refuted an outage goes on telling of its successes for so long
DEPOSIT_INTERVAL_MS = 1_500.0  # between asks of one that has no use for its part: three within a deposit
MIN_RETRY_AFTER_MS = (
    500.0  # of a told wait that is left, and by which one is longer than the last: less is not told to others
)
ANNOUNCEMENT_RETENTION_MS = 60_000.0  # what was told of a partner that is in no trouble here


@dataclass(frozen=True, slots=True)
class DestinationHealth:
    """What the module shows of one partner; times on this sender's clock, `rate`: cold budget in calls a second."""

    dest: int
    down: bool  # an outage that no success has ended
    in_slow_start: bool  # in its slow start
    slow_start_since: float  # when that began
    last_success_at: float  # last success
    last_failure_at: float
    last_attempt_at: float  # last call
    probe_in_flight: bool  # a trial is out and not overdue
    demand: float  # of the cold budget, 0 to 1
    slow_start_rate: float
    retry_after_until: float = -math.inf  # told to this sender


@dataclass(slots=True)
class ProbedDestination:
    """One partner in trouble."""

    lease_holder: LeaseHolder
    coordinator: str = ""
    last_unhealthy_at: float = -math.inf  # last time it was out or cold
    last_request_at: float = -math.inf
    last_response_at: float = -math.inf
    last_answered_seq: int = 0  # the newest ask that was answered
    down: bool = False  # the keeper's verdict
    uncoordinated: bool = False  # by its word no matter of the fleet's
    refuting_until: float = -math.inf
    reported_state: ReportedState = ReportedState.UNKNOWN  # as last told
    turn_started_at: float | None = None  # when the right to try came
    next_turn_at: float | None = None  # of a turn that nobody else paces
    standalone: bool = False
    reported_retry_after_until: float = -math.inf  # the longest wait that its keeper was told of
    last_quota: tuple[float, float] = (-1.0, -math.inf)  # what the module was told, and until when


@dataclass(frozen=True, slots=True)
class Announcement:
    """A keeper's word, and when it came."""

    coordinator: str
    epoch: int
    announcement_number: int
    down: bool
    received_at: float
    sharing_ms: float  # how long what it bears is still shared out; 0 where it was never out for who says so


@dataclass(slots=True)
class ProbingActions:
    """What comes of a tick or a datagram."""

    requests: dict[str, list[RequestRow]] = field(default_factory=dict)  # by keeper
    events: list[QuotaLeased | HealthReported | RetryAfterReceived] = field(default_factory=list)
    started_turns: list[int] = field(default_factory=list)  # partners that it is this sender's turn to try


class ProbingParticipant:
    """One sender's side for all partners."""

    def __init__(
        self, started_at: float, seq: int, seed: int, parameters: QuotaLeaseParameters | None = None
    ) -> None:
        """`seq`: above all asks of the processes before this one, best the time of its start."""
        self.parameters, self.started_at, self.seq = parameters or QuotaLeaseParameters(), started_at, seq
        self.random = random.Random(seed)
        self.destinations: dict[int, ProbedDestination] = {}
        self.counts = {
            "turns": 0,
            "asks": 0,
            "alone": 0,
            "words": 0,
            "words_dropped": 0,
            "refuted": 0,
            "waits": 0,
        }
        self._announcements: dict[int, Announcement] = {}  # the newest about each partner
        self._member_names: list[str] = []
        self._own_quota = 1.0

    def tick(
        self,
        now: float,
        health_reports: Iterable[DestinationHealth],
        member_names: Sequence[str] | None,
        own_quota: float,
    ) -> ProbingActions:
        """To be called ten times a second; `names` are the members, `None` while they are not known.

        `readings` are of partners that are out, cold or pursued (`pursuits`), and have messages here; `part` of each
        cold budget is this sender's own: one over the headcount.
        """
        turn, self._own_quota = ProbingActions(), own_quota
        self._member_names = list(member_names or ())
        busy = {reading.dest: reading for reading in health_reports}
        seen = {dest: reading for dest, reading in busy.items() if self._needs_coordination(now, reading)}
        for dest, reading in seen.items():
            pursuit = self._destination(now, dest, reading.slow_start_rate)
            if reading.down or reading.in_slow_start:
                pursuit.last_unhealthy_at = now
            self._update_standalone(now, pursuit, reading)
            if pursuit.standalone or (pursuit.last_answered_seq and not pursuit.uncoordinated):
                self._emit_quota(now, dest, pursuit, self._usable_quota(now, pursuit, reading, turn), turn)
            else:  # until its keeper has answered, and where the fleet is not concerned, it goes by itself as ever
                pursuit.turn_started_at = None
                self._revoke_quota(now, dest, pursuit, turn)
            if (
                now - pursuit.last_request_at >= REQUEST_INTERVAL_MS
                or _reported_state(now, reading) is not pursuit.reported_state
            ):
                want = 1.0 if reading.down else reading.demand
                self._add_request(now, pursuit, reading, want, turn)
        for reading in busy.values():
            self._forward_retry_after(now, reading, turn)
        for dest in [dest for dest in self.destinations if dest not in seen]:
            if dest in busy or not self._deposit_unused_quota(now, dest, turn):
                self._release(now, dest, turn)
        self._announcements = {
            dest: word
            for dest, word in self._announcements.items()
            if now - word.received_at < ANNOUNCEMENT_RETENTION_MS
        }
        return turn

    def _forward_retry_after(self, now: float, health: DestinationHealth, actions: ProbingActions) -> None:
        """A wait that this sender was told is told to its keeper, and by it to all."""
        if health.retry_after_until - now < MIN_RETRY_AFTER_MS:
            return
        pursuit = self._destination(now, health.dest, health.slow_start_rate)
        if health.retry_after_until >= pursuit.reported_retry_after_until + MIN_RETRY_AFTER_MS:
            pursuit.reported_retry_after_until = health.retry_after_until
            if pursuit.last_request_at < now:
                want = 1.0 if health.down else health.demand if health.in_slow_start else 0.0
                self._add_request(now, pursuit, health, want, actions, not health.down)

    def _deposit_unused_quota(self, now: float, dest: int, actions: ProbingActions) -> bool:
        """Whether others share out what this one has no use for: it is in trouble by its keeper's word."""
        word, pursuit = self._announcements.get(dest), self.destinations[dest]
        if (
            word is None
            or pursuit.standalone
            or now - word.received_at > (ANNOUNCEMENT_RETENTION_MS if word.down else word.sharing_ms)
        ):
            return False
        pursuit.standalone = (
            now - max(pursuit.last_response_at, word.received_at) > self.parameters.deposit_ms
        )
        if now - pursuit.last_request_at >= DEPOSIT_INTERVAL_MS:
            self._add_request(now, pursuit, _unused_health(now, dest), 0.0, actions)
        # Its next message may come at any moment: the module has to know by then.
        share = 0.0 if word.down else max(MIN_QUOTA, pursuit.lease_holder.usable_quota(now))
        self._emit_quota(now, dest, pursuit, share, actions, 2.0 * DEPOSIT_INTERVAL_MS)
        return True

    def _needs_coordination(self, now: float, health: DestinationHealth) -> bool:
        pursuit = self.destinations.get(health.dest)
        lasts = pursuit is not None and now < max(
            pursuit.last_unhealthy_at + RECOVERY_TAIL_MS, pursuit.refuting_until
        )
        return health.down or health.in_slow_start or lasts

    def _destination(self, now: float, dest: int, slow_start_rate: float) -> ProbedDestination:
        if dest not in self.destinations:  # its keeper is given time to answer
            pursuit = ProbedDestination(
                LeaseHolder(self.parameters, self._own_quota, self.started_at, seq=self.seq),
                last_response_at=now,
            )
            pursuit.next_turn_at = now + self.random.random() * self._turn_interval_ms(
                slow_start_rate * self._own_quota
            )
            self.destinations[dest] = pursuit
        pursuit = self.destinations[dest]
        pursuit.lease_holder.own_quota = self._own_quota
        return pursuit

    # By itself or with others --------------------------------------------------------------------

    def _update_standalone(
        self, now: float, destination: ProbedDestination, health: DestinationHealth
    ) -> None:
        """No keeper answers: go on alone, from a moment within the space between calls that all are alone with."""
        alone = now - destination.last_response_at > self.parameters.grant_ms
        if alone and not destination.standalone:
            self.counts["alone"] += 1
            destination.next_turn_at = now + self.random.random() * self._turn_interval_ms(
                health.slow_start_rate * self._own_quota
            )
        destination.standalone = alone

    @staticmethod
    def _turn_interval_ms(rate: float) -> float:
        return max(PROBE_TURN_MS, 1000.0 / max(rate, 1e-6))

    def _usable_quota(
        self, now: float, destination: ProbedDestination, health: DestinationHealth, actions: ProbingActions
    ) -> float:
        """Of the cold budget; while the partner is out over 0 only for one trial."""
        holder, amount = destination.lease_holder, destination.lease_holder.usable_quota(now)
        if not health.down:
            destination.turn_started_at = None
            return max(MIN_QUOTA, amount)
        paced = destination.down and not destination.standalone  # by the keeper, who lends all to one
        if paced:
            amount = holder.granted_amount(now)
        if destination.turn_started_at is not None:
            tried = health.last_attempt_at >= destination.turn_started_at
            over = not health.probe_in_flight if tried else now - destination.turn_started_at > PROBE_TURN_MS
            if over or amount <= 0.0:
                destination.turn_started_at, destination.next_turn_at = (
                    None,
                    now + self._turn_interval_ms(health.slow_start_rate * amount),
                )
                if paced:  # the next is another's
                    self._add_request(now, destination, health, 0.0, actions)
            return 0.0 if tried or over else amount
        due = paced or destination.next_turn_at is None or now >= destination.next_turn_at
        if amount <= 0.0 or not due:
            return 0.0
        destination.turn_started_at = now
        self.counts["turns"] += 1
        actions.started_turns.append(health.dest)
        return amount

    def _emit_quota(
        self,
        now: float,
        dest: int,
        destination: ProbedDestination,
        quota: float,
        actions: ProbingActions,
        valid_ms: float = QUOTA_VALID_MS,
    ) -> None:
        given, until = destination.last_quota
        if quota != given or until - now < valid_ms / 2.0:
            destination.last_quota = (quota, now + valid_ms)
            actions.events.append(QuotaLeased(dest, quota, now + valid_ms))

    def _revoke_quota(
        self, now: float, dest: int, destination: ProbedDestination, actions: ProbingActions
    ) -> None:
        """What the module was told last holds no longer."""
        if destination.last_quota[1] > now:
            destination.last_quota = (-1.0, -math.inf)
            actions.events.append(QuotaLeased(dest, 1.0, now))

    def _release(self, now: float, dest: int, actions: ProbingActions) -> None:
        """In no trouble here any more: give back what is lent, forget what nobody counts on."""
        pursuit = self.destinations[dest]
        self._revoke_quota(now, dest, pursuit, actions)
        if pursuit.lease_holder.granted_amount(now) > 0.0:
            self._add_request(now, pursuit, _unused_health(now, dest), 0.0, actions)
        elif (
            pursuit.lease_holder.deposited_amount(now) <= 0.0
            and now - pursuit.last_request_at > self.parameters.deposit_ms
        ):
            del self.destinations[dest]

    def stop(self, now: float) -> ProbingActions:
        """This process stops: whoever goes on under its name may use its part from now on."""
        return ProbingActions(
            events=[QuotaLeased(dest, 0.0, now + self.parameters.deposit_ms) for dest in self.destinations]
        )

    # Words to and from keepers -------------------------------------------------------------------

    def _add_request(
        self,
        now: float,
        destination: ProbedDestination,
        health: DestinationHealth,
        demand: float,
        actions: ProbingActions,
        omit_state: bool = False,
    ) -> None:
        """`mute`: whether it is up is not told, since nobody asked."""
        keeper = coordinator_of(health.dest, self._member_names)
        if not keeper:
            return
        state = ReportedState.UNKNOWN if omit_state else _reported_state(now, health)
        seen = health.last_failure_at if health.down else health.last_success_at
        if keeper != destination.coordinator:
            destination.coordinator, destination.down = keeper, False
        ask = destination.lease_holder.make_request(now, keeper, min(1.0, max(0.0, demand)))
        self.seq = max(self.seq, ask.seq)
        destination.last_request_at, destination.reported_state = now, state
        self.counts["asks"] += 1
        actions.requests.setdefault(keeper, []).append(
            RequestRow(
                health.dest,
                ask.seq,
                ask.epoch,
                ask.response_number,
                min(1.0, ask.deposit),
                ask.demand,
                state,
                age_ms(now, seen),
                age_ms(now, health.slow_start_since) if health.in_slow_start else MAX_AGE_MS,
                health.slow_start_rate,
                age_ms(health.retry_after_until, now),
            )
        )

    def handle_response(self, now: float, coordinator: str, row: ResponseRow) -> None:
        """A keeper's reply; one that is late or from another than the keeper of the moment changes nothing."""
        pursuit = self.destinations.get(row.dest)
        if pursuit is None or coordinator != pursuit.coordinator or row.seq < pursuit.last_answered_seq:
            return
        if now - pursuit.lease_holder.pending_requests.get(row.seq, -math.inf) > self.parameters.grant_ms:
            return
        fresh = pursuit.lease_holder.epoch
        pursuit.lease_holder.handle_response(now, coordinator, row.to_lease_response())
        pursuit.last_response_at, pursuit.last_answered_seq, pursuit.down, pursuit.uncoordinated = (
            now,
            row.seq,
            row.down,
            row.uncoordinated,
        )
        if pursuit.lease_holder.epoch != fresh:
            pursuit.last_request_at = -math.inf  # known to it now: deposits count from the next ask on

    def handle_announcement(
        self,
        now: float,
        coordinator: str,
        row: AnnouncementRow,
        read_health: Callable[[int], DestinationHealth | None],
    ) -> ProbingActions:
        """A keeper's word to all: only the newest of the keeper of the moment counts; newer evidence refutes it.

        A partner that the module does not know (`read` gives none), or whose routes fail apart, concerns nobody here.
        """
        turn, reading = ProbingActions(), read_health(row.dest)
        if reading is None:
            return turn
        before = self._announcements.get(row.dest)
        stale = (
            before
            and before.coordinator == coordinator
            and (before.epoch, before.announcement_number) >= (row.epoch, row.announcement_number)
        )
        if stale or coordinator != coordinator_of(row.dest, self._member_names):
            self.counts["words_dropped"] += 1
            return turn
        lasts = RECOVERY_SHARING_MS if row.down is False and row.up_age_ms < MAX_AGE_MS else 0.0
        refutes = bool(row.down) and not reading.down and now - reading.last_success_at < SUCCESS_FRESH_MS
        self._announcements[row.dest] = Announcement(
            coordinator, row.epoch, row.announcement_number, bool(row.down) and not refutes, now, lasts
        )
        self.counts["words"] += 1
        pursuit = self._destination(now, row.dest, reading.slow_start_rate)
        pursuit.standalone = False
        until = now + row.retry_after_ms
        if row.retry_after_ms > 0.0 and reading.retry_after_until < until - MIN_RETRY_AFTER_MS:
            self.counts["waits"] += 1
            turn.events.append(RetryAfterReceived(row.dest, until, rejected=False))
        if row.down is None:
            return turn
        if refutes:
            self.counts["refuted"] += 1
            pursuit.refuting_until, pursuit.uncoordinated = now + REFUTATION_MS, True
            self._add_request(now, pursuit, reading, reading.demand if reading.in_slow_start else 0.0, turn)
        else:
            turn.events.append(
                HealthReported(row.dest, not row.down, now - row.observation_age_ms, now - row.up_age_ms)
            )
            if row.down and pursuit.turn_started_at is None:
                self._emit_quota(now, row.dest, pursuit, 0.0, turn)
        return turn


def _reported_state(now: float, health: DestinationHealth) -> ReportedState:
    """What a sender says of it."""
    return (
        ReportedState.DOWN
        if health.down
        else ReportedState.UP
        if now - health.last_success_at < SUCCESS_FRESH_MS
        else ReportedState.UNKNOWN
    )


def _unused_health(now: float, dest: int) -> DestinationHealth:
    """What the module shows of a partner that it has nothing to do with."""
    return DestinationHealth(dest, False, False, now, -math.inf, -math.inf, -math.inf, False, 0.0, 0.0)
