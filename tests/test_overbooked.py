"""The platform's list service where many ask: what a sender asks for after a failure, how long and how often."""

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
WHOLE = (200, b'{"rev":41,"all":true,"targets":[' + ROW + b"]}")
CHANGE = (200, b'{"rev":43,"all":false,"targets":[' + ROW + b"]}")


class Scripted:
    """Stands for the connection: answers in turn, keeps what was asked."""

    def __init__(self, *answers: Any) -> None:
        self.answers, self.asked, self.waited = list(answers), list[str](), list[float]()

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        self.asked.append(target)
        self.waited.append(timeout_s)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer  # type: ignore[no-any-return]

    def close(self) -> None:
        """Nothing is open."""


def asked(
    answers: list[Any],
    relays: int = 1,
    move_after: int = -1,
    pushed_ms: float = 0.0,
    script: Scripted | None = None,
) -> tuple[list[str], list[int]]:
    """What a source asks for while the answers last, begun again after each failure; the versions it told."""

    async def story(script: Scripted) -> tuple[list[str], list[int]]:
        source = HttpEndpointSource("127.0.0.1:1", Telemetry(), relays, pushed_ms)
        told = list[int]()
        source._client = script  # type: ignore[assignment]
        while script.answers:
            try:
                async for update in source.follow():
                    told.append(update.revision)
                    if len(told) == move_after:
                        source.change_address("127.0.0.1:2")
                        source._client = script  # type: ignore[assignment]
                    if not script.answers:
                        break
            except DiscoveryError:
                continue
        return script.asked, told

    return asyncio.run(story(script or Scripted(*answers)))


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
def test_after_a_failure_it_goes_on_from_the_version_last_told(failure: Any) -> None:
    # A whole list costs the service each line; 40 senders that ask for it after each 503 keep it overbooked.
    # What was missed is asked for by a call that does not wait: a watch could not be told from a silent service.
    targets, told = asked([WHOLE, failure, CHANGE, failure, CHANGE])
    assert targets == [
        "/api/targets",
        "/api/targets?from=41&hold_ms=3000",
        "/api/targets?from=41&hold_ms=1",
        "/api/targets?from=43&hold_ms=3000",
        "/api/targets?from=43&hold_ms=1",
    ]
    assert told == [41, 43, 43]


def test_without_any_list_the_whole_is_asked_for() -> None:
    targets, told = asked([(503, b""), (503, b""), WHOLE])
    assert targets == ["/api/targets"] * 3 and told == [41]


def test_another_address_is_asked_for_the_whole_list() -> None:
    targets, _ = asked([WHOLE, WHOLE], move_after=1)
    assert targets == ["/api/targets"] * 2  # versions of two services do not compare


def test_an_agent_is_asked_in_short_calls_and_after_a_silence_for_the_whole_list() -> None:
    # What it has counts as told also right after an outage, so no call may outlast the outage by half a second.
    script = Scripted(WHOLE, CHANGE, TimeoutError(), TimeoutError(), WHOLE, CHANGE)
    targets, told = asked([], relays=200, pushed_ms=500.0, script=script)
    watch = "/api/targets?from={}&hold_ms=250"
    assert targets == [
        "/api/targets",
        watch.format(41),
        watch.format(43),
        "/api/targets",
        "/api/targets",
        watch.format(41),
    ]
    assert told == [41, 43, 41, 43]
    assert script.waited == [0.15, 0.4, 0.4, 0.15, 0.15, 0.4]


def test_a_list_may_come_indented() -> None:
    loose = json.dumps(json.loads(WHOLE[1]), indent=4).replace("\n", "\r\n").encode()
    assert asked([(200, loose), CHANGE])[1] == [41, 43]


@pytest.mark.parametrize("relays, hold", [(1, 3000), (3, 3000), (10, 10_000), (40, 20_000), (1000, 20_000)])
def test_a_fleet_watches_longer_so_that_fewer_watches_begin(relays: int, hold: int) -> None:
    assert long_poll_ms(relays) == hold


def asks(relays: int, span_ms: float, hangs_ms: float = 0.0) -> list[float]:
    """When a relay asks a directory that always fails, each time after so long."""
    relay, times = Relay(entry(1), sender_count=relays, must_poll=True), list[float]()
    relay.policy.subscribed = False
    while relay.now < span_ms:
        actions = relay.do(TimerExpired(0))
        while PollEndpointList() in actions and relay.now < span_ms:
            times.append(relay.now)
            while relay.now < times[-1] + hangs_ms:
                relay.now += 10.0
                assert PollEndpointList() not in relay.do(TimerExpired(0)), "one at a time"
            actions = relay.do(DiscoveryFailed())
        relay.now += 10.0
    return times


@pytest.mark.parametrize("hangs_ms", [0.0, 1500.0, 2200.0])
@pytest.mark.parametrize("relays, least, most", [(3, 950, 2060), (40, 950, 2060), (200, 1700, 3560)])
def test_after_failures_calls_are_spread_and_never_far_apart(
    relays: int, least: float, most: float, hangs_ms: float
) -> None:
    # A change counts as told 6 s after the service could be reached: gaps that grew to 0.3 s a relay broke that.
    gaps = [b - a for a, b in pairwise(asks(relays, 200_000, hangs_ms))]
    assert max(gaps) <= max(most, hangs_ms + 10), "with the 50 ms of a step and an answer inside 6 s"
    assert all(gap >= least for gap in gaps[3:]), "all together ask at most some 80 times a second"
    assert hangs_ms > least or len(set(gaps[3:])) > 10, "with jitter"
