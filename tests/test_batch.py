"""Several messages in one request: which of them are sent, what is written, and the result of each."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from scenario import ScriptedServer, Streams
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

Task = asyncio.Task[AttemptResult]
IDS = ["m1", "m2", "m3"]


class Rig:
    """A transport towards one endpoint, and the attempts of one request."""

    def __init__(self, endpoint: ScriptedServer) -> None:
        self.endpoint, self.telemetry = endpoint, Telemetry()
        self.transport = BatchTransport(ConnectionPool(60.0, 5.0, 8, self.telemetry), self.telemetry)
        self.begun = list[list[str]]()  # each time that a request asked whether it may begin

    def send_all(
        self,
        ids: list[str],
        begin: bool | None = True,
        size: int = 4,
        call: BatchCall | None = None,
        **ms: float,
    ) -> dict[str, Task]:
        self.call = call = call or BatchCall()

        def begin_attempt(id_: str) -> BeginAttempt:
            def may_begin(*others: str) -> bool:
                assert self.endpoint.requests.empty(), "before the first byte"
                self.begun.append([id_, *others])
                if begin is None:
                    raise KeyError("a fault")
                return begin

            return may_begin

        def attempt(id_: str) -> Attempt:
            message = Message(
                id_, "unsafe", 1, 0.0, b"\r" * size, idempotency_key="k" if id_ == "m2" else None
            )
            return Attempt(
                message, "node", self.endpoint.address, ms.get(id_, 60_000.0), begin_attempt(id_), call
            )

        return {id_: asyncio.create_task(self.transport.send(attempt(id_))) for id_ in ids}

    async def next_request(self) -> tuple[str, dict[str, str], bytes, Streams]:
        return await self.endpoint.requests.get()


def with_rig(scenario: Callable[[Rig], Awaitable[None]]) -> None:
    with_endpoints(lambda endpoint, _: scenario(Rig(endpoint)))


def response_of(*rows: str, head: tuple[str, ...] = (), status: str = "200") -> bytes:
    return http_answer(status, *head, body="".join(f"{row}\r\n" for row in rows).encode())


COMPLETE = response_of("m1 delivered", "m2 delivered", "m3 delivered")
ENDED_BY_CLOSE = COMPLETE.replace(b"Content-Length: 42\r\n", b"")
OK, COMPLETED, NOT_SENT = ("ok", True), ("not sent", True), ("not sent", False)
REJECTED, ERROR = ("refused", False), ("error", False)
AMBIGUOUS = ("broken", False)


async def outcomes(tasks: dict[str, Task]) -> dict[str, tuple[str, bool]]:
    return {id_: ((r := await task).outcome.value, r.final) for id_, task in tasks.items()}


def test_one_request_carries_all_members() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS, size=300, m1=500.0, m2=70_000.0)
        first, headers, body, streams = await rig.next_request()
        assert first == "POST /v1/messages:batch HTTP/1.1"
        assert read_batch(body) == [("m1", ""), ("m2", "k"), ("m3", "")]
        assert 60_000 < int(headers["x-budget-ms"]) <= 70_000, "as long as the longest waits"
        assert headers.keys().isdisjoint({"x-call-id", "idempotency-key"})
        rig.endpoint.respond(streams, COMPLETE)
        assert await outcomes(tasks) == dict.fromkeys(IDS, OK)
        assert (
            rig.begun == [IDS]
            and rig.transport.pool.open_count == 1
            and rig.telemetry.counters["app.forwards"] == 3
        )

    with_rig(scenario)


@pytest.mark.parametrize(
    "response", [COMPLETE, ENDED_BY_CLOSE], ids=["with its length", "ended by its connection"]
)
def test_response_cut_at_any_byte_delivers_nothing(response: bytes) -> None:
    assert b"Content-Length" not in ENDED_BY_CLOSE
    least = len(response)
    if response != COMPLETE:  # without its length, the last line's end says nothing new
        least -= 2

    async def scenario(rig: Rig) -> None:
        for cut in range(len(response) + 1):
            tasks = rig.send_all(IDS)
            streams = (await rig.next_request())[3]
            rig.endpoint.respond(streams, response[:cut])
            streams[1].close()
            expected = AMBIGUOUS if cut < least else OK
            assert await outcomes(tasks) == dict.fromkeys(IDS, expected), response[:cut]
            assert rig.transport.pool.open_count == (cut == len(COMPLETE))

    with_rig(scenario)


# What the response says of m1, m2 and m3, and their outcomes.
LINES = {
    "each word": (["m3 over", "m1 failed", "m2 refused"], [ERROR, REJECTED, COMPLETED]),
    "spent": (["m1 spent", "m2 delivered", "m3 delivered"], [NOT_SENT, OK, OK]),
    "one missing": (["m1 delivered", "m3 delivered"], [OK, AMBIGUOUS, OK]),
    "one twice": (
        ["m1 refused", "m2 delivered", "m3 spent", "m2 delivered"],
        [REJECTED, AMBIGUOUS, NOT_SENT],
    ),
    "an unknown id": (["m1 delivered", "m2 over", "m4 delivered", "m3 failed"], [OK, COMPLETED, ERROR]),
    "an unknown word": (["m1 delivered", "m2 done", "m3 Delivered"], [OK, AMBIGUOUS, AMBIGUOUS]),
    "a word too many": (["m1 delivered now", "m2", "m3 delivered"], [AMBIGUOUS, AMBIGUOUS, OK]),
    "odd bytes": (["m1 delivered", "m\xff2 delivered", "m3\x00 delivered"], [OK, AMBIGUOUS, AMBIGUOUS]),
    "nothing": ([], [AMBIGUOUS, AMBIGUOUS, AMBIGUOUS]),
}


@pytest.mark.parametrize("name", LINES)
def test_lines_give_the_outcome_of_each_member(name: str) -> None:
    rows, expected = LINES[name]

    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        rig.endpoint.respond(
            (await rig.next_request())[3],
            response_of(*rows, head=("Retry-After: 0.25", "X-Load-Report: x0=0.5")),
        )
        assert list((await outcomes(tasks)).values()) == expected
        results = [task.result() for task in tasks.values()]
        assert all((r.retry_after_ms, r.load_report) == (250.0, {"x0": 0.5}) for r in results), (
            "it binds whatever ran"
        )
        unexpected_lines = rig.telemetry.counters["endpoints.unexpected_lines"]
        assert unexpected_lines == (AMBIGUOUS in expected or "unknown" in name)

    with_rig(scenario)


def test_delivered_members_get_their_results_first() -> None:
    # The policy takes the first outcome for the request's: one bad message of many must not pause the destination.
    async def scenario(rig: Rig) -> None:
        tasks, completion_order = rig.send_all(IDS), list[str]()
        for id_, task in tasks.items():
            task.add_done_callback(lambda _, id_=id_: completion_order.append(id_))  # type: ignore[misc]
        rig.endpoint.respond(
            (await rig.next_request())[3], response_of("m1 failed", "m2 refused", "m3 delivered")
        )
        assert await outcomes(tasks) == {"m1": ERROR, "m2": REJECTED, "m3": OK}
        assert completion_order[0] == "m3"

    with_rig(scenario)


OUTCOMES_BY_STATUS = {
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


@pytest.mark.parametrize("response", OUTCOMES_BY_STATUS)
def test_status_other_than_200_gives_all_members_one_outcome(response: str) -> None:
    status, *head = response.split(" ", 1)

    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        rig.endpoint.respond(
            (await rig.next_request())[3], response_of("m1 delivered", head=tuple(head), status=status)
        )
        assert await outcomes(tasks) == dict.fromkeys(IDS, (OUTCOMES_BY_STATUS[response], status == "410"))
        assert all(
            task.result().retry_after_ms == (200.0 if status == "429" else 0.0) for task in tasks.values()
        )
        assert rig.telemetry.counters["endpoints.unexpected_status"] == (status in ("400", "413", "418"))

    with_rig(scenario)


def test_reset_makes_all_members_ambiguous() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        (await rig.next_request())[3][1].transport.abort()
        assert await outcomes(tasks) == dict.fromkeys(IDS, AMBIGUOUS) and rig.transport.pool.open_count == 0

    with_rig(scenario)


def test_body_that_stalls_makes_all_members_ambiguous(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(batch, "BODY_TIMEOUT_S", 0.05)

    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        rig.endpoint.respond((await rig.next_request())[3], COMPLETE[:-1])
        assert await outcomes(tasks) == dict.fromkeys(IDS, AMBIGUOUS) and rig.transport.pool.open_count == 0

    with_rig(scenario)


def test_connection_that_fails_makes_all_members_unreachable() -> None:
    async def scenario(rig: Rig) -> None:
        rig.endpoint.address = "127.0.0.1:1"
        assert await outcomes(rig.send_all(IDS)) == dict.fromkeys(IDS, ("unreachable", False))

    with_rig(scenario)


# Who is sent -------------------------------------------------------------------------------------


def test_member_cancelled_before_the_first_byte_is_not_sent() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        tasks["m1"].cancel()  # before its attempt has begun
        await asyncio.sleep(0)
        tasks["m3"].cancel()  # while the request connects
        assert (await tasks["m3"]).outcome is Outcome.NOT_SENT and tasks["m1"].cancelled()
        first, headers, body, streams = await rig.next_request()
        assert first == "POST /v1/messages HTTP/1.1", "in the form for one"
        assert (headers["x-call-id"], headers["idempotency-key"], body) == ("m2", "k", b"\r" * 4)
        assert rig.begun == [["m2"]]
        rig.endpoint.respond(streams, http_answer("200"))
        assert (await tasks["m2"]).final and rig.transport.pool.open_count == 1

    with_rig(scenario)


def test_only_member_left_keeps_its_own_timeout() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS[:2], m1=500.0)
        await asyncio.sleep(0)
        tasks["m2"].cancel()
        reader, writer = (await rig.next_request())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        assert rig.transport.pool.open_count == 0 and await reader.read() == b""
        writer.close()

    with_rig(scenario)


def test_member_that_joins_after_the_start_is_not_sent() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        streams, late_tasks = (await rig.next_request())[3], rig.send_all(["m4"], call=rig.call)
        assert await outcomes(late_tasks) == {"m4": NOT_SENT}
        rig.endpoint.respond(streams, COMPLETE)
        assert await outcomes(tasks) == dict.fromkeys(IDS, OK)
        assert await outcomes(rig.send_all(["m5"], call=rig.call)) == {"m5": NOT_SENT}

    with_rig(scenario)


def test_fault_before_the_first_byte_makes_all_members_unreachable() -> None:
    # An exception instead of a result would be taken by the core for a request that may have been executed.
    async def scenario(rig: Rig) -> None:
        assert await outcomes(rig.send_all(IDS, begin=None)) == dict.fromkeys(IDS, ("unreachable", False))
        assert rig.telemetry.counters["endpoints.fault"] == 1 and rig.transport.pool.open_count == 0

    with_rig(scenario)


@pytest.mark.parametrize("turns", [1, 2])
def test_request_cancelled_by_all_members_while_connecting_writes_nothing(turns: int) -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        for _ in range(turns):
            await asyncio.sleep(0)
        for task in tasks.values():
            task.cancel()
        assert await outcomes(tasks) == dict.fromkeys(IDS, NOT_SENT)
        assert rig.transport.pool.open_count == 0 and not rig.begun

    with_rig(scenario)


def test_request_that_may_not_begin_sends_no_member() -> None:
    async def scenario(rig: Rig) -> None:
        assert await outcomes(rig.send_all(IDS, begin=False)) == dict.fromkeys(IDS, NOT_SENT)
        assert rig.begun == [IDS] and rig.transport.pool.open_count == 1 and rig.endpoint.requests.empty()

    with_rig(scenario)


def test_members_beyond_the_body_limit_are_not_sent() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS, size=30_000)
        _, _, body, streams = await rig.next_request()
        assert [id_ for id_, _ in read_batch(body)] == ["m1", "m2"] and len(body) <= 64 * 1024
        assert (await tasks["m3"]).outcome is Outcome.NOT_SENT and rig.begun == [["m1", "m2"]]
        rig.endpoint.respond(streams, response_of("m1 delivered", "m2 delivered"))
        assert (await tasks["m1"]).final and (await tasks["m2"]).final

    with_rig(scenario)


# Who waits no longer -----------------------------------------------------------------------------


def test_cancelled_member_gets_no_result_while_the_request_is_open() -> None:
    # It could be sent again at once: a second copy beside the first.
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        streams = (await rig.next_request())[3]
        tasks["m1"].cancel()
        assert not (await asyncio.wait(tasks.values(), timeout=0.02))[0]
        rig.endpoint.respond(streams, response_of("m1 refused", "m2 delivered", "m3 delivered"))
        assert (await outcomes(tasks))["m1"] == REJECTED

    with_rig(scenario)


def test_request_cancelled_by_all_members_closes_its_connection() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        reader, writer = (await rig.next_request())[3]
        for task in tasks.values():
            task.cancel()
        assert (
            await outcomes(tasks) == dict.fromkeys(IDS, ("cancelled", False))
            and rig.transport.pool.open_count == 0
        )
        assert await reader.read() == b""
        writer.close()

    with_rig(scenario)


def test_timed_out_member_leaves_and_the_last_member_closes_the_connection() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS, m1=500.0, m2=600.0)
        reader, writer = (await rig.next_request())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT and rig.transport.pool.open_count == 1
        tasks["m3"].cancel()
        assert [(await tasks[id_]).outcome.value for id_ in ("m2", "m3")] == ["timed out", "cancelled"]
        assert rig.transport.pool.open_count == 0 and await reader.read() == b""
        writer.close()

    with_rig(scenario)


def test_line_of_a_member_that_timed_out_is_not_unexpected() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS, m1=500.0)
        streams = (await rig.next_request())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        rig.endpoint.respond(streams, COMPLETE)
        assert (await tasks["m2"]).final and not rig.telemetry.counters["endpoints.unexpected_lines"]

    with_rig(scenario)


def test_member_cancelled_as_the_response_is_complete_gets_its_outcome() -> None:
    async def scenario(rig: Rig) -> None:
        tasks = rig.send_all(IDS)
        rig.endpoint.respond((await rig.next_request())[3], COMPLETE)
        (call,) = (task for task in asyncio.all_tasks() if "_BatchRequest._run" in repr(task.get_coro()))
        call.add_done_callback(lambda _: tasks["m1"].cancel())
        assert await outcomes(tasks) == dict.fromkeys(IDS, OK)

    with_rig(scenario)
