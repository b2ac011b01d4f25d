"""The time within which senders receive changes of the endpoint list despite faults; in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from discovery_harness import (
    CHANGE_LATENCY_S,
    FaultyConnection,
    fleet_settings,
    run_scenario,
    start_followers,
)

from kestreltrack import http1
from kestreltrack.discovery import http_source
from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.ports import DiscoveryError
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.emulator.discovery import (
    DiscoveryConnection,
    DiscoveryServer,
    ListFollower,
)

# Below the required 4 s after SIGHUP.
NEW_ADDRESS_LATENCY_S = 3.7
# Below the 0.5 s within which a drain must take effect.
PUSHED_LATENCY_S = 0.48


# After a failed call ------------------------------------------------------------------------------


@pytest.mark.parametrize("sender_count", [3, 200])
@pytest.mark.parametrize("first_fault", ["", "malformed", "truncated", "body timeout"])
@pytest.mark.parametrize("state", ["503", "refused", "reset", "silent"])
def test_after_an_outage_all_senders_receive_the_change_within_six_seconds(
    state: str, first_fault: str, sender_count: int
) -> None:
    # Regardless of how a call in flight at the end of the outage ends, and of whether the next response is a list.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = DiscoveryServer()
        followers = await start_followers(discovery, 10, fleet_settings(sender_count))
        discovery.set_state(state)
        await asyncio.sleep(30.0)
        discovery.publish_change()
        for _, connection in followers:
            connection.faults = [first_fault] * bool(first_fault)
        recovered_at = loop.time()
        calls_before = sum(len(connection.calls) for _, connection in followers)
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        assert (
            max(follower.received_at(discovery.revision) - recovered_at for follower, _ in followers)
            <= CHANGE_LATENCY_S
        )
        assert sum(len(connection.calls) for _, connection in followers) - calls_before <= 10 * (
            15 if sender_count == 3 else 6
        ), "long polls instead of retries"

    run_scenario(scenario)


def worst_latency_with_failed_call_after_outage_s(sender_count: int, followers: int, fault: str) -> float:
    """Return the time from the recovery of discovery to the last receipt of a change.

    The first call of each sender after the recovery fails.
    """
    latencies_s = list[float]()

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = DiscoveryServer()
        started = await start_followers(discovery, followers, fleet_settings(sender_count))
        discovery.set_state("503")
        await asyncio.sleep(30.0)
        discovery.publish_change()
        for _, connection in started:
            connection.faults = [fault]
        recovered_at = loop.time()
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        latencies_s.append(
            max(follower.received_at(discovery.revision) - recovered_at for follower, _ in started)
        )

    run_scenario(scenario)
    return latencies_s[0]


@pytest.mark.parametrize("fault", ["reset", "503", "malformed", "hang"])
def test_with_few_senders_one_more_call_may_fail_after_the_outage(fault: str) -> None:
    assert worst_latency_with_failed_call_after_outage_s(3, 10, fault) <= CHANGE_LATENCY_S


@pytest.mark.parametrize("fault", ["reset", "503", "malformed", "hang"])
def test_with_many_senders_one_more_call_may_fail_after_the_outage(fault: str) -> None:
    """A change is received within 6 s after discovery has recovered, even if the first call after the recovery fails.

    To limit the load, each of 200 senders calls every 1.75 to 3.5 s during an outage; two such intervals take up to
    7 s.
    """
    assert worst_latency_with_failed_call_after_outage_s(200, 20, fault) <= CHANGE_LATENCY_S


def test_long_polls_that_break_at_once_are_not_repeated_without_a_pause() -> None:
    # A response ends the backoff: a service that responds and then breaks the long poll must not be polled in a busy
    # loop.
    async def scenario() -> None:
        (_, connection), *_ = await start_followers(DiscoveryServer(), 1, fleet_settings(3))
        connection.faults = ["reset"] + ["", "reset"] * 100
        calls_before = len(connection.calls)
        await asyncio.sleep(10.0)
        assert 10 < len(connection.calls) - calls_before < 90

    run_scenario(scenario)


def test_overloaded_service_still_answers_as_many_as_it_can() -> None:
    # With too short a timeout the service would process only calls already abandoned, and no sender would get the
    # list.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        # The service handles 8 calls per second; 60 of 200 senders make about 20.
        discovery = DiscoveryServer(8.0)
        followers = [
            ListFollower(fleet_settings(), DiscoveryConnection(discovery), seed) for seed in range(60)
        ]
        started_at = loop.time()
        for follower in followers:
            follower.start()
        await asyncio.sleep(30.0)
        assert max(follower.received_at(1) - started_at for follower in followers) < 2.0 * 60 / 8.0

    run_scenario(scenario)


# Long polls without response, or broken -----------------------------------------------------------


@pytest.mark.parametrize("sender_count, rate", [(3, 1000.0), (200, 60.0)])
def test_change_missed_by_silent_long_polls_is_received_in_time(sender_count: int, rate: float) -> None:
    # All long polls started simultaneously and lose their response simultaneously; the service handles one call at a
    # time.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = DiscoveryServer(rate)
        followers = await start_followers(discovery, 60, fleet_settings(sender_count))
        lost_at = loop.time()
        long_poll_ends = discovery.silence_watches()
        assert len(long_poll_ends) == 60
        discovery.publish_change()
        await asyncio.sleep(40.0)
        margins_s = [
            max(lost_at + 6.0, long_poll_ends[connection] + 2.0) - follower.received_at(discovery.revision)
            for follower, connection in followers
        ]
        assert min(margins_s) >= 0.3

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["503", "reset", "malformed", "hang"])
@pytest.mark.parametrize("sender_count", [3, 200])
def test_change_is_received_in_time_where_the_call_after_a_silent_long_poll_fails_too(
    sender_count: int, fault: str
) -> None:
    async def scenario() -> None:
        discovery = DiscoveryServer()
        followers = await start_followers(discovery, 10, fleet_settings(sender_count))
        long_poll_ends = discovery.silence_watches()
        discovery.publish_change()
        for _, connection in followers:
            connection.faults = [fault]
        await asyncio.sleep(40.0)
        for follower, connection in followers:
            assert (
                follower.received_at(discovery.revision)
                - (long_poll_ends[connection] + http_source.LONG_POLL_GRACE_S)
                <= CHANGE_LATENCY_S
            )

    run_scenario(scenario)


def test_connection_closed_under_a_long_poll_causes_no_pause() -> None:
    async def scenario() -> None:
        discovery = DiscoveryServer()
        (_, connection), *_ = await start_followers(discovery, 1, fleet_settings(3))
        connection.faults = ["reset"]
        discovery.publish_change()  # ends the long poll; the next one fails with a closed connection
        await asyncio.sleep(2.0)
        failed = next(n for n, (_, target) in enumerate(connection.calls) if "from=3" in target)
        assert connection.calls[failed + 1][0] - connection.calls[failed][0] < 0.2, (
            "polled again without a pause"
        )
        assert [target.partition("hold_ms=")[2] for _, target in connection.calls[failed + 1 :]] == [
            "1",
            "3000",
        ]

    run_scenario(scenario)


@pytest.mark.parametrize(
    "rest", [b"-Type: a", b"-Length: 99\r\n\r\n{"], ids=["truncated head", "truncated body"]
)
def test_response_that_stops_halfway_fails_long_before_the_long_poll_would(
    rest: bytes, monkeypatch: Any
) -> None:
    monkeypatch.setattr(http1.connection, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(http1.client, "BODY_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent" + rest)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        source = HttpEndpointSource(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", Telemetry(), 200)
        source._revision = 41
        with pytest.raises(DiscoveryError):
            # A long poll waits at least 15 s.
            await asyncio.wait_for(source._poll(41, catching_up=False), 14.0)
        server.close()

    asyncio.run(scenario())


def test_connection_attempt_has_its_own_time_limit(monkeypatch: Any) -> None:
    connect_timeouts_s = list[float]()

    async def time_out(address: str, timeout_s: float) -> None:
        connect_timeouts_s.append(timeout_s)
        raise TimeoutError

    monkeypatch.setattr(http1.Connection, "open", time_out)
    source = HttpEndpointSource("127.0.0.1:1", Telemetry(), 200)
    for catching_up in (True, False):
        with pytest.raises(DiscoveryError):
            asyncio.run(source._poll(41, catching_up))
    assert connect_timeouts_s == [http_source.CONNECT_TIMEOUT_S] * 2


# SIGHUP -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "faults", ["", "503", "hang", "refused refused refused", "malformed", "truncated reset", "hang 503"]
)
@pytest.mark.parametrize("condition", ["polling", "backoff after failures", "call in flight", "twice"])
def test_list_of_a_new_address_is_received_within_four_seconds(
    condition: str, faults: str, monkeypatch: Any
) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = DiscoveryServer()
        new_server = DiscoveryServer()
        new_server.revision = 7

        def client(address: str, **_: object) -> DiscoveryConnection:
            server = new_server if address == "new" else DiscoveryServer()
            return FaultyConnection(server, *faults.split())

        monkeypatch.setattr(http_source, "HttpClient", client)
        followers = await start_followers(discovery, 10, fleet_settings(200))
        if condition != "polling":
            discovery.set_state("503" if condition == "backoff after failures" else "silent")
            await asyncio.sleep(31.3)
        changed_at = loop.time()
        for follower, _ in followers:
            if condition == "twice":
                follower.http_source.change_address("another")
                follower.core.poll_now()
            follower.http_source.change_address("new")
            follower.core.poll_now()
        await asyncio.sleep(30.0)
        for follower, _ in followers:
            assert (
                min(at for at, rev in follower.received if rev == 7 and at > changed_at) - changed_at
                <= NEW_ADDRESS_LATENCY_S
            )
        assert len(new_server.call_times) <= 10 * 8

    run_scenario(scenario)


# Lists from a local agent -------------------------------------------------------------------------


@pytest.mark.parametrize("first_fault", ["", "503", "truncated", "malformed"])
def test_list_of_an_agent_is_received_within_the_deadline_of_a_drain(first_fault: str) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        agent = DiscoveryServer()
        follower, connection = (await start_followers(agent, 1, fleet_settings(200, pushed=True)))[0]
        for step in range(60):  # outages that start and end at many points of a call
            agent.set_state("silent")
            await asyncio.sleep(1.0 + 0.0071 * step)
            agent.revision += 1
            connection.faults = [first_fault] * bool(first_fault)
            recovered_at = loop.time()
            agent.set_state("up")
            await asyncio.sleep(1.0)
            assert follower.received_at(agent.revision) - recovered_at <= PUSHED_LATENCY_S

    run_scenario(scenario)


def test_complete_list_is_requested_from_an_agent_that_restarts_with_older_revisions() -> None:
    async def scenario() -> None:
        agent = DiscoveryServer()
        agent.revision = 50
        follower, connection = (await start_followers(agent, 1, fleet_settings(200, pushed=True)))[0]
        agent.revision = 3
        calls_before = len(connection.calls)
        await asyncio.sleep(1.0)
        assert [target for _, target in connection.calls[calls_before:]].count("/api/targets") == 1
        assert follower.received[-1][1] == 3

    run_scenario(scenario)
