"""A harness that runs a sender on a virtual clock, records where it may crash, and checks the invariants.

A `Core` delivers the messages of `SCRIPTS`.  Each change of a file and each event that a client, an endpoint or the
platform observes is a `CrashPoint`.  `check_invariants` checks what all processes together did.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import NamedTuple

import pytest
from conftest import SETTINGS as BASE_SETTINGS

from kestreltrack.decision import ClassSettings, EndpointLifecycle, Idempotency, Outcome, Policy
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal, OutstandingMessage
from kestreltrack.journal.slot_lock import SlotLock
from kestreltrack.journal.state import JournalState
from kestreltrack.ports import (
    Accepted,
    Attempt,
    AttemptResult,
    EndpointListUpdate,
    ListedEndpoint,
    Message,
    StatusNotification,
)
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.takeover import Takeover
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time

EPOCH_MS = 1.7e12
WINDOW_MS = 1000.0
FOLDER_BYTES = 60_000
MAX_FILE_BYTES = 12_000  # so that the file is compacted many times
# From a crash to the next start: the restart delay of the platform, and one as short as during an upgrade.
RESTART_DELAYS_S = (0.6, 0.05)
CLASSES = {
    "safe": ClassSettings(latency_objective_ms=500, deadline_ms=4000, idempotency=Idempotency.IDEMPOTENT),
    "keyed": ClassSettings(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=WINDOW_MS,
    ),
    "unsafe": ClassSettings(
        latency_objective_ms=500, deadline_ms=4000, idempotency=Idempotency.NOT_IDEMPOTENT
    ),
}
SETTINGS = replace(BASE_SETTINGS, classes=CLASSES, max_attempts=3, sender_count=1)
# The results of the successive attempts of each message; further attempts succeed.
SCRIPTS_BY_CLASS = {
    "safe": [
        "error ok",
        "reset rejected ok",
        "hang",
        "not_sent completed",
        "unreachable error",
        "error error error",
        "draining",
    ],
    "keyed": [
        "error ok",
        "reset late ok",
        "error error error",
        "hang",
        "rejected reset ok",
        "late",
        "reset rejected",
    ],
    "unsafe": ["ok", "error", "rejected unreachable ok", "hang", "not_sent reset", "withdrawn"],
}
OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "reset": Outcome.CONNECTION_BROKEN,
    "rejected": Outcome.REJECTED,
    "not_sent": Outcome.NOT_SENT,
    "completed": Outcome.NOT_SENT,
    "late": Outcome.OK,
}
SCRIPTS = {
    f"{class_name}{index}": script.split()
    for class_name, scripts in SCRIPTS_BY_CLASS.items()
    for index, script in enumerate(scripts)
}
ALL_IDS = list(SCRIPTS)
DESTINATIONS = {message_id: index for index, message_id in enumerate(ALL_IDS)}
ENDPOINTS = tuple(
    ListedEndpoint(
        f"e{DESTINATIONS[message_id]}",
        "1.1.1.1:1",
        DESTINATIONS[message_id],
        "plain",
        "",
        EndpointLifecycle.DRAINING if "draining" in script else EndpointLifecycle.UP,
    )
    for message_id, script in SCRIPTS.items()
)
ENDPOINT_LIST = EndpointListUpdate(1, True, ENDPOINTS)


class Observation(NamedTuple):
    """An event outside of the process; the message id of a crash is empty."""

    kind: str
    message_id: str
    at_ms: float
    detail: str


@dataclass
class History:
    """All observations by clients, endpoints and the platform, in order."""

    observations: list[Observation] = field(default_factory=list)
    on_observation: Callable[[], None] = lambda: None

    def observe(self, kind: str, message_id: str, at_ms: float, detail: str = "") -> None:
        self.observations.append(Observation(kind, message_id, at_ms, detail))
        self.on_observation()

    def attempts_requested(self, message_id: str) -> int:
        return sum(entry[:2] == ("requested", message_id) for entry in self.observations)


@dataclass(frozen=True)
class CrashPoint:
    """A point where a process may crash: the files, the number of observations so far, and the time."""

    files: dict[str, bytes]
    observation_count: int
    now_s: float
    writing: tuple[str, int] | None = None  # the file of the last write, and its previous length


class ScriptedTransport:
    """A transport to endpoints that respond as scripted."""

    def __init__(self, history: History, clock: Callable[[], float]) -> None:
        self.history = history
        self.clock = clock

    async def send(self, attempt: Attempt) -> AttemptResult:
        message_id = attempt.message.id
        deadline_ms = self.clock() + attempt.timeout_ms
        result = [*SCRIPTS.get(message_id, []), *["ok"] * 20][self.history.attempts_requested(message_id)]
        self.history.observe("requested", message_id, self.clock(), result)
        if result == "unreachable":
            return AttemptResult(Outcome.UNREACHABLE)
        try:
            await asyncio.sleep(0.7 if result == "late" else 0.004)
            if not attempt.begin():
                return AttemptResult(Outcome.NOT_SENT)
            self.history.observe("sent", message_id, self.clock())
            hangs = result in ("hang", "withdrawn")
            await asyncio.sleep((deadline_ms - self.clock()) / 1000.0 if hangs else 0.02)
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED)
        outcome = Outcome.TIMED_OUT if hangs else OUTCOMES[result]
        completed = result == "completed"
        self.history.observe("outcome", message_id, self.clock(), "completed" if completed else outcome.value)
        return AttemptResult(outcome, final=completed or outcome is Outcome.OK)

    def close_idle(self, uid: str) -> None:
        """There are no idle connections."""


class FakePlatform:
    """A platform that takes some time to accept a notification."""

    def __init__(self, history: History, clock: Callable[[], float]) -> None:
        self.history = history
        self.clock = clock

    async def notify(self, notification: StatusNotification) -> None:
        await asyncio.sleep(0.3 if notification.message_id == "keyed2" else 0.01)
        self.history.observe(
            "notification", notification.message_id, self.clock(), notified_end(notification)
        )


def notified_end(notification: StatusNotification) -> str:
    return "handed_back" if notification.requeue else "given_up"


class FakeEndpointSource:
    """Yields the complete list once, then changes of an endpoint that no message uses."""

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        yield ENDPOINT_LIST
        for revision in range(2, 8):
            await asyncio.sleep(0.15)
            state = EndpointLifecycle.DRAINING if revision % 2 else EndpointLifecycle.UP
            unused = ListedEndpoint("spare", "127.0.0.1:1", 99, "plain", "", state)
            yield EndpointListUpdate(revision, False, (unused,))
        await asyncio.sleep(1e6)


class SilentTelemetry(Telemetry):
    """Counts, but does not log."""

    def log(self, event: str, **fields: object) -> None:
        """Write nothing."""


def read_files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir() if not path.name.endswith(".lock")}


@contextmanager
def hook_file_changes(folder: Path, on_change: Callable[[tuple[str, int] | None], None]) -> Iterator[None]:
    """Call `on_change` after each change of a file."""
    real = {name: getattr(os, name) for name in ("write", "rename", "ftruncate", "unlink")}

    def hooked(name: str) -> Callable[..., object]:
        def call(*args: object) -> object:
            length_before = os.fstat(args[0]).st_size if name == "write" else 0  # type: ignore[arg-type]
            result = real[name](*args)
            path = Path(os.readlink(f"/proc/self/fd/{args[0]}")) if name == "write" else folder
            on_change((path.name, length_before) if path.parent == folder else None)
            return result

        return call

    with pytest.MonkeyPatch.context() as patch:
        for name in real:
            patch.setattr(os, name, hooked(name))
        yield


def run_process(
    folder: Path, history: History, start_s: float, message_ids: list[str], takes_over: bool = False
) -> list[CrashPoint]:
    """Run one process from its start until no message is outstanding; return its crash points.

    The process accepts `message_ids`.  If `takes_over`, another process holds the first slot for a while.
    """
    points = list[CrashPoint]()

    async def process() -> None:
        loop = asyncio.get_running_loop()
        telemetry = SilentTelemetry()

        def clock() -> float:
            return EPOCH_MS + loop.time() * 1000.0

        def add_point(writing: tuple[str, int] | None = None) -> None:
            points.append(CrashPoint(read_files(folder), len(history.observations), loop.time(), writing))

        other_process = SlotLock.try_acquire(folder, "journal") if takes_over else None
        journal = Journal(folder, FOLDER_BYTES, telemetry)
        journal.max_file_bytes = MAX_FILE_BYTES
        core = make_core(journal, history, clock, telemetry)
        assert message_ids or takes_over or journal.endpoints or not journal.outstanding, (
            "the endpoint list must be recovered as well"
        )
        core.dispatcher.notify(core.endpoint_list.apply(journal.endpoints or ENDPOINT_LIST, cached=True))
        history.on_observation = add_point
        background = list[asyncio.Task[None]]()
        with hook_file_changes(folder, add_point):
            core.poll_now()
            if message_ids:
                background.append(asyncio.create_task(core.follow_source(FakeEndpointSource())))
            core.recover()
            clients = [
                asyncio.create_task(submit(core, history, clock, message_id, 0.02 * index))
                for index, message_id in enumerate(message_ids)
            ]
            if takes_over:
                background.append(asyncio.create_task(Takeover(core, journal, telemetry).take_over()))
                await asyncio.sleep(0.2)
                assert other_process is not None
                other_process.release()
            await asyncio.gather(*clients)
            while (journal.outstanding or journal.other_slots) and loop.time() < start_s + 30.0:
                await asyncio.sleep(0.05)
        history.on_observation = lambda: None
        check_process(journal, telemetry, message_ids)
        for task in background:
            task.cancel()
        await core.abandon()
        journal.close()

    run_in_virtual_time(process(), start_s)
    return points


def make_core(journal: Journal, history: History, clock: Callable[[], float], telemetry: Telemetry) -> Core:
    dispatcher = Dispatcher(Policy(SETTINGS, 1), clock, telemetry)
    transport = ScriptedTransport(history, clock)
    return Core(
        dispatcher, SETTINGS, journal, EndpointList(), transport, FakePlatform(history, clock), telemetry
    )


def check_process(journal: Journal, telemetry: Telemetry, message_ids: list[str]) -> None:
    """Check that a process has ended all messages without a fault."""
    assert not journal.outstanding and not journal.other_slots, (
        f"still outstanding: {list(journal.outstanding)}, not taken over: {journal.other_slots}"
    )
    faults = {
        name for name in telemetry.counters if "fault" in name or "invariant" in name or "corrupt" in name
    }
    assert not faults, telemetry.counters
    assert message_ids != ALL_IDS or telemetry.counters["journal.compactions"] > 3


async def submit(
    core: Core, history: History, clock: Callable[[], float], message_id: str, after_s: float
) -> None:
    await asyncio.sleep(after_s)
    class_name = message_id.rstrip("0123456789")
    message = Message(
        message_id,
        class_name,
        DESTINATIONS[message_id],
        clock() + CLASSES[class_name].deadline_ms,
        bytes(60),
        idempotency_key=f"k-{message_id}",
    )
    result = await core.submit(message)
    assert isinstance(result, Accepted)
    if "withdrawn" in SCRIPTS[message_id]:
        core.withdraw(message_id)
    else:
        history.observe("accepted", message_id, clock())


def restore_after_crash(point: CrashPoint, history: History, folder: Path) -> History:
    """Restore the files in `folder`, and return the history, as of a crash at that point."""
    folder.mkdir(parents=True)
    for name, data in point.files.items():
        (folder / name).write_bytes(data)
    crash = Observation("crash", "", EPOCH_MS + point.now_s * 1000.0, "")
    return History([*history.observations[: point.observation_count], crash])


def outstanding_in(files: dict[str, bytes]) -> dict[str, OutstandingMessage]:
    """Return the outstanding messages in the files of both slots, ignoring unfinished replacements."""
    outstanding = dict[str, OutstandingMessage]()
    for name in ("journal.1", "journal"):
        state = JournalState(SilentTelemetry())
        state.recover(state.split_lines(files.get(name, b"")))
        outstanding |= state.outstanding
    return outstanding


AMBIGUOUS_OUTCOMES = {outcome.value for outcome in Outcome if outcome.may_have_executed()}
FINAL_OUTCOMES = ("ok", "completed")


class MessageInvariants:
    """Checks the invariants of one message over the observations of it, in order."""

    def __init__(self, message_id: str) -> None:
        self.message_id = message_id
        self.idempotency = CLASSES[message_id.rstrip("0123456789")].idempotency
        self.accepted = False
        self.attempts = 0
        self.crashes = 0
        self.final_outcomes = 0
        self.notifications = 0
        # When the first attempt that may have executed started, and the one in flight.
        self.first_ambiguous_ms: float | None = None
        self.in_flight_ms: float | None = None
        # Ends of which the platform was notified, or will be according to a journal.
        self.ends = set[str]()
        # In the current process: whether an attempt had a final outcome, whether the platform was notified, and when
        # the last outcome or notification was observed.
        self.has_final_outcome = False
        self.platform_notified = False
        self.last_observed_ms = 0.0

    def apply(self, entry: Observation, journals: list[dict[str, OutstandingMessage]]) -> None:
        match entry.kind:
            case "accepted":
                self.accepted = True
            case "sent":
                self.on_sent(entry.at_ms)
            case "outcome":
                self.on_outcome(entry.at_ms, entry.detail)
            case "notification":
                self.on_notification(entry.at_ms, entry.detail)
            case "crash":
                self.on_crash(entry.at_ms, journals[self.crashes].get(self.message_id))

    def on_sent(self, at_ms: float) -> None:
        first_ms = self.first_ambiguous_ms
        assert not self.ends and not self.has_final_outcome, f"{self.message_id} was sent again after its end"
        assert self.idempotency is not Idempotency.NOT_IDEMPOTENT or first_ms is None, (
            f"{self.message_id} was sent again although it may have executed"
        )
        if self.idempotency is Idempotency.KEYED and first_ms is not None:
            assert at_ms <= first_ms + WINDOW_MS, (
                f"{self.message_id} was sent {at_ms - first_ms:.0f} ms after it may have executed"
            )
        self.in_flight_ms = at_ms
        self.attempts += 1

    def on_outcome(self, at_ms: float, outcome: str) -> None:
        if outcome in AMBIGUOUS_OUTCOMES:
            self.first_ambiguous_ms = self.first_ambiguous_ms or self.in_flight_ms
        if outcome in FINAL_OUTCOMES:
            self.has_final_outcome = True
            self.final_outcomes += 1
        self.in_flight_ms = None
        self.last_observed_ms = at_ms

    def on_notification(self, at_ms: float, end: str) -> None:
        self.ends.add(end)
        self.notifications += 1
        self.platform_notified = True
        self.last_observed_ms = at_ms
        repeatable = self.idempotency is not Idempotency.NOT_IDEMPOTENT or self.first_ambiguous_ms is None
        assert end == "given_up" or repeatable, (
            f"{self.message_id} was handed back although it may have executed"
        )

    def on_crash(self, at_ms: float, stored: OutstandingMessage | None) -> None:
        assert stored or self.has_final_outcome or self.ends or not self.accepted, (
            f"{self.message_id} was accepted and lost"
        )
        if stored:
            self.check_stored(at_ms, stored)
            self.has_final_outcome = False
            self.platform_notified = False
        self.first_ambiguous_ms = self.first_ambiguous_ms or self.in_flight_ms
        self.in_flight_ms = None
        self.last_observed_ms = 0.0
        self.crashes += 1

    def check_stored(self, at_ms: float, stored: OutstandingMessage) -> None:
        pending = stored.pending_notification
        assert not self.ends or pending, (
            f"{self.message_id}: the platform was notified before the notification was recorded"
        )
        # Time has passed since the last observation, so it must have been recorded.
        if self.last_observed_ms and self.last_observed_ms < at_ms:
            assert not self.has_final_outcome and not self.platform_notified, (
                f"{self.message_id}: its end was not recorded"
            )
            assert not stored.in_flight or stored.in_flight.at >= self.last_observed_ms, (
                f"{self.message_id}: its outcome was not recorded"
            )
        if pending:
            self.ends.add(notified_end(pending))

    def finish(self) -> None:
        assert self.attempts <= SETTINGS.max_attempts, f"{self.message_id}: {self.attempts} attempts"
        assert len(self.ends) <= 1, f"{self.message_id} has different ends: {self.ends}"
        withdrawn = "withdrawn" in SCRIPTS[self.message_id]
        assert self.final_outcomes or self.notifications or withdrawn or not self.accepted, (
            f"{self.message_id} was accepted but never ended"
        )
        assert self.notifications + bool(self.final_outcomes) <= 1 + self.crashes, (
            f"{self.message_id} ended more than once in one process"
        )
        assert not self.ends or self.notifications, f"{self.message_id}: a notification is still pending"


def check_invariants(history: History, crashes: list[CrashPoint]) -> None:
    """Check the invariants over everything that all processes together did."""
    journals = [outstanding_in(point.files) for point in crashes]
    for message_id in {entry.message_id for entry in history.observations} - {""}:
        invariants = MessageInvariants(message_id)
        for entry in history.observations:
            if entry.message_id in (message_id, ""):
                invariants.apply(entry, journals)
        invariants.finish()
