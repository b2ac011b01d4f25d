"""Long polling of the platform's list service: what is asked for after a failure, how long it waits, how often."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise
from typing import Any

import pytest
from conftest import Relay, entry

from kestreltrack.decision import DiscoveryFailed, PollEndpointList, TimerExpired
from kestreltrack.discovery.http_source import HttpEndpointSource, long_poll_ms
from kestreltrack.http1 import ConnectionBrokenError
from kestreltrack.ports import DiscoveryError
from kestreltrack.telemetry import Telemetry

ROW = b"""{"uid":"n1","endpoint":"127.0.0.1:1","pod_group":1,"model":"plain","state":"up"}"""
COMPLETE_LIST = (200, b'{"rev":41,"all":true,"targets":[' + ROW + b"]}")
DELTA = (200, b'{"rev":43,"all":false,"targets":[' + ROW + b"]}")


class ScriptedClient:
    """Stands in for the HTTP client: gives the scripted answers in turn and records each request."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.targets = list[str]()
        self.timeouts_s = list[float]()

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        self.targets.append(target)
        self.timeouts_s.append(timeout_s)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer  # type: ignore[no-any-return]

    def close(self) -> None:
        """Do nothing: no connection is open."""


def follow_script(
    client: ScriptedClient,
    sender_count: int = 1,
    change_address_after: int = -1,
    push_deadline_ms: float = 0.0,
) -> list[int]:
    """Follow a source while the answers last, again after each failure; return the revisions of its updates."""

    async def story() -> list[int]:
        source = HttpEndpointSource("127.0.0.1:1", Telemetry(), sender_count, push_deadline_ms)
        source._client = client  # type: ignore[assignment]
        revisions = list[int]()
        while client.answers:
            try:
                async for update in source.follow():
                    revisions.append(update.revision)
                    if len(revisions) == change_address_after:
                        source.change_address("127.0.0.1:2")
                        source._client = client  # type: ignore[assignment]
                    if not client.answers:
                        break
            except DiscoveryError:
                continue
        return revisions

    return asyncio.run(story())


@pytest.mark.parametrize(
    "failure",
    [
        (503, b""),
        ConnectionBrokenError("reset"),
        TimeoutError(),
        (200, b'{"rev":44,"all":true,"targets":[{}]}'),
        (200, b'{"rev'),
    ],
    ids=["503", "reset", "slow", "malformed", "cut short"],
)
def test_after_failure_polls_from_the_last_received_revision(failure: Any) -> None:
    # A complete list costs the service each entry; 40 senders that ask for it after each 503 keep it overloaded.
    # What was missed is asked for by a call that does not wait: a long poll looks the same as a silent service.
    client = ScriptedClient(COMPLETE_LIST, failure, DELTA, failure, DELTA)

    revisions = follow_script(client)

    assert client.targets == [
        "/api/targets",
        "/api/targets?from=41&hold_ms=3000",
        "/api/targets?from=41&hold_ms=1",
        "/api/targets?from=43&hold_ms=3000",
        "/api/targets?from=43&hold_ms=1",
    ]
    assert revisions == [41, 43, 43]


def test_without_any_list_asks_for_the_complete_list() -> None:
    client = ScriptedClient((503, b""), (503, b""), COMPLETE_LIST)

    revisions = follow_script(client)

    assert client.targets == ["/api/targets"] * 3 and revisions == [41]


def test_changed_address_is_asked_for_the_complete_list() -> None:
    client = ScriptedClient(COMPLETE_LIST, COMPLETE_LIST)

    follow_script(client, change_address_after=1)

    # The revisions of two services are not comparable.
    assert client.targets == ["/api/targets"] * 2


def test_agent_is_polled_in_short_calls_and_after_a_timeout_for_the_complete_list() -> None:
    # What the agent has counts as received right after an outage, so no call may outlast the outage by half a second.
    client = ScriptedClient(COMPLETE_LIST, DELTA, TimeoutError(), TimeoutError(), COMPLETE_LIST, DELTA)

    revisions = follow_script(client, sender_count=200, push_deadline_ms=500.0)

    long_poll = "/api/targets?from={}&hold_ms=250"
    assert client.targets == [
        "/api/targets",
        long_poll.format(41),
        long_poll.format(43),
        "/api/targets",
        "/api/targets",
        long_poll.format(41),
    ]
    assert revisions == [41, 43, 41, 43]
    assert client.timeouts_s == [0.15, 0.4, 0.4, 0.15, 0.15, 0.4]


def test_indented_list_is_accepted() -> None:
    indented = json.dumps(json.loads(COMPLETE_LIST[1]), indent=4).replace("\n", "\r\n").encode()
    assert follow_script(ScriptedClient((200, indented), DELTA)) == [41, 43]


@pytest.mark.parametrize(
    "sender_count, expected_ms", [(1, 3000), (3, 3000), (10, 10_000), (40, 20_000), (1000, 20_000)]
)
def test_long_polls_wait_longer_in_a_larger_fleet(sender_count: int, expected_ms: int) -> None:
    assert long_poll_ms(sender_count) == expected_ms


def poll_times_ms(sender_count: int, span_ms: float, call_ms: float = 0.0) -> list[float]:
    """Return when the policy polls a service that always fails, after `call_ms` each time."""
    driver = Relay(entry(1), sender_count=sender_count, must_poll=True)
    times = list[float]()
    driver.policy.subscribed = False
    while driver.now < span_ms:
        actions = driver.do(TimerExpired(0))
        while PollEndpointList() in actions and driver.now < span_ms:
            times.append(driver.now)
            while driver.now < times[-1] + call_ms:
                driver.now += 10.0
                assert PollEndpointList() not in driver.do(TimerExpired(0)), "one at a time"
            actions = driver.do(DiscoveryFailed())
        driver.now += 10.0
    return times


@pytest.mark.parametrize("call_ms", [0.0, 1500.0, 2200.0])
@pytest.mark.parametrize(
    "sender_count, min_gap_ms, max_gap_ms", [(3, 950, 2060), (40, 950, 2060), (200, 1700, 3560)]
)
def test_polls_after_failures_are_spread_and_never_far_apart(
    sender_count: int, min_gap_ms: float, max_gap_ms: float, call_ms: float
) -> None:
    # A change has to be received within 6 s after the service can be reached again: gaps that grew to 0.3 s for each
    # sender broke that.
    gaps = [after - before for before, after in pairwise(poll_times_ms(sender_count, 200_000, call_ms))]
    assert max(gaps) <= max(max_gap_ms, call_ms + 10), "with the 50 ms of a step and an answer inside 6 s"
    assert all(gap >= min_gap_ms for gap in gaps[3:]), (
        "all senders together poll at most some 80 times a second"
    )
    assert call_ms > min_gap_ms or len(set(gaps[3:])) > 10, "with jitter"
