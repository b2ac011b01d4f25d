"""One relay's obligations, checked over the stream of what it was told and what it answered.

The checker knows only that; it shares no code with the decision module.  The rules are those of the brief and the
protocol: one final answer, in time; at most one attempt out; repeats within what the class allows; drains kept; told
waits heeded; order within a key; no more calls out than slots.  The same checker stands over random days
(`tests/test_random.py`) and over captures (`kestreltrack capture shrink --shows rule:…`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    DeduplicationScope,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    Idempotency,
    KindSettings,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    RejectMessage,
    RetryAfterReceived,
    Settings,
    StartAttempt,
)
from kestreltrack.snapshot.state import PolicyState

NOT_EXECUTED_OUTCOMES = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT}
FOREVER = float("inf")


class InvariantViolationError(AssertionError):
    """A rule was broken; the text says which."""


@dataclass(slots=True)
class Attempt:
    """One claim; it is out until it has an outcome."""

    started_at: float
    zone: str
    outcome: Outcome | None = None


@dataclass(slots=True)
class MessageRecord:
    """What the checker knows of one message."""

    event: MessageArrived
    order: int
    final_answers: int = 0
    final: bool = False
    withdrawn_at: float | None = None
    uncounted_attempts: int = 0  # attempts that never left, and count against no limit
    attempts: list[Attempt] = field(default_factory=list)

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt is."""
        return any(a.outcome is None for a in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Those that ran or may have run."""
        return [a for a in self.attempts if a.outcome not in NOT_EXECUTED_OUTCOMES]


class SenderInvariants:
    """Independent bookkeeping of one relay's obligations."""

    def __init__(self, settings: Settings) -> None:
        """Nothing is known yet."""
        self.settings = settings
        self.records: dict[str, MessageRecord] = {}
        self.open_records: dict[str, MessageRecord] = {}
        """Those of them that are not over, or have an attempt out."""
        self.endpoints: dict[str, EndpointEntry] = {}
        self.draining_since: dict[str, float] = {}
        self.retry_after_until: dict[str, float] = {}
        self.keys_settling: dict[int, tuple[float, str]] = {}
        self.calls_in_flight: list[set[tuple[str, int]]] = []

    def load_state(self, state: PolicyState) -> None:
        """Begin from the state of a module, as a checkpoint holds it."""
        for dest in state.dests:
            for e in dest.endpoints:
                lifecycle = EndpointLifecycle.UP if e.up else EndpointLifecycle.DRAINING
                self.endpoints[e.name] = EndpointEntry(e.name, dest.number, e.kind, e.zone, lifecycle)
                if not e.up:
                    self.draining_since[e.name] = state.now
                guard = dest.guard if e.shares and dest.guard else e.own
                if (until := max(guard.wait_until, dest.heard)) > state.now:
                    self.retry_after_until[self._retry_after_scope(e.name)] = until
        for message in state.messages:
            doubt = None if message.doubt == FOREVER else message.doubt
            event = MessageArrived(
                message.id,
                message.dest,
                message.cls,
                message.expires,
                message.line,
                None,
                message.tries,
                doubt,
                message.zone,
            )
            self.observe(state.now, event)
        for call in state.calls:
            for id_, attempt in call.parts.items():
                record = self.records.get(id_)
                if record is not None and attempt < len(record.attempts):
                    record.attempts[attempt] = Attempt(call.sent, self.endpoints[call.endpoint].zone)
            self.calls_in_flight.append(set(call.parts.items()))
        for line in state.keys:
            self.keys_settling[line.key] = (line.rest, line.owner)

    def _kind_settings(self, name: str) -> KindSettings:
        return self.settings.kinds.get(self.endpoints[name].kind, KindSettings())

    def _retry_after_scope(self, endpoint: str) -> str:
        return (
            endpoint
            if self._kind_settings(endpoint).independent_endpoints
            else f"dest {self.endpoints[endpoint].dest}"
        )

    def observe(self, now: float, event: Event) -> None:
        """Take note of an event before the relay answers it."""
        if isinstance(event, MessageArrived):
            self._arrived(event)
        elif isinstance(event, MessageWithdrawn) and event.id in self.records:
            self.records[event.id].final = True
            self.records[event.id].withdrawn_at = now
            self._close_if_final(event.id)
        elif isinstance(event, EndpointsUpdated):
            if event.complete:
                for name in self.endpoints:
                    self.draining_since.setdefault(name, now)
            for entry in event.entries:
                self.endpoints[entry.endpoint] = entry
                if entry.lifecycle is EndpointLifecycle.UP:
                    self.draining_since.pop(entry.endpoint, None)
                else:
                    self.draining_since.setdefault(entry.endpoint, now)
        elif isinstance(event, AttemptEnded):
            self._ended(now, event)
        elif isinstance(event, RetryAfterReceived):
            for unit in {
                self._retry_after_scope(name)
                for name, entry in self.endpoints.items()
                if entry.dest == event.dest
            }:
                self.retry_after_until[unit] = max(self.retry_after_until.get(unit, 0.0), event.until)

    def _arrived(self, event: MessageArrived) -> None:
        record = self.records[event.id] = self.open_records[event.id] = MessageRecord(
            event, len(self.records)
        )
        record.attempts = [Attempt(0.0, "", Outcome.NOT_SENT) for _ in range(event.attempts)]
        if (
            event.ambiguous_since is not None and event.attempts
        ):  # one of them before a restart, whichever it was
            record.attempts[0] = Attempt(
                event.ambiguous_since, event.ambiguous_zone, Outcome.CONNECTION_BROKEN
            )

    def _ended(self, now: float, event: AttemptEnded) -> None:
        record = self.records.get(event.id)
        if record is None or event.attempt >= len(record.attempts):
            return  # of before this checker's time
        record.attempts[event.attempt].outcome = event.outcome
        record.uncounted_attempts += not event.counted
        record.final = record.final or event.final
        for call in self.calls_in_flight:
            call.discard((event.id, event.attempt))
        self.calls_in_flight = [c for c in self.calls_in_flight if c]
        if (
            event.outcome is Outcome.REJECTED
            and event.retry_after_ms > 0
            and event.endpoint in self.endpoints
        ):
            unit = self._retry_after_scope(event.endpoint)
            self.retry_after_until[unit] = max(
                self.retry_after_until.get(unit, 0.0), now + event.retry_after_ms
            )
        key = record.event.key
        if key is not None and event.outcome in (
            Outcome.TIMED_OUT,
            Outcome.CONNECTION_BROKEN,
            Outcome.CANCELLED,
        ):
            self.keys_settling[key] = (now + self.settings.safety.settle_ms, event.id)
        self._close_if_final(event.id)

    def _close_if_final(self, id_: str) -> None:
        record = self.records[id_]
        if record.final and not record.has_attempt_in_flight():
            self.open_records.pop(id_, None)

    def check_actions(self, now: float, actions: list[Action]) -> None:
        """Hold the actions of one step against the rules; raises `Broken`."""
        fresh: dict[str, set[tuple[str, int]]] = {}
        for act in actions:
            if isinstance(act, StartAttempt):
                self._check_attempt(now, act, fresh)
            elif isinstance(act, RejectMessage | FailMessage):
                self._check_final_answer(now, act)
            elif isinstance(act, CancelAttempt) and act.attempt >= len(self.records[act.id].attempts):
                raise InvariantViolationError("cancelled an attempt never made")
        if len(self.calls_in_flight) > self.settings.concurrency_limit:
            raise InvariantViolationError("more calls out than slots")
        for record in self.open_records.values():
            late = now > record.event.expires + self.settings.safety.answer_slack_ms
            if late and not record.final:
                raise InvariantViolationError(f"no final answer for {record.event.id}")

    def _check_attempt(
        self, now: float, action: StartAttempt, fresh: dict[str, set[tuple[str, int]]]
    ) -> None:
        record, entry = self.records[action.id], self.endpoints[action.endpoint]
        cls = self.settings.classes[record.event.cls]
        if record.final:
            raise InvariantViolationError("sent after the end")
        if record.has_attempt_in_flight():
            raise InvariantViolationError("two attempts out at once")
        if len(record.attempts) - record.uncounted_attempts >= self.settings.max_attempts:
            raise InvariantViolationError("too many tries")
        if entry.dest != record.event.dest:
            raise InvariantViolationError("not an endpoint of the destination")
        if now > self.draining_since.get(action.endpoint, now) + self.settings.safety.drain_grace_ms:
            raise InvariantViolationError("sent to an endpoint that drains or is gone")
        if now < self.retry_after_until.get(self._retry_after_scope(action.endpoint), now):
            raise InvariantViolationError("sent before a wait was over")
        doubtful = record.possibly_executed()
        if doubtful and cls.idempotency is Idempotency.NOT_IDEMPOTENT:
            raise InvariantViolationError("repeated an unsafe message")
        if doubtful and cls.idempotency is Idempotency.KEYED:
            first = doubtful[0]
            if now >= first.started_at + cls.deduplication_window_ms:
                raise InvariantViolationError("repeated outside the key window")
            if cls.deduplication_scope is DeduplicationScope.ZONE and first.zone != entry.zone:
                raise InvariantViolationError("repeated outside its group")
        if cls.in_order and record.event.key is not None:
            self._check_order(now, record)
        record.attempts.append(Attempt(now, entry.zone))
        mark = (action.id, len(record.attempts) - 1)
        call = fresh.get(action.endpoint)
        if call is None or len(call) >= self._kind_settings(action.endpoint).max_batch_size:
            call = fresh[action.endpoint] = set()
            self.calls_in_flight.append(call)
        call.add(mark)

    def _check_order(self, now: float, record: MessageRecord) -> None:
        key = record.event.key
        for other in self.open_records.values():
            if other.event.key == key and other.order < record.order:
                raise InvariantViolationError("sent out of turn")
        rest, owner = self.keys_settling.get(key or 0, (now, ""))
        if now < rest and owner != record.event.id:
            raise InvariantViolationError("the key had not settled")

    def _check_final_answer(self, now: float, action: RejectMessage | FailMessage) -> None:
        record = self.records[action.id]
        cls = self.settings.classes[record.event.cls]
        if record.withdrawn_at == now and not record.final_answers:
            record.final_answers += 1  # its outcome came first in the same step and was answered: no fault
            return
        if record.final:
            raise InvariantViolationError("a second final answer")
        doubtful = record.possibly_executed()
        if (
            isinstance(action, RejectMessage)
            and doubtful
            and (
                cls.idempotency is Idempotency.NOT_IDEMPOTENT
                or (
                    cls.idempotency is Idempotency.KEYED
                    and cls.deduplication_scope is not DeduplicationScope.ALL
                )
            )
        ):
            raise InvariantViolationError("said harmless of what may have run")
        record.final = True
        record.final_answers += 1
        self._close_if_final(action.id)
