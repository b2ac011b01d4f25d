"""Races between shutdown and other events, and what the next process does with the messages left outstanding."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Coroutine, Generator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from conftest import SETTINGS
from test_ambiguous_attempts import AcceptingNotifier, Clock
from test_journal import open_journal
from test_takeover import open_successor

from kestreltrack.decision import KindSettings, Outcome, Policy, Settings
from kestreltrack.discovery import EndpointList
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.journal import AttemptStart, JournalFullError, OutstandingMessage, sorted_by_expiry
from kestreltrack.ports import (
    Accepted,
    Attempt,
    AttemptResult,
    EndpointListUpdate,
    ListedEndpoint,
    Message,
    Rejected,
    StatusNotification,
    SubmitResult,
)
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.takeover import Takeover
from kestreltrack.telemetry import Telemetry

# Iterations of the event loop between an event and the shutdown that it races with.
LOOP_ITERATIONS = range(8)


class ControlledTransport:
    """Connects and responds on request of the test; counts attempts that were written, blocked and delivered."""

    def __init__(self) -> None:
        self.connected = asyncio.Event()
        self.response = asyncio.get_running_loop().create_future()
        self.written = 0
        self.blocked = 0
        self.delivered = 0

    async def send(self, attempt: Attempt) -> AttemptResult:
        try:
            await self.connected.wait()
            if not attempt.begin():
                self.blocked += 1
                return AttemptResult(Outcome.NOT_SENT)
            self.written += 1
            await self.response
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED)
        self.delivered += 1
        return AttemptResult(Outcome.OK, final=True)

    def close_idle(self, uid: str) -> None:
        """Do nothing: no connection is idle."""


class RecordingNotifier(AcceptingNotifier):
    """Accepts and records every notification."""

    def __init__(self) -> None:
        self.notifications: list[StatusNotification] = []

    async def notify(self, notification: StatusNotification) -> None:
        self.notifications.append(notification)


def create_core(folder: Path, transport: Any = None, settings: Settings = SETTINGS) -> Core:
    telemetry = Telemetry()
    dispatcher = Dispatcher(Policy(settings, 1), Clock(), telemetry)
    core = Core(
        dispatcher,
        settings,
        open_journal(folder),
        EndpointList(),
        transport or ControlledTransport(),
        RecordingNotifier(),
        telemetry,
    )
    dispatcher.notify(
        core.endpoint_list.apply(
            EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain", rate=50.0),))
        )
    )
    return core


def message(
    message_id: str = "m1", cls: str = "safe", expires: float = 1_009_000.0, key: int | None = None
) -> Message:
    return Message(message_id, cls, 1, expires, b"x", None, key, "k")


async def run_loop_iterations(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def run_with_timeout(scenario: Any) -> None:
    asyncio.run(asyncio.wait_for(scenario, 20.0))


# Races with the end of the process ---------------------------------------------------------------


@pytest.mark.parametrize("iterations", LOOP_ITERATIONS)
def test_delivery_with_a_response_read_before_shutdown_is_not_resumed(
    tmp_path: Path, iterations: int
) -> None:
    async def scenario() -> None:
        transport = ControlledTransport()
        core = create_core(tmp_path, transport)
        transport.connected.set()
        await core.submit(message())
        await wait_until(lambda: transport.written)
        transport.response.set_result(None)
        await run_loop_iterations(iterations)
        await core.abandon()
        core.journal.close()
        outstanding = open_journal(tmp_path).outstanding
        assert bool(outstanding) == (not transport.delivered)
        assert iterations == 0 or not outstanding, "the response is read in the next iteration of the loop"

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    "received",
    [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"],
    ids=["line", "head"],
)
def test_delivery_is_recorded_at_the_status_line_of_its_response(tmp_path: Path, received: bytes) -> None:
    """A message counts as delivered once the status line of a 200 has arrived, even if the process is then killed.

    It was recorded only when the response was complete, or had timed out after 1 s in its head or 0.25 s in its body.
    If the process was killed meanwhile, the message stayed ambiguous, and the next process reported a failure or sent
    it again.  Found by the soak, seed 3 of 6 s: status line at 4.383 s, SIGKILL at 4.876 s, `given_up` at 6.455 s.
    """

    async def scenario() -> None:
        responded = asyncio.Event()
        released = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(received)
            responded.set()
            await released.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        core = create_core(tmp_path, transport)
        host, port = server.sockets[0].getsockname()
        endpoint = ListedEndpoint("n1", f"{host}:{port}", 1, "plain", rate=50.0)
        core.dispatcher.notify(core.endpoint_list.apply(EndpointListUpdate(2, True, (endpoint,))))
        await core.submit(message())
        await responded.wait()
        await wait_until(lambda: not core.journal.outstanding)
        pending = core.dispatcher.pending_messages["m1"]
        assert pending.attempt_task and not pending.attempt_task.done(), (
            "the rest of the response is still missing"
        )
        assert not open_journal(tmp_path).outstanding, "a process that starts now has nothing to resume"
        released.set()
        await wait_until(lambda: not core.dispatcher.pending_messages)
        assert core.telemetry.counters["delivery.ended.ok"] == 1
        await core.abandon()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("iterations", LOOP_ITERATIONS)
def test_attempt_that_connects_during_shutdown_is_both_sent_and_recorded_or_neither(
    tmp_path: Path, iterations: int
) -> None:
    async def scenario() -> None:
        transport = ControlledTransport()
        core = create_core(tmp_path, transport)
        await core.submit(message(cls="unsafe"))
        await wait_until(
            lambda: any(pending.attempt_task for pending in core.dispatcher.pending_messages.values())
        )
        await run_loop_iterations(3)
        transport.connected.set()
        await run_loop_iterations(iterations)
        await core.abandon()
        core.journal.close()
        before = transport.written
        await run_loop_iterations(20)
        assert transport.written == before, "no attempt begins after the shutdown"
        assert open_journal(tmp_path).outstanding["m1"].attempts == transport.written

    run_with_timeout(scenario())


def test_no_attempt_begins_after_the_shutdown_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        transport = ControlledTransport()
        core = create_core(tmp_path, transport)
        await core.submit(message(cls="unsafe"))
        await wait_until(
            lambda: any(pending.attempt_task for pending in core.dispatcher.pending_messages.values())
        )
        core.start_shutdown(core.dispatcher.clock() + 3300.0)
        Clock.now += 3300.0
        transport.connected.set()
        await wait_until(lambda: transport.blocked)
        assert not core.journal.outstanding["m1"].attempts and not transport.written
        await core.abandon()

    try:
        run_with_timeout(scenario())
    finally:
        Clock.now = 1_000_000.0


@pytest.mark.parametrize("iterations", range(12))
# The decision is made at once, or after the minimum interval.
@pytest.mark.parametrize("wait_s", [0.0, 0.006])
def test_message_submitted_during_shutdown_is_accepted_exactly_if_it_is_recorded(
    tmp_path: Path, iterations: int, wait_s: float
) -> None:
    async def scenario() -> None:
        core = create_core(tmp_path)
        await asyncio.sleep(0.01)
        task = asyncio.create_task(core.submit(message()))
        await run_loop_iterations(iterations)
        await asyncio.sleep(wait_s * (iterations % 2))
        await core.abandon()
        late_result = await core.submit(message("late"))
        result: SubmitResult = await task
        core.journal.close()
        outstanding = open_journal(tmp_path).outstanding
        assert late_result == Rejected() and "late" not in outstanding
        assert result == (Accepted() if "m1" in outstanding else Rejected())

    run_with_timeout(scenario())


def test_no_decision_is_made_while_the_last_attempt_ends_slowly(tmp_path: Path) -> None:
    class SlowTransport(ControlledTransport):
        async def send(self, attempt: Attempt) -> AttemptResult:
            result = await super().send(attempt)
            await asyncio.sleep(0.02)  # longer than the minimum interval between decisions
            return result

    async def scenario() -> None:
        core = create_core(tmp_path, SlowTransport())
        await core.submit(message())
        await wait_until(
            lambda: any(pending.attempt_task for pending in core.dispatcher.pending_messages.values())
        )
        await run_loop_iterations(2)
        task = asyncio.create_task(core.submit(message("m2")))
        await run_loop_iterations(2)
        await core.abandon()
        assert await task == Rejected()
        assert not [name for name in core.telemetry.counters if "invariant" in name]

    run_with_timeout(scenario())


@pytest.mark.parametrize("failure_count", [1, 10**9])
def test_completion_is_recorded_later_when_the_journal_is_full(
    tmp_path: Path, failure_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("kestreltrack.sender.message_lifecycle.END_RECORD_RETRY_DELAY_S", 0.001)
        transport = ControlledTransport()
        core = create_core(tmp_path, transport)
        failed = list[OutstandingMessage]()
        write = core.journal.record_completed

        def fail_when_full(outstanding: OutstandingMessage, *end: Any) -> None:
            if len(failed) < failure_count:
                failed.append(outstanding)
                raise JournalFullError("no space left on device")
            write(outstanding, *end)

        core.journal.record_completed = fail_when_full  # type: ignore[method-assign, assignment]
        transport.connected.set()
        transport.response.set_result(None)
        await core.submit(message())
        await wait_until(lambda: failed)
        if failure_count == 1:
            await wait_until(lambda: not core.journal.outstanding)
        await core.abandon()  # does not wait until the journal has room
        core.journal.close()
        assert bool(open_journal(tmp_path).outstanding) == (failure_count > 1)

    run_with_timeout(scenario())


def test_write_after_close_does_not_reach_a_file_that_reuses_the_descriptor(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    outstanding = journal.record_accepted(message())
    journal.close()
    other = os.open(tmp_path / "other", os.O_RDWR | os.O_CREAT)
    try:
        with pytest.raises(JournalFullError, match="closed"):
            journal.record_attempt(outstanding, 1.0, "a")
        assert not os.fstat(other).st_size
    finally:
        os.close(other)


# The next process --------------------------------------------------------------------------------


@pytest.mark.parametrize(("began", "requeue"), [(False, True), (True, False)])
def test_message_of_a_class_that_was_removed_from_the_settings_is_ended(
    tmp_path: Path, began: bool, requeue: bool
) -> None:
    async def scenario() -> None:
        before = open_journal(tmp_path)
        outstanding = before.record_accepted(message(cls="gone"))
        if began:
            before.record_attempt(outstanding, 999_000.0, "a")
        before.close()
        core = create_core(tmp_path)
        core.recover()
        await wait_until(lambda: not core.journal.outstanding)
        # A message that may have been executed must not be handed back for another attempt.
        assert core.notifier.notifications == [StatusNotification("m1", requeue)]  # type: ignore[attr-defined]
        assert not core.telemetry.counters["decision.fault"] and not core.telemetry.counters["delivery.fault"]
        await core.abandon()

    run_with_timeout(scenario())


def test_deduplication_window_that_began_before_the_clock_was_set_back_counts_as_expired(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        transport = ControlledTransport()
        before = open_journal(tmp_path)
        before.record_attempt(before.record_accepted(message(cls="keyed")), Clock.now + 600_000.0, "a")
        before.close()
        core = create_core(tmp_path, transport)
        transport.connected.set()
        core.recover()
        await wait_until(lambda: transport.blocked)
        assert not transport.written
        await core.abandon()

    run_with_timeout(scenario())


def test_messages_are_recovered_by_expiry_and_those_of_one_ordering_key_in_order(tmp_path: Path) -> None:
    rows = [
        ("a", 50.0, None),
        ("b", 90.0, 7),
        ("c", 40.0, None),
        ("d", 30.0, 7),
        ("e", 20.0, None),
        ("f", 95.0, 7),
    ]
    old = open_journal(tmp_path)
    for message_id, expires, key in rows:
        old.record_accepted(message(message_id, "ordered", expires, key))
    expected = ["e", "b", "d", "c", "a", "f"]
    assert [outstanding.message.id for outstanding in sorted_by_expiry(old.outstanding.values())] == expected

    async def scenario() -> None:
        core = create_core(tmp_path / "none")
        resumed_ids = list[str]()

        def record_resumed(outstanding: OutstandingMessage) -> Coroutine[Any, Any, None]:
            resumed_ids.append(outstanding.message.id)
            return asyncio.sleep(0)

        core.recovery.resume = record_resumed  # type: ignore[method-assign]
        core.recover(None)
        core.journal.outstanding.update(old.outstanding)
        core.recover()
        assert resumed_ids == expected

    (tmp_path / "none").mkdir()
    run_with_timeout(scenario())
    new = open_journal(tmp_path)
    old.close()
    assert [
        outstanding.message.id for batch in new.take_over("journal") or () for outstanding in batch
    ] == expected


def test_takeover_interrupted_by_a_crash_keeps_the_order_of_an_ordering_key(tmp_path: Path) -> None:
    old = open_journal(tmp_path)
    for n in range(60):
        old.record_accepted(message(f"m{n}", "ordered", 1000.0, 7))
    new = open_journal(tmp_path)
    old.close()
    takeover = new.take_over("journal")
    assert isinstance(takeover, Generator)
    while not next(takeover):
        pass
    takeover.close()
    new.close()  # the crash leaves the rest in the other file, in reverse order
    (tmp_path / "journal.1").unlink()
    assert list(open_journal(tmp_path).outstanding) == [f"m{n}" for n in range(25, 60)]


def test_first_ambiguous_attempt_is_kept_across_restarts(tmp_path: Path) -> None:
    settings = replace(SETTINGS, max_attempts=50)

    async def run_process(now_ms: float) -> None:
        transport = ControlledTransport()
        core = create_core(tmp_path, transport, settings)
        transport.connected.set()
        core.recover()
        Clock.now = now_ms
        if not core.journal.outstanding:
            await core.submit(message(cls="keyed"))
        await wait_until(lambda: transport.written)
        assert core.journal.outstanding["m1"].first_ambiguous() == AttemptStart(1_000_000.0, "")
        await core.abandon()
        core.journal.close()

    try:
        for n in range(4):
            run_with_timeout(run_process(1_000_000.0 + 100.0 * n))
    finally:
        Clock.now = 1_000_000.0


@pytest.mark.parametrize("batch_count", range(0, 7))
def test_shutdown_during_a_takeover_leaves_each_message_in_one_file(tmp_path: Path, batch_count: int) -> None:
    async def scenario() -> None:
        new = open_successor(tmp_path, 80)
        dispatcher = Dispatcher(Policy(SETTINGS, 1), Clock(), Telemetry())
        core = Core(
            dispatcher, SETTINGS, new, EndpointList(), ControlledTransport(), RecordingNotifier(), Telemetry()
        )
        batch_sizes = list[int]()
        original_take_over = new.take_over

        def counting_take_over(slot: str) -> Any:
            for batch in original_take_over(slot) or ():
                batch_sizes.append(len(batch))
                yield batch

        new.take_over = counting_take_over  # type: ignore[method-assign]
        task = asyncio.create_task(Takeover(core, new, Telemetry()).take_over())
        await wait_until(lambda: len(batch_sizes) >= batch_count)
        task.cancel()
        await core.abandon()
        new.close()
        await asyncio.wait({task})
        del task
        assert set(open_journal(tmp_path, 3_000_000).outstanding) == {f"m{n}" for n in range(80)}

    run_with_timeout(scenario())


def test_recovered_messages_count_against_the_queue_capacity_before_new_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        transport = ControlledTransport()
        before = open_journal(tmp_path)
        for n in range(3):
            before.record_accepted(message(f"m{n}", "unsafe"))
        before.close()
        core = create_core(tmp_path, transport, replace(SETTINGS, queue_capacity=3))
        transport.connected.set()
        core.recover()
        assert await core.submit(message("new")) == Rejected()
        await wait_until(lambda: transport.written)
        await core.abandon()

    run_with_timeout(scenario())


@pytest.mark.parametrize("iterations", LOOP_ITERATIONS)
def test_batch_call_in_flight_does_not_delay_shutdown_and_stays_ambiguous(
    tmp_path: Path, iterations: int
) -> None:
    settings = replace(SETTINGS, kinds={"plain": KindSettings(max_batch_size=5)})

    async def scenario() -> None:
        request_received = asyncio.Event()

        async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            request_received.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        transport = BatchTransport(ConnectionPool(5.0, 1.0, 10, Telemetry()), Telemetry())
        core = create_core(tmp_path, transport, settings)
        core.dispatcher.max_batch_size = lambda uid: 5
        core.dispatcher.notify(
            core.endpoint_list.apply(
                EndpointListUpdate(2, True, (ListedEndpoint("n1", address, 1, "plain"),))
            )
        )
        await asyncio.gather(*(core.submit(message(f"m{n}", "unsafe")) for n in range(3)))
        await run_loop_iterations(iterations)
        await (request_received.wait() if iterations else asyncio.sleep(0))
        await core.abandon()
        core.journal.close()
        outstanding_messages = open_journal(tmp_path).outstanding.values()
        assert len(outstanding_messages) == 3 and {
            outstanding.first_ambiguous() is not None for outstanding in outstanding_messages
        } == {request_received.is_set()}
        server.close()

    run_with_timeout(scenario())
