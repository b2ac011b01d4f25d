"""The invariants of a complete run, checked by a listener of its event stream, which records the violations.

The rules are those of the specification and of the protocol; the scenario sets their parameters.  A sender is judged
only by what it knew: a drain applies from the time at which the sender learned of it, a retry-after from the time at
which the sender received it.  All clock readings and durations are milliseconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.invariants.events import (
    AttemptAnswered,
    AttemptStarted,
    DestinationOverloaded,
    EndpointStateLearned,
    Event,
    FaultChanged,
    FinalAnswerGiven,
    MessageAccepted,
    MessageExecuted,
    MessageRequested,
    SenderCrashed,
    SenderStarted,
)

# The names of the rules in results and in the output of commands.
ONE_ATTEMPT = "one attempt at a time"
ONE_FINAL_ANSWER = "one final answer"
ANSWERS_IN_TIME = "answers in time"
REPEATS_ALLOWED = "repeats within allowance"
ATTEMPT_LIMIT = "attempts within the limit"
DRAINING_RESPECTED = "drains kept"
RETRY_AFTER_RESPECTED = "waits heeded"
SLOT_CAP = "cap"
ISOLATION = "isolation"
NO_OVERLOAD_ON_RECOVERY = "no returning partner pushed over"

# The maximum share of a sender's slots for one destination, as in the design page.
MAX_SLOT_SHARE = 0.75
MAX_SLOT_SHARE_UNHEALTHY = 0.5
OUTAGE_FAULTS = ("hangs", "shuts", "unreachable", "refuses", "vanishes", "fails")
# After these outcomes the message may have been executed.
AMBIGUOUS_OUTCOMES = ("error", "timed out", "broken", "cancelled")
# These outcomes are no evidence of an outage.
HEALTHY_OUTCOMES = ("ok", "not sent")
# After this time, the calls that were decided before the destination became unhealthy have left the sender.
UNHEALTHY_GRACE_MS = 2000.0
# Limits the memory for violations in a run that fails throughout; further ones are not recorded.
MAX_VIOLATIONS = 1000
# Deadlines that passed while a sender was down are extended to this time after its start, as in the protocol.
RESTART_GRACE_MS = 1500.0
NO_SENDER = -1

EndpointOrDestination = int | str
"""A destination by its number, or an endpoint by its name."""


@dataclass(frozen=True, slots=True)
class InvariantParameters:
    """The parameters of the rules; `idempotency` is `safe`, `keyed` or `unsafe` for each class."""

    drain_grace_ms: float
    answer_slack_ms: float
    max_attempts: int
    idempotency: Mapping[str, str]
    deduplication_windows_ms: Mapping[str, float] = field(default_factory=dict)
    """The deduplication window of keyed classes, from the first ambiguous attempt; unlimited without an entry."""
    zone_scoped: frozenset[str] = frozenset()
    """The keyed classes that are deduplicated only within a zone."""


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """One violation of a rule."""

    at: float
    rule: str
    text: str


@dataclass(slots=True)
class _AcceptedMessage:
    """The state of a message that a sender has accepted or attempted."""

    deadline: float
    cls: str
    final_answers: int = 0
    attempting_sender: int = NO_SENDER
    """The sender with an attempt in flight, or `NO_SENDER`."""
    attempts: int = 0
    last_attempt_at: float = 0.0
    last_attempt_zone: str = ""
    first_ambiguous: tuple[float, str] | None = None
    """The start and the zone of the first attempt with an ambiguous outcome."""

    def mark_ambiguous(self) -> None:
        """Record that the last attempt ended with an ambiguous outcome."""
        self.attempting_sender = NO_SENDER
        if self.first_ambiguous is None:
            self.first_ambiguous = (self.last_attempt_at, self.last_attempt_zone)


class SystemInvariants:
    """Checks all rules; a `Listener` of the event stream.

    `violations` contains the violations, `check_counts` the number of checks made of each rule.
    """

    def __init__(self, parameters: InvariantParameters, concurrency_limit: int) -> None:
        """Start before the first event; `concurrency_limit` is the number of slots of each sender."""
        self.parameters = parameters
        self.concurrency_limit = concurrency_limit
        self.violations = list[InvariantViolation]()
        self.check_counts = Counter[str]()
        self.independent_destinations = frozenset[int]()
        """Destinations with independent endpoints: a retry-after or a failure applies to one endpoint only."""
        self._idempotency_of = parameters.idempotency
        self._requested = dict[str, MessageRequested]()
        self._accepted = dict[str, _AcceptedMessage]()
        self._executions = Counter[str]()
        self._draining_since = dict[tuple[int, str], float]()
        self._retry_after_until = dict[tuple[int, EndpointOrDestination], float]()
        self._unhealthy_since = dict[tuple[int, int], float]()
        self._started_at = dict[int, float]()
        """The latest start of each sender."""
        self._in_outage = set[EndpointOrDestination]()
        """The destinations and endpoints that are or were in an outage."""
        self._senders_aware_of_outage = defaultdict[EndpointOrDestination, set[int]](set)
        """The senders that had a failed call since the outage began, by destination or endpoint."""
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            MessageRequested: self._on_requested,
            MessageAccepted: self._on_accepted,
            AttemptStarted: self._on_attempt_started,
            AttemptAnswered: self._on_attempt_answered,
            FinalAnswerGiven: self._on_final_answer,
            MessageExecuted: self._on_executed,
            EndpointStateLearned: self._on_endpoint_state,
            DestinationOverloaded: self._on_overloaded,
            SenderCrashed: self._on_sender_crashed,
            SenderStarted: self._on_sender_started,
            FaultChanged: self._on_fault_changed,
        }

    def __call__(self, now: float, event: Event) -> None:
        """Check one event."""
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)

    def finish(self, now: float) -> list[InvariantViolation]:
        """Check at the end that each accepted message had a final answer, and return all violations."""
        for message_id, message in self._accepted.items():
            if not message.final_answers:
                overdue_ms = now - message.deadline
                text = f"{message_id}: accepted, and no final answer {overdue_ms:.0f} ms after its deadline"
                self._add_violation(now, ONE_FINAL_ANSWER, text)
        return self.violations

    def _add_violation(self, now: float, rule: str, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(InvariantViolation(now, rule, text))

    # Messages and their final answers ----------------------------------------------------------------

    def _on_requested(self, now: float, event: MessageRequested) -> None:
        self._requested[event.id] = event

    def _on_accepted(self, now: float, event: MessageAccepted) -> None:
        self._track(event.id)

    def _track(self, message_id: str) -> _AcceptedMessage:
        request = self._requested[message_id]
        message = _AcceptedMessage(request.deadline, request.cls)
        self._accepted[message_id] = message
        return message

    def _on_final_answer(self, now: float, event: FinalAnswerGiven) -> None:
        self._check_final_answer(now, event.id, event.sender, event.result)

    def _check_final_answer(self, now: float, message_id: str, sender: int, result: str) -> None:
        message = self._accepted.get(message_id)
        if message is None:
            return
        self.check_counts[ONE_FINAL_ANSWER] += 1
        if message.final_answers:
            self._add_violation(now, ONE_FINAL_ANSWER, f"{message_id}: {result}, after a final answer")
        message.final_answers += 1
        restart_grace_until = self._started_at.get(sender, -RESTART_GRACE_MS) + RESTART_GRACE_MS
        if now > max(message.deadline, restart_grace_until) + self.parameters.answer_slack_ms:
            text = f"{message_id}: {result} {now - message.deadline:.0f} ms after its deadline"
            self._add_violation(now, ANSWERS_IN_TIME, text)
        if result == "refused":
            self._check_handed_back(now, message_id, message)
            # The client may submit it again, which starts a new lifecycle.
            del self._accepted[message_id]

    def _check_handed_back(self, now: float, message_id: str, message: _AcceptedMessage) -> None:
        unsafe = self._idempotency_of[message.cls] == "unsafe" or message.cls in self.parameters.zone_scoped
        if unsafe and (self._executions[message_id] or message.first_ambiguous):
            text = f"{message_id}: handed back though it may have been executed"
            self._add_violation(now, REPEATS_ALLOWED, text)

    def _on_executed(self, now: float, event: MessageExecuted) -> None:
        self.check_counts[REPEATS_ALLOWED] += 1
        if not event.duplicate:
            self._executions[event.id] += 1
        executions = self._executions[event.id]
        if executions > 1 and self._idempotency_of[self._requested[event.id].cls] != "safe":
            self._add_violation(now, REPEATS_ALLOWED, f"{event.id}: executed {executions} times")

    # Attempts ----------------------------------------------------------------------------------------

    def _on_attempt_started(self, now: float, event: AttemptStarted) -> None:
        message = self._accepted.get(event.id)
        if message is None:
            message = self._track(event.id)
        self._check_one_attempt(now, event, message)
        self._check_repeat(now, event, message)
        message.attempting_sender = event.sender
        message.last_attempt_at = now
        message.last_attempt_zone = event.zone
        message.attempts += 1
        if message.final_answers:
            self._add_violation(now, ONE_FINAL_ANSWER, f"{event.id}: an attempt after the final answer")
        if message.attempts > self.parameters.max_attempts:
            self._add_violation(now, ATTEMPT_LIMIT, f"{event.id}: attempt {message.attempts}")
        self._check_draining(now, event)
        self._check_retry_after(now, event)
        self._check_slot_cap(now, event)
        self._check_isolation(now, event)

    def _check_one_attempt(self, now: float, event: AttemptStarted, message: _AcceptedMessage) -> None:
        self.check_counts[ONE_ATTEMPT] += 1
        if message.attempting_sender != NO_SENDER:
            text = f"{event.id}: sender {event.sender} while {message.attempting_sender} has one in flight"
            self._add_violation(now, ONE_ATTEMPT, text)

    def _check_repeat(self, now: float, event: AttemptStarted, message: _AcceptedMessage) -> None:
        """Check that a message that may have been executed is repeated only if its class allows it."""
        idempotency = self._idempotency_of[message.cls]
        if message.first_ambiguous is None or idempotency == "safe":
            return
        ambiguous_at, zone = message.first_ambiguous
        window_ms = self.parameters.deduplication_windows_ms.get(message.cls, float("inf"))
        if idempotency == "unsafe":
            text = f"{event.id}: sent again though it may have been executed"
        elif now - ambiguous_at > window_ms:
            text = f"{event.id}: sent again {now - ambiguous_at:.0f} ms after the ambiguous attempt"
        elif message.cls in self.parameters.zone_scoped and zone != event.zone:
            text = f"{event.id}: sent to zone {event.zone}, and it may have been executed in {zone}"
        else:
            return
        self._add_violation(now, REPEATS_ALLOWED, text)

    def _check_draining(self, now: float, event: AttemptStarted) -> None:
        draining_since = self._draining_since.get((event.sender, event.endpoint))
        if draining_since is None:
            return
        self.check_counts[DRAINING_RESPECTED] += 1
        late_ms = now - draining_since
        if late_ms > self.parameters.drain_grace_ms:
            text = f"sender {event.sender} to {event.endpoint} {late_ms:.0f} ms after it learned of the drain"
            self._add_violation(now, DRAINING_RESPECTED, text)

    def _check_retry_after(self, now: float, event: AttemptStarted) -> None:
        until = self._retry_after_until.get((event.sender, self._retry_after_scope(event)))
        if until is None:
            return
        self.check_counts[RETRY_AFTER_RESPECTED] += 1
        if now < until:
            text = f"sender {event.sender} to destination {event.dest} {until - now:.0f} ms too early"
            self._add_violation(now, RETRY_AFTER_RESPECTED, text)

    def _check_slot_cap(self, now: float, event: AttemptStarted) -> None:
        self.check_counts[SLOT_CAP] += 1
        limit = max(1, int(self.concurrency_limit * MAX_SLOT_SHARE))
        if event.in_flight > limit:
            text = (
                f"sender {event.sender} has {event.in_flight} calls in flight to destination {event.dest}, "
                f"{limit} at most"
            )
            self._add_violation(now, SLOT_CAP, text)

    def _check_isolation(self, now: float, event: AttemptStarted) -> None:
        """Check the number of calls to an unhealthy destination, after a grace period for calls decided before."""
        key = (event.sender, event.dest)
        if not event.unhealthy:
            self._unhealthy_since.pop(key, None)
            return
        unhealthy_since = self._unhealthy_since.setdefault(key, now)
        limit = max(1, int(self.concurrency_limit * MAX_SLOT_SHARE_UNHEALTHY))
        if now - unhealthy_since > UNHEALTHY_GRACE_MS and event.in_flight > limit:
            text = f"sender {event.sender}: {event.in_flight} calls to unhealthy destination {event.dest}"
            self._add_violation(now, ISOLATION, text)

    def _on_attempt_answered(self, now: float, event: AttemptAnswered) -> None:
        message = self._accepted.get(event.id)
        if message is not None and message.attempting_sender == event.sender:
            message.attempting_sender = NO_SENDER
            if event.outcome in AMBIGUOUS_OUTCOMES:
                message.mark_ambiguous()
        if event.retry_after_ms > 0:
            key = (event.sender, self._retry_after_scope(event))
            until = now + event.retry_after_ms
            self._retry_after_until[key] = max(self._retry_after_until.get(key, 0.0), until)
        if event.outcome not in HEALTHY_OUTCOMES:
            self._record_failed_call(event)
        if event.outcome == "ok":
            self._check_final_answer(now, event.id, event.sender, "delivered")

    def _record_failed_call(self, event: AttemptAnswered) -> None:
        for affected in (event.dest, event.endpoint):
            if affected in self._in_outage:
                self._senders_aware_of_outage[affected].add(event.sender)

    def _retry_after_scope(self, event: AttemptStarted | AttemptAnswered) -> EndpointOrDestination:
        """Return the destination or the endpoint to which a retry-after of this endpoint applies."""
        return event.endpoint if event.dest in self.independent_destinations else event.dest

    # Endpoints, outages and senders ------------------------------------------------------------------

    def _on_endpoint_state(self, now: float, event: EndpointStateLearned) -> None:
        key = (event.sender, event.endpoint)
        if event.lifecycle == "up":
            self._draining_since.pop(key, None)
        else:
            self._draining_since.setdefault(key, now)

    def _on_fault_changed(self, now: float, event: FaultChanged) -> None:
        if event.kind not in OUTAGE_FAULTS or not event.active:
            return
        affected: list[EndpointOrDestination] = [*event.endpoints]
        if not affected:
            affected = [int(number) for number in event.target.split(", ") if number]
        for item in affected:
            self._in_outage.add(item)
            self._senders_aware_of_outage[item].clear()

    def _on_overloaded(self, now: float, event: DestinationOverloaded) -> None:
        """Check that less than two thirds of the work came from senders that had seen the destination fail."""
        self.check_counts[NO_OVERLOAD_ON_RECOVERY] += 1
        total_ms = sum(event.work_ms_by_sender.values())
        aware_senders = self._senders_aware_of_outage[event.dest].union(
            *(self._senders_aware_of_outage[endpoint] for endpoint in event.endpoints)
        )
        aware_ms = sum(work for sender, work in event.work_ms_by_sender.items() if sender in aware_senders)
        if total_ms > 0 and aware_ms >= total_ms * 2.0 / 3.0:
            share = aware_ms / total_ms
            text = f"destination {event.dest}, {share:.0%} by senders that had seen it fail"
            self._add_violation(now, NO_OVERLOAD_ON_RECOVERY, text)

    def _on_sender_crashed(self, now: float, event: SenderCrashed) -> None:
        for message in self._accepted.values():
            if message.attempting_sender == event.sender:
                # The next process of the sender recovers the message from the journal, with an ambiguous outcome.
                message.mark_ambiguous()
        # The next process knows only its journal and its cached endpoint list.
        for aware_senders in self._senders_aware_of_outage.values():
            aware_senders.discard(event.sender)
        self._retry_after_until = {
            key: until for key, until in self._retry_after_until.items() if key[0] != event.sender
        }

    def _on_sender_started(self, now: float, event: SenderStarted) -> None:
        self._started_at[event.sender] = now
