"""One relay's obligations, checked over the stream of what it was told and what it answered.

The checker knows only that; it shares no code with the decision module.  The rules are those of the brief and the
protocol: one final answer, in time; at most one attempt out; repeats within what the class allows; drains kept; told
waits heeded; order within a key; no more calls out than slots.  The same checker stands over random days
(`tests/test_random.py`) and over captures (`kestreltrack capture shrink --shows rule:…`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.decision import api
from kestreltrack.decision.api import Effect, Lifecycle, Outcome, Scope
from kestreltrack.snapshot.state import PolicyState

NEVER_RAN = {Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NOT_SENT}
FOREVER = float("inf")


class Broken(AssertionError):
    """A rule was broken; the text says which."""


@dataclass(slots=True)
class Attempt:
    """One claim; it is out until it has an outcome."""

    at: float
    zone: str
    outcome: Outcome | None = None


@dataclass(slots=True)
class Record:
    """What the checker knows of one message."""

    event: api.Arrived
    order: int
    answers: int = 0
    over: bool = False
    withdrawn_at: float | None = None
    free: int = 0  # attempts that never left, and count against no limit
    attempts: list[Attempt] = field(default_factory=list)

    def out(self) -> bool:
        """Whether an attempt is."""
        return any(a.outcome is None for a in self.attempts)

    def doubtful(self) -> list[Attempt]:
        """Those that ran or may have run."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]


class Checker:
    """Independent bookkeeping of one relay's obligations."""

    def __init__(self, settings: api.Settings) -> None:
        """Nothing is known yet."""
        self.settings = settings
        self.records: dict[str, Record] = {}
        self.live: dict[str, Record] = {}
        """Those of them that are not over, or have an attempt out."""
        self.listed: dict[str, api.Listed] = {}
        self.gone_at: dict[str, float] = {}
        self.waits: dict[str, float] = {}
        self.rest: dict[int, tuple[float, str]] = {}
        self.calls: list[set[tuple[str, int]]] = []

    def known(self, state: PolicyState) -> None:
        """Begin from the state of a module, as a checkpoint holds it."""
        for dest in state.dests:
            for e in dest.endpoints:
                lifecycle = Lifecycle.UP if e.up else Lifecycle.DRAINING
                self.listed[e.name] = api.Listed(e.name, dest.number, e.kind, e.zone, lifecycle)
                if not e.up:
                    self.gone_at[e.name] = state.now
                guard = dest.guard if e.shares and dest.guard else e.own
                if (until := max(guard.wait_until, dest.heard)) > state.now:
                    self.waits[self._unit(e.name)] = until
        for message in state.messages:
            doubt = None if message.doubt == FOREVER else message.doubt
            event = api.Arrived(
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
            self.hear(state.now, event)
        for call in state.calls:
            for id_, attempt in call.parts.items():
                record = self.records.get(id_)
                if record is not None and attempt < len(record.attempts):
                    record.attempts[attempt] = Attempt(call.sent, self.listed[call.endpoint].zone)
            self.calls.append(set(call.parts.items()))
        for line in state.keys:
            self.rest[line.key] = (line.rest, line.owner)

    def _kind(self, name: str) -> api.KindSettings:
        return self.settings.kinds.get(self.listed[name].kind, api.KindSettings())

    def _unit(self, endpoint: str) -> str:
        return endpoint if self._kind(endpoint).routes_apart else f"dest {self.listed[endpoint].dest}"

    def hear(self, now: float, event: api.Event) -> None:
        """Take note of an event before the relay answers it."""
        if isinstance(event, api.Arrived):
            self._arrived(event)
        elif isinstance(event, api.Withdrawn) and event.id in self.records:
            self.records[event.id].over = True
            self.records[event.id].withdrawn_at = now
            self._rest(event.id)
        elif isinstance(event, api.ListNews):
            if event.whole:
                for name in self.listed:
                    self.gone_at.setdefault(name, now)
            for entry in event.entries:
                self.listed[entry.endpoint] = entry
                if entry.lifecycle is Lifecycle.UP:
                    self.gone_at.pop(entry.endpoint, None)
                else:
                    self.gone_at.setdefault(entry.endpoint, now)
        elif isinstance(event, api.Ended):
            self._ended(now, event)
        elif isinstance(event, api.WaitHeard):
            for unit in {self._unit(name) for name, entry in self.listed.items() if entry.dest == event.dest}:
                self.waits[unit] = max(self.waits.get(unit, 0.0), event.until)

    def _arrived(self, event: api.Arrived) -> None:
        record = self.records[event.id] = self.live[event.id] = Record(event, len(self.records))
        record.attempts = [Attempt(0.0, "", Outcome.NOT_SENT) for _ in range(event.tries)]
        if event.doubt is not None and event.tries:  # one of them before a restart, whichever it was
            record.attempts[0] = Attempt(event.doubt, event.doubt_zone, Outcome.BROKEN)

    def _ended(self, now: float, event: api.Ended) -> None:
        record = self.records.get(event.id)
        if record is None or event.attempt >= len(record.attempts):
            return  # of before this checker's time
        record.attempts[event.attempt].outcome = event.outcome
        record.free += not event.counted
        record.over = record.over or event.over
        for call in self.calls:
            call.discard((event.id, event.attempt))
        self.calls = [c for c in self.calls if c]
        if event.outcome is Outcome.REFUSED and event.wait_ms > 0 and event.endpoint in self.listed:
            unit = self._unit(event.endpoint)
            self.waits[unit] = max(self.waits.get(unit, 0.0), now + event.wait_ms)
        key = record.event.key
        if key is not None and event.outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED):
            self.rest[key] = (now + self.settings.safety.settle_ms, event.id)
        self._rest(event.id)

    def _rest(self, id_: str) -> None:
        record = self.records[id_]
        if record.over and not record.out():
            self.live.pop(id_, None)

    def judge(self, now: float, acts: list[api.Action]) -> None:
        """Hold the actions of one step against the rules; raises `Broken`."""
        fresh: dict[str, set[tuple[str, int]]] = {}
        for act in acts:
            if isinstance(act, api.Send):
                self._send(now, act, fresh)
            elif isinstance(act, api.Refuse | api.Fail):
                self._final(now, act)
            elif isinstance(act, api.Cancel) and act.attempt >= len(self.records[act.id].attempts):
                raise Broken("cancelled an attempt never made")
        if len(self.calls) > self.settings.slots:
            raise Broken("more calls out than slots")
        for record in self.live.values():
            late = now > record.event.expires + self.settings.safety.answer_slack_ms
            if late and not record.over:
                raise Broken(f"no final answer for {record.event.id}")

    def _send(self, now: float, act: api.Send, fresh: dict[str, set[tuple[str, int]]]) -> None:
        record, entry = self.records[act.id], self.listed[act.endpoint]
        cls = self.settings.classes[record.event.cls]
        if record.over:
            raise Broken("sent after the end")
        if record.out():
            raise Broken("two attempts out at once")
        if len(record.attempts) - record.free >= self.settings.try_limit:
            raise Broken("too many tries")
        if entry.dest != record.event.dest:
            raise Broken("not an endpoint of the destination")
        if now > self.gone_at.get(act.endpoint, now) + self.settings.safety.drain_grace_ms:
            raise Broken("sent to an endpoint that drains or is gone")
        if now < self.waits.get(self._unit(act.endpoint), now):
            raise Broken("sent before a wait was over")
        doubtful = record.doubtful()
        if doubtful and cls.effect is Effect.UNSAFE:
            raise Broken("repeated an unsafe message")
        if doubtful and cls.effect is Effect.KEYED:
            first = doubtful[0]
            if now >= first.at + cls.key_window_ms:
                raise Broken("repeated outside the key window")
            if cls.scope is Scope.ZONE and first.zone != entry.zone:
                raise Broken("repeated outside its group")
        if cls.in_order and record.event.key is not None:
            self._order(now, record)
        record.attempts.append(Attempt(now, entry.zone))
        mark = (act.id, len(record.attempts) - 1)
        call = fresh.get(act.endpoint)
        if call is None or len(call) >= self._kind(act.endpoint).batch:
            call = fresh[act.endpoint] = set()
            self.calls.append(call)
        call.add(mark)

    def _order(self, now: float, record: Record) -> None:
        key = record.event.key
        for other in self.live.values():
            if other.event.key == key and other.order < record.order:
                raise Broken("sent out of turn")
        rest, owner = self.rest.get(key or 0, (now, ""))
        if now < rest and owner != record.event.id:
            raise Broken("the key had not settled")

    def _final(self, now: float, act: api.Refuse | api.Fail) -> None:
        record = self.records[act.id]
        cls = self.settings.classes[record.event.cls]
        if record.withdrawn_at == now and not record.answers:
            record.answers += 1  # its outcome came first in the same step and was answered: no fault
            return
        if record.over:
            raise Broken("a second final answer")
        doubtful = record.doubtful()
        if (
            isinstance(act, api.Refuse)
            and doubtful
            and (cls.effect is Effect.UNSAFE or (cls.effect is Effect.KEYED and cls.scope is not Scope.ALL))
        ):
            raise Broken("said harmless of what may have run")
        record.over = True
        record.answers += 1
        self._rest(act.id)
