"""A decision module that is traced: which messages it passes over, by which of its rules, and what it does.

No rule is written down here a second time. The decision module says what blocks a destination, an endpoint or a
message by its own `blocking_rule` functions, the same that it decides by; this class asks them again at the end of
each dispatch, for what is traced alone. A module that is not traced is a plain `Policy` and pays nothing.
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

UNEXPLAINED = "unexplained"  # a test holds that no message is ever passed over so


@dataclass(frozen=True, slots=True)
class MessageBlocked:
    """A message was passed over, by a rule; `detail` gives its figures."""

    id: str
    dest: int
    rule: str
    detail: str


@dataclass(frozen=True, slots=True)
class AttemptChosen:
    """An attempt starts; `alternatives` are the other endpoints that accept it, with their costs in ms."""

    id: str
    attempt: int
    endpoint: str
    cost_ms: float
    alternatives: tuple[tuple[str, float], ...] = ()
    trial: bool = False


@dataclass(frozen=True, slots=True)
class MessageGivenUp:
    """A message was given up, and why there is no further attempt."""

    id: str
    reason: str
    safe_to_retry: bool


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """An attempt was cancelled that had no answer for too long."""

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
    """Receives the trace events."""

    def __call__(self, now: float, event: TraceEvent) -> None:
        """Take one event, at a clock reading."""


@dataclass(slots=True)
class TraceFilter:
    """What is traced: messages, destinations, or every one of them."""

    listener: TraceListener
    message_ids: set[str] = field(default_factory=set)
    destinations: set[int] = field(default_factory=set)
    everything: bool = False
    # Also what is passed over: the costly part where many messages are queued.
    include_blocked: bool = True

    def matches(self, message: Message, dest: int) -> bool:
        """Return whether a message, or its destination, is traced."""
        return self.everything or message.id in self.message_ids or dest in self.destinations


class TracingPolicy(Policy):
    """A decision module that tells a listener what it does and what it passes over."""

    trace_filter: TraceFilter | None = None
    _health: dict[tuple[int, str], tuple[str, int]]  # state and failures in a row, as last told

    def start_tracing(self, trace_filter: TraceFilter) -> None:
        """Begin to trace."""
        self.trace_filter = trace_filter
        self._health = {}
        self._destination_numbers = {id(dest): n for n, dest in self.destinations.items()}

    def _emit(self, event: TraceEvent) -> None:
        assert self.trace_filter is not None
        self.trace_filter.listener(self.now, event)

    def destination_number(self, destination: Destination) -> int:
        """Return the number of a destination, or -1 where it is not known any more."""
        number = self._destination_numbers.get(id(destination))
        if number is None or self.destinations.get(number) is not destination:
            self._destination_numbers = {id(d): n for n, d in self.destinations.items()}
            number = self._destination_numbers.get(id(destination), -1)
        return number

    def why_blocked(self, message: Message) -> tuple[str, str]:
        """Return the rule by which a queued message does not go now, with figures; no rule where it may go."""
        destination = message.destination
        rule = self.blocking_rule(destination)
        if rule:
            return rule, self._rule_details(destination, rule, destination.limits)
        ready = endpoint_selection.ready_endpoints(destination, self.now)
        if not ready:
            return self._why_no_endpoint_is_ready(destination)
        if not message_rules.has_time_left(message, self.now):
            return "no time", f"{message.expires - self.now:.0f} ms left of its time"
        rule = message_rules.blocking_rule(message, self.now, {endpoint.zone for endpoint in ready})
        if rule:
            return rule, self._message_rule_details(message, rule)
        if self.in_flight >= self.settings.concurrency_limit:
            return self._why_no_slot(message)
        return "", ""

    def _message_rule_details(self, message: Message, rule: str) -> str:
        if rule == "not sent":
            return f"it never left here, {message.retry_not_before - self.now:.0f} ms to go"
        queue = message.key_queue
        if queue:
            return f"key line of {len(queue.messages)}, {queue.in_flight} out"
        return f"it went in zone {message.ambiguous_zone}"

    def _why_no_slot(self, message: Message) -> tuple[str, str]:
        ahead_ms = message.start_tag - self.now - self.virtual_time_shift
        slots = (
            f"all {self.settings.concurrency_limit} slots taken, "
            f"{message.destination.in_flight} by this destination"
        )
        if ahead_ms > 0:
            return "tag not eligible", f"{ahead_ms:.0f} ms ahead; {slots}"
        return "no slot", slots

    def _why_no_endpoint_is_ready(self, destination: Destination) -> tuple[str, str]:
        if not destination.endpoints:
            return "not listed", "no endpoint of this destination is on the list"
        rules = list[tuple[str, str]]()
        for endpoint in destination.endpoints.values():
            rule, limits = self._why_endpoint_is_blocked(endpoint)
            rules.append((rule, f"{endpoint.name}: {self._rule_details(destination, rule, limits)}"))
        most = max({rule for rule, _ in rules}, key=lambda rule: sum(other == rule for other, _ in rules))
        return most, "; ".join(
            detail if rule == most else f"{detail} ({rule})" for rule, detail in sorted(rules)
        )

    def _why_endpoint_is_blocked(self, endpoint: Endpoint) -> tuple[str, CallLimits | None]:
        if not endpoint.accepts_calls:
            return ("draining" if endpoint.listed else "off the list"), None
        for limits in endpoint.limits:
            rule = endpoint_selection.blocking_rule(limits, self.now)
            if rule:
                return rule, limits
        return "", None

    def _rule_details(self, destination: Destination, rule: str, limits: CallLimits | None) -> str:
        if rule == "cap":
            slots = f"{destination.in_flight} of {self.settings.concurrency_limit} slots are its own"
            return slots + (", it is sick" if destination.unhealthy else "")
        return rule if limits is None else self._limit_details(destination, rule, limits)

    def _limit_details(self, destination: Destination, rule: str, limits: CallLimits) -> str:
        now, breaker = self.now, limits.breaker
        match rule:
            case "told wait":
                return f"{max(limits.retry_after_until, destination.retry_after_until) - now:.0f} ms to go"
            case "fleet tries":
                lease_ms = destination.quota_lease[1] - now
                return f"another sender has the turn, for {lease_ms:.0f} ms at the longest"
            case "circuit open":
                failures = f"after {breaker.consecutive_failures} failures in a row"
                return f"{breaker.open_until - now:.0f} ms to go {failures}"
            case "pace":
                shares, tokens = rate_limit.rate_and_tokens(limits, now)
                base_rate = limits.send_rate.base_rate_per_s
                return f"{shares:.1f} of {base_rate:.1f} calls a second, {tokens:.2f} tokens"
            case "trial out":
                return "one call is out to see whether it works again"
            case "slow start":
                return f"a call every {rate_limit.call_interval_ms(limits, now):.0f} ms"
        return rule

    # What the module does ------------------------------------------------------------------------------

    def _dispatch(self) -> None:
        super()._dispatch()
        if self.trace_filter is None or not self.trace_filter.include_blocked:
            return
        for message in self._traced_messages(self.trace_filter):
            rule, detail = self.why_blocked(message)
            number = self.destination_number(message.destination)
            self._emit(MessageBlocked(message.id, number, rule or UNEXPLAINED, detail))

    def _traced_messages(self, trace_filter: TraceFilter) -> list[Message]:
        active = self.active_destinations
        if trace_filter.everything:
            return [message for destination in active.values() for message in destination.queued.values()]
        named = [self.messages[id_] for id_ in trace_filter.message_ids if id_ in self.messages]
        numbers = [number for number in trace_filter.destinations if number in active]
        there = [message for number in numbers for message in active[number].queued.values()]
        return [message for message in named if message.id in message.destination.queued] + there

    def decide(self, now: float) -> list[Action]:
        """Decide, and tell how the health of the traced destinations has changed."""
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
        """Return the state of the limits of calls in a word."""
        if limits.retry_after_active(self.now):
            return "told wait"
        if limits.breaker.consecutive_failures:
            return "open"
        slow_start_from = limits.slow_start.slow_start_from
        return "slow start" if slow_start_from > NEVER and self.now >= slow_start_from else "well"

    def _state_details(self, limits: CallLimits, state: str) -> str:
        shares, base_rate = rate_limit.rate_and_tokens(limits, self.now)[0], limits.send_rate.base_rate_per_s
        pace = f"pace {shares:.1f} of {base_rate:.1f} a second"
        if state == "told wait":
            until = max(limits.retry_after_until, limits.destination.retry_after_until)
            return f"for {until - self.now:.0f} ms, {pace}"
        if state == "open":
            pause_ms = max(0.0, limits.breaker.open_until - self.now)
            failures = limits.breaker.consecutive_failures
            return f"{failures} failures in a row, next trial in {pause_ms:.0f} ms"
        if state == "slow start":
            return f"a call every {rate_limit.call_interval_ms(limits, self.now):.0f} ms"
        return pace

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
