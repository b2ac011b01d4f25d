"""Batches, several messages in one request: the dispatcher, the journal, and a real sender process."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest
from conftest import SETTINGS, entry
from test_scenarios import run_scenario

from kestreltrack.decision import EndpointsUpdated, Event, Outcome, Policy, StartAttempt, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal, JournalFullError, OutstandingMessage
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import (
    Attempt,
    AttemptResult,
    EndpointListUpdate,
    ListedEndpoint,
    Message,
)
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.telemetry import Telemetry

IDS = ["m1", "m2", "m3"]


def test_dispatcher_batches_attempts_that_one_decision_starts_at_one_endpoint() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = Dispatcher(Policy(SETTINGS, 1), lambda: loop.time() * 1000.0, Telemetry())
        dispatcher.max_batch_size = {"e1": 5, "e2": 1}.__getitem__
        pending_messages = {
            f"{dest}.{n}": PendingMessage(dispatcher, f"{dest}.{n}")
            for dest in (1, 2)
            for n in range(3 + 4 * (dest == 1))
        }
        actions = [StartAttempt(id_, f"e{id_[0]}", 1000.0) for id_ in pending_messages]
        dispatcher.decider = type(
            "FixedDecider", (), {"handle": lambda *_: None, "decide": lambda *_: actions}
        )()
        dispatcher.notify(TimerExpired(0))
        await dispatcher.wait_for_decision()
        first = pending_messages["1.0"].batch_call
        second = pending_messages["1.5"].batch_call
        assert first and second and first is not second
        assert [pending_messages[f"1.{n}"].batch_call for n in range(7)] == [first] * 5 + [second] * 2
        assert not any(pending.batch_call for id_, pending in pending_messages.items() if id_[0] == "2")

    asyncio.run(scenario())


def journal_with_messages(folder: Path, size: int = 10**6) -> tuple[Journal, list[OutstandingMessage]]:
    journal = Journal(folder, size, Telemetry())
    return journal, [journal.record_accepted(Message(id_, "unsafe", 1, 1e15, b"x" * 100)) for id_ in IDS]


def test_attempts_of_a_batch_are_recorded_in_one_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, outstanding = journal_with_messages(tmp_path)
    writes = list[bytes]()
    write = os.write

    def recording_write(fd: int, data: bytes) -> int:
        writes.append(data)
        return write(fd, data)

    monkeypatch.setattr(os, "write", recording_write)
    journal.record_attempt(outstanding[0], 5.0, "a", *outstanding[1:])
    assert [[json.loads(line[9:])["id"] for line in data.splitlines()] for data in writes] == [IDS]
    journal.close()
    reopened = Journal(tmp_path, 10**6, Telemetry())
    assert [reopened.outstanding[id_].attempts for id_ in IDS] == [1, 1, 1] and all(
        reopened.outstanding[id_].in_flight for id_ in IDS
    )


def test_full_journal_records_no_attempt_of_a_batch(tmp_path: Path) -> None:
    journal, outstanding = journal_with_messages(tmp_path)
    journal.max_file_bytes = journal.file_bytes + 150  # room for a single attempt
    with pytest.raises(JournalFullError):
        journal.record_attempt(outstanding[0], 5.0, "a", *outstanding[1:])
    assert all(message.attempts == 0 and message.in_flight is None for message in outstanding)


class RecordingPolicy(Policy):
    """Records the events that it handles."""

    def handle(self, now: float, event: Event) -> None:
        self.events = [*getattr(self, "events", []), event]
        super().handle(now, event)


class FixedResultTransport:
    """Returns a fixed result for each attempt, without beginning it."""

    def __init__(self, result: AttemptResult) -> None:
        self.result = result

    async def send(self, attempt: Attempt) -> AttemptResult:
        return self.result

    def close_idle(self, uid: str) -> None:
        pass


def test_retry_after_applies_although_the_attempt_was_not_sent(tmp_path: Path) -> None:
    # A 200 response to a batch may carry a Retry-After and say that the lifecycle of every message is over.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        journal, outstanding = journal_with_messages(tmp_path)
        policy = RecordingPolicy(SETTINGS, 1)
        endpoint_list = EndpointList()
        telemetry = Telemetry()
        endpoint_list.apply(EndpointListUpdate(1, True, (ListedEndpoint("e1", "127.0.0.1:1", 1, "batch"),)))
        dispatcher = Dispatcher(policy, lambda: loop.time() * 1000.0, telemetry)
        core = Core(
            dispatcher,
            SETTINGS,
            journal,
            endpoint_list,
            FixedResultTransport(AttemptResult(Outcome.NOT_SENT, True, 5000.0)),
            HttpNotifier("127.0.0.1:1", telemetry),
            telemetry,
        )
        dispatcher.notify(EndpointsUpdated([entry(1, "e1")], complete=True))
        await core.attempts.run(
            outstanding[0], PendingMessage(dispatcher, "m1"), StartAttempt("m1", "e1", 1000.0)
        )
        assert not dispatcher.permits(1, "e1")

    asyncio.run(scenario())


# A real sender process ---------------------------------------------------------------------------

SETUP = """
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
SCENARIOS = {
    "each ends as the response says, and a retry-after holds": """
        n3 send 200 Retry-After: 0.3 lines m2=refused m3=delivered m4=over
        sender expect end id=m3 how=ok
        sender expect end id=m4 how=not_sent
        n3 expect m2 idempotency-key=2
        n3 send 200
        sender expect end id=m2 how=ok""",
    "killed with a request in flight: nothing is lost, and nothing that may have executed is sent twice": """
        sender send KILL
        sender restart
        d expect m3 given_up
        n3 expect m2 idempotency-key=2
        n3 send 200
        n3 expect m4 idempotency-key=4
        n3 send 200
        sender expect end id=m4 how=ok""",
    "a response that is cut short makes all ambiguous": """
        n3 close
        d expect m3 given_up
        n3 expect batch m2 m4
        n3 send 200 lines m2=delivered m4=delivered
        sender expect end id=m2 how=ok
        sender expect end id=m4 how=ok""",
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_batch_delivery_by_a_real_process(tmp_path: Path, name: str) -> None:
    run_scenario(tmp_path, SETUP + SCENARIOS[name], domain__slots=1, domain__bundleMax=[5])
