"""All decisions of a relay that delivers messages to other firms' systems; the interface is in `api.py`.

The ordinary path is Redemptive Fair Queuing; `docs/design.md` describes it and lists every exception."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Sequence
from dataclasses import replace

from kestreltrack.decision.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailMessage,
    PollEndpointList,
    RejectMessage,
    SetTimer,
    StartAttempt,
)
from kestreltrack.decision.events import (
    AttemptEnded,
    DiscoveryFailed,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    HealthReported,
    MessageArrived,
    MessageWithdrawn,
    QuotaLeased,
    RetryAfterReceived,
    SenderCountChanged,
    ShutdownStarted,
    TimerExpired,
)
from kestreltrack.decision.outcomes import Outcome
from kestreltrack.decision.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    KindSettings,
    PriorityDecay,
    RateAccuracy,
    Settings,
)

CAP_WELL, CAP_SICK = 0.75, 0.5  # share of the slots for one destination; for a sick one
LEARN = 0.2  # weight of the newest latency: follows a slow-down within about five calls
TICK_MS = 50.0  # how often silence, expiry and pauses are looked at: small beside any aim
OVERDUE_MS, OVERDUE_SIZES = 1000.0, 5.0  # before, nor before so many usual latencies, no call is overdue
CANCEL_OVERDUES, FULL_OVERDUES = 5.0, 2.0  # spans until a silent call is called off; while no slot is free
LAST_MS, LAST_SIZES = 150.0, 2.0  # of its time left when it is given up; usual latencies left for an attempt
PAUSE_MS = 250.0  # first pause after a failure, and of a message that was not sent
PAUSE_MOST_MS = 1000.0  # longest one, if the cold budget bears it: an outage's end is worth knowing at once
REFUSED_SPACES = 0.1  # the same after a refusal, in spaces of the own cold part: the limit is that of all
OUTAGE_STREAK = 4  # failures in a row, each newer than the last one's answer, that make an outage,
OUTAGE_MS = 2000.0  # or this span of nothing but failures or refusals: a spent limit refuses too,
OUTAGE_SHARE = 0.5  # or this recent share of failures, refusals aside: an outage is when most calls fail
FAIL_LEARN = 0.15  # weight of the newest call in that share: about seven calls are remembered
SLOW_START_RATE_MARGIN, APPROXIMATE_RATE_MARGIN = (
    0.9,
    0.65,
)  # of the cold budget: batches weigh too; rough rates: 1 / 1.5
DEFAULT_RATE_PER_S, FLOW_MS = 2.0, 1000.0  # least calls a second where nobody tells; half-life of their count
CUBIC, CUBIC_S = 0.05, 1.6  # a learnt limit grows as by CUBIC: slow near where it was met, then ever faster
PACE_CUT = 0.8  # pace after a refusal, from two even parts at most: waits and pauses act as well
PACE_GAIN = 0.15  # even parts regained in a second where all of the limit is left, less where less is
PACE_LOW = 0.25  # of the limit left: with less all keep to their parts, down to half, before any is refused
PACE_FLOOR = 0.3  # even parts: the pace never falls below
HANDSHAKE_MS = 200.0  # what a new connection is taken to cost in time and price
REUSE_SIZES = 3.0  # usual latencies between calls up to which one is kept idle where connections are short
CROWDING = 0.3  # growth of the expected time with each call that is out at an endpoint
FEE_MS = 15000.0  # milliseconds that a whole point of fee is worth when routes are compared
SHED_AT = 0.85  # share of the hold from which what has stayed is handed back, the longest wait first
STAY = 0.7  # share of its time for which a message stays that was taken on and surely has not run
HELD_WELL, HELD_SICK = 6.0, 2.0  # most that a destination may hold at an arrival, in times of the free room
ASK_MS, ASK_MOST_MS, ASK_FEW_MS, ASK_SPACE_MS, ASK_SHARE = 600.0, 3500.0, 2000.0, 20.0, 0.4  # see `_ask`
STOP_SIZES = 3.0  # usual latencies that must be left before a stop: most calls end within them

NEVER, UNLIMITED = -1e18, float("inf")  # before any clock; after any, or more than any bucket holds


class Call:
    """One call out: a slot, one or more messages, one fate."""

    def __init__(self, endpoint: Endpoint, sent: float) -> None:
        self.endpoint, self.started_at = endpoint, sent
        self.attempts, self.cancelled = (
            dict[str, int](),
            set[str](),
        )  # still to end, with their attempt; called off
        self.evidence_used = self.overdue = self.new_connection = (
            False  # evidence, silence counted; on a new connection
        )


class KeyQueue:
    """Messages of one key in order of arrival; an attempt out or in doubt holds the key."""

    def __init__(self) -> None:
        self.messages, self.in_flight, self.settling_until, self.settling_message = (
            dict[str, Message](),
            0,
            NEVER,
            "",
        )


class Message:
    """A message held, with its tags; `doubt`, `zone`: when and where the first try went that may have run."""

    def __init__(self, event: MessageArrived, cls: ClassSettings, dest: Destination, order: int) -> None:
        self.id, self.class_settings, self.destination, self.expires = event.id, cls, dest, event.expires
        self.latency_objective_at = (
            event.expires - cls.deadline_ms + cls.latency_objective_ms
        )  # counted from the client's first try
        self.start_tag, self.finish_tag, self.sequence, self.retry_not_before = (
            0.0,
            0.0,
            order,
            NEVER,
        )  # rest: not sent
        self.ambiguous_since, self.ambiguous_zone = (
            UNLIMITED if event.ambiguous_since is None else event.ambiguous_since,
            event.ambiguous_zone,
        )
        self.accepted, self.protected_until = (
            event.accepted,
            NEVER,
        )  # stays: until then, where it surely has not run
        self.key_queue: KeyQueue | None = None
        self.attempts, self.uncounted_attempts = (
            event.attempts,
            0,
        )  # attempts; those of them that never left here

    def safe_to_retry(self) -> bool:  # the client may be told that trying again does no harm
        return not (self.bound() or self.unsafe())

    def unsafe(self) -> bool:  # it may have run and must not run twice
        return (
            self.ambiguous_since < UNLIMITED and self.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT
        )

    def ends(self) -> float:  # when it is given up: no attempt may go any more, and it need not stay
        forgets = (
            self.ambiguous_since + self.class_settings.deduplication_window_ms
            if self.class_settings.idempotency is Idempotency.KEYED
            else self.expires
        )
        last = self.expires - LAST_SIZES * self.destination.mean_latency_ms - LAST_MS
        return min(
            last if self.ambiguous_since < UNLIMITED else max(last, self.protected_until),
            min(self.expires, forgets) - LAST_MS,
        )

    def blocking_rule(
        self, now: float, zones: set[str]
    ) -> str:  # its key, or a doubt that no ready endpoint remembers
        line = self.key_queue
        if now < self.retry_not_before:
            return "not sent"
        if line and (line.in_flight or next(iter(line.messages)) != self.id):
            return "key held"
        if line and now < line.settling_until and line.settling_message != self.id:
            return "key rests"
        return "" if self.fits_zones(zones) else "in doubt elsewhere"

    def spent(self, limit: int) -> str:  # why no further attempt may ever go
        return (
            "in doubt"
            if self.unsafe()
            else "try limit"
            if self.attempts - self.uncounted_attempts >= limit
            else ""
        )

    def bound(self) -> bool:  # it may go only where its key is remembered
        return (
            self.ambiguous_since < UNLIMITED
            and self.class_settings.idempotency is Idempotency.KEYED
            and self.class_settings.deduplication_scope is DeduplicationScope.ZONE
        )

    def fits_zones(self, zones: set[str]) -> bool:
        return self.ambiguous_zone in zones or not self.bound()


class CallLimits:
    """Circuit breaker, slow start, told waits and pace of an endpoint or of a whole destination."""

    def __init__(self, settings: Settings, dest: Destination, entry: EndpointEntry, apart: bool) -> None:
        self.safety, self.destination, self.independent = settings.safety, dest, apart
        self.learns_limit = settings.rate_accuracy is RateAccuracy.NONE and not settings.load_reports
        self.base_rate_per_s = (
            DEFAULT_RATE_PER_S
            if settings.rate_accuracy is RateAccuracy.NONE or entry.rate <= 0
            else entry.rate
        )
        self.fair_shares, self.quota_left = (
            float(settings.sender_count),
            1.0,
        )  # in even parts of the limit; what is left of it
        self.cold_rate_per_s = self.base_rate_per_s * (
            1.0 if settings.rate_accuracy is RateAccuracy.EXACT else APPROXIMATE_RATE_MARGIN
        )
        self.sender_count, self.tokens, self.failure_share, self.saved_credit = (
            settings.sender_count,
            max(1.0, self.base_rate_per_s),
            0.0,
            0.0,
        )
        self.consecutive_failures, self.arrivals_before, self.recent_successes = (
            0,
            0,
            0.0,
        )  # before: messages asked until `since`
        self.retry_after_until = self.open_until = self.last_failure_at = self.demand_since = (
            self.rate_updated_at
        ) = self.last_success_at = NEVER
        self.last_call_at = self.credit_updated_at = self.slow_start_from = self.limit_met_at = (
            NEVER  # ramp_from: of the slow start
        )
        self.trial_call: Call | None = None

    def call_interval_ms(
        self, now: float
    ) -> float:  # between calls: all relays keep to the cold budget in sum
        span = max(self.safety.overload_window_ms, now - self.demand_since) / 1000.0
        even, routes = (
            self.cold_rate_per_s / self.sender_count,
            len(self.destination.endpoints) if self.independent else 1,
        )
        share = min(
            self.cold_rate_per_s, (self.destination.arrivals - self.arrivals_before) / span / max(1, routes)
        )
        warm = (
            0.0
            if self.consecutive_failures
            else (now - self.slow_start_from) / max(1.0, self.safety.warm_up_ms)
        )
        able = self.safety.cold_start_share + (1.0 - self.safety.cold_start_share) * min(1.0, max(0.0, warm))
        own = self.cold_rate_per_s * self.lent(now) or max(even, share)
        return 1000.0 / (SLOW_START_RATE_MARGIN * self.safety.overload_factor * able * own)

    def lent(self, now: float) -> float:  # by the fleet, of all that a partner bears which is back
        return (
            self.destination.quota_lease[0]
            if now < self.destination.quota_lease[1] and not self.consecutive_failures
            else 0.0
        )

    def credit(self, now: float) -> float:  # of a call, in a slow start
        return min(1.0, self.saved_credit + (now - self.credit_updated_at) / self.call_interval_ms(now))

    def fail(self, call: Call, now: float, jitter: float, until: float = NEVER) -> None:  # once for a burst
        refused, free = until > NEVER, max(now, until)  # only of a refusal it is given: when its wait is over
        self.failure_share += (1.0 - self.failure_share) * (0.0 if refused else FAIL_LEARN)
        if call.started_at < self.last_failure_at:
            return
        if (
            not self.consecutive_failures
            and self.slow_start_from == NEVER
            and (refused or self.last_success_at == NEVER)
        ):
            self.demand_since, self.arrivals_before = (
                call.started_at,
                self.destination.arrivals - len(self.destination.queued) - 1,
            )  # else they stay
        out, self.consecutive_failures, self.last_failure_at = (
            self.in_outage(),
            self.consecutive_failures + 1,
            now,
        )
        if refused:  # a limit that all relays share was met: slow down
            pace, tokens = self.rate_and_tokens(now)
            if (
                self.consecutive_failures == 1 and self.learns_limit
            ):  # later ones come after pauses, and tell of no rate
                self.base_rate_per_s = max(self.sender_count * self.flow(now), DEFAULT_RATE_PER_S)
            self.limit_met_at = now
            self.fair_shares, self.tokens, self.rate_updated_at = (
                max(PACE_FLOOR, PACE_CUT * min(pace, 2.0)),
                min(tokens, 1),
                now,
            )
        space = self.call_interval_ms(free)
        most, first = (
            self.safety.overload_window_ms if refused else PAUSE_MOST_MS,
            REFUSED_SPACES * space * refused,
        )
        pause = min(
            max(PAUSE_MS, first) * 2.0 ** min(self.consecutive_failures - 1, 9),
            max(PAUSE_MS, first, most, space),
        )
        if out or self.outage(now, free, refused):  # one lasts until a call works
            self.slow_start_from = now  # chance failures must not start it anew: it would never end
        if self.slow_start_from == now or (self.consecutive_failures > 1 and not refused):
            pause = max(pause, space)
        self.open_until = max(self.open_until, free + pause * jitter)

    def outage(self, now: float, free: float, refused: bool) -> bool:  # more than chance or a spent limit
        lasting = now - (self.demand_since if refused else self.last_success_at) >= OUTAGE_MS
        chance = self.consecutive_failures < OUTAGE_STREAK
        most = free - now >= OUTAGE_MS if refused else self.failure_share >= OUTAGE_SHARE or not chance
        return most or (lasting and not chance if refused else lasting and self.consecutive_failures > 1)

    def in_outage(self) -> bool:  # an outage, and no call has done work since
        return self.consecutive_failures > 0 and self.slow_start_from == self.last_failure_at

    def hear(self, now: float, limit: float, left: float) -> None:  # a report: truer than the list
        pace, self.tokens = self.rate_and_tokens(now)
        self.rate_updated_at, self.base_rate_per_s, self.quota_left = now, limit, left
        self.fair_shares = min(pace, 0.5 + 0.5 * left / PACE_LOW) if left < PACE_LOW else pace

    def rate_and_tokens(self, now: float) -> tuple[float, float]:  # pace, in even parts, and its tokens
        most, gap = self.sender_count * (self.lent(now) or 1.0), (now - self.rate_updated_at) / 1000.0
        told = min(most, self.fair_shares + PACE_GAIN * max(self.quota_left, PACE_LOW) * gap)
        pace = (
            1.0 + CUBIC * ((now - self.limit_met_at) / 1000.0 - CUBIC_S) ** 3 if self.learns_limit else told
        )
        rate = pace * self.base_rate_per_s / self.sender_count
        return pace, min(max(1.0, rate), self.tokens + rate * gap)

    def sent(self, call: Call, now: float) -> None:  # a call goes: a trial while the circuit is open
        self.trial_call, self.last_call_at, self.saved_credit, self.credit_updated_at = (
            call if self.consecutive_failures else None,
            now,
            0.0,
            now,
        )
        pace, tokens = self.rate_and_tokens(now)
        self.fair_shares, self.tokens, self.rate_updated_at = pace, tokens - 1.0, now

    def flow(self, now: float) -> float:  # calls a second that were taken of late
        return float(
            self.recent_successes * 0.5 ** ((now - self.last_success_at) / FLOW_MS) * 693.0 / FLOW_MS
        )

    def succeed(self, now: float) -> None:  # closes the circuit; after an outage the slow start begins now
        self.recent_successes = 1.0 + self.recent_successes * 0.5 ** ((now - self.last_success_at) / FLOW_MS)
        self.failure_share, self.consecutive_failures, self.last_success_at = (
            self.failure_share - self.failure_share * FAIL_LEARN,
            0,
            now,
        )
        self.cold_rate_per_s = max(
            self.cold_rate_per_s,
            self.learns_limit * APPROXIMATE_RATE_MARGIN * self.sender_count * self.flow(now),
        )  # it bore that
        if (
            self.slow_start_from == self.last_failure_at > NEVER
        ):  # not before a told wait is over: it is shut until then
            self.slow_start_from, self.open_until = (
                max(now, self.retry_after_until, self.destination.retry_after_until),
                NEVER,
            )
        elif now - self.slow_start_from > self.safety.warm_up_ms:
            self.slow_start_from, self.open_until, self.demand_since = NEVER, NEVER, now
            self.arrivals_before = (
                self.destination.arrivals - len(self.destination.queued) - 1
            )  # what waits is asked for as well

    def retry_after_active(self, now: float) -> bool:  # also another's; it outlasts endpoints
        return now < max(self.retry_after_until, self.destination.retry_after_until)

    def blocking_rule(
        self, now: float
    ) -> str:  # a wait or pause, no pace left, a trial or slow start not in turn
        if self.retry_after_active(now):
            return "told wait"
        if now < self.destination.quota_lease[1] and not self.destination.quota_lease[0]:
            return "fleet tries"
        if now < self.open_until:
            return "circuit open"
        if self.rate_and_tokens(now)[1] < 1.0:
            return "pace"
        guess = (
            self.last_failure_at == NEVER and now - self.last_call_at >= OVERDUE_MS
        )  # since a restart: none was seen
        if self.consecutive_failures and not guess:
            return "trial out" if self.trial_call and not self.trial_call.overdue else ""
        return (
            ""
            if not (self.consecutive_failures or self.slow_start_from > NEVER) or self.credit(now) >= 1.0
            else "slow start"
        )


class Endpoint:
    """One listed endpoint; `bias`: where all relays see the same, not all may choose the same."""

    def __init__(self, entry: EndpointEntry, dest: Destination, settings: Settings, bias: float) -> None:
        kind = settings.kinds.get(entry.kind, KindSettings())
        self.name, self.zone, self.destination, self.kind = entry.endpoint, entry.zone, dest, entry.kind
        self.limits = [CallLimits(settings, dest, entry, kind.independent_endpoints)]  # the last is its own
        if not kind.independent_endpoints:
            dest.limits = dest.limits or CallLimits(settings, dest, entry, False)
            self.limits.insert(0, dest.limits)
        self.fixed_cost_ms = (
            FEE_MS * settings.zone_costs.get(entry.zone, 0.0) * kind.independent_endpoints
            + HANDSHAKE_MS * bias
        )
        self.accepts_calls, self.listed, self.mean_latency_ms, self.connections, self.max_batch_size = (
            True,
            True,
            0.0,
            0,
            kind.max_batch_size,
        )
        self.last_call_at, self.last_answer_at, self.call_gap_ms, self.calls = (
            NEVER,
            NEVER,
            0.0,
            dict[Call, None](),
        )

    def ready(self, now: float) -> bool:  # listed, not draining, and every guard admits a call
        return self.accepts_calls and not any(g.blocking_rule(now) for g in self.limits)

    def is_unhealthy(self) -> bool:  # the last evidence, here or of the whole destination, was a failure
        return any(g.consecutive_failures for g in self.limits)


class Destination:
    """A destination's deficit token bucket, its held messages and its endpoints."""

    def __init__(self) -> None:
        self.endpoints, self.queued = dict[str, Endpoint](), dict[str, Message]()
        self.limits: CallLimits | None = None  # none where routes are apart
        self.tokens = (
            UNLIMITED  # cut to sigma at the next arrival: the bucket was retired, or refilled while idle
        )
        (
            self.in_flight,
            self.mean_latency_ms,
            self.latency_objective_ms,
            self.last_arrival_at,
            self.max_start_tag,
        ) = 0, 0.0, 0.0, 0.0, 0.0
        self.arrivals, self.unhealthy, self.virtual_time_shift = (
            0,
            False,
            0.0,
        )  # shift: of the tags, when last busy
        self.retry_after_until, self.quota_lease = (
            NEVER,
            (0.0, NEVER),
        )  # another's told wait; the cold share lent, until when

    def overdue_ms(self) -> float:  # a call without an answer for so long counts as a failure
        return max(
            OVERDUE_MS,
            min(
                OVERDUE_SIZES * (self.mean_latency_ms or self.latency_objective_ms),
                2.0 * self.latency_objective_ms,
            ),
        )


class Policy:
    """The decisions of one relay: `step` takes the events of a moment and returns the actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now, self.virtual_time_shift, self.in_flight = (
            NEVER,
            0.0,
            0,
        )  # shift: how far the tags were shifted back in all
        self.destinations, self.key_queues = dict[int, Destination](), dict[int, KeyQueue]()
        self.active_destinations = dict[
            int, Destination
        ]()  # hold messages or have calls out: steps walk only these
        self.expiry_heap = list[tuple[float, int, str]]()  # heap: when a message may have to be given up
        self.sequence, self.shutdown_deadline = (
            0,
            UNLIMITED,
        )  # of the newest message: ties go by arrival; of the relay
        self.scarce_connection_kinds, self.draining_destinations = (
            set[str](),
            set[int](),
        )  # kinds short of connections; with endpoints gone
        self.messages, self.actions = dict[str, Message](), list[Action]()
        self.calls: dict[tuple[str, int], tuple[Call, KeyQueue | None]] = {}
        self.timer_is_set, self.subscribed, self.next_poll_at, self.poll_backoff_ms = (
            False,
            not settings.must_poll,
            NEVER,
            0.0,
        )

    def step(self, now: float, events: Iterable[Event]) -> Sequence[Action]:  # both of the below
        for event in events:
            self.handle(now, event)
        return self.decide(now)

    def handle(self, now: float, event: Event) -> None:  # learn of it; the next `decide` says what to do
        self._advance(now)
        if not isinstance(event, AttemptEnded) or (event.id, event.attempt) in self.calls:
            getattr(self, f"_{type(event).__name__.lower()}")(event)

    def decide(self, now: float) -> Sequence[Action]:  # about all that was taken since, in order
        self._advance(now)
        for decide in (self._ask, self._watch_calls, self._give_up, self._dispatch, self._rest):
            decide()
        if not self.timer_is_set and (self.messages or self.calls or not self.subscribed):
            self.timer_is_set = True
            self.actions.append(SetTimer(TICK_MS, 0))
        actions, self.actions = self.actions, []
        return actions

    def _advance(self, now: float) -> None:
        if now < self.now:
            raise ValueError(f"time went backwards: {now} after {self.now}")
        self.now = now

    def permits(
        self, now: float, dest: int, endpoint_name: str
    ) -> bool:  # asked again once a connection is up
        endpoint = self.destinations[dest].endpoints.get(endpoint_name) if dest in self.destinations else None
        return bool(endpoint and endpoint.accepts_calls and not endpoint.limits[0].retry_after_active(now))

    def _timerexpired(self, event: TimerExpired) -> None:
        self.timer_is_set = False

    def _shutdownstarted(self, event: ShutdownStarted) -> None:
        self.shutdown_deadline = event.deadline

    def _discoveryfailed(self, event: DiscoveryFailed) -> None:
        self.subscribed, gap = not self.settings.must_poll, max(ASK_MS, self.poll_backoff_ms)
        self.next_poll_at += (
            gap * (0.5 + 0.5 * self.random.random()) - ASK_MOST_MS
        )  # from the call, not its end

    def _ask(self) -> None:  # what discovery has counts 6 s after its return: back-off ends below that
        space, share = (
            ASK_SPACE_MS * self.settings.sender_count,
            ASK_SHARE * self.settings.safety.poll_interval_ms,
        )
        if not self.subscribed and self.now >= self.next_poll_at:
            self.poll_backoff_ms, self.next_poll_at = (
                max(ASK_MS, space, self.poll_backoff_ms * 2.0),
                self.now + ASK_MOST_MS,
            )
            self.poll_backoff_ms = min(
                self.poll_backoff_ms, max(ASK_FEW_MS, space), ASK_MOST_MS, share
            )  # few: two tries
            self.actions.append(PollEndpointList())

    def _endpointsupdated(self, news: EndpointsUpdated) -> None:
        self.subscribed, self.poll_backoff_ms = (
            (self.subscribed, self.poll_backoff_ms) if news.cached else (True, 0.0)
        )
        touched = {entry.dest for entry in news.entries}.union(
            self.draining_destinations, self.destinations if news.complete else ()
        )
        for end in (
            e for d in (self.destinations.values() if news.complete else ()) for e in d.endpoints.values()
        ):
            end.accepts_calls = end.listed = False
        for entry in news.entries:
            dest = self.destinations.setdefault(entry.dest, Destination())
            if entry.endpoint not in dest.endpoints:
                dest.endpoints[entry.endpoint] = Endpoint(entry, dest, self.settings, self.random.random())
            dest.endpoints[entry.endpoint].accepts_calls = entry.lifecycle is EndpointLifecycle.UP
            dest.endpoints[entry.endpoint].listed = entry.lifecycle is not EndpointLifecycle.REMOVED
        for number in touched:  # machines are replaced all day long
            dest = self.destinations.get(number) or Destination()
            kept = (
                e
                for e in dest.endpoints.values()
                if e.listed or e.calls or e.limits[0].retry_after_active(self.now)
            )
            dest.endpoints = {endpoint.name: endpoint for endpoint in kept}
            gone = all(e.listed for e in dest.endpoints.values())
            (self.draining_destinations.discard if gone else self.draining_destinations.add)(number)

    def _sendercountchanged(self, event: SenderCountChanged) -> None:  # so many share the limits from now on
        self.settings = replace(self.settings, sender_count=event.sender_count)
        for guard in (g for d in self.destinations.values() for e in d.endpoints.values() for g in e.limits):
            guard.sender_count = event.sender_count

    def _quotaleased(self, event: QuotaLeased) -> None:
        dest = self.destinations.get(event.dest) or Destination()
        if guard := dest.limits:  # what it has waited for counts by the share that it had meanwhile
            guard.saved_credit, guard.credit_updated_at = guard.credit(self.now), self.now
        dest.quota_lease = (event.share, event.until)
        for g in (
            g for e in dest.endpoints.values() for g in e.limits if event.share and e.limits[0].in_outage()
        ):
            g.open_until = NEVER  # the fleet paces the trials of all

    def _healthreported(
        self, event: HealthReported
    ) -> None:  # the fleet's word on what no newer answer here tells
        guard = self.destinations[event.dest].limits if event.dest in self.destinations else None
        if (
            guard
            and event.at >= max(guard.last_success_at, guard.last_failure_at)
            and (event.up or not guard.consecutive_failures)
        ):
            guard.consecutive_failures, guard.slow_start_from, guard.open_until = 0, event.since, NEVER
            guard.saved_credit, guard.credit_updated_at = self.random.random(), self.now  # not all at once
            if not event.up:  # as if that outage had been seen from here
                guard.demand_since, guard.arrivals_before, guard.consecutive_failures = (
                    event.at,
                    guard.destination.arrivals - len(guard.destination.queued),
                    1,
                )
                guard.last_failure_at, guard.slow_start_from, guard.failure_share = (
                    event.at,
                    event.at,
                    OUTAGE_SHARE,
                )

    def _retryafterreceived(
        self, event: RetryAfterReceived
    ) -> None:  # as if a call from here had been refused with it
        dest = self.destinations.setdefault(event.dest, Destination())
        for guard, endpoint in {e.limits[0]: e for e in dest.endpoints.values()}.items():
            if event.rejected and not guard.retry_after_active(self.now):
                guard.fail(Call(endpoint, self.now), self.now, self.random.random(), event.until)
        dest.retry_after_until = max(dest.retry_after_until, event.until)

    def _messagearrived(
        self, event: MessageArrived
    ) -> None:  # hold and tag it; slots are split among all that hold
        cls, dest = self.settings.classes[event.cls], self.destinations.setdefault(event.dest, Destination())
        self.sequence += 1
        message = self.messages[event.id] = Message(event, cls, dest, self.sequence)
        message.protected_until = self.now + STAY * (event.expires - self.now)
        if cls.in_order and event.key is not None:
            message.key_queue = self.key_queues.setdefault(event.key, KeyQueue())
            message.key_queue.messages[message.id] = message
        if event.dest not in self.active_destinations:
            self.active_destinations[event.dest] = dest
            dest.tokens = (
                dest.tokens if dest.virtual_time_shift == self.virtual_time_shift else UNLIMITED
            )  # refilled while idle
        dest.queued[message.id] = message
        dest.arrivals += 1
        if event.attempts and dest.limits and dest.limits.last_call_at == NEVER:
            dest.limits.consecutive_failures = (
                1  # tried before a restart, and held still: a trial tells whether it is sick
            )
        heapq.heappush(self.expiry_heap, (message.ends(), message.sequence, message.id))
        if why := message.spent(self.settings.max_attempts) or self._full(message):  # spent before a restart
            return self._give_final_answer(message, why)
        dest.latency_objective_ms = max(dest.latency_objective_ms, cls.latency_objective_ms)
        rho = self.settings.concurrency_limit / sum(1 for d in self.active_destinations.values() if d.queued)
        size, sigma, virtual = (
            dest.mean_latency_ms or cls.latency_objective_ms,
            rho * dest.latency_objective_ms,
            self.now + self.virtual_time_shift,
        )
        dest.tokens, dest.last_arrival_at = (
            min(sigma, dest.tokens + (self.now - dest.last_arrival_at) * rho),
            self.now,
        )
        lacks = max(0.0, size - dest.tokens) / rho
        message.start_tag = virtual + lacks if dest.tokens > 0 else dest.max_start_tag + size / rho
        dest.max_start_tag, dest.tokens = message.start_tag, dest.tokens - size
        message.finish_tag = message.start_tag + cls.latency_objective_ms

    def _attemptended(self, event: AttemptEnded) -> None:
        call, line = self.calls.pop((event.id, event.attempt))
        endpoint, message = call.endpoint, self.messages.get(event.id)
        del call.attempts[event.id]
        if not call.attempts:
            self.in_flight, endpoint.destination.in_flight = (
                self.in_flight - 1,
                endpoint.destination.in_flight - 1,
            )
            del endpoint.calls[call]
            call.overdue = True  # no trial any more
        if event.outcome is not Outcome.NOT_SENT:
            self._evidence(call, event)
        idle = not endpoint.calls and endpoint.call_gap_ms > REUSE_SIZES * (
            endpoint.destination.mean_latency_ms or endpoint.destination.latency_objective_ms
        )
        if (
            idle and endpoint.kind in self.scarce_connection_kinds
        ):  # those of many relays may fill a small table
            endpoint.connections = 0
            self.actions.append(CloseIdleConnections(endpoint.name))
        if line is not None:
            line.in_flight -= 1
            if event.outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED):
                line.settling_until, line.settling_message = (
                    self.now + self.settings.safety.settle_ms,
                    event.id,
                )
        if message is None or event.final:
            return self._messagewithdrawn(event)
        endpoint.destination.queued[message.id] = message
        if event.outcome.may_have_executed() and message.ambiguous_since > call.started_at:
            message.ambiguous_since, message.ambiguous_zone = call.started_at, endpoint.zone
        if event.outcome is Outcome.NOT_SENT:  # whatever kept it here: at once it would again
            message.retry_not_before, message.uncounted_attempts = (
                self.now + PAUSE_MS,
                message.uncounted_attempts + (not event.counted),
            )
        heapq.heappush(self.expiry_heap, (message.ends(), message.sequence, message.id))
        if why := message.spent(self.settings.max_attempts):
            self._give_final_answer(message, why)

    def _evidence(self, call: Call, event: AttemptEnded) -> None:  # of health, pace and speed where it went
        endpoint, dest, now = call.endpoint, call.endpoint.destination, self.now
        until = now + event.retry_after_ms + (1.0 if event.retry_after_ms > 0 else 0.0)
        endpoint.limits[0].retry_after_until = max(
            endpoint.limits[0].retry_after_until, until
        )  # each of a batch
        for guard in endpoint.limits if event.rate_limit else ():  # none, or 0: no limit is told
            guard.hear(
                now,
                event.rate_limit or guard.base_rate_per_s,
                1.0 if event.quota_left is None else event.quota_left,
            )
        if call.evidence_used:
            return
        call.evidence_used = True
        mute = (
            call.new_connection
            and self.settings.load_reports
            and event.quota_left is None
            and event.retry_after_ms <= 0
        )
        crowded = mute and event.outcome is Outcome.REJECTED  # at the door: no connection was to be had
        if event.outcome is Outcome.UNREACHABLE or crowded:
            self.scarce_connection_kinds.add(endpoint.kind)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            endpoint.last_answer_at = now
        if event.outcome is Outcome.OK:  # an instant failure must not make its destination look cheap
            dest.mean_latency_ms += (event.duration_ms - dest.mean_latency_ms) * (
                LEARN if dest.mean_latency_ms else 1.0
            )
            endpoint.mean_latency_ms += (event.duration_ms - endpoint.mean_latency_ms) * (
                LEARN if endpoint.mean_latency_ms else 1.0
            )
            for guard in endpoint.limits:
                guard.succeed(now)
            return
        if event.outcome is Outcome.TIMED_OUT and event.duration_ms < dest.overdue_ms():
            dest.mean_latency_ms = max(
                dest.mean_latency_ms,
                dest.mean_latency_ms + LEARN * (event.duration_ms - dest.mean_latency_ms),
            )  # so long at least
            return  # the message had no more time left: that says nothing of the destination's health
        if event.stale_connection:
            return  # a kept connection ends for reasons of its own; a new one tells of an outage
        refused = event.outcome is Outcome.REJECTED
        jitter = self.random.random() + (
            0.5 if event.retry_after_ms <= 0 else 0.0
        )  # told waits end for all at once
        for guard in endpoint.limits[-1:] if crowded else endpoint.limits:
            guard.fail(call, now, jitter, until if refused else NEVER)

    def _watch_calls(self) -> None:
        for dest in self.active_destinations.values():
            dest.unhealthy = any(e.is_unhealthy() for e in dest.endpoints.values())
            limit = dest.overdue_ms()
            calls = (c for e in dest.endpoints.values() for c in e.calls) if dest.in_flight else ()
            for call in [c for c in calls if self.now - c.started_at >= limit]:
                dest.unhealthy = True
                self._overdue(call, (self.now - call.started_at) / limit)

    def _overdue(self, call: Call, spans: float) -> None:  # evidence; frees its slot in the end
        silent = (
            call.endpoint.last_answer_at <= call.started_at
        )  # else it answers others: this one is long work
        for guard in call.endpoint.limits if silent and not call.overdue else ():
            guard.fail(call, self.now, 1.0)
        call.overdue = call.overdue or silent
        full = self.in_flight >= self.settings.concurrency_limit
        for id_, attempt in call.attempts.items() if self.settings.may_cancel else ():
            unsafe = (
                id_ in self.messages
                and self.messages[id_].class_settings.idempotency is Idempotency.NOT_IDEMPOTENT
            )
            most = FULL_OVERDUES if full and not unsafe else CANCEL_OVERDUES
            if spans > most and (full or (silent and not unsafe)) and id_ not in call.cancelled:
                call.cancelled.add(id_)
                self.actions.append(CancelAttempt(id_, attempt))

    def _messagewithdrawn(
        self, it: MessageWithdrawn | AttemptEnded | Message
    ) -> None:  # over; calls out hold their keys
        message = self.messages.pop(it.id, None)
        for queue in (
            (message.destination.queued, message.key_queue.messages if message.key_queue else {})
            if message
            else ()
        ):
            queue.pop(it.id, None)

    def _give_final_answer(
        self, message: Message, why: str
    ) -> None:  # given up, at once; `why` is for who traces
        refuse = RejectMessage(message.id, self.settings.max_retry_after_ms)
        self.actions.append(refuse if message.safe_to_retry() else FailMessage(message.id))
        self._messagewithdrawn(message)

    def _full(self, message: Message) -> str:  # admission by dynamic thresholds: room is left for others
        free = self.settings.queue_capacity - len(self.messages) + 1
        most = (HELD_SICK if message.destination.unhealthy else HELD_WELL) * free
        return "hold full" if len(message.destination.queued) > most and not message.accepted else ""

    def _give_up(self) -> None:  # answer what can no longer be delivered, and what has stayed in a full hold
        while self.expiry_heap and self.expiry_heap[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.expiry_heap)[2])
            if message and message.id in message.destination.queued:  # one that is out comes back to the heap
                if message.ends() <= self.now:
                    self._give_final_answer(message, "no time")
                else:  # its destination has become faster
                    heapq.heappush(self.expiry_heap, (message.ends(), message.sequence, message.id))
        while len(self.messages) > SHED_AT * self.settings.queue_capacity:
            held = (
                m
                for d in self.active_destinations.values()
                for m in d.queued.values()
                if m.safe_to_retry() and not m.accepted
            )
            stayed = [m for m in held if m.protected_until <= self.now or m.ambiguous_since < UNLIMITED]
            if not stayed:
                return
            self._give_final_answer(
                max(stayed, key=lambda m: (m.destination.unhealthy, len(m.destination.queued), m.finish_tag)),
                "hold full",
            )

    def _dispatch(self) -> None:  # a free slot takes the eligible message of least finish tag
        waiting = [d for d in self.active_destinations.values() if d.queued]
        firsts = {id(d): self._first(d) for d in waiting if self.in_flight < self.settings.concurrency_limit}
        while self.in_flight < self.settings.concurrency_limit and (
            ready := [m for m in firsts.values() if m]
        ):
            eligible = [m for m in ready if m.start_tag <= self.now + self.virtual_time_shift]
            if eligible:
                message = min(eligible, key=lambda m: m.finish_tag)
                self._send(message)
                firsts[id(message.destination)] = self._first(
                    message.destination
                )  # a send changes no other destination
            else:
                self._synchronize(min(m.start_tag for m in ready))  # slots would idle
                firsts = {id(d): self._first(d) for d in waiting}

    def _synchronize(self, least_start: float) -> None:  # shift tags by the least gap, refill idle buckets
        self.virtual_time_shift += (
            least_start - self.now - self.virtual_time_shift + 1e-6
        )  # beyond the last bit of rounding
        for dest in (
            self.active_destinations.values()
        ):  # the others see at their next arrival that the shift has grown
            dest.tokens = dest.tokens if dest.queued else UNLIMITED

    def _rest(self) -> None:  # forget what is idle, so that a step walks only what holds or is out
        for number in [n for n, d in self.active_destinations.items() if not (d.queued or d.in_flight)]:
            self.active_destinations.pop(number).virtual_time_shift = self.virtual_time_shift
            dest = self.destinations[number]
            if not (
                dest.endpoints or dest.limits or self.now < dest.retry_after_until
            ):  # any number may be asked for
                del self.destinations[number]
        if len(self.key_queues) > 2 * len(self.messages) + 16:  # now and then: keys may rest
            self.key_queues = {
                k: n
                for k, n in self.key_queues.items()
                if n.messages or n.in_flight or self.now < n.settling_until
            }

    def blocking_rule(self, dest: Destination) -> str:  # what holds all messages of a destination, or nothing
        if dest.in_flight >= max(
            1, int(self.settings.concurrency_limit * (CAP_SICK if dest.unhealthy else CAP_WELL))
        ):
            return "cap"
        if (
            self.now + STOP_SIZES * (dest.mean_latency_ms or dest.latency_objective_ms)
            > self.shutdown_deadline
        ):
            return "stopping"
        return (
            dest.limits.blocking_rule(self.now) if dest.limits else ""
        )  # once for all endpoints: most steps find it so

    def _first(self, dest: Destination) -> Message | None:  # of least finish if eligible, else of least start
        if self.blocking_rule(dest):
            return None
        ready = [e for e in dest.endpoints.values() if e.ready(self.now)]
        zones, trial, virtual = (
            {e.zone for e in ready},
            all(e.is_unhealthy() for e in ready),
            self.now + self.virtual_time_shift,
        )

        def rank(m: Message) -> tuple[bool, bool, bool, bool, float]:
            # A trial rather of what may be repeated, then of what a restart found untried; lost worth yields.
            late, ahead = (
                self.now > m.latency_objective_at and self.settings.priority_decay is PriorityDecay.HALVING,
                m.start_tag > virtual,
            )
            unsafe, owed = (
                m.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT,
                m.accepted and m.attempts == 0,
            )
            return trial and unsafe, trial and not owed, late, ahead, m.start_tag if ahead else m.finish_tag

        held = dest.queued.values() if ready else ()
        going = [m for m in held if self.has_time_left(m) and not m.blocking_rule(self.now, zones)]
        return min(going, key=rank, default=None)

    def has_time_left(
        self, message: Message
    ) -> bool:  # whether an attempt that goes now can end before it does
        return message.expires > self.now + LAST_MS + LAST_SIZES * message.destination.mean_latency_ms

    def call_cost_ms(self, endpoint: Endpoint) -> float:  # expected time, connection and fee of a call, in ms
        kept = endpoint.connections if self.now - endpoint.last_call_at <= self.settings.keepalive_ms else 0
        link = HANDSHAKE_MS if kept * self.settings.requests_per_connection <= len(endpoint.calls) else 0.0
        crowd = 1.0 + CROWDING * len(endpoint.calls)
        return (
            (endpoint.mean_latency_ms or endpoint.destination.mean_latency_ms) * crowd
            + endpoint.fixed_cost_ms
            + link
        )

    def _send(self, first: Message) -> None:  # one call to the best endpoint, filled up to its batch
        ready = [
            e
            for e in first.destination.endpoints.values()
            if e.ready(self.now) and first.fits_zones({e.zone})
        ]
        endpoint = min(
            ready, key=lambda e: (e.limits[-1].consecutive_failures > 0, self.call_cost_ms(e))
        )  # one may be dead alone
        call = Call(endpoint, self.now)
        endpoint.calls[call] = None
        endpoint.call_gap_ms, endpoint.last_call_at = self.now - endpoint.last_call_at, self.now
        links = max(endpoint.connections, -(-len(endpoint.calls) // self.settings.requests_per_connection))
        call.new_connection = (
            links > endpoint.connections or endpoint.call_gap_ms > self.settings.keepalive_ms
        )
        endpoint.connections = links
        room = 1 if endpoint.is_unhealthy() else endpoint.max_batch_size
        for guard in endpoint.limits:
            guard.sent(call, self.now)
        self.in_flight, first.destination.in_flight = self.in_flight + 1, first.destination.in_flight + 1
        others = sorted(first.destination.queued.values(), key=lambda m: m.finish_tag) if room > 1 else ()
        for message in (first, *(m for m in others if m is not first)):
            if (
                len(call.attempts) == room
                or message.blocking_rule(self.now, {endpoint.zone})
                or not self.has_time_left(message)
            ):
                continue
            del message.destination.queued[message.id]
            call.attempts[message.id] = message.attempts
            self.calls[message.id, message.attempts] = (call, message.key_queue)
            if message.key_queue is not None:
                message.key_queue.in_flight += 1
            message.attempts += 1
            left = message.expires - LAST_MS - self.now
            self.actions.append(StartAttempt(message.id, endpoint.name, max(1.0, left)))
