"""Service as the brief counts it, from the stream of what happened.

Worth asked for counts from the first second on; a client's retries belong to its first try.  A message delivered
within its aim has all its worth, later less and less on a line down to its late worth at the deadline (or by half
with each further aim); what lies beyond its firm's share is worth 5 %.  The figure weighs the whole day, the worst
window, the worst class and the worst firm, and takes off the prices of wasted work, refused calls, new connections,
late failures and routes' fees.  A refused call of many messages is one.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from kestreltrack.lab.emulator.scenario import ClassTable, Scenario
from kestreltrack.rules.happened import Answered, Asked, Effect, Ended, Event


@dataclass(slots=True)
class Tally:
    """Worth asked for and had."""

    asked: float = 0.0
    had: float = 0.0

    def share(self) -> float:
        """All of it where nothing was asked for."""
        return self.had / self.asked if self.asked > 0 else 1.0


@dataclass(slots=True)
class Service:
    """The figure and what it is made of."""

    figure: float
    whole: float
    worst_window: float
    worst_class: float
    worst_firm: float
    deductions: dict[str, float]
    messages: int
    on_time: int
    late: int
    lost: int
    """Neither delivered nor told: a broken rule, if a sender had taken it on."""
    attempts: int
    refused_calls: int
    connections: int
    wasted_ms: float
    windows: list[float] = field(default_factory=list)
    classes: dict[str, float] = field(default_factory=dict)
    firms: dict[str, float] = field(default_factory=dict)
    latency_ms: list[float] = field(default_factory=list)
    """Of each message delivered, from its first try; in order of arrival."""


class Worth:
    """A listener that counts."""

    def __init__(self, scenario: Scenario) -> None:
        """Nothing yet."""
        self.scenario = scenario
        self._classes: dict[str, ClassTable] = {cls.name: cls for cls in scenario.cls}
        self._asked = dict[str, tuple[float, Asked]]()
        self._delivered = dict[str, float]()
        self._failed = dict[str, float]()
        self._answers, self._connections, self._refused = 0, 0, 0
        self._work = self._wasted = 0.0
        self._effects = set[str]()
        self._fees = 0.0

    def __call__(self, now: float, event: Event) -> None:
        """One thing that happened."""
        if isinstance(event, Asked):
            self._asked[event.id] = (now, event)
        elif isinstance(event, Answered):
            self._answers += 1
            self._connections += event.new_connection
            self._refused += event.outcome == "refused" and event.first
            self._fees += event.fee
            if event.outcome == "ok":
                self._delivered.setdefault(event.id, now)
        elif isinstance(event, Effect):
            self._work += event.work_ms
            if event.repeat or event.id in self._effects:
                self._wasted += event.work_ms
            self._effects.add(event.id)
        elif isinstance(event, Ended) and event.how == "failed":
            self._failed.setdefault(event.id, now)

    def _worth(self, asked: Asked) -> float:
        share = 1.0 if asked.within_share else self.scenario.clients.over_share_worth
        return self._classes[asked.cls].worth * share

    def _part(self, took_ms: float, cls: ClassTable) -> float:
        if took_ms <= cls.aim_ms:
            return 1.0
        if took_ms > cls.deadline_ms:
            return 0.0
        if self.scenario.worth.decay == "halves":
            return float(0.5 ** ((took_ms - cls.aim_ms) / cls.aim_ms))
        return 1.0 - (1.0 - cls.late_worth) * (took_ms - cls.aim_ms) / (cls.deadline_ms - cls.aim_ms)

    def part_of(self, asked: Asked, at: float, done: float) -> float:
        """The worth of a message that was asked for and delivered at these times."""
        return self._worth(asked) * self._part(done - at, self._classes[asked.cls])

    def service(self) -> Service:
        """What it comes to."""
        scenario, weights = self.scenario, self.scenario.worth
        whole, windows = Tally(), defaultdict[int, Tally](Tally)
        classes, firms = defaultdict[str, Tally](Tally), defaultdict[str, Tally](Tally)
        on_time = late = lost = late_failures = 0
        latencies = list[float]()
        for id_, (at, asked) in self._asked.items():
            cls, worth = self._classes[asked.cls], self._worth(asked)
            delivered = self._delivered.get(id_)
            part = 0.0 if delivered is None else self._part(delivered - at, cls)
            if delivered is not None:
                latencies.append(delivered - at)
                on_time += part == 1.0
                late += part < 1.0
            elif id_ not in self._failed:
                lost += 1
            late_failures += id_ in self._failed and self._failed[id_] - at > cls.aim_ms
            tallies = [whole, classes[asked.cls]]
            first = int(at / 1000.0)
            span = int(weights.window_s)
            tallies += [windows[second] for second in range(max(0, first - span + 1), first + 1)]
            if asked.within_share:
                tallies.append(firms[asked.firm])
            for tally in tallies:
                tally.asked += worth
                tally.had += worth * part
        last = int(scenario.day.length_s - weights.window_s)
        shown = [windows[n].share() for n in range(max(1, last + 1))]
        count = max(1, len(self._asked))
        deductions = {
            "wasted work": weights.waste * self._wasted / max(1e-9, self._work),
            "refused calls": weights.refused * self._refused / count,
            "new connections": weights.handshake * min(1.0, self._connections / count),
            "late failures": weights.late_fail * late_failures / count,
            "fees of routes": self._fees / count,
        }
        worst_class = min((tally.share() for tally in classes.values()), default=1.0)
        worst_firm = min((tally.share() for tally in firms.values()), default=1.0)
        figure = (
            weights.whole * whole.share()
            + weights.worst_window * min(shown, default=1.0)
            + weights.worst_class * worst_class
            + weights.worst_firm * worst_firm
            - sum(deductions.values())
        )
        return Service(
            figure,
            whole.share(),
            min(shown, default=1.0),
            worst_class,
            worst_firm,
            deductions,
            len(self._asked),
            on_time,
            late,
            lost,
            self._answers,
            self._refused,
            self._connections,
            self._wasted,
            shown,
            {name: tally.share() for name, tally in sorted(classes.items())},
            {name: tally.share() for name, tally in sorted(firms.items())},
            latencies,
        )
