"""SIGKILL after every write to the folder that lasts, and after all that is seen outside of the process.

A `Core` runs over a mix of messages on a driven clock.  Each change of a file and each event that a client, endpoint
or the platform sees is a point at which the process may die.  From every one the next process starts on a copy of
the folder, and the rules are checked over what all lives together did.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from itertools import pairwise
from pathlib import Path

import pytest
from conftest import SETTINGS as SHARED

from kestreltrack.decision import ClassSettings, EndpointLifecycle, Idempotency, Outcome, Policy
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import AttemptStart, Journal, OutstandingMessage
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

EPOCH, WINDOW_MS = 1.7e12, 1000.0
DISK, MOST = 60_000, 12_000  # bytes of the folder; of the file, so that it is written anew many times
DEADS_S = (0.6, 0.05)  # from a death to the next start: as the platform has it, and as short as an upgrade's
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
SETTINGS = replace(SHARED, classes=CLASSES, max_attempts=3, sender_count=1)
# What the attempts of each message meet, one after the other; then all are answered 200.
MIX = {
    "safe": [
        "error ok",
        "reset refused ok",
        "hang",
        "taken over",
        "unreachable error",
        "error error error",
        "away",
    ],
    "keyed": [
        "error ok",
        "reset late ok",
        "error error error",
        "hang",
        "refused reset ok",
        "late",
        "reset refused",
    ],
    "unsafe": ["ok", "error", "refused unreachable ok", "hang", "taken reset", "left"],
}
OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "reset": Outcome.CONNECTION_BROKEN,
    "refused": Outcome.REJECTED,
    "taken": Outcome.NOT_SENT,
    "over": Outcome.NOT_SENT,
    "late": Outcome.OK,
}
ROWS = [(f"{cls}{n}", cls, word.split()) for cls, words in MIX.items() for n, word in enumerate(words)]
SCRIPTS = {id_: words for id_, _, words in ROWS}
DESTS = {id_: n for n, (id_, _, _) in enumerate(ROWS)}
STATES = {
    id_: EndpointLifecycle.DRAINING if "away" in words else EndpointLifecycle.UP
    for id_, words in SCRIPTS.items()
}
ENTRIES = tuple(
    ListedEndpoint(f"e{DESTS[id_]}", "1.1.1.1:1", DESTS[id_], "plain", "", s) for id_, s in STATES.items()
)
LIST = EndpointListUpdate(1, True, ENTRIES)


@dataclass
class World:
    """What everybody but the sender has seen, in its order: what, of which message, when, in what word."""

    log: list[tuple[str, str, float, str]] = field(default_factory=list)
    seen: Callable[[], None] = lambda: None

    def note(self, what: str, id_: str, at: float, word: str = "") -> None:
        self.log.append((what, id_, at, word))
        self.seen()

    def asked(self, id_: str) -> int:
        return sum(row[:2] == ("asked", id_) for row in self.log)


@dataclass(frozen=True)
class Point:
    """Where a process may die: the files, how much had been seen, and when."""

    files: dict[str, bytes]
    seen: int
    now: float
    writing: tuple[str, int] | None = None  # the file that the last write went to, and its length before


class Partners:
    """Endpoints, and the transport to them."""

    def __init__(self, world: World, clock: Callable[[], float]) -> None:
        self.world, self.clock = world, clock

    async def send(self, claim: Attempt) -> AttemptResult:
        id_, ends = claim.message.id, self.clock() + claim.timeout_ms
        word = [*SCRIPTS.get(id_, []), *["ok"] * 20][self.world.asked(id_)]
        self.world.note("asked", id_, self.clock(), word)
        if word == "unreachable":
            return AttemptResult(Outcome.UNREACHABLE)
        try:
            await asyncio.sleep(0.7 if word == "late" else 0.004)
            if not claim.begin():
                return AttemptResult(Outcome.NOT_SENT)
            self.world.note("sent", id_, self.clock())
            hangs = word in ("hang", "left")
            await asyncio.sleep((ends - self.clock()) / 1000.0 if hangs else 0.02)
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED)
        outcome = Outcome.TIMED_OUT if hangs else OUTCOMES[word]
        self.world.note("outcome", id_, self.clock(), "over" if word == "over" else outcome.value)
        return AttemptResult(outcome, final=word == "over" or outcome is Outcome.OK)

    def close_idle(self, uid: str) -> None:
        """Nothing is kept."""


class Board:
    """The platform, which takes some time."""

    def __init__(self, world: World, clock: Callable[[], float]) -> None:
        self.world, self.clock = world, clock

    async def notify(self, notice: StatusNotification) -> None:
        await asyncio.sleep(0.3 if notice.message_id == "keyed2" else 0.01)
        self.world.note(
            "notice", notice.message_id, self.clock(), "handed_back" if notice.requeue else "given_up"
        )


class Lists:
    """The whole list once, then changes of what no message needs."""

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        yield LIST
        for rev in range(2, 8):
            await asyncio.sleep(0.15)
            state = EndpointLifecycle.DRAINING if rev % 2 else EndpointLifecycle.UP
            yield EndpointListUpdate(
                rev, False, (ListedEndpoint("spare", "127.0.0.1:1", 99, "plain", "", state),)
            )
        await asyncio.sleep(1e6)


class Quiet(Telemetry):
    """Counts alone."""

    def log(self, event: str, **fields: object) -> None:
        """Nothing is written."""


def files_of(folder: Path) -> dict[str, bytes]:
    return {f.name: f.read_bytes() for f in folder.iterdir() if not f.name.endswith(".lock")}


@contextmanager
def every_change(folder: Path, changed: Callable[[tuple[str, int] | None], None]) -> Iterator[None]:
    """Tell of each change of a file, right after it."""
    real = {name: getattr(os, name) for name in ("write", "rename", "ftruncate", "unlink")}

    def hooked(name: str) -> Callable[..., object]:
        def call(*args: object) -> object:
            at = os.fstat(args[0]).st_size if name == "write" else 0  # type: ignore[arg-type]
            done = real[name](*args)
            path = Path(os.readlink(f"/proc/self/fd/{args[0]}")) if name == "write" else folder
            changed((path.name, at) if path.parent == folder else None)
            return done

        return call

    with pytest.MonkeyPatch.context() as patch:
        for name in real:
            patch.setattr(os, name, hooked(name))
        yield


ALL = list(SCRIPTS)


def live(folder: Path, world: World, start: float, ids: list[str], adopts: bool = False) -> list[Point]:
    """One process, from its start until all that it holds has ended; returns the points at which it may die."""
    points = list[Point]()

    async def whole() -> None:
        loop, telemetry = asyncio.get_running_loop(), Quiet()

        def clock() -> float:
            return EPOCH + loop.time() * 1000.0

        def at(writing: tuple[str, int] | None = None) -> None:
            points.append(Point(files_of(folder), len(world.log), loop.time(), writing))

        # A process that lives on for a while.
        other = SlotLock.try_acquire(folder, "journal") if adopts else None
        journal = Journal(folder, DISK, telemetry)
        journal.max_file_bytes = MOST
        desk = Dispatcher(Policy(SETTINGS, 1), clock, telemetry)
        core = Core(
            desk, SETTINGS, journal, EndpointList(), Partners(world, clock), Board(world, clock), telemetry
        )
        assert ids or adopts or journal.endpoints or not journal.outstanding, (
            "the list outlives its process too"
        )
        desk.notify(core.endpoint_list.apply(journal.endpoints or LIST, cached=True))
        world.seen = at
        with every_change(folder, at):
            core.poll_now()
            beside = [asyncio.create_task(core.follow_source(Lists()))] if ids else []
            core.recover()
            clients = [
                asyncio.create_task(client(core, world, clock, id_, 0.02 * n)) for n, id_ in enumerate(ids)
            ]
            if adopts:
                beside.append(asyncio.create_task(Takeover(core, journal, telemetry).take_over()))
                await asyncio.sleep(0.2)
                assert other is not None
                other.release()
            await asyncio.gather(*clients)
            while (journal.outstanding or journal.other_slots) and loop.time() < start + 30.0:
                await asyncio.sleep(0.05)
        world.seen = lambda: None
        assert not journal.outstanding and not journal.other_slots, (
            f"these have no end: {list(journal.outstanding)}"
        )
        faults = {
            name for name in telemetry.counters if "fault" in name or "invariant" in name or "corrupt" in name
        }
        assert not faults, telemetry.counters
        assert ids != ALL or telemetry.counters["journal.compactions"] > 3
        for task in beside:
            task.cancel()
        await core.abandon()
        journal.close()

    run_in_virtual_time(whole(), start)
    return points


async def client(core: Core, world: World, clock: Callable[[], float], id_: str, after_s: float) -> None:
    await asyncio.sleep(after_s)
    cls = id_.rstrip("0123456789")
    message = Message(
        id_, cls, DESTS[id_], clock() + CLASSES[cls].deadline_ms, bytes(60), None, None, f"k-{id_}"
    )
    answer = await core.submit(message)
    assert isinstance(answer, Accepted)
    if "left" in SCRIPTS[id_]:
        core.withdraw(id_)
    else:
        world.note("+OK", id_, clock())


def after(point: Point, world: World, folder: Path) -> World:
    """The folder and the world as the death of a process at that point leaves them."""
    folder.mkdir(parents=True)
    for name, data in point.files.items():
        (folder / name).write_bytes(data)
    return World([*world.log[: point.seen], ("died", "", EPOCH + point.now * 1000.0, "")])


def held_in(files: dict[str, bytes]) -> dict[str, OutstandingMessage]:
    """What the files hold, by a reading of their own: of each slot, without a file half written beside it."""
    held = dict[str, OutstandingMessage]()
    for name in ("journal.1", "journal"):
        state = JournalState(Quiet())
        state.recover(state.split_lines(files.get(name, b"")))
        held |= state.outstanding
    return held


def check(world: World, deaths: list[Point]) -> None:
    """The rules, over all lives."""
    kept = [held_in(point.files) for point in deaths]
    for id_ in {row[1] for row in world.log} - {""}:
        effect = CLASSES[id_.rstrip("0123456789")].idempotency
        rows = [row for row in world.log if row[1] in (id_, "")]
        first = out = None  # the first attempt that may have run; the one that is out
        lives, attempts, ended, told, seen, last = 0, 0, False, set[str](), False, 0.0
        for what, _, at, word in rows:
            if what == "sent":
                assert not told and not ended, f"{id_} was over, and went again"
                assert effect is not Idempotency.NOT_IDEMPOTENT or first is None, (
                    f"{id_} may have run, and went again"
                )
                if effect is Idempotency.KEYED and first is not None:
                    assert at <= first + WINDOW_MS, f"{id_} went {at - first:.0f} ms after it may have run"
                out, attempts = at, attempts + 1
            elif what == "outcome":
                if word in {o.value for o in Outcome if o.may_have_executed()}:
                    first = first or out
                ended, out, last = ended or word in ("ok", "over"), None, at
            elif what == "notice":
                told.add(word)
                seen, last = True, at
                assert word == "given_up" or effect is not Idempotency.NOT_IDEMPOTENT or first is None, (
                    f"{id_} may have run"
                )
            elif what == "died":
                record = kept[lives].get(id_)
                answered = any(row[0] == "+OK" for row in rows[: rows.index((what, _, at, word))])
                assert record or ended or told or not answered, f"{id_} was taken on, and is lost"
                assert not (record and told) or record.owed_notification, (
                    f"{id_}: its end was told before it was recorded"
                )
                if (
                    record and last and last < at
                ):  # the clock has moved on since: what was seen then is recorded
                    assert not ended and not seen, f"{id_}: its end is not recorded"
                    assert not record.in_flight or record.in_flight.at >= last, (
                        f"{id_}: its outcome is not recorded"
                    )
                if record and record.owed_notification:
                    told.add("handed_back" if record.owed_notification.requeue else "given_up")
                first, out = first or out, None
                lives, ended, seen, last = lives + 1, ended and not record, seen and not record, 0.0
        assert attempts <= SETTINGS.max_attempts, f"{id_}: {attempts} attempts"
        over = any(what == "outcome" and word in ("ok", "over") for what, _, _, word in rows)
        notices = [word for what, _, _, word in rows if what == "notice"]
        assert len(told) <= 1 and (
            over or notices or "left" in SCRIPTS[id_] or not any(r[0] == "+OK" for r in rows)
        )
        assert len(notices) + over <= 1 + lives, f"{id_} ended more than once in one life"
        assert not told or notices, f"{id_}: its notice was owed"


def first_life(folder: Path, ids: list[str] = ALL) -> tuple[World, list[Point]]:
    folder.mkdir()
    world = World()
    points = live(folder, world, 0.0, ids)
    check(world, [])
    return world, points


def test_a_death_at_any_point_loses_no_end_and_repeats_nothing_that_must_not_be(tmp_path: Path) -> None:
    world, points = first_life(tmp_path / "first")
    assert len(points) > 200
    for n, point in enumerate(points):
        then = after(point, world, tmp_path / str(n))
        live(tmp_path / str(n), then, point.now + DEADS_S[n % 2], [])
        check(then, [point])


def test_a_record_that_is_cut_anywhere_was_never_written(tmp_path: Path) -> None:
    world, points = first_life(tmp_path / "first")
    kinds = set[str]()
    for n, (before, point) in enumerate(pairwise(points)):
        if point.writing is None:
            continue
        (name, start), whole = point.writing, point.files
        kinds.add(name)
        size = len(whole[name]) - start
        for cut in {1, 9, size // 2, size - 1} - {0, size}:
            cut_short = replace(point, files=whole | {name: whole[name][: start + cut]}, seen=before.seen)
            assert held_in(cut_short.files) == held_in(before.files)
        folder = tmp_path / str(n)  # the last of these cuts, to the end of all
        then = after(cut_short, world, folder)
        live(folder, then, point.now + 0.6, [])
        check(then, [cut_short])
    assert kinds == {"journal", "journal.new"}, "the rewritten file was cut too"


def test_a_call_of_many_that_is_cut_leaves_each_as_before_or_as_begun(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 10**6, Quiet())
    helds = [journal.record_accepted(Message(f"m{n}", "unsafe", 1, EPOCH)) for n in range(3)]
    start = journal.file_bytes
    journal.record_attempt(helds[0], 5.0, "a", *helds[1:])
    data = (tmp_path / "journal").read_bytes()
    for cut in range(start, len(data)):
        outs = [entry.in_flight for entry in held_in({"journal": data[:cut]}).values()]
        begun = sum(out is not None for out in outs)
        assert outs == [AttemptStart(5.0, "a")] * begun + [None] * (3 - begun) and begun == data[
            start:cut
        ].count(b"\n")


@pytest.mark.parametrize(
    "id_", ["keyed1", "keyed4", "keyed5", "keyed6", "unsafe2", "unsafe4", "safe1", "safe5"]
)
def test_two_deaths_one_after_the_other_at_any_points(tmp_path: Path, id_: str) -> None:
    world, points = first_life(tmp_path / "first", [id_])
    for n, point in enumerate(points):
        folder = tmp_path / str(n)
        second = after(point, world, folder)
        for m, next_point in enumerate(live(folder, second, point.now + 0.4, [])):
            third = after(next_point, second, tmp_path / f"{n}-{m}")
            # At once, or when the window is over as counted from the first attempt, and not from the second.
            live(tmp_path / f"{n}-{m}", third, next_point.now + (0.05, 0.6)[m % 2], [])
            check(third, [point, next_point])


@pytest.mark.parametrize("seed", range(40))
def test_three_deaths_at_drawn_points(tmp_path: Path, seed: int) -> None:
    draw = random.Random(seed)
    world, points = first_life(tmp_path / "0")
    deaths = list[Point]()
    for n in range(1, 4):
        if not points:
            break  # nothing was held any more: no file is written, and nobody sees anything
        deaths.append(point := draw.choice(points[: len(points) // 2 + 1]))
        world = after(point, world, tmp_path / str(n))
        points = live(tmp_path / str(n), world, point.now + draw.choice(DEADS_S), [])
    check(world, deaths)


@pytest.mark.parametrize("share", [0.2, 0.4, 0.6])
def test_a_death_at_any_point_of_an_adoption(tmp_path: Path, share: float) -> None:
    world, points = first_life(tmp_path / "first")
    old = points[int(len(points) * share)]
    second = after(old, world, tmp_path / "second")
    assert len(held_in(old.files)) > 2
    points = live(tmp_path / "second", second, old.now + 0.05, [], adopts=True)
    check(second, [old])
    for n, point in enumerate(points):
        third = after(point, second, tmp_path / str(n))
        live(tmp_path / str(n), third, point.now + DEADS_S[n % 2], [])
        check(third, [old, point])
