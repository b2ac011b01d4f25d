"""A decision module that emits trace events: its actions, and which rule blocks each message that it does not send.

No rule is implemented here a second time.  The `blocking_rule` functions by which the decision module decides are
called again at the end of each dispatch, for the traced messages only.  Without tracing a plain `Policy` is used, so
that tracing costs nothing there.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from kestreltrack.decision import (
    Action,
    CancelAttempt,
    Policy,
    StartAttempt,
    endpoint_selection,
    message_rules,
    rate_limit,
)
from kestreltrack.decision.arithmetic import NEVER
from kestreltrack.decision.records import Call, CallLimits, Destination, Endpoint, Message

UNEXPLAINED = "unexplained"  # tests check that no message is ever blocked without a rule


@dataclass(frozen=True, slots=True)
class MessageBlocked:
    """A rule blocks a queued message; `detail` gives the figures of the rule."""

    id: str
    dest: int
    rule: str
    detail: str


@dataclass(frozen=True, slots=True)
class AttemptChosen:
    """An attempt starts; `alternatives` are the other candidate endpoints with their costs in ms."""

    id: str
    attempt: int
    endpoint: str
    cost_ms: float
    alternatives: tuple[tuple[str, float], ...] = ()
    trial: bool = False


@dataclass(frozen=True, slots=True)
class MessageGivenUp:
    """A message was given up; `reason` says why there is no further attempt."""

    id: str
    reason: str
    safe_to_retry: bool


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """An attempt was cancelled because its answer was overdue."""

    id: str
    attempt: int
    overdue_factor: float
    slots_exhausted: bool


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """The health of a whole destination (`endpoint` empty) or of one endpoint changed."""

    dest: int
    endpoint: str
    state: str
    detail: str


TraceEvent = MessageBlocked | AttemptChosen | MessageGivenUp | AttemptCancelled | HealthChanged


class TraceListener(Protocol):
    """Receives trace events."""

    def __call__(self, now: float, event: TraceEvent) -> None:
        """Handle a trace event at the clock reading `now`."""


@dataclass(slots=True)
class TraceFilter:
    """Selects what is traced, and the listener that receives the trace events."""

    listener: TraceListener
    message_ids: set[str] = field(default_factory=set)
    destinations: set[int] = field(default_factory=set)
    everything: bool = False
    # Also emit `MessageBlocked`, which costs a rule evaluation per queued message and dispatch.
    include_blocked: bool = True

    def matches(self, message: Message, dest: int) -> bool:
        """Return whether a message or its destination is traced."""
        return self.everything or message.id in self.message_ids or dest in self.destinations


class TracingPolicy(Policy):
    """A decision module that reports its actions and the messages that it blocks to a listener."""

    trace_filter: TraceFilter | None = None
    _health: dict[tuple[int, str], tuple[str, int]]  # state and consecutive failures, as last reported

    def start_tracing(self, trace_filter: TraceFilter) -> None:
        """Start to emit trace events."""
        self.trace_filter = trace_filter
        self._health = {}
        self._destination_numbers = {id(dest): n for n, dest in self.destinations.items()}

    def _emit(self, event: TraceEvent) -> None:
        assert self.trace_filter is not None
        self.trace_filter.listener(self.now, event)

    def destination_number(self, destination: Destination) -> int:
        """Return the number of a destination, or -1 if it is no longer known."""
        number = self._destination_numbers.get(id(destination))
        if number is None or self.destinations.get(number) is not destination:
            self._destination_numbers = {id(d): n for n, d in self.destinations.items()}
            number = self._destination_numbers.get(id(destination), -1)
        return number

    def explain_block(self, message: Message) -> tuple[str, str]:
        """Return the rule that blocks a queued message now, with details; two empty texts if it may be sent."""
        destination = message.destination
        rule = self.blocking_rule(destination)
        if rule:
            return rule, self._rule_details(destination, rule, destination.limits)
        ready = endpoint_selection.ready_endpoints(destination, self.now)
        if not ready:
            return self._explain_no_ready_endpoint(destination)
        if not message_rules.has_time_left(message, self.now):
            return "no time", f"expires in {message.expires - self.now:.0f} ms"
        rule = message_rules.blocking_rule(message, self.now, {endpoint.zone for endpoint in ready})
        if rule:
            return rule, self._message_rule_details(message, rule)
        if self.in_flight >= self.settings.concurrency_limit:
            return self._explain_no_slot(message)
        return "", ""

    def _message_rule_details(self, message: Message, rule: str) -> str:
        if rule == "not sent":
            return f"the last attempt was not sent, retry in {message.retry_not_before - self.now:.0f} ms"
        queue = message.key_queue
        if queue:
            elsewhere = sum(other is None for other in queue.messages.values())
            return (
                f"{len(queue.messages)} messages queued for its ordering key, {queue.in_flight} in flight; "
                f"{elsewhere} of them in the other process, {len(queue.in_flight_elsewhere)} in flight there"
            )
        return f"an earlier attempt went to zone {message.ambiguous_zone}"

    def _explain_no_slot(self, message: Message) -> tuple[str, str]:
        ahead_ms = message.start_tag - self.now - self.virtual_time_shift
        slots = (
            f"all {self.settings.concurrency_limit} slots in use, "
            f"{message.destination.in_flight} by this destination"
        )
        if ahead_ms > 0:
            return "tag not eligible", f"start tag is {ahead_ms:.0f} ms ahead; {slots}"
        return "no slot", slots

    def _explain_no_ready_endpoint(self, destination: Destination) -> tuple[str, str]:
        if not destination.endpoints:
            return "not listed", "no endpoint of this destination is listed"
        rules = list[tuple[str, str]]()
        for endpoint in destination.endpoints.values():
            rule, limits = self._endpoint_blocking_rule(endpoint)
            rules.append((rule, f"{endpoint.name}: {self._rule_details(destination, rule, limits)}"))
        main_rule = max(
            {rule for rule, _ in rules}, key=lambda rule: sum(other == rule for other, _ in rules)
        )
        return main_rule, "; ".join(
            detail if rule == main_rule else f"{detail} ({rule})" for rule, detail in sorted(rules)
        )

    def _endpoint_blocking_rule(self, endpoint: Endpoint) -> tuple[str, CallLimits | None]:
        if not endpoint.accepts_calls:
            return ("draining" if endpoint.listed else "off the list"), None
        for limits in endpoint.limits:
            rule = endpoint_selection.blocking_rule(limits, self.now)
            if rule:
                return rule, limits
        return "", None

    def _rule_details(self, destination: Destination, rule: str, limits: CallLimits | None) -> str:
        if rule == "cap":
            slots = f"the destination uses {destination.in_flight} of {self.settings.concurrency_limit} slots"
            return slots + (", and is unhealthy" if destination.unhealthy else "")
        return rule if limits is None else self._limit_details(destination, rule, limits)

    def _limit_details(self, destination: Destination, rule: str, limits: CallLimits) -> str:
        now, breaker = self.now, limits.breaker
        match rule:
            case "told wait":
                return f"{max(limits.retry_after_until, destination.retry_after_until) - now:.0f} ms left"
            case "fleet tries":
                lease_ms = destination.quota_lease[1] - now
                return f"another sender holds the quota lease, for at most {lease_ms:.0f} ms"
            case "circuit open":
                failures = f"after {breaker.consecutive_failures} consecutive failures"
                return f"{breaker.open_until - now:.0f} ms left {failures}"
            case "pace":
                shares, tokens = rate_limit.rate_and_tokens(limits, now)
                base_rate = limits.send_rate.base_rate_per_s
                return f"{shares:.1f} even shares of a limit of {base_rate:.1f} calls per second, {tokens:.2f} tokens"
            case "trial out":
                return "a trial call is in flight"
            case "slow start":
                return f"one call per {rate_limit.call_interval_ms(limits, now):.0f} ms"
        return rule

    # Actions and state changes -------------------------------------------------------------------------

    def _dispatch(self) -> None:
        super()._dispatch()
        if self.trace_filter is None or not self.trace_filter.include_blocked:
            return
        for message in self._traced_messages(self.trace_filter):
            rule, detail = self.explain_block(message)
            number = self.destination_number(message.destination)
            self._emit(MessageBlocked(message.id, number, rule or UNEXPLAINED, detail))

    def _traced_messages(self, trace_filter: TraceFilter) -> list[Message]:
        active = self.active_destinations
        if trace_filter.everything:
            return [message for destination in active.values() for message in destination.queued.values()]
        by_id = [self.messages[id_] for id_ in trace_filter.message_ids if id_ in self.messages]
        numbers = [number for number in trace_filter.destinations if number in active]
        by_destination = [message for number in numbers for message in active[number].queued.values()]
        return [message for message in by_id if message.id in message.destination.queued] + by_destination

    def decide(self, now: float) -> list[Action]:
        """Decide, and report changes in the health of the traced destinations."""
        actions = list(super().decide(now))
        if self.trace_filter is not None:
            everything = self.trace_filter.everything
            numbers = self.active_destinations if everything else self.trace_filter.destinations
            for number in [number for number in numbers if number in self.destinations]:
                self._trace_health(number, self.destinations[number])
        return actions

    def _trace_health(self, number: int, destination: Destination) -> None:
        if destination.limits:
            self._trace_limits(number, "", destination.limits, self.breaker_state(destination.limits))
        for endpoint in destination.endpoints.values():
            limits = endpoint.limits[-1]
            state = self.breaker_state(limits)
            if not endpoint.accepts_calls:
                state = "draining" if endpoint.listed else "off the list"
            self._trace_limits(number, endpoint.name, limits, state)

    def _trace_limits(self, number: int, endpoint: str, limits: CallLimits, state: str) -> None:
        failures = limits.breaker.consecutive_failures
        before = self._health.get((number, endpoint), ("well", 0))
        if (state, failures) != before and (state != before[0] or failures):
            self._health[number, endpoint] = (state, failures)
            self._emit(HealthChanged(number, endpoint, state, self._state_details(limits, state)))

    def breaker_state(self, limits: CallLimits) -> str:
        """Return the name of the health state of a destination or endpoint with these limits."""
        if limits.retry_after_active(self.now):
            return "told wait"
        if limits.breaker.consecutive_failures:
            return "open"
        slow_start_from = limits.slow_start.slow_start_from
        return "slow start" if slow_start_from > NEVER and self.now >= slow_start_from else "well"

    def _state_details(self, limits: CallLimits, state: str) -> str:
        shares, base_rate = rate_limit.rate_and_tokens(limits, self.now)[0], limits.send_rate.base_rate_per_s
        send_rate = f"send rate {shares:.1f} even shares of a limit of {base_rate:.1f} per second"
        if state == "told wait":
            until = max(limits.retry_after_until, limits.destination.retry_after_until)
            return f"for {until - self.now:.0f} ms, {send_rate}"
        if state == "open":
            pause_ms = max(0.0, limits.breaker.open_until - self.now)
            failures = limits.breaker.consecutive_failures
            return f"{failures} consecutive failures, next trial call in {pause_ms:.0f} ms"
        if state == "slow start":
            return f"one call per {rate_limit.call_interval_ms(limits, self.now):.0f} ms"
        return send_rate

    def _start_call(self, first: Message) -> None:
        trace_filter = self.trace_filter
        if trace_filter is None:
            super()._start_call(first)
            return
        ready = endpoint_selection.candidates(self, first)
        costs = {endpoint.name: endpoint_selection.call_cost_ms(self, endpoint) for endpoint in ready}
        trial = all(endpoint.is_unhealthy() for endpoint in ready)
        actions_before = len(self.actions)
        super()._start_call(first)
        number = self.destination_number(first.destination)
        for action in self.actions[actions_before:]:
            if isinstance(action, StartAttempt) and trace_filter.matches(self.messages[action.id], number):
                others = tuple((name, cost) for name, cost in costs.items() if name != action.endpoint)
                attempt, cost_ms = self.messages[action.id].attempts - 1, costs[action.endpoint]
                self._emit(AttemptChosen(action.id, attempt, action.endpoint, cost_ms, others, trial))

    def _give_final_answer(self, message: Message, reason: str) -> None:
        number = self.destination_number(message.destination) if self.trace_filter is not None else -1
        if self.trace_filter is not None and self.trace_filter.matches(message, number):
            self._emit(MessageGivenUp(message.id, reason, message_rules.safe_to_retry(message)))
        super()._give_final_answer(message, reason)

    def _handle_overdue(self, call: Call, overdue_factor: float) -> None:
        actions_before = len(self.actions)
        slots_exhausted = self.in_flight >= self.settings.concurrency_limit
        super()._handle_overdue(call, overdue_factor)
        if self.trace_filter is None:
            return
        number = self.destination_number(call.endpoint.destination)
        traced = self.trace_filter.everything or number in self.trace_filter.destinations
        for action in self.actions[actions_before:]:
            if not isinstance(action, CancelAttempt):
                continue
            if traced or action.id in self.trace_filter.message_ids:
                self._emit(AttemptCancelled(action.id, action.attempt, overdue_factor, slots_exhausted))
