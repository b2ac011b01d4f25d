"""Verdict on whether a destination is down, from the reports of all senders.

A destination is down while at least one sender reports it down and no sender has had a recent success.  So a sender
whose own network is broken does not stop the others, and a destination that answers some calls does not count as
down.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from kestreltrack.fleet.outage_probing.wire import MAX_AGE_MS, ReportedState, RequestRow

# A report of an outage is valid for ten request intervals.
DOWN_REPORT_TTL_MS = 5000.0
# A reported success is valid for 0.5 s longer than senders report it, to allow for network delay.
UP_REPORT_TTL_MS = 2500.0


class Verdict(Enum):
    """The coordinator's conclusion about a destination."""

    # No sender has reported it up or down yet.
    UNKNOWN = "unknown"
    DOWN = "down"
    UP = "up"


class DownReport(NamedTuple):
    """A sender's report that a destination is down."""

    until: float
    last_failure_at: float


class UpReport(NamedTuple):
    """A sender's report that a call to a destination succeeded."""

    until: float
    last_success_at: float
    up_since: float


@dataclass(slots=True)
class OutageReports:
    """The latest report of each sender about one destination."""

    down_reports: dict[str, DownReport] = field(default_factory=dict)
    up_reports: dict[str, UpReport] = field(default_factory=dict)

    def record(self, now: float, sender: str, row: RequestRow) -> None:
        """Replace a sender's last report; an earlier success stays valid unless the sender reports `DOWN`."""
        self.down_reports.pop(sender, None)
        observed_at = now - row.observation_age_ms
        if row.state is ReportedState.DOWN:
            self.down_reports[sender] = DownReport(now + DOWN_REPORT_TTL_MS, observed_at)
            self.up_reports.pop(sender, None)
        elif row.state is ReportedState.UP:
            until = observed_at + UP_REPORT_TTL_MS
            self.up_reports[sender] = UpReport(until, observed_at, now - row.up_age_ms)

    def discard_expired(self, now: float) -> None:
        """Remove expired reports."""
        self.down_reports = {
            sender: report for sender, report in self.down_reports.items() if report[0] > now
        }
        self.up_reports = {sender: report for sender, report in self.up_reports.items() if report[0] > now}

    def verdict(self, previous: Verdict) -> Verdict:
        """Return the verdict that follows from the reports, or the previous one if there are none."""
        if self.up_reports:
            return Verdict.UP
        if self.down_reports:
            return Verdict.DOWN
        return previous

    def last_failure_at(self, default: float) -> float:
        """Return the time of the latest reported failure, or `default` if there is none."""
        return max((report.last_failure_at for report in self.down_reports.values()), default=default)

    def last_success_at(self) -> float:
        """Return the time of the latest reported success, or minus infinity if there is none."""
        return max((report.last_success_at for report in self.up_reports.values()), default=-math.inf)

    def up_since(self) -> float:
        """Return since when the destination has been up.

        The earliest reported time counts: that sender saw the destination up before the others did.
        """
        return min((report.up_since for report in self.up_reports.values()), default=-MAX_AGE_MS)
