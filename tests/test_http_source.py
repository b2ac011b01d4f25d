"""Long polling of the platform's discovery service: requests after a failure, waits and polling frequency."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from itertools import pairwise
from typing import Any

import pytest
from conftest import Relay, entry

from kestreltrack.decision import DiscoveryFailed, PollEndpointList, TimerExpired
from kestreltrack.discovery.http_source import HttpEndpointSource, long_poll_ms
from kestreltrack.http1 import (
    BodyProgress,
    BodyReceiver,
    ConnectionBrokenError,
    HttpResponse,
    TruncatedResponseError,
    TruncationReason,
)
from kestreltrack.ports import DiscoveryError
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import pass_body

ROW = b"""{"uid":"n1","endpoint":"127.0.0.1:1","pod_group":1,"model":"plain","state":"up"}"""
COMPLETE_LIST = (200, b'{"rev":41,"all":true,"targets":[' + ROW + b"]}")
DELTA = (200, b'{"rev":43,"all":false,"targets":[' + ROW + b"]}")


class ScriptedClient:
    """Fake HTTP client that returns scripted responses in order and records the requests."""

    def __init__(self, *responses: Any) -> None:
        self.responses = list(responses)
        self.targets = list[str]()
        self.timeouts_s = list[float]()

    async def exchange(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        receiver: BodyReceiver | None = None,
    ) -> HttpResponse:
        self.targets.append(target)
        self.timeouts_s.append(timeout_s)
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return pass_body(receiver, *response)

    def close(self) -> None:
        """Do nothing, because no connection is open."""


def follow_script(
    client: ScriptedClient,
    sender_count: int = 1,
    change_address_after: int = -1,
    push_deadline_ms: float = 0.0,
) -> list[int]:
    """Follow a source until all responses are used, again after each failure; return the revisions received."""

    async def follow() -> list[int]:
        source = HttpEndpointSource("127.0.0.1:1", Telemetry(), sender_count, push_deadline_ms)
        source._client = client  # type: ignore[assignment]
        revisions = list[int]()
        while client.responses:
            try:
                async for update in source.follow():
                    revisions.append(update.revision)
                    if len(revisions) == change_address_after:
                        source.change_address("127.0.0.1:2")
                        source._client = client  # type: ignore[assignment]
                    if not client.responses:
                        break
            except DiscoveryError:
                continue
        return revisions

    return asyncio.run(follow())


@pytest.mark.parametrize(
    "failure",
    [
        (503, b""),
        ConnectionBrokenError("reset"),
        TimeoutError(),
        (200, b'{"rev":44,"all":true,"targets":[{}]}'),
        (200, b'{"rev'),
    ],
    ids=["503", "reset", "timeout", "malformed", "truncated"],
)
def test_after_failure_polls_from_the_last_received_revision(failure: Any) -> None:
    # The cost of a complete list grows with its entries; 40 senders that request it after each 503 keep the service
    # overloaded.  The call after a failure does not wait, because a long poll looks like a service that does not
    # respond.
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


def test_complete_list_is_requested_until_one_is_received() -> None:
    client = ScriptedClient((503, b""), (503, b""), COMPLETE_LIST)

    revisions = follow_script(client)

    assert client.targets == ["/api/targets"] * 3 and revisions == [41]


def test_complete_list_is_requested_from_a_new_address() -> None:
    client = ScriptedClient(COMPLETE_LIST, COMPLETE_LIST)

    follow_script(client, change_address_after=1)

    # The revisions of two services are not comparable.
    assert client.targets == ["/api/targets"] * 2


def test_too_many_changes_lead_to_the_complete_list_without_a_repeat_of_the_call() -> None:
    # Guards against changes that the memory does not hold and that are requested again and again.
    rows = b",".join(ROW.replace(b"n1", b"n%d" % number) for number in range(9))
    changes = (200, b'{"rev":43,"all":false,"targets":[' + rows + b"]}")
    client = ScriptedClient(COMPLETE_LIST, changes, COMPLETE_LIST, DELTA)

    async def follow() -> None:
        source = HttpEndpointSource("127.0.0.1:1", Telemetry(), max_endpoints=8)
        source._client = client  # type: ignore[assignment]
        for _ in range(2):
            with suppress(DiscoveryError):
                async for _update in source.follow():
                    if not client.responses:
                        break

    asyncio.run(follow())
    long_poll = "/api/targets?from=41&hold_ms=3000"
    assert client.targets == ["/api/targets", long_poll, "/api/targets", long_poll]


def test_list_that_is_too_large_is_not_requested_again_at_once() -> None:
    # Guards against the call that costs discovery the most being repeated as it was.
    progress = BodyProgress(TruncationReason.TOO_LARGE, 10, 10, 0.0)
    client = ScriptedClient(TruncatedResponseError("too large", progress), COMPLETE_LIST)
    source = HttpEndpointSource("127.0.0.1:1", Telemetry())
    source._client = client  # type: ignore[assignment]
    with pytest.raises(DiscoveryError):
        asyncio.run(source._poll(-1, catching_up=True))
    assert client.targets == ["/api/targets"]


def test_complete_list_is_requested_once_when_endpoints_were_left_out() -> None:
    # Guards against a part of a list that stays as it was although there is room for more.
    client = ScriptedClient(COMPLETE_LIST, DELTA, COMPLETE_LIST, DELTA)

    async def follow() -> None:
        source = HttpEndpointSource("127.0.0.1:1", Telemetry())
        source._client = client  # type: ignore[assignment]
        updates = source.follow()
        await anext(updates)
        await anext(updates)
        source.request_complete_list()
        await anext(updates)
        await anext(updates)

    asyncio.run(follow())
    long_poll = "/api/targets?from=41&hold_ms=3000"
    assert client.targets == ["/api/targets", long_poll, "/api/targets", long_poll]


def test_agent_is_polled_in_short_calls_and_after_a_timeout_for_the_complete_list() -> None:
    # A list counts as received once the agent has it after an outage, so no call may outlast the outage by 0.5 s.
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
    """Return the times at which the policy polls a service whose calls all fail after `call_ms`."""
    driver = Relay(entry(1), sender_count=sender_count, must_poll=True)
    times = list[float]()
    driver.policy.subscribed = False
    while driver.now < span_ms:
        actions = driver.do(TimerExpired(0))
        while PollEndpointList() in actions and driver.now < span_ms:
            times.append(driver.now)
            while driver.now < times[-1] + call_ms:
                driver.now += 10.0
                assert PollEndpointList() not in driver.do(TimerExpired(0)), "polls must not overlap"
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
    # A change must be received within 6 s after the service is reachable again; a backoff that grew to 0.3 s per
    # sender exceeded that.
    gaps = [after - before for before, after in pairwise(poll_times_ms(sender_count, 200_000, call_ms))]
    assert max(gaps) <= max(max_gap_ms, call_ms + 10), (
        "leaves 6 s for a change, including a 50 ms step and the response"
    )
    assert all(gap >= min_gap_ms for gap in gaps[3:]), (
        "all senders together make at most about 80 polls per second"
    )
    assert call_ms > min_gap_ms or len(set(gaps[3:])) > 10, "the intervals have jitter"
