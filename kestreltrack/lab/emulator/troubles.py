"""What goes wrong in a world, and what changes in it: outages of partners and senders, drains."""

from __future__ import annotations

import asyncio
from typing import Protocol

import numpy as np

from kestreltrack.decision import api
from kestreltrack.lab.emulator.clients import Traffic
from kestreltrack.lab.emulator.partner import Endpoint, Partner
from kestreltrack.lab.emulator.ports import Registry
from kestreltrack.lab.emulator.process import Process
from kestreltrack.lab.emulator.scenario import KindTable, Scenario, TroubleTable
from kestreltrack.lab.emulator.streams import Draws, Streams
from kestreltrack.ports import Machine
from kestreltrack.rules.happened import Went


class World(Protocol):
    """What troubles happen to; the world itself knows its troubles, so they name but what they touch."""

    scenario: Scenario
    streams: Streams
    traffic: Traffic
    registry: Registry
    partners: dict[int, Partner]
    endpoints: dict[str, Endpoint]
    kinds: dict[int, KindTable]
    processes: list[Process | None]

    def tell(self, event: Went) -> None:
        """Note what began or ended."""

    def machine(self, endpoint: Endpoint, state: api.Lifecycle = api.Lifecycle.UP) -> Machine:
        """An endpoint as it stands on the list."""

    async def crash(self, sender: int, away_s: float) -> None:
        """Kill a sender; it is back after so long."""

    async def registry_away(self, lasts_s: float) -> None:
        """The list service answers nobody for so long."""


class Troubles:
    """All of one day."""

    def __init__(self, world: World) -> None:
        """Nothing goes wrong yet."""
        self.world = world
        self._struck, self._replaced = set[int](), 0

    async def play(self, n: int, table: TroubleTable) -> None:
        """One trouble, the `n`th of the scenario, from its beginning to its end."""
        rng = self.world.streams.rng("trouble", n)
        at, lasts = Draws(table.at_s, rng)(), Draws(table.for_s, rng)()
        part, size = Draws(table.part, rng)(), Draws(table.size, rng)()
        await asyncio.sleep(at)
        if table.kind in ("crash", "roll"):
            await self._senders_fail(table, lasts, part, size, rng)
            return
        if table.kind == "registry":
            await self.world.registry_away(lasts)
            return
        every_ms, struck = Draws(table.every_s, rng)() * 1000.0, self._targets(table, part, rng)
        for number, endpoints in struck.items():
            self.world.partners[number].begin(table.kind, lasts * 1000.0, size, endpoints, every_ms)
        who, ends = ", ".join(map(str, struck)), tuple(e.uid for found in struck.values() for e in found)
        self.world.tell(Went(table.kind, who, True, ends))
        await asyncio.sleep(lasts)
        self.world.tell(Went(table.kind, who, False, ends))

    def _targets(
        self, table: TroubleTable, part: float, rng: np.random.Generator
    ) -> dict[int, list[Endpoint]]:
        """Partners, drawn, that get about this part of the traffic together, with the endpoints that are struck.

        One at least, where any is left: a partner has one trouble a day.
        """
        total, sum_, zone, kinds = (
            sum(self.world.traffic.rate_of.values()),
            0.0,
            "",
            list(self.world.scenario.kind),
        )
        if table.by == "zone":
            zone = self.world.scenario.fleet.zones[int(rng.integers(len(self.world.scenario.fleet.zones)))]
        elif table.by == "kind":
            kinds = [kinds[int(rng.integers(len(kinds)))]]
        found, open_ = dict[int, list[Endpoint]](), dict[int, tuple[float, list[Endpoint]]]()
        for n in rng.permutation(self.world.traffic.partners).tolist():
            alive = [e for e in self.world.partners[n].endpoints if not e.gone]
            hit = [e for e in alive if not zone or e.zone == zone]
            if hit and n not in self._struck and self.world.kinds[n] in kinds:
                if table.whole < 1.0 and not zone and rng.random() >= table.whole:
                    hit = hit[: max(1, len(hit) // 2)]
                open_[n] = self.world.traffic.rate_of[n] / total * len(hit) / len(alive), hit
        for n, (share, hit) in open_.items():
            if sum_ + share <= part * 1.15:
                found[n], sum_ = hit, sum_ + share
            if sum_ >= part * 0.85:
                break
        if open_ and not found:
            n = min(open_, key=lambda n: abs(open_[n][0] - part))
            found = {n: open_[n][1]}
        self._struck |= found.keys()
        return dict(sorted(found.items()))

    async def _senders_fail(
        self, table: TroubleTable, lasts: float, part: float, size: float, rng: np.random.Generator
    ) -> None:
        kind = table.kind
        count = max(1, round(part * len(self.world.processes)))
        chosen = rng.permutation(len(self.world.processes))[:count].tolist()
        self.world.tell(Went(kind, ", ".join(map(str, chosen)), True))
        if kind == "crash":
            await asyncio.gather(*(self.world.crash(sender, lasts) for sender in chosen))
        else:
            at_once = max(1, round(size * len(self.world.processes)))
            groups = [chosen[n : n + at_once] for n in range(0, len(chosen), at_once)]
            away = Draws(table.away_s, rng)()
            for group in groups:
                await asyncio.gather(*(self.world.crash(sender, away) for sender in group))
                await asyncio.sleep(max(0.0, lasts / len(groups) - away))
        self.world.tell(Went(kind, ", ".join(map(str, chosen)), False))

    async def drains(self) -> None:
        """All day, one endpoint after another drains, goes, and another one takes its place."""
        directory, rng = self.world.scenario.directory, self.world.streams.rng("drains")
        gaps, lasts = Draws(directory.drains_every_s, rng), Draws(directory.drain_s, rng)
        while (gap := gaps()) > 0:
            await asyncio.sleep(gap)
            many = [
                p
                for p in self.world.partners.values()
                if len([e for e in p.endpoints if e.state == "up"]) > 1
            ]
            if not many:
                continue
            partner = many[int(rng.integers(len(many)))]
            up = [e for e in partner.endpoints if e.state == "up"]
            asyncio.get_running_loop().create_task(self._replace(up[int(rng.integers(len(up)))], lasts()))

    async def _replace(self, old: Endpoint, lasts_s: float) -> None:
        partner = old.partner
        old.state = "draining"
        self.world.registry.change(self.world.machine(old, api.Lifecycle.DRAINING))
        await asyncio.sleep(lasts_s + 4.0)
        self.world.registry.change(self.world.machine(old, api.Lifecycle.REMOVED))
        old.state, old.gone = "removed", True
        self._replaced += 1
        new = Endpoint(
            f"p{partner.number}-r{self._replaced}",
            partner,
            old.cores,
            old.queue,
            old.speed,
            old.most_connections,
        )
        new.limit, new.health, new.zone, new.fee = old.limit, old.health, old.zone, old.fee
        partner.endpoints.append(new)
        self.world.endpoints[new.uid] = new
        self.world.registry.change(self.world.machine(new))
