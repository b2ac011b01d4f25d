"""Batch requests: which messages are sent, what is written, and the result of each attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from scripted_servers import ScriptedServer, Streams
from test_connection_pool import with_endpoints

from kestreltrack.decision import Outcome
from kestreltrack.endpoints import batch
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.ports import (
    Attempt,
    AttemptResult,
    BatchCall,
    BeginAttempt,
    Message,
)
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.destinations import read_batch
from kestreltrack.testing.fakes.http import http_answer

AttemptTask = asyncio.Task[AttemptResult]
IDS = ["m1", "m2", "m3"]
TIMEOUT_MS = 60_000.0  # no test reaches it


class BatchHarness:
    """A transport, the endpoint that it connects to, and the attempts of batch requests.

    Attributes:
        begin_calls: The message ids of each call that asked whether attempts may begin.
        batch_call: The call that the latest attempts share.
    """

    def __init__(self, endpoint: ScriptedServer) -> None:
        self.endpoint = endpoint
        self.telemetry = Telemetry()
        self.transport = BatchTransport(ConnectionPool(60.0, 5.0, 8, self.telemetry), self.telemetry)
        self.begin_calls = list[list[str]]()

    def start_attempts(
        self,
        ids: list[str],
        begin: bool | None = True,
        body_bytes: int = 4,
        batch_call: BatchCall | None = None,
        **timeouts_ms: float,
    ) -> dict[str, AttemptTask]:
        """Start attempts that share a call; with `begin` None, asking whether they may begin raises an exception."""
        self.batch_call = batch_call = batch_call or BatchCall()

        def make_begin(id_: str) -> BeginAttempt:
            def may_begin(*other_ids: str) -> bool:
                assert self.endpoint.requests.empty(), "begun after the first byte was written"
                self.begin_calls.append([id_, *other_ids])
                if begin is None:
                    raise KeyError("a fault")
                return begin

            return may_begin

        def make_attempt(id_: str) -> Attempt:
            key = "k" if id_ == "m2" else None
            message = Message(id_, "unsafe", 1, 0.0, b"\r" * body_bytes, idempotency_key=key)
            timeout_ms = timeouts_ms.get(id_, TIMEOUT_MS)
            return Attempt(message, "n1", self.endpoint.address, timeout_ms, make_begin(id_), batch_call)

        return {id_: asyncio.create_task(self.transport.send(make_attempt(id_))) for id_ in ids}

    async def next_request(self) -> tuple[str, dict[str, str], bytes, Streams]:
        return await self.endpoint.requests.get()


def run_scenario(scenario: Callable[[BatchHarness], Awaitable[None]]) -> None:
    with_endpoints(lambda endpoint, _: scenario(BatchHarness(endpoint)))


def make_response(*lines: str, headers: tuple[str, ...] = (), status: str = "200") -> bytes:
    return http_answer(status, *headers, body="".join(f"{line}\r\n" for line in lines).encode())


ALL_DELIVERED = make_response("m1 delivered", "m2 delivered", "m3 delivered")
ALL_DELIVERED_WITHOUT_LENGTH = ALL_DELIVERED.replace(b"Content-Length: 42\r\n", b"")

# Outcomes, and whether they are final.
OK = ("ok", True)
COMPLETED = ("not sent", True)
NOT_SENT = ("not sent", False)
REJECTED = ("refused", False)
ERROR = ("error", False)
AMBIGUOUS = ("broken", False)
UNREACHABLE = ("unreachable", False)


async def wait_for_outcomes(tasks: dict[str, AttemptTask]) -> dict[str, tuple[str, bool]]:
    results = {id_: await task for id_, task in tasks.items()}
    return {id_: (result.outcome.value, result.final) for id_, result in results.items()}


def test_one_request_carries_all_members() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS, body_bytes=300, m1=500.0, m2=70_000.0)
        request_line, headers, body, streams = await harness.next_request()
        assert request_line == "POST /v1/messages:batch HTTP/1.1"
        assert read_batch(body) == [("m1", ""), ("m2", "k"), ("m3", "")]
        assert 60_000 < int(headers["x-budget-ms"]) <= 70_000, "the longest timeout of a member"
        assert headers.keys().isdisjoint({"x-call-id", "idempotency-key"})
        harness.endpoint.respond(streams, ALL_DELIVERED)
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, OK)
        assert harness.begin_calls == [IDS]
        assert harness.transport.pool.open_count == 1
        assert harness.telemetry.counters["app.forwards"] == 3

    run_scenario(scenario)


@pytest.mark.parametrize(
    "response", [ALL_DELIVERED, ALL_DELIVERED_WITHOUT_LENGTH], ids=["with a length", "without a length"]
)
def test_response_truncated_at_any_byte_delivers_nothing(response: bytes) -> None:
    assert b"Content-Length" not in ALL_DELIVERED_WITHOUT_LENGTH
    complete_bytes = len(response)
    if response == ALL_DELIVERED_WITHOUT_LENGTH:  # it is also complete without its last line end
        complete_bytes -= 2

    async def scenario(harness: BatchHarness) -> None:
        for sent_bytes in range(len(response) + 1):
            tasks = harness.start_attempts(IDS)
            streams = (await harness.next_request())[3]
            harness.endpoint.respond(streams, response[:sent_bytes])
            streams[1].close()
            expected = AMBIGUOUS if sent_bytes < complete_bytes else OK
            assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, expected), response[:sent_bytes]
            assert harness.transport.pool.open_count == (sent_bytes == len(ALL_DELIVERED))

    run_scenario(scenario)


# The lines of the response, and the outcomes of m1, m2 and m3.
LINES = {
    "other outcomes": (["m3 over", "m1 failed", "m2 refused"], [ERROR, REJECTED, COMPLETED]),
    "attempts spent": (["m1 spent", "m2 delivered", "m3 delivered"], [NOT_SENT, OK, OK]),
    "a missing line": (["m1 delivered", "m3 delivered"], [OK, AMBIGUOUS, OK]),
    "a repeated line": (
        ["m1 refused", "m2 delivered", "m3 spent", "m2 delivered"],
        [REJECTED, AMBIGUOUS, NOT_SENT],
    ),
    "an unknown id": (["m1 delivered", "m2 over", "m4 delivered", "m3 failed"], [OK, COMPLETED, ERROR]),
    "an unknown outcome": (["m1 delivered", "m2 done", "m3 Delivered"], [OK, AMBIGUOUS, AMBIGUOUS]),
    "too many or too few words": (["m1 delivered now", "m2", "m3 delivered"], [AMBIGUOUS, AMBIGUOUS, OK]),
    "bytes that are not text": (
        ["m1 delivered", "m\xff2 delivered", "m3\x00 delivered"],
        [OK, AMBIGUOUS, AMBIGUOUS],
    ),
    "no line": ([], [AMBIGUOUS, AMBIGUOUS, AMBIGUOUS]),
}


@pytest.mark.parametrize("name", LINES)
def test_lines_give_the_outcome_of_each_member(name: str) -> None:
    lines, expected = LINES[name]

    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        harness.endpoint.respond(
            (await harness.next_request())[3],
            make_response(*lines, headers=("Retry-After: 0.25", "X-Load-Report: x0=0.5")),
        )
        assert list((await wait_for_outcomes(tasks)).values()) == expected
        for task in tasks.values():
            result = task.result()
            assert (result.retry_after_ms, result.load_report) == (250.0, {"x0": 0.5}), "whatever its outcome"
        unexpected_lines = harness.telemetry.counters["endpoints.unexpected_lines"]
        assert unexpected_lines == (AMBIGUOUS in expected or "unknown" in name)

    run_scenario(scenario)


def test_delivered_members_get_their_results_first() -> None:
    # The policy takes the first outcome as that of the whole request, and one failed message must not pause the
    # destination.
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        completion_order = list[str]()
        for id_, task in tasks.items():
            task.add_done_callback(lambda _, id_=id_: completion_order.append(id_))  # type: ignore[misc]
        harness.endpoint.respond(
            (await harness.next_request())[3], make_response("m1 failed", "m2 refused", "m3 delivered")
        )
        assert await wait_for_outcomes(tasks) == {"m1": ERROR, "m2": REJECTED, "m3": OK}
        assert completion_order[0] == "m3"

    run_scenario(scenario)


OUTCOMES_BY_RESPONSE = {
    "429 Retry-After: 0.2": "refused",
    "503": "refused",
    "503 Slots-Taken: 1": "not sent",
    "500": "error",
    "504": "not sent",
    "410": "not sent",
    "400": "not sent",
    "413": "not sent",
    "418": "error",
}


@pytest.mark.parametrize("response", OUTCOMES_BY_RESPONSE)
def test_status_other_than_200_gives_all_members_one_outcome(response: str) -> None:
    status, *headers = response.split(" ", 1)

    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        harness.endpoint.respond(
            (await harness.next_request())[3],
            make_response("m1 delivered", headers=tuple(headers), status=status),
        )
        expected = (OUTCOMES_BY_RESPONSE[response], status == "410")
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, expected)
        retry_after_ms = 200.0 if status == "429" else 0.0
        assert all(task.result().retry_after_ms == retry_after_ms for task in tasks.values())
        assert harness.telemetry.counters["endpoints.unexpected_status"] == (status in ("400", "413", "418"))

    run_scenario(scenario)


def test_reset_makes_all_members_ambiguous() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        streams = (await harness.next_request())[3]
        streams[1].transport.abort()
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, AMBIGUOUS)
        assert harness.transport.pool.open_count == 0

    run_scenario(scenario)


def test_body_that_stalls_makes_all_members_ambiguous(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(batch, "BODY_TIMEOUT_S", 0.05)

    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        harness.endpoint.respond((await harness.next_request())[3], ALL_DELIVERED[:-1])
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, AMBIGUOUS)
        assert harness.transport.pool.open_count == 0

    run_scenario(scenario)


def test_connection_that_fails_makes_all_members_unreachable() -> None:
    async def scenario(harness: BatchHarness) -> None:
        harness.endpoint.address = "127.0.0.1:1"
        tasks = harness.start_attempts(IDS)
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, UNREACHABLE)

    run_scenario(scenario)


# Which members are sent ---------------------------------------------------------------------------


def test_member_cancelled_before_the_first_byte_is_not_sent() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        tasks["m1"].cancel()  # before its task starts
        await asyncio.sleep(0)
        tasks["m3"].cancel()  # while the request connects
        assert (await tasks["m3"]).outcome is Outcome.NOT_SENT
        assert tasks["m1"].cancelled()
        request_line, headers, body, streams = await harness.next_request()
        assert request_line == "POST /v1/messages HTTP/1.1", "the request of a single message"
        assert (headers["x-call-id"], headers["idempotency-key"], body) == ("m2", "k", b"\r" * 4)
        assert harness.begin_calls == [["m2"]]
        harness.endpoint.respond(streams, http_answer("200"))
        assert (await tasks["m2"]).final
        assert harness.transport.pool.open_count == 1

    run_scenario(scenario)


def test_last_remaining_member_keeps_its_own_timeout() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS[:2], m1=500.0)
        await asyncio.sleep(0)
        tasks["m2"].cancel()
        reader, writer = (await harness.next_request())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        assert harness.transport.pool.open_count == 0
        assert await reader.read() == b""
        writer.close()

    run_scenario(scenario)


def test_member_that_joins_after_the_start_is_not_sent() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        streams = (await harness.next_request())[3]
        late_tasks = harness.start_attempts(["m4"], batch_call=harness.batch_call)
        assert await wait_for_outcomes(late_tasks) == {"m4": NOT_SENT}
        harness.endpoint.respond(streams, ALL_DELIVERED)
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, OK)
        later_tasks = harness.start_attempts(["m5"], batch_call=harness.batch_call)
        assert await wait_for_outcomes(later_tasks) == {"m5": NOT_SENT}

    run_scenario(scenario)


def test_fault_before_the_first_byte_makes_all_members_unreachable() -> None:
    # If the attempts raised the exception instead, the sender would assume that the messages may have been executed.
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS, begin=None)
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, UNREACHABLE)
        assert harness.telemetry.counters["endpoints.fault"] == 1
        assert harness.transport.pool.open_count == 0

    run_scenario(scenario)


@pytest.mark.parametrize("loop_iterations", [1, 2])
def test_request_cancelled_by_all_members_while_connecting_writes_nothing(loop_iterations: int) -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        for task in tasks.values():
            task.cancel()
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, NOT_SENT)
        assert harness.transport.pool.open_count == 0
        assert not harness.begin_calls

    run_scenario(scenario)


def test_request_that_may_not_begin_sends_no_member() -> None:
    async def scenario(harness: BatchHarness) -> None:
        assert await wait_for_outcomes(harness.start_attempts(IDS, begin=False)) == dict.fromkeys(
            IDS, NOT_SENT
        )
        assert harness.begin_calls == [IDS]
        assert harness.transport.pool.open_count == 1
        assert harness.endpoint.requests.empty()

    run_scenario(scenario)


def test_members_beyond_the_body_limit_are_not_sent() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS, body_bytes=30_000)
        _, _, body, streams = await harness.next_request()
        assert [id_ for id_, _ in read_batch(body)] == ["m1", "m2"]
        assert len(body) <= 64 * 1024
        assert (await tasks["m3"]).outcome is Outcome.NOT_SENT
        assert harness.begin_calls == [["m1", "m2"]]
        harness.endpoint.respond(streams, make_response("m1 delivered", "m2 delivered"))
        assert (await tasks["m1"]).final
        assert (await tasks["m2"]).final

    run_scenario(scenario)


# Members that are cancelled or time out -----------------------------------------------------------


def test_cancelled_member_gets_no_result_while_the_request_is_open() -> None:
    # With a result, its message could be sent again at once, while the first request may still be executed.
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        streams = (await harness.next_request())[3]
        tasks["m1"].cancel()
        tasks_with_result, _ = await asyncio.wait(tasks.values(), timeout=0.02)
        assert not tasks_with_result
        harness.endpoint.respond(streams, make_response("m1 refused", "m2 delivered", "m3 delivered"))
        assert (await wait_for_outcomes(tasks))["m1"] == REJECTED

    run_scenario(scenario)


def test_request_cancelled_by_all_members_closes_its_connection() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        reader, writer = (await harness.next_request())[3]
        for task in tasks.values():
            task.cancel()
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, ("cancelled", False))
        assert harness.transport.pool.open_count == 0
        assert await reader.read() == b""
        writer.close()

    run_scenario(scenario)


def test_timed_out_member_leaves_and_the_last_member_closes_the_connection() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS, m1=500.0, m2=600.0)
        reader, writer = (await harness.next_request())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        assert harness.transport.pool.open_count == 1
        tasks["m3"].cancel()
        assert [(await tasks[id_]).outcome.value for id_ in ("m2", "m3")] == ["timed out", "cancelled"]
        assert harness.transport.pool.open_count == 0
        assert await reader.read() == b""
        writer.close()

    run_scenario(scenario)


def test_line_of_a_member_that_timed_out_is_not_unexpected() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS, m1=500.0)
        streams = (await harness.next_request())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        harness.endpoint.respond(streams, ALL_DELIVERED)
        assert (await tasks["m2"]).final
        assert not harness.telemetry.counters["endpoints.unexpected_lines"]

    run_scenario(scenario)


def test_member_cancelled_as_the_response_is_complete_gets_its_outcome() -> None:
    async def scenario(harness: BatchHarness) -> None:
        tasks = harness.start_attempts(IDS)
        harness.endpoint.respond((await harness.next_request())[3], ALL_DELIVERED)
        (request_task,) = (
            task for task in asyncio.all_tasks() if "_BatchRequest._run" in repr(task.get_coro())
        )
        request_task.add_done_callback(lambda _: tasks["m1"].cancel())
        assert await wait_for_outcomes(tasks) == dict.fromkeys(IDS, OK)

    run_scenario(scenario)
