"""The demo's script: faults and drains under load, and the checks of the result."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from kestreltrack.testing.demo.environment import DemoEnvironment
from kestreltrack.testing.fakes.destinations import FakeEndpoint
from kestreltrack.testing.fakes.load_generator import SubmissionResults

# The time after a drain from which the endpoint must receive no more calls.
DRAIN_GRACE_MS = 500.0
# The number of drains in the script.
EXPECTED_DRAINS = 3
# The minimum share of the accepted messages that must be delivered despite the faults.
MIN_DELIVERED_SHARE = 0.5


@dataclass(slots=True)
class ObservedDrain:
    """A drain of an endpoint; its times are in seconds of `time.monotonic`.

    Attributes:
        endpoint: The drained endpoint.
        written_at: The time at which the drain was written to etcd.
        undrained_at: The time at which the endpoint was returned to service.
    """

    endpoint: FakeEndpoint
    written_at: float
    undrained_at: float = float("inf")

    def last_call_delay_ms(self) -> float:
        """Return the time from the drain to the last call before the undrain; 0 if there was none."""
        delays_s = [
            called_at - self.written_at
            for called_at, _ in self.endpoint.calls
            if self.written_at < called_at < self.undrained_at
        ]
        return 1000.0 * max(delays_s, default=0.0)


class SummaryRow(NamedTuple):
    """A row of the result.

    Attributes:
        key: The key in the JSON output, which is kept stable for programs that read it.
        label: The label in the table.
        value: The value.
        passed: Whether the value meets its requirement.
    """

    key: str
    label: str
    value: str
    passed: bool = True


class DemoScript:
    """Injects faults and drains endpoints while the load runs.

    Attributes:
        drains: The drains that succeeded.
        failures: The error messages of failed commands.
    """

    def __init__(self, environment: DemoEnvironment, report: Callable[[str], None]) -> None:
        """Create a script; `report` is called with a line of text for each step."""
        self.environment = environment
        self.report = report
        self.drains = list[ObservedDrain]()
        self.failures = list[str]()

    async def run(self, seconds: float) -> None:
        """Run the script, scaled to `seconds`, the duration of the load."""
        tenth_s = seconds / 10.0
        endpoints = self.environment.endpoints
        await asyncio.sleep(1.5 * tenth_s)
        failing = self.environment.destinations[2]
        failing.fault.failure_rate = 1.0
        self.report(f"destination {failing.dest} fails all calls")
        await asyncio.sleep(0.5 * tenth_s)
        first_drain = await self.drain(endpoints[0])
        await asyncio.sleep(tenth_s)
        member = await self._take_down_watched_member()
        await asyncio.sleep(0.5 * tenth_s)
        failing.recover()
        self.report(f"destination {failing.dest} recovers and warms up")
        await self.drain(endpoints[4])
        await asyncio.sleep(1.5 * tenth_s)
        await self.environment.etcd_cluster.apply_fault(member, "heal")
        self.report(f"etcd member {member} recovers")
        # A failed drain is reported in the result and needs no undrain.
        if first_drain:
            await self.undrain(first_drain)
        await asyncio.sleep(tenth_s)
        hanging = self.environment.destinations[5]
        hanging.fault.hang = True
        self.report(f"destination {hanging.dest} hangs")
        await asyncio.sleep(tenth_s)
        await self.drain(endpoints[1])
        hanging.recover()
        self.report(f"destination {hanging.dest} recovers and warms up")

    async def _take_down_watched_member(self) -> int:
        """Take down the etcd member that the sender watches, and return its number."""
        cluster = self.environment.etcd_cluster
        member = next((member.number for member in cluster.members if member.watch_stream_count), 0)
        self.report(f"etcd member {member} aborts its connections and refuses new ones")
        await cluster.apply_fault(member, "refuse")
        return member

    async def drain(self, endpoint: FakeEndpoint) -> ObservedDrain | None:
        """Drain an endpoint with the operator's command, or return None if the command fails.

        The drain is timed from its write in etcd.
        """
        answer = await self.run_command("drain", endpoint.uid, "--wait", "--json")
        if answer is None:
            return None
        written_at = self.environment.etcd_cluster.commit_times[answer["revision"]]
        drain = ObservedDrain(endpoint, written_at)
        self.drains.append(drain)
        took_ms = (time.monotonic() - written_at) * 1000.0
        self.report(
            f"{endpoint.uid} is draining; all senders had applied it within {took_ms:.0f} ms of the write"
        )
        return drain

    async def undrain(self, drain: ObservedDrain) -> None:
        """Return a drained endpoint to service."""
        drain.undrained_at = time.monotonic()
        if await self.run_command("undrain", drain.endpoint.uid, "--json") is not None:
            self.report(f"{drain.endpoint.uid} is up again")

    async def run_command(self, *arguments: str) -> dict[str, Any] | None:
        """Run `kestreltrack directory` and return its JSON output; None if it fails, which fails the demo."""
        variables = self.environment.operator_environment()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kestreltrack",
            "directory",
            *arguments,
            "--operator-file",
            variables["KESTRELTRACK_OPERATOR_FILE"],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, error_output = await process.communicate()
        if process.returncode != 0:
            self.failures.append(f"directory {' '.join(arguments)}: {error_output.decode().strip()}")
            self.report(self.failures[-1])
            return None
        document: dict[str, Any] = orjson.loads(output)
        return document

    def summary_rows(self) -> list[SummaryRow]:
        """Return the rows of the result."""
        assert self.environment.load_generator
        results = self.environment.load_generator.results
        return [
            *_submission_rows(results),
            *self._delivery_rows(results),
            *self._drain_rows(),
            _latency_row(results),
        ]

    def _delivery_rows(self, results: SubmissionResults) -> list[SummaryRow]:
        environment = self.environment
        accepted = set(results.accepted)
        delivered = environment.delivered()
        notifications = environment.platform.notifications
        notified = accepted.intersection(notifications)
        repeated = {message_id for message_id in notified if len(notifications[message_id]) > 1}
        contradicted = {message_id for message_id in repeated if len(set(notifications[message_id])) > 1}
        # A sender repeats a notification if it gave up on the platform's response; such a repeat is harmless.
        unexplained = repeated - environment.platform.unanswered
        ended_twice = contradicted | unexplained | (notified & delivered)
        delivered_count = len(delivered & accepted)
        pending = environment.pending()
        executed_twice = environment.executed_more_than_once()
        min_delivered = results.answer_counts["ok"] * MIN_DELIVERED_SHARE
        return [
            SummaryRow("delivered", "delivered", str(delivered_count), delivered_count > min_delivered),
            SummaryRow("ended by notice", "ended by notification", str(len(notified))),
            SummaryRow("notices repeated", "notifications repeated", str(len(repeated))),
            SummaryRow("ended twice", "ended twice", str(len(ended_twice)), not ended_twice),
            SummaryRow("still owed", "outstanding", str(len(pending)), not pending),
            SummaryRow("doubles", "executed more than once", str(len(executed_twice)), not executed_twice),
        ]

    def _drain_rows(self) -> list[SummaryRow]:
        delays_ms = [drain.last_call_delay_ms() for drain in self.drains]
        late_count = sum(delay_ms > DRAIN_GRACE_MS for delay_ms in delays_ms)
        all_drained = len(self.drains) == EXPECTED_DRAINS and not self.failures
        longest_ms = max(delays_ms, default=0.0)
        return [
            SummaryRow("drains", "drains", str(len(self.drains)), all_drained),
            SummaryRow(
                "calls to drained endpoints later than 500 ms",
                "calls to draining endpoints after 500 ms",
                str(late_count),
                late_count == 0,
            ),
            SummaryRow(
                "last call after a drain, at most", "last call after a drain, at most", f"{longest_ms:.1f} ms"
            ),
        ]


def _submission_rows(results: SubmissionResults) -> list[SummaryRow]:
    submitted = sum(results.answer_counts.values())
    accepted = results.answer_counts["ok"]
    rejected = results.answer_counts["busy"]
    return [
        SummaryRow("handed in", "submitted", str(submitted)),
        SummaryRow("taken on", "accepted", str(accepted), accepted > 0),
        SummaryRow("turned away at once", "rejected", str(rejected)),
        SummaryRow("answered otherwise", "other or no answer", str(submitted - accepted - rejected)),
    ]


def _latency_row(results: SubmissionResults) -> SummaryRow:
    latencies_ms = sorted(results.latencies_ms) or [0.0]
    median_ms = _quantile(latencies_ms, 0.5)
    p99_ms = _quantile(latencies_ms, 0.99)
    return SummaryRow(
        "answer to submitters, median and 99th",
        "latency of answers, median and 99th percentile",
        f"{median_ms:.1f} and {p99_ms:.1f} ms",
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
