"""A new process at the address of one that has gone is not taken for it: it is cold, and has not failed yet."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from signal import SIGKILL

import orjson
import pytest

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.incremental_update import IncrementalUpdateQueue
from kestreltrack.discovery.json_format import parse_endpoint
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint

RATE_PER_S = 30.0
BEFORE_S, DOWN_S, AFTER_S = 1.0, 3.0, 4.0
# From the list that tells of the restart to the first call: the longest pause between two trial calls.
FIRST_CALL_S = 1.0
CAPACITY_PER_S = 40.0
WINDOW_S = 2.0
# So slow that one endpoint alone costs more than a second one with a new connection.
SERVICE_TIME_S = 0.25
# A Unix time in milliseconds.
STARTED_MS = 1_796_434_189_304.0


def mean_warm_up(seconds: float) -> float:
    """Return the mean share of its capacity that a restarted endpoint takes during its first seconds."""
    safety = SETTINGS["safety"]
    reached = min(1.0, 1000.0 * seconds / safety["warmAfterMs"])
    return float(safety["coldShare"] + (1.0 - safety["coldShare"]) * reached / 2.0)


@pytest.mark.parametrize("endpoints", [1, 2])
@pytest.mark.parametrize("independent", [False, True])
def test_restarted_endpoint_gets_calls_soon_and_is_warmed_up(
    independent: bool, endpoints: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        platform = FakePlatform()
        await platform.listen()
        servers = [CostlyEndpoint(f"e{n}", 1, None, 0.0, n) for n in range(endpoints)]
        for server in servers:
            server.service_time_s = SERVICE_TIME_S
            await server.listen()
            platform.publish(server.discovery_row() | {"capacity_hint": CAPACITY_PER_S})
        sender = SenderProcess(tmp_path, "s1", tmp_path / "log")
        domain = SETTINGS["domain"] | {"routesApart": [independent]}
        settings = SETTINGS | {"domain": domain, "telemetry": {"fields": [], "how": "none"}}
        await sender.start(platform.address, settings, {})
        load = LoadGenerator(sender.listen_address, 1, 8000)
        seconds = BEFORE_S + DOWN_S + AFTER_S
        clients = asyncio.create_task(load.run(RATE_PER_S, seconds, lambda rng: (1, "unsafe")))
        await asyncio.sleep(BEFORE_S)
        restarted = servers[0]
        restarted.close()
        await asyncio.sleep(DOWN_S)
        await restarted.listen_again()
        told_at = time.monotonic()
        platform.publish(restarted.discovery_row() | {"capacity_hint": CAPACITY_PER_S, "boot_ms": STARTED_MS})
        await asyncio.sleep(AFTER_S)
        delays = [at - told_at for at in restarted.call_times if at >= told_at]
        clients.cancel()
        await sender.signal(SIGKILL)
        assert sender.process
        await sender.process.wait()
        platform.close()
        for server in servers:
            server.close()
        assert delays and delays[0] <= FIRST_CALL_S, "a call soon"
        # The sender is alone: the overload factor times what a cold endpoint takes in 2 s, and what chance adds.
        allowed = 2.0 * CAPACITY_PER_S * mean_warm_up(WINDOW_S) * WINDOW_S
        first = sum(delay < WINDOW_S for delay in delays)
        assert first <= allowed + 2.0 * (allowed + 2.0) ** 0.5

    asyncio.run(scenario())


def listed(
    uid: str, started_ms: float | None, state: EndpointLifecycle = EndpointLifecycle.UP
) -> ListedEndpoint:
    return ListedEndpoint(uid, "127.0.0.1:1", 1, "plain", state=state).with_start(started_ms)


def chunks_after(before: list[ListedEndpoint], update: EndpointListUpdate) -> list[list[str]]:
    """Return the states of each chunk of an update behind a complete list."""
    queue = IncrementalUpdateQueue(EndpointList())
    queue.enqueue(EndpointListUpdate(1, True, tuple(before)))
    while queue.next_chunk():
        pass
    queue.enqueue(update)
    chunks = list[list[str]]()
    while chunk := queue.next_chunk():
        chunks.append([f"{entry.endpoint} {entry.lifecycle.value}" for entry in chunk.event.entries])
    return chunks


@pytest.mark.parametrize("complete", [False, True])
@pytest.mark.parametrize("others", [0, 300])
def test_restart_under_the_same_uid_reaches_the_decision_module_as_a_new_endpoint(
    others: int, complete: bool
) -> None:
    unchanged = [listed(f"o{n}", 0.0) for n in range(others)]
    after = [listed("e1", STARTED_MS), *(unchanged if complete else [])]
    chunks = chunks_after([listed("e1", 0.0), *unchanged], EndpointListUpdate(2, complete, tuple(after)))
    assert chunks == [["e1 removed"], ["e1 draining"], ["e1 up"]]


@pytest.mark.parametrize(
    ("before", "after"),
    [(None, STARTED_MS), (0.0, 0.0), (STARTED_MS, STARTED_MS), (STARTED_MS, 0.0), (5.0, None)],
)
def test_entry_that_does_not_tell_of_a_later_process_is_no_restart(
    before: float | None, after: float | None
) -> None:
    update = EndpointListUpdate(2, False, (listed("e1", after),))
    assert chunks_after([listed("e1", before)], update) == [["e1 up"]]


def test_idle_connections_to_the_earlier_process_are_closed() -> None:
    queue = IncrementalUpdateQueue(EndpointList())
    queue.enqueue(EndpointListUpdate(1, True, (listed("e1", 0.0), listed("e2", 0.0))))
    assert queue.enqueue(EndpointListUpdate(2, False, (listed("e1", STARTED_MS),))) == {"e1"}


@pytest.mark.parametrize("started_ms", [None, 0.0, STARTED_MS])
def test_start_of_an_endpoint_is_read_and_not_stored(started_ms: float | None) -> None:
    row = {"uid": "e1", "endpoint": "127.0.0.1:1", "pod_group": 1, "model": "plain", "state": "up"}
    endpoint = parse_endpoint(row if started_ms is None else row | {"boot_ms": started_ms})
    assert endpoint.started_ms == started_ms
    assert orjson.dumps(endpoint) == orjson.dumps(endpoint.with_start(None))
