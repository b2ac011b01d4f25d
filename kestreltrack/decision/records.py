"""The records of messages, calls, endpoints and destinations, without thresholds or choices.

They refer to each other and so share one module. Times are in milliseconds on the clock of the caller.
`snapshot/codec.py` stores every attribute: a new one needs a stored field there.
"""

from __future__ import annotations

from kestreltrack.decision.arithmetic import (
    NEVER,
    UNLIMITED,
    decayed,
    decayed_rate_per_s,
    moving_average_from_first,
)
from kestreltrack.decision.events import EndpointEntry, MessageArrived
from kestreltrack.decision.settings import ClassSettings, Settings


class Call:
    """One call in flight: it takes a slot and carries one or more messages, which share its outcome."""

    def __init__(self, endpoint: Endpoint, started_at: float) -> None:
        self.endpoint = endpoint
        self.started_at = started_at
        # The number of the current attempt of each message whose attempt has not ended.
        self.attempts = dict[str, int]()
        self.cancelled = set[str]()
        # Whether the end of one of its attempts was used as evidence of health: all share one outcome.
        self.evidence_used = False
        # Whether the call has counted as a failure because it was overdue. It is also set when the call ends,
        # which is then no longer a trial call in flight.
        self.overdue = False
        self.new_connection = False


class KeyQueue:
    """Messages of one ordering key in order of acceptance; one in flight or settling blocks the others."""

    def __init__(self) -> None:
        # None for a message that the other process of this sender has accepted.
        self.messages = dict[str, Message | None]()
        self.in_flight = 0
        # The messages that the other process has in flight.
        self.in_flight_elsewhere = set[str]()
        # After an attempt that may still execute, the key is reserved for its message until this time.
        self.settling_until = NEVER
        self.settling_message = ""

    def is_blocked(self) -> bool:
        """Return whether an attempt is in flight, here or in the other process."""
        return bool(self.in_flight or self.in_flight_elsewhere)

    def insert_elsewhere(self, message_id: str, before: str) -> None:
        """Add a message of the other process before one of this process, or at the end if that is not queued."""
        if message_id in self.messages:
            return
        queued = list(self.messages.items())
        position = next((number for number, (id_, _) in enumerate(queued) if id_ == before), len(queued))
        queued.insert(position, (message_id, None))
        self.messages = dict(queued)

    def settle(self, message_id: str, until: float) -> None:
        """Reserve the key for a message whose attempt may still execute."""
        self.settling_until = until
        self.settling_message = message_id


class Message:
    """A message that is queued or in flight, with its tags in the fair queue."""

    def __init__(
        self, event: MessageArrived, class_settings: ClassSettings, destination: Destination, sequence: int
    ) -> None:
        self.id = event.id
        self.class_settings = class_settings
        self.destination = destination
        # The order of arrival, which breaks ties in the expiry heap.
        self.sequence = sequence
        self.expires = event.expires
        # Counted from the first submission by the client.
        self.latency_objective_at = (
            event.expires - class_settings.deadline_ms + class_settings.latency_objective_ms
        )
        self.start_tag = 0.0
        self.finish_tag = 0.0
        # Set after an attempt that never left the sender.
        self.retry_not_before = NEVER
        # Start and zone of the first attempt that may have executed the message.
        self.ambiguous_since = UNLIMITED if event.ambiguous_since is None else event.ambiguous_since
        self.ambiguous_zone = event.ambiguous_zone
        # Accepted by the process before a restart, or by a sender whose messages were taken over.
        self.accepted = event.accepted
        # Until this time the message is not handed back, unless it may have been executed.
        self.protected_until = NEVER
        self.key_queue: KeyQueue | None = None
        self.attempts = event.attempts
        # Attempts that never left the sender and do not count against the limit.
        self.uncounted_attempts = 0

    def is_ambiguous(self) -> bool:
        """Return whether the message may have been executed."""
        return self.ambiguous_since < UNLIMITED

    def mark_ambiguous(self, since: float, zone: str) -> None:
        """Record an attempt that may have executed the message; the first one counts."""
        if self.ambiguous_since > since:
            self.ambiguous_since = since
            self.ambiguous_zone = zone


class CircuitBreaker:
    """Evidence of health, and the time until which a failure blocks calls; closed without failures."""

    __slots__ = (
        "consecutive_failures",
        "failure_share",
        "last_failure_at",
        "last_success_at",
        "open_until",
        "trial_call",
    )

    def __init__(self) -> None:
        self.consecutive_failures = 0
        # Share of failures among the recent calls, rejections aside.
        self.failure_share = 0.0
        self.last_failure_at = NEVER
        self.last_success_at = NEVER
        self.open_until = NEVER
        self.trial_call: Call | None = None


class SlowStart:
    """Warm-up after an outage, within the cold budget that all senders share."""

    __slots__ = (
        "arrivals_before",
        "cold_rate_per_s",
        "credit_updated_at",
        "demand_since",
        "saved_credit",
        "slow_start_from",
    )

    def __init__(self, cold_rate_per_s: float) -> None:
        self.cold_rate_per_s = cold_rate_per_s
        # Time of the last failure during an outage, then time of the recovery, and `NEVER` otherwise.
        self.slow_start_from = NEVER
        # Credit towards the next call, which needs 1.
        self.saved_credit = 0.0
        self.credit_updated_at = NEVER
        # Demand is the number of arrivals since this time, beyond `arrivals_before`.
        self.demand_since = NEVER
        self.arrivals_before = 0

    def set_credit(self, credit: float, now: float) -> None:
        """Set the credit as of `now`, from which it continues to accrue."""
        self.saved_credit = credit
        self.credit_updated_at = now


class SendRate:
    """Token bucket of the send rate, and what is known about the limit that all senders share."""

    __slots__ = (
        "base_rate_per_s",
        "fair_shares",
        "learns_limit",
        "limit_met_at",
        "quota_left",
        "rate_updated_at",
        "recent_successes",
        "tokens",
    )

    def __init__(self, base_rate_per_s: float, fair_shares: float, learns_limit: bool) -> None:
        # The limit of all senders together, in calls per second, as far as it is known.
        self.base_rate_per_s = base_rate_per_s
        # The send rate of this sender, in even shares of the limit.
        self.fair_shares = fair_shares
        self.quota_left = 1.0
        self.tokens = max(1.0, base_rate_per_s)
        self.rate_updated_at = NEVER
        # Whether the limit is learnt from rejections, because no list or answer reports it.
        self.learns_limit = learns_limit
        self.limit_met_at = NEVER
        # A decaying count of successful calls.
        self.recent_successes = 0.0

    def update(self, fair_shares: float, tokens: float, now: float) -> None:
        """Set the rate and the tokens as of a time."""
        self.fair_shares = fair_shares
        self.tokens = tokens
        self.rate_updated_at = now


class CallLimits:
    """The limits of calls to one endpoint, or to a whole destination whose endpoints fail together."""

    __slots__ = (
        "breaker",
        "destination",
        "independent",
        "last_call_at",
        "retry_after_until",
        "safety",
        "send_rate",
        "sender_count",
        "slow_start",
    )

    def __init__(
        self,
        settings: Settings,
        destination: Destination,
        independent: bool,
        slow_start: SlowStart,
        send_rate: SendRate,
    ) -> None:
        self.safety = settings.safety
        self.destination = destination
        # Whether the endpoints of the destination fail, and are limited, independently of each other.
        self.independent = independent
        self.sender_count = settings.sender_count
        self.last_call_at = NEVER
        self.retry_after_until = NEVER
        self.breaker = CircuitBreaker()
        self.slow_start = slow_start
        self.send_rate = send_rate

    def retry_after_active(self, now: float) -> bool:
        """Return whether a retry-after applies, whether received here or by another caller.

        The latter is kept at the destination, so that it outlives the endpoints.
        """
        return now < max(self.retry_after_until, self.destination.retry_after_until)

    def in_outage(self) -> bool:
        """Return whether an outage has begun and no call has succeeded since."""
        breaker = self.breaker
        failing = breaker.consecutive_failures > 0
        return failing and self.slow_start.slow_start_from == breaker.last_failure_at

    def leased_share(self, now: float) -> float:
        """Return the leased share of the cold budget, or 0 without a lease or while calls fail."""
        share, until = self.destination.quota_lease
        return share if now < until and not self.breaker.consecutive_failures else 0.0

    def warm_up_progress(self, now: float) -> float:
        """Return the elapsed share of the warm-up time, from 0 to 1; 0 while calls fail."""
        if self.breaker.consecutive_failures:
            return 0.0
        elapsed_ms = now - self.slow_start.slow_start_from
        return min(1.0, max(0.0, elapsed_ms / max(1.0, self.safety.warm_up_ms)))

    def measure_demand_from(self, at: float, waiting: int) -> None:
        """Measure the demand from the arrivals since a time, plus messages that were waiting already."""
        self.slow_start.demand_since = at
        self.slow_start.arrivals_before = self.destination.arrivals - waiting

    def success_rate_per_s(self, now: float, half_life_ms: float) -> float:
        """Return the recent rate of successful calls, from a count that halves once per half-life."""
        elapsed_ms = now - self.breaker.last_success_at
        return decayed_rate_per_s(self.send_rate.recent_successes, elapsed_ms, half_life_ms)

    def count_success(self, now: float, half_life_ms: float) -> None:
        """Count a successful call."""
        elapsed_ms = now - self.breaker.last_success_at
        self.send_rate.recent_successes = 1.0 + decayed(
            self.send_rate.recent_successes, elapsed_ms, half_life_ms
        )
        self.breaker.last_success_at = now

    def start_warm_up(self, now: float) -> None:
        """Begin a slow start without an outage, for a demand of the queued messages and further arrivals.

        It has no effect while calls fail, as a slow start follows the outage anyway.
        """
        if self.breaker.consecutive_failures:
            return
        self.slow_start.slow_start_from = now
        self.slow_start.set_credit(0.0, now)
        self.measure_demand_from(now, len(self.destination.queued))

    def route_count(self) -> int:
        """Return the number of independently limited routes that share the demand of the destination."""
        return max(1, len(self.destination.endpoints)) if self.independent else 1

    def demand_per_s(self, now: float, opening_gap_s: float = 0.0) -> float:
        """Return the rate of arrivals at the destination since the measurement began.

        The measurement begins with an arrival, which it counts without the gap before it. Over short times,
        the demands of many senders with few messages each would add up to twice the actual one, and their
        trial calls would exceed the cold budget. `opening_gap_s` is the time that is added for that gap.
        """
        span_s = max(self.safety.overload_window_ms, now - self.slow_start.demand_since) / 1000.0
        return (self.destination.arrivals - self.slow_start.arrivals_before) / (opening_gap_s + span_s)


class Endpoint:
    """One endpoint of the endpoint list."""

    __slots__ = (
        "accepts_calls",
        "call_gap_ms",
        "calls",
        "connections",
        "destination",
        "fixed_cost_ms",
        "kind",
        "last_answer_at",
        "last_call_at",
        "limits",
        "listed",
        "max_batch_size",
        "mean_latency_ms",
        "name",
        "zone",
    )

    def __init__(
        self,
        entry: EndpointEntry,
        destination: Destination,
        limits: list[CallLimits],
        fixed_cost_ms: float,
        max_batch_size: int,
    ) -> None:
        self.name = entry.endpoint
        self.zone = entry.zone
        self.kind = entry.kind
        self.destination = destination
        # Its own limits come last, after those of the destination if its endpoints fail together.
        self.limits = limits
        self.fixed_cost_ms = fixed_cost_ms
        self.max_batch_size = max_batch_size
        self.accepts_calls = True
        self.listed = True
        self.mean_latency_ms = 0.0
        # Highest number of connections in use at the same time, as far as they are still kept open.
        self.connections = 0
        self.last_call_at = NEVER
        self.last_answer_at = NEVER
        # Time between the starts of the two latest calls.
        self.call_gap_ms = 0.0
        self.calls = dict[Call, None]()

    def start_call(self, call: Call, requests_per_connection: int, keepalive_ms: float) -> None:
        """Count a call, and record whether it needs a new connection."""
        if self.last_call_at == NEVER:
            self.destination.endpoints.invalidate_selectable()
        self.calls[call] = None
        self.call_gap_ms = call.started_at - self.last_call_at
        self.last_call_at = call.started_at
        in_use = -(-len(self.calls) // requests_per_connection)
        call.new_connection = in_use > self.connections or self.call_gap_ms > keepalive_ms
        self.connections = max(self.connections, in_use)

    def update_mean_latency(self, latency_ms: float, weight: float) -> None:
        """Update the mean latency with that of a successful call."""
        self.mean_latency_ms = moving_average_from_first(self.mean_latency_ms, latency_ms, weight)

    def end_breaker_pauses(self) -> None:
        """End the time for which failures block calls; the evidence of failures is kept."""
        for limits in self.limits:
            limits.breaker.open_until = NEVER

    def is_unused(self) -> bool:
        """Return whether the endpoint has had no call and no evidence; its own limits then allow a call."""
        own = self.limits[-1]
        breaker = own.breaker
        has_failed = (
            breaker.consecutive_failures or breaker.last_failure_at > NEVER or breaker.open_until > NEVER
        )
        is_limited = own.retry_after_until > NEVER or own.slow_start.slow_start_from > NEVER
        was_called = (
            self.last_call_at > NEVER or own.last_call_at > NEVER or self.mean_latency_ms or self.connections
        )
        return not (was_called or has_failed or is_limited)

    def selection_group(self) -> tuple[str, bool, int]:
        """Return the group of unused endpoints that differ by their fixed cost alone."""
        return self.zone, self.accepts_calls, len(self.limits)

    def is_unhealthy(self) -> bool:
        """Return whether the latest evidence about the endpoint or its whole destination is a failure."""
        return any(limits.breaker.consecutive_failures for limits in self.limits)


class EndpointTable(dict[str, Endpoint]):
    """The endpoints of a destination by name, in the order in which they were listed, and the selectable ones."""

    # Cached result of `selectable`. It is derived from the endpoints, so no snapshot stores it.
    _selectable: list[Endpoint] | None = None

    def selectable(self) -> list[Endpoint]:
        """Return the used endpoints, and the cheapest one of each group of unused endpoints.

        This keeps the cost of a step independent of the number of unused endpoints. Those with the same zone,
        state and limits differ by their fixed cost alone, so that one represents them all.
        """
        if self._selectable is None:
            cheapest = dict[tuple[str, bool, int], Endpoint]()
            for endpoint in self.values():
                if endpoint.is_unused():
                    other = cheapest.setdefault(endpoint.selection_group(), endpoint)
                    if endpoint.fixed_cost_ms < other.fixed_cost_ms:
                        cheapest[endpoint.selection_group()] = endpoint
            self._selectable = [
                endpoint
                for endpoint in self.values()
                if cheapest.get(endpoint.selection_group()) is endpoint or not endpoint.is_unused()
            ]
        return self._selectable

    def invalidate_selectable(self) -> None:
        """Discard the cached result after an endpoint was added, first called, changed or got evidence."""
        self._selectable = None


class Destination:
    """A destination with its deficit token bucket, queued messages and endpoints."""

    __slots__ = (
        "arrivals",
        "endpoints",
        "in_flight",
        "last_arrival_at",
        "latency_objective_ms",
        "limits",
        "max_start_tag",
        "mean_latency_ms",
        "queued",
        "quota_lease",
        "retry_after_until",
        "tokens",
        "unhealthy",
        "virtual_time_shift",
    )

    def __init__(self) -> None:
        self.endpoints = EndpointTable()
        self.queued = dict[str, Message]()
        # None where the endpoints are independent of each other.
        self.limits: CallLimits | None = None
        # A bucket that is new or was refilled while idle; the next arrival caps it at sigma.
        self.tokens = UNLIMITED
        self.last_arrival_at = 0.0
        self.max_start_tag = 0.0
        # The shift of the virtual time when the destination was last active.
        self.virtual_time_shift = 0.0
        self.in_flight = 0
        self.arrivals = 0
        self.mean_latency_ms = 0.0
        self.latency_objective_ms = 0.0
        self.unhealthy = False
        # A retry-after that another caller received.
        self.retry_after_until = NEVER
        # The leased share of the cold budget, and the end of the lease.
        self.quota_lease = (0.0, NEVER)

    def update_mean_latency(self, latency_ms: float, weight: float) -> None:
        """Update the mean latency with that of a successful call."""
        self.mean_latency_ms = moving_average_from_first(self.mean_latency_ms, latency_ms, weight)

    def has_unhealthy_endpoint(self) -> bool:
        """Return whether the latest evidence about one of its endpoints is a failure."""
        return any(endpoint.is_unhealthy() for endpoint in self.endpoints.selectable())

    def usual_latency_ms(self) -> float:
        """Return the mean latency, or the latency objective before the first successful call."""
        return self.mean_latency_ms or self.latency_objective_ms
