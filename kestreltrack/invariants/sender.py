"""The invariants of one sender, checked over the events and the actions of its decision module.

The checker has no other input and shares no logic with the decision module.  The rules are those of the specification
and of the protocol: one final answer, in time; at most one attempt in flight; repeats only as the class allows; no
request to a draining endpoint; no request before a retry-after has passed; order within an ordering key; no more
calls in flight than the concurrency limit.  The checker runs over random event sequences (`tests/test_random.py`) and
over captures (`kestreltrack capture shrink --shows rule:…`).  All clock readings and durations are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClassSettings,
    DeduplicationScope,
    ElsewhereProgress,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    Idempotency,
    KindSettings,
    MessageArrived,
    MessageWithdrawn,
    OrderedElsewhere,
    Outcome,
    RejectMessage,
    RetryAfterReceived,
    Settings,
    StartAttempt,
)
from kestreltrack.snapshot.state import KeyQueueState, PolicyState

# After these outcomes the endpoint has certainly not executed the message.
NOT_EXECUTED_OUTCOMES = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT}
# After these outcomes the endpoint may still be executing the message, so its ordering key has to settle.
KEY_SETTLING_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED)
# The value of `doubt` in a stored message without an ambiguous outcome.
NEVER_AMBIGUOUS = float("inf")


class InvariantViolationError(AssertionError):
    """A rule was violated; the message says which."""


@dataclass(slots=True)
class Attempt:
    """One attempt; it is in flight until it has an outcome."""

    started_at: float
    zone: str
    outcome: Outcome | None = None


@dataclass(slots=True)
class MessageRecord:
    """The events and attempts of one message."""

    event: MessageArrived
    order: float
    """The position in the order of arrival, or of acceptance by the other process, of all messages."""
    final_answers: int = 0
    final: bool = False
    withdrawn_at: float | None = None
    uncounted_attempts: int = 0
    """The number of attempts that were never sent, which do not count towards the limit of attempts."""
    attempts: list[Attempt] = field(default_factory=list)

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that were or may have been executed, including those in flight."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NOT_EXECUTED_OUTCOMES]


class SenderInvariants:
    """Checks the invariants of one sender.

    Call `observe` for each event before the decision module handles it, and `check_actions` for each decision.
    """

    def __init__(self, settings: Settings) -> None:
        """Start without messages and endpoints."""
        self.settings = settings
        self.records: dict[str, MessageRecord] = {}
        self.open_records: dict[str, MessageRecord] = {}
        """The messages without a final answer or with an attempt in flight."""
        self.endpoints: dict[str, EndpointEntry] = {}
        self.draining_since: dict[str, float] = {}
        self.retry_after_until: dict[str, float] = {}
        """The end of the latest retry-after, by scope: an endpoint or a destination."""
        self.keys_settling: dict[int, tuple[float, str]] = {}
        """When each ordering key has settled, and the message whose attempt was ambiguous."""
        self.elsewhere: dict[str, tuple[int, float]] = {}
        """The messages of the other process: their ordering keys and their positions."""
        self.calls_in_flight: list[set[tuple[str, int]]] = []
        """For each call in flight, the messages without an outcome and the numbers of their attempts."""

    # Restoring from a checkpoint ---------------------------------------------------------------------

    def load_state(self, state: PolicyState) -> None:
        """Start from the state of a decision module in a checkpoint."""
        self._load_endpoints(state)
        self._load_messages(state)
        self._load_calls(state)
        for key_queue in state.keys:
            self.keys_settling[key_queue.key] = (key_queue.rest, key_queue.owner)
            self._load_elsewhere(key_queue)

    def _load_endpoints(self, state: PolicyState) -> None:
        for dest in state.dests:
            for endpoint in dest.endpoints:
                lifecycle = EndpointLifecycle.UP if endpoint.up else EndpointLifecycle.DRAINING
                entry = EndpointEntry(endpoint.name, dest.number, endpoint.kind, endpoint.zone, lifecycle)
                self.endpoints[endpoint.name] = entry
                if not endpoint.up:
                    self.draining_since[endpoint.name] = state.now
                guard = dest.guard if endpoint.shares and dest.guard else endpoint.own
                until = max(guard.wait_until, dest.heard)
                if until > state.now:
                    self.retry_after_until[self._retry_after_scope(endpoint.name)] = until

    def _load_messages(self, state: PolicyState) -> None:
        for message in state.messages:
            ambiguous_since = None if message.doubt == NEVER_AMBIGUOUS else message.doubt
            event = MessageArrived(
                message.id,
                message.dest,
                message.cls,
                message.expires,
                message.line,
                None,
                message.tries,
                ambiguous_since,
                message.zone,
            )
            self.observe(state.now, event)

    def _load_calls(self, state: PolicyState) -> None:
        for call in state.calls:
            for message_id, attempt in call.parts.items():
                record = self.records.get(message_id)
                if record is not None and attempt < len(record.attempts):
                    record.attempts[attempt] = Attempt(call.sent, self.endpoints[call.endpoint].zone)
            self.calls_in_flight.append(set(call.parts.items()))

    # Events ------------------------------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        """Record an event, before the decision module handles it."""
        if isinstance(event, MessageArrived):
            self._record_arrival(event)
        elif isinstance(event, MessageWithdrawn):
            self._record_withdrawal(now, event)
        elif isinstance(event, EndpointsUpdated):
            self._record_endpoints(now, event)
        elif isinstance(event, AttemptEnded):
            self._record_outcome(now, event)
        elif isinstance(event, RetryAfterReceived):
            self._record_retry_after_of_others(event)
        elif isinstance(event, OrderedElsewhere):
            self._record_elsewhere(now, event)

    def _load_elsewhere(self, key_queue: KeyQueueState) -> None:
        """Record the queued messages that are not of this process, each before the next one that is."""
        for position, message_id in enumerate(key_queue.queue):
            if message_id not in self.records:
                following = (id_ for id_ in key_queue.queue[position:] if id_ in self.records)
                self._place_elsewhere(message_id, key_queue.key, next(following, ""))

    def _record_elsewhere(self, now: float, event: OrderedElsewhere) -> None:
        if event.progress is ElsewhereProgress.ENDED:
            self.elsewhere.pop(event.id, None)
            return
        if event.id not in self.elsewhere and event.id not in self.records:
            self._place_elsewhere(event.id, event.key, event.before)
        if event.progress is ElsewhereProgress.UNCERTAIN:
            self.keys_settling[event.key] = (now + self.settings.safety.settle_ms, event.id)

    def _place_elsewhere(self, message_id: str, key: int, before: str) -> None:
        """Give a message a position between that of `before` and those that precede it."""
        following = self.records.get(before)
        upper = following.order if following else float(len(self.records))
        orders = [record.order for record in self.records.values()]
        orders += [order for _, order in self.elsewhere.values()]
        lower = max((order for order in orders if order < upper), default=upper - 1.0)
        self.elsewhere[message_id] = (key, (lower + upper) / 2.0)

    def _record_arrival(self, event: MessageArrived) -> None:
        _, order = self.elsewhere.pop(event.id, (None, float(len(self.records))))
        record = MessageRecord(event, order)
        self.records[event.id] = record
        self.open_records[event.id] = record
        record.attempts = [Attempt(0.0, "", Outcome.NOT_SENT) for _ in range(event.attempts)]
        if event.ambiguous_since is not None and event.attempts:
            # One of the attempts before the restart was ambiguous; any of them can represent it.
            record.attempts[0] = Attempt(
                event.ambiguous_since, event.ambiguous_zone, Outcome.CONNECTION_BROKEN
            )

    def _record_withdrawal(self, now: float, event: MessageWithdrawn) -> None:
        record = self.records.get(event.id)
        if record is None:
            return
        record.final = True
        record.withdrawn_at = now
        self._close_if_final(event.id)

    def _record_endpoints(self, now: float, event: EndpointsUpdated) -> None:
        if event.complete:
            # An endpoint that a complete list does not contain was removed; the loop below clears the others.
            for name in self.endpoints:
                self.draining_since.setdefault(name, now)
        for entry in event.entries:
            self.endpoints[entry.endpoint] = entry
            if entry.lifecycle is EndpointLifecycle.UP:
                self.draining_since.pop(entry.endpoint, None)
            else:
                self.draining_since.setdefault(entry.endpoint, now)

    def _record_retry_after_of_others(self, event: RetryAfterReceived) -> None:
        scopes = {
            self._retry_after_scope(name)
            for name, entry in self.endpoints.items()
            if entry.dest == event.dest
        }
        for scope in scopes:
            self._extend_retry_after(scope, event.until)

    def _record_outcome(self, now: float, event: AttemptEnded) -> None:
        record = self.records.get(event.id)
        if record is None or event.attempt >= len(record.attempts):
            # The attempt started before the checker.
            return
        record.attempts[event.attempt].outcome = event.outcome
        if not event.counted:
            record.uncounted_attempts += 1
        record.final = record.final or event.final
        for call in self.calls_in_flight:
            call.discard((event.id, event.attempt))
        self.calls_in_flight = [call for call in self.calls_in_flight if call]
        rejected = event.outcome is Outcome.REJECTED
        if rejected and event.retry_after_ms > 0 and event.endpoint in self.endpoints:
            self._extend_retry_after(self._retry_after_scope(event.endpoint), now + event.retry_after_ms)
        key = record.event.key
        if key is not None and event.outcome in KEY_SETTLING_OUTCOMES:
            self.keys_settling[key] = (now + self.settings.safety.settle_ms, event.id)
        self._close_if_final(event.id)

    def _extend_retry_after(self, scope: str, until: float) -> None:
        self.retry_after_until[scope] = max(self.retry_after_until.get(scope, 0.0), until)

    def _kind_settings(self, endpoint: str) -> KindSettings:
        return self.settings.kinds.get(self.endpoints[endpoint].kind, KindSettings())

    def _retry_after_scope(self, endpoint: str) -> str:
        """Return the scope to which a retry-after of this endpoint applies."""
        if self._kind_settings(endpoint).independent_endpoints:
            return endpoint
        return f"dest {self.endpoints[endpoint].dest}"

    def _close_if_final(self, message_id: str) -> None:
        record = self.records[message_id]
        if record.final and not record.has_attempt_in_flight():
            self.open_records.pop(message_id, None)

    # Actions -----------------------------------------------------------------------------------------

    def check_actions(self, now: float, actions: list[Action]) -> None:
        """Check the actions of one decision against the rules.

        Raises:
            InvariantViolationError: An action violates a rule, or a final answer is overdue.
        """
        new_calls: dict[str, set[tuple[str, int]]] = {}
        for action in actions:
            if isinstance(action, StartAttempt):
                self._check_attempt(now, action)
                self._record_attempt(now, action, new_calls)
            elif isinstance(action, RejectMessage | FailMessage):
                self._check_final_answer(now, action)
            elif isinstance(action, CancelAttempt):
                self._check_cancellation(action)
        if len(self.calls_in_flight) > self.settings.concurrency_limit:
            raise InvariantViolationError("more calls in flight than the concurrency limit allows")
        self._check_overdue_answers(now)

    def _check_cancellation(self, action: CancelAttempt) -> None:
        if action.attempt >= len(self.records[action.id].attempts):
            raise InvariantViolationError("cancelled an attempt that was never made")

    def _check_overdue_answers(self, now: float) -> None:
        for record in self.open_records.values():
            overdue = now > record.event.expires + self.settings.safety.answer_slack_ms
            if overdue and not record.final:
                raise InvariantViolationError(f"no final answer for {record.event.id}")

    def _check_attempt(self, now: float, action: StartAttempt) -> None:
        record = self.records[action.id]
        class_settings = self.settings.classes[record.event.cls]
        self._check_message_may_be_sent(record)
        self._check_endpoint_may_be_used(now, record, action.endpoint)
        self._check_repeat(now, record, class_settings, self.endpoints[action.endpoint].zone)
        if class_settings.in_order and record.event.key is not None:
            self._check_order(now, record, record.event.key)

    def _check_message_may_be_sent(self, record: MessageRecord) -> None:
        if record.final:
            raise InvariantViolationError("sent after the final answer")
        if record.has_attempt_in_flight():
            raise InvariantViolationError("two attempts in flight at once")
        if len(record.attempts) - record.uncounted_attempts >= self.settings.max_attempts:
            raise InvariantViolationError("more attempts than the limit allows")

    def _check_endpoint_may_be_used(self, now: float, record: MessageRecord, endpoint: str) -> None:
        if self.endpoints[endpoint].dest != record.event.dest:
            raise InvariantViolationError("not an endpoint of the destination")
        if now > self.draining_since.get(endpoint, now) + self.settings.safety.drain_grace_ms:
            raise InvariantViolationError("sent to an endpoint that is draining or removed")
        if now < self.retry_after_until.get(self._retry_after_scope(endpoint), now):
            raise InvariantViolationError("sent before a retry-after had passed")

    def _check_repeat(
        self, now: float, record: MessageRecord, class_settings: ClassSettings, zone: str
    ) -> None:
        """Check that a message that may have been executed is repeated only if its class allows it."""
        possibly_executed = record.possibly_executed()
        if not possibly_executed:
            return
        if class_settings.idempotency is Idempotency.NOT_IDEMPOTENT:
            raise InvariantViolationError("repeated a message that is not idempotent")
        if class_settings.idempotency is Idempotency.KEYED:
            first = possibly_executed[0]
            if now >= first.started_at + class_settings.deduplication_window_ms:
                raise InvariantViolationError("repeated outside the deduplication window")
            if class_settings.deduplication_scope is DeduplicationScope.ZONE and first.zone != zone:
                raise InvariantViolationError("repeated outside the zone that deduplicates")

    def _check_order(self, now: float, record: MessageRecord, key: int) -> None:
        for other in self.open_records.values():
            if other.event.key == key and other.order < record.order:
                raise InvariantViolationError("sent out of order")
        for other_key, order in self.elsewhere.values():
            if other_key == key and order < record.order:
                raise InvariantViolationError("sent before an earlier message of the other process")
        settled_at, owner = self.keys_settling.get(key, (now, ""))
        if now < settled_at and owner != record.event.id:
            raise InvariantViolationError("sent before the key had settled")

    def _record_attempt(
        self, now: float, action: StartAttempt, new_calls: dict[str, set[tuple[str, int]]]
    ) -> None:
        """Add an attempt to the new call to its endpoint, or to a further call if that one is full."""
        record = self.records[action.id]
        record.attempts.append(Attempt(now, self.endpoints[action.endpoint].zone))
        call = new_calls.get(action.endpoint)
        if call is None or len(call) >= self._kind_settings(action.endpoint).max_batch_size:
            call = set()
            new_calls[action.endpoint] = call
            self.calls_in_flight.append(call)
        call.add((action.id, len(record.attempts) - 1))

    def _check_final_answer(self, now: float, action: RejectMessage | FailMessage) -> None:
        record = self.records[action.id]
        if record.withdrawn_at == now and not record.final_answers:
            # The decision module may handle an outcome before a withdrawal that comes at the same time.
            record.final_answers += 1
            return
        if record.final:
            raise InvariantViolationError("a second final answer")
        class_settings = self.settings.classes[record.event.cls]
        if (
            isinstance(action, RejectMessage)
            and record.possibly_executed()
            and not _repeatable_at_any_sender(class_settings)
        ):
            raise InvariantViolationError("rejected as harmless to repeat, though it may have been executed")
        record.final = True
        record.final_answers += 1
        self._close_if_final(action.id)


def _repeatable_at_any_sender(class_settings: ClassSettings) -> bool:
    """Return whether a client may resubmit, at any sender, a message that may have been executed."""
    if class_settings.idempotency is Idempotency.KEYED:
        return class_settings.deduplication_scope is DeduplicationScope.ALL
    return class_settings.idempotency is not Idempotency.NOT_IDEMPOTENT
