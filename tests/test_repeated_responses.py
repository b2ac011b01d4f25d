"""Responses that a server or a proxy writes twice must not be taken for those of the following requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.http1 import HttpClient
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import Attempt, AttemptResult, BatchCall, Message, StatusNotification
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer
from kestreltrack.testing.fakes.repeating_server import DEFAULT_SERVICE_TIME_S, RepeatingServer
from kestreltrack.testing.soak.plan import Fault, FaultKind, SoakPlan, draw_plan
from kestreltrack.testing.soak.report import run_seed

TIMEOUT_MS = 60_000.0  # no test reaches it
# When each response is written again, after the first time.
REPEATED_AFTER_S = {
    "at once": (0.0,),
    "after 1 ms": (0.001,),
    "after 12 ms": (0.012,),
    "after 50 ms": (0.05,),
    "twice": (0.005, 0.025),
}
STATUSES = {
    "a delivery before a rejection": ["200", "503", "200", "503"],
    "a rejection before a delivery": ["503", "200", "503", "200"],
    "an error before a retry-after": ["500", "429", "500", "429"],
}
OUTCOMES = {"200": "ok", "503": "refused", "429": "refused", "500": "error"}


def run_with_server(
    responses: list[bytes],
    repeated_after_s: tuple[float, ...],
    scenario: Callable[[RepeatingServer], Awaitable[None]],
    service_time_s: float = DEFAULT_SERVICE_TIME_S,
) -> None:
    async def run() -> None:
        server = RepeatingServer(responses, repeated_after_s, service_time_s)
        await server.listen()
        try:
            await asyncio.wait_for(scenario(server), 20.0)
        finally:
            server.close()

    asyncio.run(run())


def status_response(status: str) -> bytes:
    return http_answer(status, *(["Retry-After: 0.25"] if status == "429" else []))


def make_pool() -> ConnectionPool:
    return ConnectionPool(60.0, 5.0, 64, Telemetry())


def make_attempt(
    message_id: str, server: RepeatingServer, cls: str = "safe", batch_call: BatchCall | None = None
) -> Attempt:
    message = Message(message_id, cls, 1, 0.0, b"body")
    return Attempt(message, "n1", server.address, TIMEOUT_MS, lambda *_: True, batch_call)


@pytest.mark.parametrize("pause_s", [0.0, 0.005, 0.03])
@pytest.mark.parametrize("repeated", REPEATED_AFTER_S)
def test_client_returns_each_response_to_its_own_request(repeated: str, pause_s: float) -> None:
    statuses = STATUSES["a delivery before a rejection"]

    async def scenario(server: RepeatingServer) -> None:
        client = HttpClient(server.address)
        received = list[str]()
        for _ in statuses:
            received.append(str((await client.exchange("POST", "/", 10.0)).status))
            await asyncio.sleep(pause_s)
        assert received == statuses
        client.close()

    run_with_server([*map(http_answer, statuses)], REPEATED_AFTER_S[repeated], scenario)


def check_outcomes(
    statuses: list[str], repeated: str, pause_s: float, service_time_s: float = DEFAULT_SERVICE_TIME_S
) -> None:
    """Check that each of several attempts gets the outcome of its own response."""

    async def scenario(server: RepeatingServer) -> None:
        transport = HttpTransport(make_pool(), Telemetry())
        outcomes = list[str]()
        for number in range(4):
            outcomes.append((await transport.send(make_attempt(f"m{number}", server))).outcome.value)
            await asyncio.sleep(pause_s)
        assert outcomes == [OUTCOMES[status] for status in statuses]

    run_with_server([*map(status_response, statuses)], REPEATED_AFTER_S[repeated], scenario, service_time_s)


@pytest.mark.parametrize("pause_s", [0.0, 0.005, 0.03])
@pytest.mark.parametrize("statuses", STATUSES)
@pytest.mark.parametrize("repeated", REPEATED_AFTER_S)
def test_attempt_gets_the_outcome_of_its_own_response(repeated: str, statuses: str, pause_s: float) -> None:
    check_outcomes(STATUSES[statuses], repeated, pause_s)


@pytest.mark.parametrize("statuses", STATUSES)
@pytest.mark.parametrize("repeated", ["after 1 ms", "after 12 ms"])
def test_copy_is_skipped_on_a_connection_that_a_slow_endpoint_gets_again_at_once(
    repeated: str, statuses: str
) -> None:
    check_outcomes(STATUSES[statuses], repeated, pause_s=0.0, service_time_s=0.3)


@pytest.mark.parametrize("repeated", REPEATED_AFTER_S)
def test_batch_gets_the_outcomes_of_its_own_response(repeated: str) -> None:
    batches = [["m1", "m2"], ["m3", "m4"], ["m5", "m6"]]
    words = ["delivered", "refused", "delivered"]
    responses = [
        http_answer("200", body="".join(f"{id_} {word}\r\n" for id_ in ids).encode())
        for ids, word in zip(batches, words, strict=True)
    ]

    async def scenario(server: RepeatingServer) -> None:
        transport = BatchTransport(make_pool(), Telemetry())
        outcomes = list[str]()
        for ids in batches:
            call = BatchCall()
            results: list[AttemptResult] = await asyncio.gather(
                *(transport.send(make_attempt(id_, server, batch_call=call)) for id_ in ids)
            )
            outcomes += [result.outcome.value for result in results]
        assert outcomes == ["ok", "ok", "refused", "refused", "ok", "ok"]

    run_with_server(responses, REPEATED_AFTER_S[repeated], scenario)


@pytest.mark.parametrize("repeated", REPEATED_AFTER_S)
def test_notification_that_the_platform_rejects_is_not_ended_by_an_earlier_answer(repeated: str) -> None:
    async def scenario(server: RepeatingServer) -> None:
        notifier = HttpNotifier(server.address, Telemetry())
        await notifier.notify(StatusNotification("m1", False))
        await notifier.notify(StatusNotification("m2", False))
        assert [b"m2" in body for _, body in server.received] == [False, True, True]

    run_with_server([*map(http_answer, ("204", "503", "204"))], REPEATED_AFTER_S[repeated], scenario)


@pytest.mark.parametrize("repeated", REPEATED_AFTER_S)
def test_list_is_not_taken_for_the_answer_to_the_next_poll(repeated: str) -> None:
    revisions = [41, 43, 44, 47]
    responses = [
        http_answer(
            "200", body=b'{"rev":%d,"all":%s,"targets":[]}' % (rev, b"true" if rev == 41 else b"false")
        )
        for rev in revisions
    ]

    async def scenario(server: RepeatingServer) -> None:
        received = list[int]()
        async for update in HttpEndpointSource(server.address, Telemetry()).follow():
            received.append(update.revision)
            if len(received) == len(revisions):
                break
        assert received == revisions

    run_with_server(responses, REPEATED_AFTER_S[repeated], scenario)


def plan_with_repeated_responses(seed: int, max_delay_s: float) -> SoakPlan:
    """Return a run of three senders whose endpoints repeat responses, and reject some calls from time to time."""
    plan = draw_plan(seed, 6.0, senders=3)
    faults = (
        Fault(0.0, FaultKind.REPEAT_RESPONSES, 0, 6.0, share=0.4, delay_s=max_delay_s),
        Fault(0.0, FaultKind.REPEAT_LISTS, 0, 6.0, share=0.4, delay_s=max_delay_s),
        *(Fault(1.0 + 0.5 * dest, FaultKind.REJECT, dest, 0.5) for dest in range(3)),
        *(Fault(3.0 + 0.5 * dest, FaultKind.FAIL, dest, 0.5) for dest in range(3)),
    )
    settings = plan.settings | {"domain": plan.settings["domain"] | {"slots": 60}}
    return replace(plan, faults=faults, settings=settings, rate=40.0, initial_idle_s=0.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_senders_keep_all_rules_while_endpoints_repeat_responses(seed: int, tmp_path: Path) -> None:
    result = run_seed(plan_with_repeated_responses(seed, max_delay_s=0.025), tmp_path)
    assert result.accepted > 100 and not result.violations
