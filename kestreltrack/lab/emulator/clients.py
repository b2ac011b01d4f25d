"""Firms that hand in messages, with retries, and the front layer that spreads them over the senders."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from kestreltrack.lab.emulator.process import Process
from kestreltrack.lab.emulator.scenario import ClassTable, Scenario
from kestreltrack.lab.emulator.streams import Chance, Draws, Streams
from kestreltrack.ports import Message, Rejected
from kestreltrack.ports import TakenOn as Yes
from kestreltrack.ports import TurnedAway as No
from kestreltrack.rules.happened import Asked, Event, HandedIn, TakenOn, TurnedAway

WAVE_S = 20.0  # of the slow wave over the day
ASK_AGAIN_MS = 20.0  # of the front, where it knows of no live sender


@dataclass(slots=True)
class Wanted:
    """A message that a client wants delivered."""

    id: str
    cls: ClassTable
    dest: int
    firm: str
    work_ms: float
    deadline: float
    tries_left: int
    backoff_ms: float
    honours: bool
    sender: int = -1
    """Who holds it, if anyone."""
    over: bool = False


@dataclass(slots=True)
class Traffic:
    """Who gets how much: the partners' shares of the traffic by class, and their firms."""

    partners: list[int]
    shares: dict[str, list[float]]
    """Cumulated, by class."""
    firm_of: dict[int, str]
    rate_of: dict[int, float]
    """Messages a second at full load, by partner."""
    work_of: dict[str, Draws] = field(default_factory=dict)

    def pick(self, cls: str, u: float) -> int:
        """A partner for a message of a class."""
        shares = self.shares[cls]
        low, high = 0, len(shares) - 1
        while low < high:
            middle = (low + high) // 2
            if shares[middle] <= u:
                low = middle + 1
            else:
                high = middle
        return self.partners[low]


class Front:
    """Spreads messages over the senders; notices late that one has died."""

    def __init__(self, processes: list[Process | None], chance: Chance) -> None:
        """Knows all of them as alive."""
        self.processes, self._chance = processes, chance
        self.dead = set[int]()

    def pick(self) -> int:
        """A sender that is taken for alive, or -1."""
        live = [n for n in range(len(self.processes)) if n not in self.dead]
        return live[self._chance.below(len(live))] if live else -1


class Clients:
    """All firms together: an open loop of first tries, and each one's retries."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        traffic: Traffic,
        front: Front,
        now: Callable[[], float],
        tell: Callable[[Event], None],
        delay_ms: Draws,
    ) -> None:
        """Draws what holds for the day."""
        self._scenario, self._traffic, self._front = scenario, traffic, front
        self._now, self._tell, self._delay = now, tell, delay_ms
        load, clients = scenario.load, scenario.clients
        self._gaps, self._pick = streams.chance("arrivals", "gap"), streams.chance("arrivals", "who")
        self._clumps = streams.chance("arrivals", "clump")
        self._clump_s = streams.draws(load.clump_s, "arrivals", "clump", "size")
        day = streams.rng("day")
        self.level = Draws(load.level, day)()
        self._swing, self._phase = Draws(load.swing, day)(), float(day.random())
        self._retries = streams.draws(clients.retries, "clients", "retries")
        self._backoff_ms = streams.draws(clients.backoff_ms, "clients", "backoff")()
        self._honour = streams.draws(clients.honour, "clients", "honour")()
        self._chance = streams.chance("clients", "chance")
        self._again = streams.draws(clients.again_ms, "clients", "again")
        self._over_share = {
            firm.name: Bucket(firm.share * load.full / 1000.0, 1000.0) for firm in scenario.firm
        }
        self._usage = {firm.name: streams.draws(firm.usage, "firm", firm.name)() for firm in scenario.firm}
        self.wanted = dict[str, Wanted]()
        self._tasks = set[asyncio.Task[None]]()
        self.count = 0

    def rate(self, at_s: float) -> float:
        """Messages a second at a time of the day."""
        load, part = self._scenario.load, at_s / self._scenario.day.length_s
        wave = 1.0 + self._swing * math.sin(2.0 * math.pi * (at_s / WAVE_S + self._phase))
        if load.shape == "steady":
            wave = 1.0
        elif load.shape == "rising":
            wave = 0.4 + 1.2 * part
        return load.full * self.level * wave

    async def arrive(self) -> None:
        """First tries, from the first second to the day's end."""
        loop, scenario = asyncio.get_running_loop(), self._scenario
        began = loop.time()
        while (at := loop.time() - began) < scenario.day.length_s:
            rate = max(1e-6, self.rate(at))
            clump = self._clumps() < self._clump_chance()
            await asyncio.sleep(-math.log(1.0 - self._gaps()) / (rate * self._thinned()))
            if clump:
                dest = self._draw()[1]
                size = max(2, round(self._traffic.rate_of[dest] * self._clump_s()))
                for _ in range(size):
                    self._want(*self._draw(dest))
            else:
                self._want(*self._draw())

    def _mean_clump(self) -> float:
        clump_s = self._scenario.load.clump_s
        mean = sum(clump_s) / 2.0 if isinstance(clump_s, tuple) else float(clump_s)  # type: ignore[arg-type]
        rates = list(self._traffic.rate_of.values())
        return max(2.0, mean * sum(r * r for r in rates) / max(1e-9, sum(rates)))

    def _clump_chance(self) -> float:
        """Of an arrival to be a clump, so that the part of messages in clumps is as said."""
        part = self._scenario.load.clumps
        return part / (part + (1.0 - part) * self._mean_clump()) if part else 0.0

    def _thinned(self) -> float:
        """Arrivals for each message: fewer, where some are clumps."""
        chance = self._clump_chance()
        return 1.0 / (1.0 - chance + chance * self._mean_clump())

    def _draw(self, dest: int | None = None) -> tuple[ClassTable, int]:
        classes = self._scenario.cls
        u = self._pick()
        for cls in classes:
            if u < cls.share or cls is classes[-1]:
                break
            u -= cls.share
        if dest is None:
            return cls, self._traffic.pick(cls.name, self._pick())
        allowed = [c for c in classes if dest in self._served(c.name)]
        return (cls if cls in allowed else allowed[0]), dest

    def _served(self, cls: str) -> set[int]:
        shares, last, found = self._traffic.shares[cls], 0.0, set[int]()
        for partner, upto in zip(self._traffic.partners, shares, strict=True):
            if upto > last:
                found.add(partner)
            last = upto
        return found

    def _want(self, cls: ClassTable, dest: int) -> None:
        now, firm = self._now(), self._traffic.firm_of[dest]
        self.count += 1
        bucket = self._over_share.get(firm)
        within = bucket is None or bucket.take(now, 1.0 / max(0.05, self._usage[firm]))
        wanted = Wanted(
            f"m{self.count:06d}",
            cls,
            dest,
            firm,
            self._traffic.work_of[cls.name](),
            now + cls.deadline_ms,
            int(self._retries()),
            self._backoff_ms,
            self._chance() < self._honour,
        )
        self.wanted[wanted.id] = wanted
        self._tell(Asked(wanted.id, dest, cls.name, firm, within, wanted.deadline))
        self._go(wanted)

    def _go(self, wanted: Wanted) -> None:
        task = asyncio.create_task(self._try(wanted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try(self, wanted: Wanted) -> None:
        """One message until it is taken on, given up, or its time is over."""
        while not wanted.over and self._now() < wanted.deadline - 1.0:
            sender = self._front.pick()
            if sender < 0:
                await asyncio.sleep(ASK_AGAIN_MS / 1000.0)
                continue
            await asyncio.sleep(self._delay() / 1000.0)
            process = self._front.processes[sender]
            if process is None:  # dead, and the front does not know yet
                await asyncio.sleep(self._again() / 1000.0)
                continue
            self._tell(HandedIn(wanted.id, sender))
            cls, dest = wanted.cls, wanted.dest
            key = wanted.id if cls.effect == "keyed" else None
            message = Message(wanted.id, cls.name, dest, wanted.deadline, b"", wanted.firm or None, None, key)
            answer = await process.submit(message)
            if answer is None:
                await asyncio.sleep(self._again() / 1000.0)
                continue
            if isinstance(answer, Yes):
                wanted.sender = sender
                self._tell(TakenOn(wanted.id, sender))
                return
            wait = (answer.wait_ms or 0.0) if isinstance(answer, No) else 0.0
            self._tell(TurnedAway(wanted.id, sender, wait))
            if isinstance(answer, Rejected) or not await self._backed_off(wanted, wait):
                wanted.over = True
                return

    async def _backed_off(self, wanted: Wanted, told_ms: float) -> bool:
        """Wait before another try; false where there is none."""
        if wanted.tries_left <= 0:
            return False
        wanted.tries_left -= 1
        wait = wanted.backoff_ms * (0.5 + self._chance())
        if wanted.honours and told_ms > 0:
            wait = min(told_ms, self._scenario.clients.most_wait_ms) * (1.0 + 0.2 * self._chance())
        if self._scenario.clients.backoff == "exp":
            wanted.backoff_ms *= 2.0
        await asyncio.sleep(wait / 1000.0)
        return True

    def handed_back(self, id_: str, wait_ms: float) -> None:
        """A requeue notice: the client tries again."""
        wanted = self.wanted[id_]
        wanted.sender = -1
        task = asyncio.create_task(self._again_after(wanted, wait_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _again_after(self, wanted: Wanted, wait_ms: float) -> None:
        if await self._backed_off(wanted, wait_ms):
            await self._try(wanted)
        else:
            wanted.over = True

    def busy(self) -> bool:
        """Whether any client still tries."""
        return bool(self._tasks)


class Bucket:
    """A firm's share: tokens at a rate, one second of them deep."""

    def __init__(self, rate_ms: float, depth_ms: float) -> None:
        """Full."""
        self._rate, self._most = rate_ms, max(1.0, rate_ms * depth_ms)
        self._tokens, self._at = self._most, 0.0

    def take(self, now: float, cost: float = 1.0) -> bool:
        """Whether one more lies within the share; `cost` is below 1 for a firm that asks for more than its share."""
        self._tokens = min(self._most, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= min(1.0, max(0.0, cost)) if cost < 1.0 else 1.0
        return True
