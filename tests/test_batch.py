"""Several messages in one call: who goes along, what is written, what each hears of a whole or a broken answer."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import SETTINGS, entry
from scenario import Party, Streams
from test_pool import with_nodes
from test_scenarios import play

from kestreltrack.decision import EndpointsUpdated, Event, Outcome, Policy, StartAttempt, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.endpoints import batch
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.journal import Journal, JournalFullError, OutstandingMessage
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import (
    Attempt,
    AttemptResult,
    BatchCall,
    BeginAttempt,
    EndpointListUpdate,
    ListedEndpoint,
    Message,
)
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.destinations import read_batch
from kestreltrack.testing.fakes.http import http_answer

Task = asyncio.Task[AttemptResult]
IDS = ["m1", "m2", "m3"]


class Rig:
    """A transport towards one node, and the claims of one call."""

    def __init__(self, node: Party) -> None:
        self.node, self.telemetry = node, Telemetry()
        self.nodes = BatchTransport(ConnectionPool(60.0, 5.0, 8, self.telemetry), self.telemetry)
        self.begun = list[list[str]]()  # each time that a call asked whether it may go

    def claims(
        self,
        ids: list[str],
        begin: bool | None = True,
        size: int = 4,
        call: BatchCall | None = None,
        **ms: float,
    ) -> dict[str, Task]:
        self.call = call = call or BatchCall()

        def asked(id_: str) -> BeginAttempt:
            def may(*others: str) -> bool:
                assert self.node.requests.empty(), "before the first byte"
                self.begun.append([id_, *others])
                if begin is None:
                    raise KeyError("a fault")
                return begin

            return may

        def claim(id_: str) -> Attempt:
            message = Message(
                id_, "unsafe", 1, 0.0, b"\r" * size, idempotency_key="k" if id_ == "m2" else None
            )
            return Attempt(message, "node", self.node.address, ms.get(id_, 60_000.0), asked(id_), call)

        return {id_: asyncio.create_task(self.nodes.send(claim(id_))) for id_ in ids}

    async def written(self) -> tuple[str, dict[str, str], bytes, Streams]:
        return await self.node.requests.get()


def on_wire(story: Callable[[Rig], Awaitable[None]]) -> None:
    with_nodes(lambda node, _: story(Rig(node)))


def say(*rows: str, head: tuple[str, ...] = (), status: str = "200") -> bytes:
    return http_answer(status, *head, body="".join(f"{row}\r\n" for row in rows).encode())


WHOLE = say("m1 delivered", "m2 delivered", "m3 delivered")
ENDED_BY_CLOSE = WHOLE.replace(b"Content-Length: 42\r\n", b"")
OK, OVER, NOT_SENT = ("ok", True), ("not sent", True), ("not sent", False)
REFUSED, ERROR = ("refused", False), ("error", False)
DOUBT = ("broken", False)


async def outcomes(tasks: dict[str, Task]) -> dict[str, tuple[str, bool]]:
    return {id_: ((r := await task).outcome.value, r.final) for id_, task in tasks.items()}


def test_one_request_holds_them_all() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS, size=300, m1=500.0, m2=70_000.0)
        first, headers, body, streams = await rig.written()
        assert first == "POST /v1/messages:batch HTTP/1.1"
        assert read_batch(body) == [("m1", ""), ("m2", "k"), ("m3", "")]
        assert 60_000 < int(headers["x-budget-ms"]) <= 70_000, "as long as the longest waits"
        assert headers.keys().isdisjoint({"x-call-id", "idempotency-key"})
        rig.node.say(streams, WHOLE)
        assert await outcomes(tasks) == dict.fromkeys(IDS, OK)
        assert (
            rig.begun == [IDS]
            and rig.nodes.pool.open_count == 1
            and rig.telemetry.counters["app.forwards"] == 3
        )

    on_wire(story)


@pytest.mark.parametrize(
    "answer", [WHOLE, ENDED_BY_CLOSE], ids=["with its length", "ended by its connection"]
)
def test_an_answer_cut_at_any_byte_delivers_nothing(answer: bytes) -> None:
    assert b"Content-Length" not in ENDED_BY_CLOSE
    least = len(answer) - 2 * (answer != WHOLE)  # without its length, the last line's end says nothing new

    async def story(rig: Rig) -> None:
        for cut in range(len(answer) + 1):
            tasks = rig.claims(IDS)
            streams = (await rig.written())[3]
            rig.node.say(streams, answer[:cut])
            streams[1].close()
            expected = DOUBT if cut < least else OK
            assert await outcomes(tasks) == dict.fromkeys(IDS, expected), answer[:cut]
            assert rig.nodes.pool.open_count == (cut == len(WHOLE))

    on_wire(story)


# What the answer says of m1, m2 and m3, and what they hear.
LINES = {
    "each word": (["m3 over", "m1 failed", "m2 refused"], [ERROR, REFUSED, OVER]),
    "spent": (["m1 spent", "m2 delivered", "m3 delivered"], [NOT_SENT, OK, OK]),
    "one missing": (["m1 delivered", "m3 delivered"], [OK, DOUBT, OK]),
    "one twice": (["m1 refused", "m2 delivered", "m3 spent", "m2 delivered"], [REFUSED, DOUBT, NOT_SENT]),
    "an unknown id": (["m1 delivered", "m2 over", "m4 delivered", "m3 failed"], [OK, OVER, ERROR]),
    "an unknown word": (["m1 delivered", "m2 done", "m3 Delivered"], [OK, DOUBT, DOUBT]),
    "a word too many": (["m1 delivered now", "m2", "m3 delivered"], [DOUBT, DOUBT, OK]),
    "odd bytes": (["m1 delivered", "m\xff2 delivered", "m3\x00 delivered"], [OK, DOUBT, DOUBT]),
    "nothing": ([], [DOUBT, DOUBT, DOUBT]),
}


@pytest.mark.parametrize("name", LINES)
def test_what_is_said_of_each(name: str) -> None:
    rows, heard = LINES[name]

    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        rig.node.say(
            (await rig.written())[3], say(*rows, head=("Retry-After: 0.25", "X-Load-Report: x0=0.5"))
        )
        assert list((await outcomes(tasks)).values()) == heard
        told = [task.result() for task in tasks.values()]
        assert all((r.retry_after_ms, r.load_report) == (250.0, {"x0": 0.5}) for r in told), (
            "it binds whatever ran"
        )
        odd = rig.telemetry.counters["endpoints.unexpected_lines"]
        assert odd == (DOUBT in heard or "unknown" in name)

    on_wire(story)


def test_the_module_hears_first_of_what_was_done() -> None:
    # It takes the first outcome for the call's: one bad message of many must not pause the partner.
    async def story(rig: Rig) -> None:
        tasks, order = rig.claims(IDS), list[str]()
        for id_, task in tasks.items():
            task.add_done_callback(lambda _, id_=id_: order.append(id_))  # type: ignore[misc]
        rig.node.say((await rig.written())[3], say("m1 failed", "m2 refused", "m3 delivered"))
        assert await outcomes(tasks) == {"m1": ERROR, "m2": REFUSED, "m3": OK}
        assert order[0] == "m3"

    on_wire(story)


STATUSES = {
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


@pytest.mark.parametrize("answer", STATUSES)
def test_all_fare_alike(answer: str) -> None:
    status, *head = answer.split(" ", 1)

    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        rig.node.say((await rig.written())[3], say("m1 delivered", head=tuple(head), status=status))
        assert await outcomes(tasks) == dict.fromkeys(IDS, (STATUSES[answer], status == "410"))
        assert all(
            task.result().retry_after_ms == (200.0 if status == "429" else 0.0) for task in tasks.values()
        )
        assert rig.telemetry.counters["endpoints.unexpected_status"] == (status in ("400", "413", "418"))

    on_wire(story)


def test_a_reset_leaves_all_in_doubt() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        (await rig.written())[3][1].transport.abort()
        assert await outcomes(tasks) == dict.fromkeys(IDS, DOUBT) and rig.nodes.pool.open_count == 0

    on_wire(story)


def test_a_body_that_stalls_leaves_all_in_doubt(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(batch, "BODY_TIMEOUT_S", 0.05)

    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        rig.node.say((await rig.written())[3], WHOLE[:-1])
        assert await outcomes(tasks) == dict.fromkeys(IDS, DOUBT) and rig.nodes.pool.open_count == 0

    on_wire(story)


def test_no_connection_is_no_doubt() -> None:
    async def story(rig: Rig) -> None:
        rig.node.address = "127.0.0.1:1"
        assert await outcomes(rig.claims(IDS)) == dict.fromkeys(IDS, ("unreachable", False))

    on_wire(story)


# Who goes along ----------------------------------------------------------------------------------


def test_one_called_off_before_the_first_byte_stays_behind() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        tasks["m1"].cancel()  # before its claim has begun
        await asyncio.sleep(0)
        tasks["m3"].cancel()  # while the call connects
        assert (await tasks["m3"]).outcome is Outcome.NOT_SENT and tasks["m1"].cancelled()
        first, headers, body, streams = await rig.written()
        assert first == "POST /v1/messages HTTP/1.1", "in the form for one"
        assert (headers["x-call-id"], headers["idempotency-key"], body) == ("m2", "k", b"\r" * 4)
        assert rig.begun == [["m2"]]
        rig.node.say(streams, http_answer("200"))
        assert (await tasks["m2"]).final and rig.nodes.pool.open_count == 1

    on_wire(story)


def test_one_alone_waits_as_long_as_it_may() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS[:2], m1=500.0)
        await asyncio.sleep(0)
        tasks["m2"].cancel()
        reader, writer = (await rig.written())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        assert rig.nodes.pool.open_count == 0 and await reader.read() == b""
        writer.close()

    on_wire(story)


def test_one_that_comes_too_late_is_not_sent() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        streams, late = (await rig.written())[3], rig.claims(["m4"], call=rig.call)
        assert await outcomes(late) == {"m4": NOT_SENT}
        rig.node.say(streams, WHOLE)
        assert await outcomes(tasks) == dict.fromkeys(IDS, OK)
        assert await outcomes(rig.claims(["m5"], call=rig.call)) == {"m5": NOT_SENT}

    on_wire(story)


def test_a_fault_before_the_first_byte_is_told_to_each_as_never_run() -> None:
    # It used to leave each claim with the exception, which the core takes for a call that may have run.
    async def story(rig: Rig) -> None:
        assert await outcomes(rig.claims(IDS, begin=None)) == dict.fromkeys(IDS, ("unreachable", False))
        assert rig.telemetry.counters["endpoints.fault"] == 1 and rig.nodes.pool.open_count == 0

    on_wire(story)


@pytest.mark.parametrize("turns", [1, 2])
def test_all_called_off_while_they_connect_write_nothing(turns: int) -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        for _ in range(turns):
            await asyncio.sleep(0)
        for task in tasks.values():
            task.cancel()
        assert await outcomes(tasks) == dict.fromkeys(IDS, NOT_SENT)
        assert rig.nodes.pool.open_count == 0 and not rig.begun

    on_wire(story)


def test_none_goes_where_a_wait_or_a_drain_has_come() -> None:
    async def story(rig: Rig) -> None:
        assert await outcomes(rig.claims(IDS, begin=False)) == dict.fromkeys(IDS, NOT_SENT)
        assert rig.begun == [IDS] and rig.nodes.pool.open_count == 1 and rig.node.requests.empty()

    on_wire(story)


def test_a_body_holds_no_more_than_it_may() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS, size=30_000)
        _, _, body, streams = await rig.written()
        assert [id_ for id_, _ in read_batch(body)] == ["m1", "m2"] and len(body) <= 64 * 1024
        assert (await tasks["m3"]).outcome is Outcome.NOT_SENT and rig.begun == [["m1", "m2"]]
        rig.node.say(streams, say("m1 delivered", "m2 delivered"))
        assert (await tasks["m1"]).final and (await tasks["m2"]).final

    on_wire(story)


# Who waits no more -------------------------------------------------------------------------------


def test_one_called_off_hears_nothing_while_the_call_is_open() -> None:
    # It could be sent again at once: a second copy beside the first.
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        streams = (await rig.written())[3]
        tasks["m1"].cancel()
        assert not (await asyncio.wait(tasks.values(), timeout=0.02))[0]
        rig.node.say(streams, say("m1 refused", "m2 delivered", "m3 delivered"))
        assert (await outcomes(tasks))["m1"] == REFUSED

    on_wire(story)


def test_the_last_one_called_off_closes_the_connection() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        reader, writer = (await rig.written())[3]
        for task in tasks.values():
            task.cancel()
        assert (
            await outcomes(tasks) == dict.fromkeys(IDS, ("cancelled", False))
            and rig.nodes.pool.open_count == 0
        )
        assert await reader.read() == b""
        writer.close()

    on_wire(story)


def test_one_whose_time_is_over_leaves_and_the_last_one_closes_the_connection() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS, m1=500.0, m2=600.0)
        reader, writer = (await rig.written())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT and rig.nodes.pool.open_count == 1
        tasks["m3"].cancel()
        assert [(await tasks[id_]).outcome.value for id_ in ("m2", "m3")] == ["timed out", "cancelled"]
        assert rig.nodes.pool.open_count == 0 and await reader.read() == b""
        writer.close()

    on_wire(story)


def test_one_that_has_left_is_no_unknown_id() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS, m1=500.0)
        streams = (await rig.written())[3]
        assert (await tasks["m1"]).outcome is Outcome.TIMED_OUT
        rig.node.say(streams, WHOLE)
        assert (await tasks["m2"]).final and not rig.telemetry.counters["endpoints.unexpected_lines"]

    on_wire(story)


def test_one_called_off_with_the_answer_there_hears_it() -> None:
    async def story(rig: Rig) -> None:
        tasks = rig.claims(IDS)
        rig.node.say((await rig.written())[3], WHOLE)
        (call,) = (task for task in asyncio.all_tasks() if "_carry" in repr(task.get_coro()))
        call.add_done_callback(lambda _: tasks["m1"].cancel())
        assert await outcomes(tasks) == dict.fromkeys(IDS, OK)

    on_wire(story)


# The desk, the core and the journal --------------------------------------------------------------


def test_the_desk_puts_what_one_decision_sends_to_one_endpoint_in_calls() -> None:
    async def story() -> None:
        loop = asyncio.get_running_loop()
        desk = Dispatcher(Policy(SETTINGS, 1), lambda: loop.time() * 1000.0, Telemetry())
        desk.max_batch_size = {"e1": 5, "e2": 1}.__getitem__
        seats = {
            f"{dest}.{n}": PendingMessage(desk, f"{dest}.{n}")
            for dest in (1, 2)
            for n in range(3 + 4 * (dest == 1))
        }
        acts = [StartAttempt(id_, f"e{id_[0]}", 1000.0) for id_ in seats]
        desk.decider = type("Fixed", (), {"take": lambda *_: None, "decide": lambda *_: acts})()
        desk.notify(TimerExpired(0))
        await desk.wait_for_decision()
        first, second = seats["1.0"].batch_call, seats["1.5"].batch_call
        assert first and second and first is not second
        assert [seats[f"1.{n}"].batch_call for n in range(7)] == [first] * 5 + [second] * 2
        assert not any(seat.batch_call for id_, seat in seats.items() if id_[0] == "2")

    asyncio.run(story())


def a_journal(folder: Path, size: int = 10**6) -> tuple[Journal, list[OutstandingMessage]]:
    journal = Journal(folder, size, Telemetry())
    return journal, [journal.record_accepted(Message(id_, "unsafe", 1, 1e15, b"x" * 100)) for id_ in IDS]


def test_the_claims_of_a_call_are_one_write(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal, helds = a_journal(tmp_path)
    writes, write = list[bytes](), os.write

    def kept(fd: int, data: bytes) -> int:
        writes.append(data)
        return write(fd, data)

    monkeypatch.setattr(os, "write", kept)
    journal.record_attempt(helds[0], 5.0, "a", *helds[1:])
    assert [[json.loads(line[9:])["id"] for line in w.splitlines()] for w in writes] == [IDS]
    journal.close()
    again = Journal(tmp_path, 10**6, Telemetry())
    assert [again.outstanding[id_].attempts for id_ in IDS] == [1, 1, 1] and all(
        again.outstanding[id_].in_flight for id_ in IDS
    )


def test_a_full_folder_holds_all_of_a_call_back(tmp_path: Path) -> None:
    journal, helds = a_journal(tmp_path)
    journal.max_file_bytes = journal.file_bytes + 150  # room for one
    with pytest.raises(JournalFullError):
        journal.record_attempt(helds[0], 5.0, "a", *helds[1:])
    assert all(held.attempts == 0 and held.in_flight is None for held in helds)


class Told(Policy):
    """Remembers what it was told."""

    def handle(self, now: float, event: Event) -> None:
        self.events = [*getattr(self, "events", []), event]
        super().handle(now, event)


class Ended:
    """A transport whose calls end without a first byte."""

    def __init__(self, result: AttemptResult) -> None:
        self.result = result

    async def send(self, claim: Attempt) -> AttemptResult:
        return self.result

    def close_idle(self, uid: str) -> None:
        pass


def test_a_wait_binds_also_where_nothing_was_sent(tmp_path: Path) -> None:
    # An answer with 200 may say of every message that it was over, and tell a wait.
    async def story() -> None:
        loop, (journal, helds) = asyncio.get_running_loop(), a_journal(tmp_path)
        policy, machines, telemetry = Told(SETTINGS, 1), EndpointList(), Telemetry()
        machines.apply(EndpointListUpdate(1, True, (ListedEndpoint("e1", "127.0.0.1:1", 1, "batch"),)))
        desk = Dispatcher(policy, lambda: loop.time() * 1000.0, telemetry)
        core = Core(
            desk,
            SETTINGS,
            journal,
            machines,
            Ended(AttemptResult(Outcome.NOT_SENT, True, 5000.0)),
            HttpNotifier("127.0.0.1:1", telemetry),
            telemetry,
        )
        desk.notify(EndpointsUpdated([entry(1, "e1")], complete=True))
        await core.attempts.run(helds[0], PendingMessage(desk, "m1"), StartAttempt("m1", "e1", 1000.0))
        assert not desk.permits(1, "e1")

    asyncio.run(story())


# The real process --------------------------------------------------------------------------------

FIRST = """
    s1 send SUBMIT m1 c=keyed,d=20000,k=1,dest=2
    s1 expect +OK
    n3 expect m1
    s2 send SUBMIT m2 c=keyed,d=20000,k=2,dest=2
    s2 expect +OK
    s3 send SUBMIT m3 c=unsafe,d=20000,dest=2
    s3 expect +OK
    s4 send SUBMIT m4 c=keyed,d=20000,k=4,dest=2
    s4 expect +OK
    n3 send 200
    n3 expect batch m2 m3 m4"""
STORIES = {
    "each ends as the answer says, and a wait holds": """
        n3 send 200 Retry-After: 0.3 lines m2=refused m3=delivered m4=over
        sender expect end id=m3 how=ok
        sender expect end id=m4 how=not_sent
        n3 expect m2 idempotency-key=2
        n3 send 200
        sender expect end id=m2 how=ok""",
    "killed with a call out: nothing is lost, and nothing that may have run goes twice": """
        sender send KILL
        sender wait
        d expect m3 given_up
        n3 expect m2 idempotency-key=2
        n3 send 200
        n3 expect m4 idempotency-key=4
        n3 send 200
        sender expect end id=m4 how=ok""",
    "an answer that breaks off leaves all in doubt": """
        n3 close
        d expect m3 given_up
        n3 expect batch m2 m4
        n3 send 200 lines m2=delivered m4=delivered
        sender expect end id=m2 how=ok
        sender expect end id=m4 how=ok""",
}


@pytest.mark.parametrize("name", STORIES)
def test_on_the_real_process(tmp_path: Path, name: str) -> None:
    play(tmp_path, FIRST + STORIES[name], domain__slots=1, domain__bundleMax=[5])
