"""A decision module that watches itself: what it passes over, by which of its rules, and what it does.

No rule is written down here a second time.  The module says what bars a destination, an endpoint or a message by
its own `bar` methods, the same that it decides by; this class asks them again at the end of each dispatch, for what
is watched alone.  A module that nobody watches is a plain `Policy` and pays nothing.
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
    """A message was passed over, by a rule; `detail` has its figures."""

    id: str
    dest: int
    rule: str
    detail: str


@dataclass(frozen=True, slots=True)
class AttemptChosen:
    """An attempt goes; `others` are the endpoints that could have had it, with their costs in ms."""

    id: str
    attempt: int
    endpoint: str
    cost_ms: float
    alternatives: tuple[tuple[str, float], ...] = ()
    trial: bool = False


@dataclass(frozen=True, slots=True)
class MessageGivenUp:
    """The final answer, and why there is no further attempt."""

    id: str
    reason: str
    safe_to_retry: bool


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """An attempt that is silent for too long."""

    id: str
    attempt: int
    overdue_factor: float
    slots_exhausted: bool


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """A guard's state changed: of a whole destination (`endpoint` empty) or of one endpoint."""

    dest: int
    endpoint: str
    state: str
    detail: str


TraceEvent = MessageBlocked | AttemptChosen | MessageGivenUp | AttemptCancelled | HealthChanged


class TraceListener(Protocol):
    """Who hears of what is watched."""

    def __call__(self, now: float, event: TraceEvent) -> None:
        """One note, at a clock reading."""


@dataclass(slots=True)
class TraceFilter:
    """What is watched: messages, destinations, or every one of them."""

    listener: TraceListener
    message_ids: set[str] = field(default_factory=set)
    destinations: set[int] = field(default_factory=set)
    everything: bool = False
    include_blocked: bool = True  # also what is passed over: the costly part where much is held

    def matches(self, message: Message, dest: int) -> bool:
        """Whether it is."""
        return self.everything or message.id in self.message_ids or dest in self.destinations


class TracingPolicy(Policy):
    """The module, watched."""

    trace_filter: TraceFilter | None = None
    _health: dict[tuple[int, str], tuple[str, int]]  # state and failures in a row, as last told

    def start_tracing(self, trace_filter: TraceFilter) -> None:
        """Begin to watch."""
        self.trace_filter, self._health = trace_filter, {}
        self._destination_numbers = {id(dest): n for n, dest in self.destinations.items()}

    def _emit(self, event: TraceEvent) -> None:
        assert self.trace_filter is not None
        self.trace_filter.listener(self.now, event)

    def destination_number(self, dest: Destination) -> int:
        """The number of a destination."""
        found = self._destination_numbers.get(id(dest))
        if found is None or self.destinations.get(found) is not dest:
            self._destination_numbers = {id(d): n for n, d in self.destinations.items()}
            found = self._destination_numbers.get(id(dest), -1)
        return found

    def why_blocked(self, message: Message) -> tuple[str, str]:
        """By which rule a message that is held does not go now, with figures; no rule where it may go."""
        dest = message.destination
        if rule := self.blocking_rule(dest):
            guard = dest.limits
            return rule, self._rule_details(dest, rule, guard)
        ready = endpoint_selection.ready_endpoints(dest, self.now)
        if not ready:
            return self._why_no_endpoint_is_ready(dest)
        if not message_rules.has_time_left(message, self.now):
            return "no time", f"{message.expires - self.now:.0f} ms left of its time"
        if rule := message_rules.blocking_rule(message, self.now, {e.zone for e in ready}):
            line = message.key_queue
            if rule == "not sent":
                return rule, f"it never left here, {message.retry_not_before - self.now:.0f} ms to go"
            held = (
                f"key line of {len(line.messages)}, {line.in_flight} out"
                if line
                else f"it went in zone {message.ambiguous_zone}"
            )
            return rule, held
        if self.in_flight >= self.settings.concurrency_limit:
            ahead = message.start_tag - self.now - self.virtual_time_shift
            slots = f"all {self.settings.concurrency_limit} slots taken, {dest.in_flight} by this destination"
            return ("tag not eligible", f"{ahead:.0f} ms ahead; {slots}") if ahead > 0 else ("no slot", slots)
        return "", ""

    def _why_no_endpoint_is_ready(self, dest: Destination) -> tuple[str, str]:
        if not dest.endpoints:
            return "not listed", "no endpoint of this destination is on the list"
        rules = list[tuple[str, str]]()
        for endpoint in dest.endpoints.values():
            rule, guard = self._why_endpoint_is_blocked(endpoint)
            rules.append((rule, f"{endpoint.name}: {self._rule_details(dest, rule, guard)}"))
        most = max({rule for rule, _ in rules}, key=lambda rule: sum(r == rule for r, _ in rules))
        return most, "; ".join(
            detail if rule == most else f"{detail} ({rule})" for rule, detail in sorted(rules)
        )

    def _why_endpoint_is_blocked(self, endpoint: Endpoint) -> tuple[str, CallLimits | None]:
        if not endpoint.accepts_calls:
            return ("draining" if endpoint.listed else "off the list"), None
        for guard in endpoint.limits:
            if rule := endpoint_selection.blocking_rule(guard, self.now):
                return rule, guard
        return "", None

    def _rule_details(self, dest: Destination, rule: str, guard: CallLimits | None) -> str:
        if rule == "cap":
            return f"{dest.in_flight} of {self.settings.concurrency_limit} slots are its own" + (
                ", it is sick" if dest.unhealthy else ""
            )
        if guard is None:
            return rule
        now = self.now
        if rule == "told wait":
            return f"{max(guard.retry_after_until, dest.retry_after_until) - now:.0f} ms to go"
        if rule == "fleet tries":
            return f"another sender has the turn, for {dest.quota_lease[1] - now:.0f} ms at the longest"
        if rule == "circuit open":
            return f"{guard.breaker.open_until - now:.0f} ms to go after {guard.breaker.consecutive_failures} failures in a row"
        if rule == "pace":
            pace, tokens = rate_limit.rate_and_tokens(guard, now)
            return f"{pace:.1f} of {guard.send_rate.base_rate_per_s:.1f} calls a second, {tokens:.2f} tokens"
        if rule == "trial out":
            return "one call is out to see whether it works again"
        return (
            f"a call every {rate_limit.call_interval_ms(guard, now):.0f} ms" if rule == "slow start" else rule
        )

    # What the module does, overheard ---------------------------------------------------------------

    def _dispatch(self) -> None:
        super()._dispatch()
        watch = self.trace_filter
        if watch is None or not watch.include_blocked:
            return
        for message in self._traced_messages(watch):
            rule, detail = self.why_blocked(message)
            self._emit(
                MessageBlocked(
                    message.id, self.destination_number(message.destination), rule or UNEXPLAINED, detail
                )
            )

    def _traced_messages(self, trace_filter: TraceFilter) -> list[Message]:
        if trace_filter.everything:
            return [m for d in self.active_destinations.values() for m in d.queued.values()]
        named = [self.messages[id_] for id_ in trace_filter.message_ids if id_ in self.messages]
        there = [
            m
            for n in trace_filter.destinations
            if n in self.active_destinations
            for m in self.active_destinations[n].queued.values()
        ]
        return [m for m in named if m.id in m.destination.queued] + there

    def decide(self, now: float) -> list[Action]:
        """Decide, and tell what became of the guards that are watched."""
        actions = list(super().decide(now))
        if self.trace_filter is not None:
            numbers = (
                self.active_destinations if self.trace_filter.everything else self.trace_filter.destinations
            )
            for number in [n for n in numbers if n in self.destinations]:
                self._trace_health(number, self.destinations[number])
        return actions

    def _trace_health(self, number: int, dest: Destination) -> None:
        shared = [("", dest.limits)] if dest.limits else []
        for name, guard in (*shared, *((e.name, e.limits[-1]) for e in dest.endpoints.values())):
            state = self.breaker_state(guard)
            endpoint = dest.endpoints.get(name)
            if endpoint is not None and not endpoint.accepts_calls:
                state = "draining" if endpoint.listed else "off the list"
            key, before = (number, name), self._health.get((number, name), ("well", 0))
            if (state, guard.breaker.consecutive_failures) != before and (
                state != before[0] or guard.breaker.consecutive_failures
            ):
                self._health[key] = (state, guard.breaker.consecutive_failures)
                self._emit(HealthChanged(number, name, state, self._state_details(guard, state)))

    def breaker_state(self, guard: CallLimits) -> str:
        """A guard's state in a word."""
        if guard.retry_after_active(self.now):
            return "told wait"
        if guard.breaker.consecutive_failures:
            return "open"
        return (
            "slow start"
            if guard.slow_start.slow_start_from > NEVER and self.now >= guard.slow_start.slow_start_from
            else "well"
        )

    def _state_details(self, guard: CallLimits, state: str) -> str:
        pace = f"pace {rate_limit.rate_and_tokens(guard, self.now)[0]:.1f} of {guard.send_rate.base_rate_per_s:.1f} a second"
        if state == "told wait":
            return f"for {max(guard.retry_after_until, guard.destination.retry_after_until) - self.now:.0f} ms, {pace}"
        if state == "open":
            return f"{guard.breaker.consecutive_failures} failures in a row, next trial in {max(0.0, guard.breaker.open_until - self.now):.0f} ms"
        return (
            f"a call every {rate_limit.call_interval_ms(guard, self.now):.0f} ms"
            if state == "slow start"
            else pace
        )

    def _start_call(self, first: Message) -> None:
        watch = self.trace_filter
        if watch is None:
            return super()._start_call(first)
        ready = endpoint_selection.candidates(self, first)
        costs = {e.name: endpoint_selection.call_cost_ms(self, e) for e in ready}
        trial = all(e.is_unhealthy() for e in ready)
        before = len(self.actions)
        super()._start_call(first)
        number = self.destination_number(first.destination)
        for action in self.actions[before:]:
            if isinstance(action, StartAttempt) and watch.matches(self.messages[action.id], number):
                others = tuple((name, cost) for name, cost in costs.items() if name != action.endpoint)
                tries = self.messages[action.id].attempts - 1
                self._emit(
                    AttemptChosen(action.id, tries, action.endpoint, costs[action.endpoint], others, trial)
                )

    def _give_final_answer(self, message: Message, why: str) -> None:
        if self.trace_filter is not None and self.trace_filter.matches(
            message, self.destination_number(message.destination)
        ):
            self._emit(MessageGivenUp(message.id, why, message_rules.safe_to_retry(message)))
        super()._give_final_answer(message, why)

    def _handle_overdue(self, call: Call, spans: float) -> None:
        before, full = len(self.actions), self.in_flight >= self.settings.concurrency_limit
        super()._handle_overdue(call, spans)
        watch = self.trace_filter
        for action in self.actions[before:] if watch is not None else ():
            watched = watch is not None and (
                watch.everything or self.destination_number(call.endpoint.destination) in watch.destinations
            )
            if isinstance(action, CancelAttempt) and (
                watched or (watch is not None and action.id in watch.message_ids)
            ):
                self._emit(AttemptCancelled(action.id, action.attempt, spans, full))
