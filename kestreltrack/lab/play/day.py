"""The emulator's world with real senders: its partners, clients and troubles on the real clock, faults on real links.

Partners, traffic, troubles and drains are the emulator's own and drawn from the same seed; so one file plays in both,
and both tell the same stream of what happened to the same rules and the same count of worth.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from kestreltrack.decision import Policy, api
from kestreltrack.lab.emulator.partner import Endpoint, Request
from kestreltrack.lab.emulator.process import Process
from kestreltrack.lab.emulator.scenario import BadScenario, FaultTable, Scenario
from kestreltrack.lab.emulator.world import World
from kestreltrack.lab.play.doors import Calls, Door
from kestreltrack.lab.rig.company import Company
from kestreltrack.lab.rig.links import Fault, Links
from kestreltrack.lab.rig.relay import Relay
from kestreltrack.lab.standins.submitters import Load, command
from kestreltrack.ports import Answer, Machine, Message, Rejected, TakenOn, TurnedAway
from kestreltrack.rules.happened import Answered, Born, Died, Ended, Event, Listed, Listener
from kestreltrack.rules.happened import TakenOn as Taken
from kestreltrack.sender.desk import Decider

EFFECTS = {api.Effect.SAFE: "idempotent", api.Effect.KEYED: "deduplicated", api.Effect.UNSAFE: "at_most_once"}
SCOPES = {api.Scope.ALL: "all", api.Scope.ZONE: "zone"}
WEIGHTS = {api.Weights.NONE: "none", api.Weights.EXACT: "nominal", api.Weights.ROUGH: "rough"}
SUBMIT_S = 5.0  # a submitter gives up on an answer


def table(settings: api.Settings) -> dict[str, Any]:
    """The settings as the platform's configuration gives them (the other way round of `config/settings.py`)."""
    safety = settings.safety
    return {
        "allowed": {
            "cancel": settings.may_cancel,
            "connectTimeoutMs": settings.connect_ms,
            "keepaliveMs": settings.keepalive_ms,
            "maxRetryAfterMs": settings.max_wait_ms,
            "mostHeld": settings.hold,
            "multiplex": settings.multiplex,
            "retryAfter": settings.advises_wait,
            "tryLimit": settings.try_limit,
        },
        "balancers": settings.relays,
        "classes": [
            {
                "name": name,
                "idempotency": EFFECTS[cls.effect],
                "onTimeMs": cls.aim_ms,
                "deadlineMs": cls.deadline_ms,
                "keyTtlMs": cls.key_window_ms,
                "importance": cls.worth,
                "lateWorth": cls.late_worth,
                "inOrder": cls.in_order,
                "group": SCOPES[cls.scope],
            }
            for name, cls in settings.classes.items()
        ],
        "discovery": "ask" if settings.must_ask else "push",
        "dcs": list(settings.zone_fees),
        "domain": {
            "bundleMax": [kind.batch for kind in settings.kinds.values()],
            "late": settings.decay.value,
            "routesApart": [kind.routes_apart for kind in settings.kinds.values()],
            "slots": settings.slots,
            "zoneFee": list(settings.zone_fees.values()),
        },
        "kinds": list(settings.kinds),
        "safety": {
            "answerSlackMs": safety.answer_slack_ms,
            "askEveryMs": safety.ask_every_ms,
            "coldShare": safety.cold_share,
            "drainGraceMs": safety.drain_grace_ms,
            "overloadFactor": safety.overload_factor,
            "tipAfterMs": safety.tip_after_ms,
            "warmAfterMs": safety.warm_after_ms,
            "settleAfterDoubtMs": safety.settle_ms,
        },
        "telemetry": {"fields": ["x0", "x1"], "how": "answers"} if settings.reports else {},
        "weights": WEIGHTS[settings.weights],
        "zone": settings.zone,
    }


class Remote(Process):
    """A real sender, as the emulator's clients see a process."""

    def __init__(self, load: Load, now: Callable[[], float]) -> None:
        """`load` keeps connections to its front."""
        self.load, self._now = load, now

    async def submit(self, message: Message) -> Answer | None:
        """Hand a message in; none where no answer comes."""
        left = max(1, int(message.expires - self._now()))
        key = f",k={message.idempotency_key}" if message.idempotency_key else ""
        names = f"c={message.cls},t={message.tenant or ''},d={left},dest={message.dest}{key}"
        try:
            async with asyncio.timeout(SUBMIT_S):
                word, *rest = (
                    await self.load.ask(command("SUBMIT", "0" * 16, message.id, names, "x" * 300))
                ).split()
        except (OSError, asyncio.IncompleteReadError, ValueError):  # a time-out is an OSError
            return None
        if word == "+OK":
            return TakenOn()
        return TurnedAway(float(rest[0]) if rest else None) if word == "-BUSY" else Rejected(" ".join(rest))


class Day(World):
    """One run on real processes."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        relays: int | None = None,
    ) -> None:
        """Draws the day as the emulator does; nothing runs before `play`."""
        self._began = time.monotonic()
        super().__init__(scenario, seed, folder, (*listeners, self._hear), decider, relays)
        fleet, zones = scenario.fleet, scenario.fleet.zones
        more = {"KESTRELTRACK_FLEET_LEND": "true"} if fleet.talk else {}
        self.company = Company(
            folder,
            table(self.settings),
            fleet.senders,
            zones,
            seed,
            1000.0,
            more=more,
            talks=fleet.talk,
            captures=True,
        )
        for n, sender in enumerate(self.company.senders.values()):
            sender.clock_rate = fleet.clocks[n % len(fleet.clocks)]
        self.company.links.groups["partners"] = {f"p{n}" for n in self.partners}
        self._calls = [Calls(n, self._known, self.tell) for n in range(fleet.senders)]
        self._doors = dict[tuple[int, str], tuple[Door, Relay]]()
        self._owed = set[tuple[str, int]]()  # messages, with the senders that have taken them on
        self._noted = dict[str, tuple[int, str]]()  # ends of messages by notices: one told again is one end
        notice_s = scenario.directory.notice_s
        self._notices = [self.streams.draws(notice_s, "notice", n, 0) for n in range(fleet.senders)]
        self._opening = set[asyncio.Task[None]]()

    def now(self) -> float:
        """Milliseconds since the beginning."""
        return (time.monotonic() - self._began) * 1000.0

    def _hear(self, now: float, event: Event) -> None:
        if isinstance(event, Taken):
            self._owed.add((event.id, event.sender))  # a client without an answer hands in elsewhere as well
            self._noted.pop(event.id, None)
        elif isinstance(event, Ended) or (isinstance(event, Answered) and event.outcome == "ok"):
            self._owed.discard((event.id, event.sender))

    def _known(self, id_: str) -> Request | None:
        wanted = self.clients.wanted.get(id_)
        if wanted is None:
            return None
        return Request(id_, wanted.work_ms, wanted.cls.effect == "keyed", 0, wanted.cls.scope == "zone")

    # Senders, and their ways to partners and list --------------------------------------------------

    def links(self) -> Links:
        """All of them."""
        return self.company.links

    def check_faults(self) -> None:
        """All are played here; raises `BadScenario` for names that nobody has."""
        if any(kind.batch > 1 for kind in self.scenario.kind):
            raise BadScenario("kind.batch: calls of many messages are played in simulated time only")
        groups = self.company.links.groups
        names = {"*", "list", "front", *self.company.names, *groups, *groups["partners"]}
        for fault in self.scenario.fault:
            for name in (*fault.between, *fault.who):
                if name not in names:
                    raise BadScenario(f"fault: {name} is the name of nobody here")

    async def begin(self) -> None:
        """Start all senders; returns once each is ready and knows its list."""
        self.check_faults()
        for n, name in enumerate(self.company.names):
            platform = self.company.platforms[name]
            platform.on_told = lambda rows, n=n: self._told(n, rows)  # type: ignore[misc]
            platform.on_end = lambda row, n=n: self._noticed_end(n, row)  # type: ignore[misc]
            for endpoint in list(self.endpoints.values()):
                await self._open(n, endpoint)
                platform.change(self._row(n, self.machine(endpoint)))
        await self.company.__aenter__()
        for n in range(len(self.processes)):
            self.registry.follow(_Follower(self, n))  # type: ignore[arg-type]
            self._born(n)
        if self.scenario.fleet.talk:
            await self.company.agree(self.company.names)
        self._began = time.monotonic()

    def _born(self, sender: int) -> None:
        name = self.company.names[sender]
        self.processes[sender] = Remote(self.company.loads[name], self.now)
        self.front.dead.discard(sender)
        self.tell(Born(sender, 0))

    async def _open(self, sender: int, endpoint: Endpoint) -> None:
        door = Door(self._calls[sender], endpoint)
        await door.listen()
        relay = Relay(
            self.company.links,
            self.company.names[sender],
            f"p{endpoint.partner.number}",
            lambda: door.address,
        )
        await relay.listen()
        self._doors[sender, endpoint.uid] = door, relay

    def _row(self, sender: int, machine: Machine) -> dict[str, Any]:
        return {
            "uid": machine.uid,
            "endpoint": self._doors[sender, machine.uid][1].address,
            "az": machine.zone,
            "model": machine.kind,
            "pod_group": machine.dest,
            "state": machine.state.value,
            "capacity_hint": machine.rate,
            "boot_ms": 0,
        }

    def listed(self, sender: int, machine: Machine) -> None:
        """A change of the list, as late as this sender is told of it."""
        task = asyncio.create_task(self._tell_change(sender, machine))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _tell_change(self, sender: int, machine: Machine) -> None:
        if (sender, machine.uid) not in self._doors:
            await self._open(sender, self.endpoints[machine.uid])
        await asyncio.sleep(self._notices[sender]())
        self.company.platforms[self.company.names[sender]].change(self._row(sender, machine))

    def _told(self, sender: int, rows: list[dict[str, Any]]) -> None:
        """Entries were written; whether a link that is cut brings them is not known, and nothing rests on it."""
        if not self.links().stream("list", self.company.names[sender]).cut:
            for row in rows:
                self.tell(Listed(sender, row["uid"], row["state"]))

    def _noticed_end(self, sender: int, row: dict[str, Any]) -> None:
        if self._noted.get(row["message"]) == (sender, row["outcome"]):
            return
        self._noted[row["message"]] = sender, row["outcome"]
        back, wait = row["outcome"] == "handed_back", float(row.get("retry_in_ms", 0.0))
        self.tell(Ended(row["message"], sender, "refused" if back else "failed", wait))
        if back:
            self.clients.handed_back(row["message"], wait)

    # What goes wrong -------------------------------------------------------------------------------

    async def crash(self, sender: int, away_s: float) -> None:
        """A process is killed, and started again after a while."""
        await self._down(sender, away_s, SIGKILL, False)

    async def _down(self, sender: int, away_s: float, number: Any, emptied: bool) -> None:
        if self.processes[sender] is None:
            return
        name = self.company.names[sender]
        if number is SIGKILL:
            self.processes[sender] = None
            self.tell(Died(sender))
            self.loop.call_later(self._notice(), self._noticed, sender)
        else:  # it ends what it has, and takes on nothing more
            self.front.dead.add(sender)
        await self.company.signal([name], number)
        await self.company.ended(self.company.senders[name])
        if number is not SIGKILL:
            self.processes[sender] = None
            self.tell(Died(sender))
        await asyncio.sleep(away_s)
        await self.company.start(name, emptied)
        self._born(sender)

    async def strike(self, sender: int, table: FaultTable) -> None:
        """A fault on a sender's process, to its end."""
        if table.process == "pause":
            await self.company.signal([self.company.names[sender]], SIGSTOP)
            await asyncio.sleep(table.for_s)
            await self.company.signal([self.company.names[sender]], SIGCONT)
        else:
            await self._down(
                sender, table.for_s, SIGKILL if table.process == "kill" else SIGTERM, table.emptied
            )

    async def registry_away(self, lasts: float) -> None:
        self.links().fault("senders", "list", Fault(cut=True))
        await asyncio.sleep(lasts)
        self.links().heal("senders", "list")

    # The end ---------------------------------------------------------------------------------------

    def owes(self) -> bool:
        """Whether something that was taken on has no end."""
        return bool(self._owed)

    async def end(self) -> None:
        """End all that was started."""
        await self.close()

    async def close(self) -> None:
        """Whatever state it is in."""
        for task in self._opening:
            task.cancel()
        await self.company.close()
        for door, relay in self._doors.values():
            relay.close()
            door.close()

    def counters(self) -> dict[str, int]:
        """What the senders counted, as their logs last told."""
        found = dict[str, int]()
        for sender in self.company.senders.values():
            for name, count in sender.counters.items():
                found[name] = found.get(name, 0) + count
        return found


class _Follower:
    """Hears of changes of the list for one sender."""

    def __init__(self, day: Day, sender: int) -> None:
        self.day, self.sender = day, sender

    def changed(self, rev: int, machine: Machine) -> None:
        self.day.listed(self.sender, machine)


def on_processes(folder: Path) -> Callable[..., World]:
    """What plays a scenario on real processes, whose files and logs lie in the folder."""

    def run(
        scenario: Scenario,
        seed: int,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        relays: int | None = None,
        made: Callable[[World], None] | None = None,
    ) -> World:
        async def play() -> World:
            day = Day(scenario, seed, folder, listeners, decider, relays)
            if made:
                made(day)
            try:
                await day.play()
            finally:
                await day.close()
            return day

        return asyncio.run(play())

    return run
