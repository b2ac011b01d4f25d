"""The rules over a whole world, as a listener of its stream; each breach is kept with its time.

The wording is the brief's and the protocol's; the figures come with the scenario.  What a sender cannot know is not
held against it: a drain counts from when it was told, a wait from when its answer came.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

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

MAX_SLOT_SHARE, MAX_SLOT_SHARE_UNHEALTHY = 0.75, 0.5  # of the slots, as the design page has them
OUTAGE_FAULTS = ("hangs", "shuts", "unreachable", "refuses", "vanishes", "fails")
AMBIGUOUS_OUTCOMES = ("error", "timed out", "broken", "cancelled")  # after which it may have run
UNHEALTHY_GRACE_MS = 2000.0  # after which nothing that was decided before can be on its way any more
MAX_VIOLATIONS = 1000  # breaches that are kept
RESTART_GRACE_MS = (
    1500.0  # after a sender is back, what fell due while it was away is not overdue (the protocol)
)


@dataclass(frozen=True, slots=True)
class InvariantParameters:
    """What the rules are told: times in ms, the effect of each class (`safe`, `keyed`, `unsafe`)."""

    drain_grace_ms: float
    answer_slack_ms: float
    max_attempts: int
    idempotency: Mapping[str, str]
    deduplication_windows_ms: Mapping[str, float] = field(default_factory=dict)
    """How long a keyed class is remembered from its first attempt that may have run; for ever where none is told."""
    zone_scoped: frozenset[str] = frozenset()
    """Keyed classes that only endpoints of one zone remember."""


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """One broken rule."""

    at: float
    rule: str
    text: str


@dataclass(slots=True)
class _AcceptedMessage:
    deadline: float
    cls: str
    final_answers: int = 0
    attempting_sender: int = -1
    """The sender that has an attempt out, or -1."""
    attempts: int = 0
    last_attempt_at: float = 0.0
    last_attempt_zone: str = ""
    """When and where to the last attempt went,"""
    first_ambiguous: tuple[float, str] | None = None
    """and the first one that may have run."""

    def mark_ambiguous(self) -> None:
        """The last attempt may."""
        self.attempting_sender, self.first_ambiguous = (
            -1,
            self.first_ambiguous or (self.last_attempt_at, self.last_attempt_zone),
        )


class SystemInvariants:
    """All of them; `breaches` are what was found, `checked` how often each rule had something to look at."""

    def __init__(self, parameters: InvariantParameters, concurrency_limit: int) -> None:
        """Nothing has happened yet; `slots` of each sender."""
        self.parameters, self.concurrency_limit = parameters, concurrency_limit
        self.violations = list[InvariantViolation]()
        self.check_counts = Counter[str]()
        self._idempotency_of = parameters.idempotency
        self._requested = dict[str, MessageRequested]()
        self._accepted = dict[str, _AcceptedMessage]()
        self._draining_since = dict[tuple[int, str], float]()
        self.independent_destinations = frozenset[int]()
        """Partners whose endpoints are routes apart: waits bind one, and each goes out and comes back alone."""
        self._retry_after_until = dict[tuple[int, int | str], float]()
        self._executions = Counter[str]()
        self._started_at = dict[int, float]()  # when a sender began last
        self._unhealthy_since = dict[tuple[int, int], float]()
        # Partners, or endpoints where not all of a partner's: that are away or were, and senders that saw them fail.
        self._in_outage = set[int | str]()
        self._senders_that_saw = defaultdict[int | str, set[int]](set)

    def _add_violation(self, now: float, rule: str, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(InvariantViolation(now, rule, text))

    def __call__(self, now: float, event: Event) -> None:
        """One thing that happened."""
        if isinstance(event, MessageRequested):
            self._requested[event.id] = event
        elif isinstance(event, MessageAccepted):
            self._accepted[event.id] = _AcceptedMessage(
                self._requested[event.id].deadline, self._requested[event.id].cls
            )
        elif isinstance(event, AttemptStarted):
            self._attempt(now, event)
        elif isinstance(event, AttemptAnswered):
            self._answered(now, event)
        elif isinstance(event, FinalAnswerGiven):
            self._ended(now, event.id, event.sender, event.result)
        elif isinstance(event, MessageExecuted):
            self._executed(now, event)
        elif isinstance(event, EndpointStateLearned):
            if event.lifecycle == "up":
                self._draining_since.pop((event.sender, event.endpoint), None)
            else:
                self._draining_since.setdefault((event.sender, event.endpoint), now)
        elif isinstance(event, DestinationOverloaded):
            self._destination_overloaded(now, event)
        elif isinstance(event, SenderCrashed):
            self._sender_crashed(event.sender)
        elif isinstance(event, SenderStarted):
            self._started_at[event.sender] = now
        elif isinstance(event, FaultChanged) and event.kind in OUTAGE_FAULTS and event.active:
            struck: list[int | str] = [*event.endpoints] or [
                int(n) for n in filter(None, event.target.split(", "))
            ]
            for one in struck:
                self._in_outage.add(one)
                self._senders_that_saw[one].clear()

    def _attempt(self, now: float, event: AttemptStarted) -> None:
        taken = self._accepted.get(event.id)
        if taken is None:
            taken = self._accepted[event.id] = _AcceptedMessage(
                self._requested[event.id].deadline, self._requested[event.id].cls
            )
        self.check_counts["one attempt at a time"] += 1
        if taken.attempting_sender >= 0:
            self._add_violation(
                now,
                "one attempt at a time",
                f"{event.id}: sender {event.sender} while {taken.attempting_sender} has one",
            )
        self._check_repeat(now, event, taken)
        taken.attempting_sender, taken.last_attempt_at, taken.last_attempt_zone = (
            event.sender,
            now,
            event.zone,
        )
        taken.attempts += 1
        if taken.final_answers:
            self._add_violation(now, "one final answer", f"{event.id}: an attempt after its end")
        if taken.attempts > self.parameters.max_attempts:
            self._add_violation(now, "attempts within the limit", f"{event.id}: attempt {taken.attempts}")
        gone = self._draining_since.get((event.sender, event.endpoint))
        if gone is not None:
            self.check_counts["drains kept"] += 1
            if now - gone > self.parameters.drain_grace_ms:
                text = f"sender {event.sender} to {event.endpoint} {now - gone:.0f} ms after it was told"
                self._add_violation(now, "drains kept", text)
        wait = self._retry_after_until.get((event.sender, self._retry_after_scope(event)))
        if wait is not None:
            self.check_counts["waits heeded"] += 1
            if now < wait:
                text = f"sender {event.sender} to partner {event.dest} {wait - now:.0f} ms too early"
                self._add_violation(now, "waits heeded", text)
        self.check_counts["cap"] += 1
        most = max(1, int(self.concurrency_limit * MAX_SLOT_SHARE))
        if event.in_flight > most:
            text = f"sender {event.sender} has {event.in_flight} calls out to partner {event.dest}, {most} at the most"
            self._add_violation(now, "cap", text)
        # Calls decided before it fell sick may still be on their way to their first byte.
        key = (event.sender, event.dest)
        since = (
            self._unhealthy_since.setdefault(key, now)
            if event.unhealthy
            else self._unhealthy_since.pop(key, now)
        )
        if (
            event.unhealthy
            and now - since > UNHEALTHY_GRACE_MS
            and event.in_flight > max(1, int(self.concurrency_limit * MAX_SLOT_SHARE_UNHEALTHY))
        ):
            self._add_violation(
                now,
                "isolation",
                f"sender {event.sender}: {event.in_flight} calls to sick partner {event.dest}",
            )

    def _retry_after_scope(self, event: AttemptStarted | AttemptAnswered) -> int | str:
        """What a told wait binds."""
        return event.endpoint if event.dest in self.independent_destinations else event.dest

    def _check_repeat(self, now: float, event: AttemptStarted, taken: _AcceptedMessage) -> None:
        """Whether what may have run goes only where and while a repeat does no harm."""
        effect = self._idempotency_of[taken.cls]
        if taken.first_ambiguous is None or effect == "safe":
            return
        at, zone = taken.first_ambiguous
        if effect == "unsafe":
            self._add_violation(
                now, "repeats within allowance", f"{event.id}: sent again though it may have run"
            )
        elif now - at > self.parameters.deduplication_windows_ms.get(taken.cls, float("inf")):
            text = f"{event.id}: sent again {now - at:.0f} ms after the attempt that may have run"
            self._add_violation(now, "repeats within allowance", text)
        elif taken.cls in self.parameters.zone_scoped and zone != event.zone:
            text = f"{event.id}: sent to zone {event.zone}, and it may have run in {zone}"
            self._add_violation(now, "repeats within allowance", text)

    def _answered(self, now: float, event: AttemptAnswered) -> None:
        taken = self._accepted.get(event.id)
        if taken is not None and taken.attempting_sender == event.sender:
            taken.attempting_sender = -1
            if event.outcome in AMBIGUOUS_OUTCOMES:
                taken.mark_ambiguous()
        if event.retry_after_ms > 0:
            key = (event.sender, self._retry_after_scope(event))
            self._retry_after_until[key] = max(
                self._retry_after_until.get(key, 0.0), now + event.retry_after_ms
            )
        for one in (event.dest, event.endpoint) if event.outcome not in ("ok", "not sent") else ():
            if one in self._in_outage:
                self._senders_that_saw[one].add(event.sender)
        if event.outcome == "ok":
            self._ended(now, event.id, event.sender, "delivered")

    def _ended(self, now: float, id_: str, sender: int, result: str) -> None:
        taken = self._accepted.get(id_)
        if taken is None:
            return
        self.check_counts["one final answer"] += 1
        if taken.final_answers:
            self._add_violation(now, "one final answer", f"{id_}: {result}, and it had one")
        taken.final_answers += 1
        if (
            now
            > max(taken.deadline, self._started_at.get(sender, -RESTART_GRACE_MS) + RESTART_GRACE_MS)
            + self.parameters.answer_slack_ms
        ):
            self._add_violation(
                now, "answers in time", f"{id_}: {result} {now - taken.deadline:.0f} ms after its time"
            )
        unsafe = self._idempotency_of[taken.cls] == "unsafe" or taken.cls in self.parameters.zone_scoped
        if result == "refused" and unsafe and (self._executions[id_] or taken.first_ambiguous):
            self._add_violation(
                now, "repeats within allowance", f"{id_}: handed back though it may have taken effect"
            )
        if result == "refused":  # its client may hand it in again: a new life
            del self._accepted[id_]

    def _executed(self, now: float, event: MessageExecuted) -> None:
        self.check_counts["repeats within allowance"] += 1
        self._executions[event.id] += not event.duplicate
        effect = self._idempotency_of[self._requested[event.id].cls]
        if self._executions[event.id] > 1 and effect != "safe":
            self._add_violation(
                now, "repeats within allowance", f"{event.id}: took effect {self._executions[event.id]} times"
            )

    def _destination_overloaded(self, now: float, event: DestinationOverloaded) -> None:
        """Broken if two thirds of what pushed it over came from senders that had seen it fail."""
        self.check_counts["no returning partner pushed over"] += 1
        total = sum(event.work_ms_by_sender.values())
        saw = self._senders_that_saw[event.dest].union(
            *(self._senders_that_saw[endpoint] for endpoint in event.endpoints)
        )
        knew = sum(work for sender, work in event.work_ms_by_sender.items() if sender in saw)
        if total > 0 and knew >= total * 2.0 / 3.0:
            text = f"partner {event.dest}, {knew / total:.0%} by senders that had seen it fail"
            self._add_violation(now, "no returning partner pushed over", text)

    def _sender_crashed(self, sender: int) -> None:
        for taken in self._accepted.values():
            if taken.attempting_sender == sender:
                taken.mark_ambiguous()  # its life goes on from the journal, in doubt
        # Its next life was told nothing: it comes back with its journal and its last list.
        for saw in self._senders_that_saw.values():
            saw.discard(sender)
        self._retry_after_until = {
            key: until for key, until in self._retry_after_until.items() if key[0] != sender
        }

    def finish(self, now: float) -> list[InvariantViolation]:
        """At the end: what was taken on and never ended; all breaches."""
        for id_, taken in self._accepted.items():
            if not taken.final_answers:
                text = f"{id_}: taken on, and no end by {now - taken.deadline:.0f} ms after its time"
                self._add_violation(now, "one final answer", text)
        return self.violations
