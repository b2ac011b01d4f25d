"""Whether a destination is down, from the reports of all senders.

A destination is down while a sender reports that and none has had a recent success: a sender whose own network is
broken stops nobody else, and a destination that answers some calls is no concern of the fleet's.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from kestreltrack.fleet.outage_probing.wire import MAX_AGE_MS, ReportedState, RequestRow

# How long a report that it is down counts: ten intervals of requests.
DOWN_REPORT_TTL_MS = 5000.0
# How long a success counts: 0.5 s longer than senders report it, for the time on its way.
UP_REPORT_TTL_MS = 2500.0


class Verdict(Enum):
    """What the coordinator holds a destination to be."""

    # Before the first report that it is up or down.
    UNKNOWN = "unknown"
    DOWN = "down"
    UP = "up"


class DownReport(NamedTuple):
    """A sender's report that a destination is down."""

    until: float
    last_failure_at: float


class UpReport(NamedTuple):
    """A sender's report of a success."""

    until: float
    last_success_at: float
    up_since: float


@dataclass(slots=True)
class OutageReports:
    """The newest report of each sender about one destination."""

    down_reports: dict[str, DownReport] = field(default_factory=dict)
    up_reports: dict[str, UpReport] = field(default_factory=dict)

    def record(self, now: float, sender: str, row: RequestRow) -> None:
        """Take the report of a sender in place of its last one; a success before it still counts for its time."""
        self.down_reports.pop(sender, None)
        observed_at = now - row.observation_age_ms
        if row.state is ReportedState.DOWN:
            self.down_reports[sender] = DownReport(now + DOWN_REPORT_TTL_MS, observed_at)
            self.up_reports.pop(sender, None)
        elif row.state is ReportedState.UP:
            until = observed_at + UP_REPORT_TTL_MS
            self.up_reports[sender] = UpReport(until, observed_at, now - row.up_age_ms)

    def discard_expired(self, now: float) -> None:
        """Forget the reports that no longer count."""
        self.down_reports = {
            sender: report for sender, report in self.down_reports.items() if report[0] > now
        }
        self.up_reports = {sender: report for sender, report in self.up_reports.items() if report[0] > now}

    def verdict(self, previous: Verdict) -> Verdict:
        """Return the verdict of the reports; without any the previous one stands."""
        if self.up_reports:
            return Verdict.UP
        if self.down_reports:
            return Verdict.DOWN
        return previous

    def last_failure_at(self, default: float) -> float:
        """Return the latest failure that was reported."""
        return max((report.last_failure_at for report in self.down_reports.values()), default=default)

    def last_success_at(self) -> float:
        """Return the latest success that was reported, minus infinity where there is none."""
        return max((report.last_success_at for report in self.up_reports.values()), default=-math.inf)

    def up_since(self) -> float:
        """Return since when it is up.

        Of two senders the one that says longer has seen it up while the other had not.
        """
        return min((report.up_since for report in self.up_reports.values()), default=-MAX_AGE_MS)
