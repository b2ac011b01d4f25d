"""The whole world of a scenario: partners, directory, front, clients, senders, and what goes wrong."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np

from kestreltrack.decision import EndpointLifecycle, Policy
from kestreltrack.invariants.events import (
    DestinationOverloaded,
    Event,
    FaultChanged,
    Listener,
    MessageExecuted,
    SenderCrashed,
    SenderStarted,
)
from kestreltrack.ports import ListedEndpoint
from kestreltrack.sender.dispatcher import Decider
from kestreltrack.testing.emulator.calls import Request
from kestreltrack.testing.emulator.clients import Clients, Ingress, Traffic
from kestreltrack.testing.emulator.destination import SimulatedDestination, SimulatedEndpoint
from kestreltrack.testing.emulator.faults import FaultInjector
from kestreltrack.testing.emulator.fleet_members import (
    FleetParticipation,
    SimulatedDatagramNetwork,
    sender_groups,
)
from kestreltrack.testing.emulator.notifier import SimulatedNotifier
from kestreltrack.testing.emulator.random_streams import (
    RandomStreams,
    Sampler,
    apportion,
    lognormal_distribution,
)
from kestreltrack.testing.emulator.rate_limit import RateLimit
from kestreltrack.testing.emulator.scenario import (
    DestinationKindTable,
    InvalidScenarioError,
    Scenario,
    TargetedFaultTable,
)
from kestreltrack.testing.emulator.sender_settings import build_settings
from kestreltrack.testing.emulator.service_registry import ServiceRegistry, SimulatedEndpointSource
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender
from kestreltrack.testing.emulator.transport import SimulatedTransport
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time
from kestreltrack.testing.harness.links import LinkFault, Links

SETTLE_POLL_S = 0.25  # between looks whether all is answered


class Simulation:
    """One run of a scenario with one seed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
    ) -> None:
        """Draws all that holds for the day; `decider` may stand before each sender's module."""
        self.scenario = scenario
        self.random_streams = RandomStreams(seed)
        self.folder = folder
        self.seed = seed
        self.listeners = list(listeners)
        self._decider = decider
        self.loop = asyncio.get_running_loop()
        self._sender_count = sender_count or scenario.fleet.senders
        self.registry = ServiceRegistry(scenario.directory.pushed)
        self.traffic = self._draw_traffic()
        self.destinations = {n: self._draw_destination(n, kind) for n, kind in self.kinds.items()}
        self.endpoints = {e.uid: e for p in self.destinations.values() for e in p.endpoints}
        for endpoint in self.endpoints.values():
            self.registry.publish(self.listed_endpoint(endpoint))
        self.independent_destinations = frozenset(
            n for n, kind in self.kinds.items() if kind.routes == "apart"
        )
        self.settings = build_settings(scenario, self.random_streams, self._mean_work_ms, self._sender_count)
        """Of the first sender: others differ in their zone."""
        self.processes: list[SimulatedSender | None] = [None] * scenario.fleet.senders
        self.ingress = Ingress(self.processes, self.random_streams.uniform("front"))
        client_ms = self.random_streams.sampler(scenario.net.client_ms, "net", "clients")
        self.clients = Clients(
            scenario, self.random_streams, self.traffic, self.ingress, self.now, self.emit, client_ms
        )
        self._one_way_delays_ms = dict[tuple[int, int], float]()
        self._failure_detection_s = self.random_streams.sampler(scenario.front.notice_s, "front", "notice")
        self._incarnations = [0] * scenario.fleet.senders
        way_ms = self.random_streams.sampler(scenario.fleet.way_ms, "fleet", "way")
        names = sender_groups(scenario.fleet.senders, scenario.fleet.zones)
        self.fleet_network = (
            SimulatedDatagramNetwork(way_ms, scenario.fleet.loss, seed, names)
            if scenario.fleet.talk
            else None
        )
        self.fault_injector = FaultInjector(self)

    def now(self) -> float:
        """The clock, in ms."""
        return self.loop.time() * 1000.0

    def emit(self, event: Event) -> None:
        """Something happened."""
        now = self.now()
        for listener in self.listeners:
            listener(now, event)

    # Drawing the day -------------------------------------------------------------------------------

    def _draw_traffic(self) -> Traffic:
        """Partners in the order of their traffic: kinds that lean to the top come first, Zipf over all."""
        scenario = self.scenario
        rng = self.random_streams.generator("traffic")
        numbers = list(range(1, scenario.partners + 1))
        counts = apportion([kind.share for kind in scenario.kind], scenario.partners)
        ranked = list[tuple[float, DestinationKindTable]]()
        for kind, count in zip(scenario.kind, counts, strict=True):
            ranked += [(kind.lean + float(rng.random()), kind) for _ in range(count)]
        ranked.sort(key=lambda row: -row[0])
        self.kinds = {n: kind for n, (_, kind) in zip(numbers, ranked, strict=True)}
        exponent = Sampler(scenario.load.zipf, rng)()
        weights = np.array([1.0 / n**exponent for n in numbers])
        shares = dict[str, list[float]]()
        of_all = np.zeros(len(numbers))
        for cls in scenario.cls:
            allowed = np.array([not cls.kinds or self.kinds[n].name in cls.kinds for n in numbers])
            own = weights * allowed
            own = own / own.sum()
            of_all += cls.share * own
            shares[cls.name] = np.cumsum(own).tolist()
        self._mean_work_ms = {
            cls.name: self.random_streams.sampler(cls.work_ms, "class", cls.name, "work")()
            for cls in scenario.cls
        }
        work = {
            cls.name: self.random_streams.sampler(
                lognormal_distribution(self._mean_work_ms[cls.name], cls.cv), "work", cls.name
            )
            for cls in scenario.cls
        }
        rates = {n: float(of_all[n - 1]) * scenario.load.full for n in numbers}
        return Traffic(numbers, shares, self._assign_tenants(rates), rates, work)

    def _assign_tenants(self, rates: dict[int, float]) -> dict[int, str]:
        """Each partner belongs to one firm; the firms' sums come near to their shares."""
        if not self.scenario.firm:
            return dict.fromkeys(rates, "")
        total = sum(rates.values())
        given = {firm.name: 0.0 for firm in self.scenario.firm}
        found = dict[int, str]()
        for n in sorted(rates, key=lambda n: -rates[n]):
            least = min(self.scenario.firm, key=lambda firm: given[firm.name] / max(1e-9, firm.share))
            found[n] = least.name
            given[least.name] += rates[n] / total
        return found

    def mean_work_ms(self, number: int) -> float:
        """Milliseconds of work of a message to a partner, in the mean."""
        total = 0.0
        for cls in self.scenario.cls:
            shares = self.traffic.cumulative_shares[cls.name]
            own = shares[number - 1] - (shares[number - 2] if number > 1 else 0.0)
            total += cls.share * own * self.scenario.load.full * self._mean_work_ms[cls.name]
        return total / self.traffic.rate_of[number] if total else max(self._mean_work_ms.values())

    def _draw_destination(self, number: int, kind: DestinationKindTable) -> SimulatedDestination:
        rng = self.random_streams.generator("partner", number)

        def one(dist: Any) -> float:
            return Sampler(dist, rng)()

        least = one(kind.least_rate)
        rate = self.traffic.rate_of[number] * one(kind.headroom)
        span = one(kind.window_ms)
        depth = one(kind.depth_s)
        counts = self._counts_rejections(kind)

        def limit_of(part: float) -> RateLimit:
            return RateLimit(kind.limit, max(least, rate * part), span, depth, counts)

        limit = limit_of(1.0)
        scenario = self.scenario
        rules = self.scenario.rules
        partner = SimulatedDestination(
            number,
            kind.name,
            limit,
            self.loop,
            self.random_streams.uniform("partner", number, "chance"),
            rules.fall_multiple,
            rules.fall_ms,
        )
        partner.error_rate, partner.retry_after_probability = one(kind.error_rate), one(kind.tells_wait)
        partner.extra_retry_after_ms = one(kind.wait_ms) if kind.limit == "rate" else 0.0
        partner.warm_up_s, partner.cold_start_share = one(kind.cold_s), one(kind.cold_from)
        partner.deduplication_window_ms = kind.remembers_s * 1000.0
        partner.overload_outage_ms = rules.down_s * 1000.0
        partner.cancels_queued = rng.random() < 0.5
        partner.on_executed = lambda request, repeat: self.emit(
            MessageExecuted(request.id, number, repeat, request.work_ms)
        )
        partner.on_overload = lambda work, fallen: self.emit(DestinationOverloaded(number, work, fallen))
        spare = one(kind.spare)
        count = max(1, int(one(kind.endpoints)))
        routes = count if kind.routes == "apart" else 1
        calls = routes * max(least, rate / routes)
        partner.typical_work_ms = self.mean_work_ms(number)
        partner.health.capacity = max(1e-6, calls * partner.typical_work_ms / 1000.0 * spare)
        self._add_endpoints(partner, kind, count, rng)
        partner.max_batch_size = kind.batch
        partner.load_reports = scenario.knows.reports
        partner.batch_item_cost = self.random_streams.sampler(kind.item_cost, "partner", number, "item")()
        zones = scenario.fleet.zones
        first = self.random_streams.uniform("partner", number, "zone").integer_below(1 << 16)
        for n, endpoint in enumerate(partner.endpoints):
            endpoint.zone = zones[(first + n) % len(zones)]
        if kind.routes == "apart":
            fees = dict(zip(zones, scenario.fleet.zone_fees, strict=False))
            for endpoint in partner.endpoints:
                partner.split_health([endpoint])
                endpoint.rate_limit, endpoint.zone_cost = limit_of(1.0 / count), fees.get(endpoint.zone, 0.0)
        return partner

    def _counts_rejections(self, kind: DestinationKindTable) -> bool:
        return self.random_streams.sampler(kind.refused_count, "kind", kind.name, "refused")() >= 0.5

    def _add_endpoints(
        self,
        destination: SimulatedDestination,
        kind: DestinationKindTable,
        count: int,
        rng: np.random.Generator,
    ) -> None:
        """Cores by the usual speed, at least one each; what they are short of or over is their true speed."""
        speed = Sampler(kind.speed, rng)()
        cores = max(count, round(destination.health.capacity / speed))
        true = destination.health.capacity / cores
        for n in range(count):
            own = cores // count + (n < cores % count)
            queue = max(1, round(own * Sampler(kind.queue_per_core, rng)()))
            most = (
                max(Sampler(kind.least_conns, rng)(), own * Sampler(kind.conns, rng)())
                if kind.conns != 0
                else 0.0
            )
            destination.endpoints.append(
                SimulatedEndpoint(f"p{destination.number}-{n}", destination, own, queue, true, int(most))
            )

    def listed_endpoint(
        self, endpoint: SimulatedEndpoint, lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    ) -> ListedEndpoint:
        """As the list has it."""
        partner = endpoint.destination
        kind = self.kinds[partner.number]
        rough = self.random_streams.sampler(kind.rough, "rough", partner.number)()
        rate = (
            endpoint.rate_limit.rate_per_s if kind.limit != "none" else self.traffic.rate_of[partner.number]
        )
        told = {"none": 1.0, "rough": rate * rough, "exact": rate}[self.scenario.knows.weights]
        return ListedEndpoint(
            endpoint.uid, endpoint.uid, partner.number, kind.name, endpoint.zone, lifecycle, told
        )

    # Senders ---------------------------------------------------------------------------------------

    def _one_way_delay_ms(self, sender: int, dest: int) -> float:
        found = self._one_way_delays_ms.get((sender, dest))
        if found is None:
            rng = self.random_streams.generator("way", sender, dest)
            found = self._one_way_delays_ms[sender, dest] = Sampler(self.scenario.net.partner_ms, rng)() / 2.0
        return found

    def _request_lookup(self, sender: int) -> Callable[[str], Request]:
        def of(id_: str) -> Request:
            wanted = self.clients.requests[id_]
            return Request(
                id_, wanted.work_ms, wanted.cls.effect == "keyed", sender, wanted.cls.scope == "zone"
            )

        return of

    def start_sender(self, sender: int) -> None:
        """A process begins, in the folder that its last life left."""
        net = self.scenario.net
        life = self._incarnations[sender]
        self._incarnations[sender] += 1
        folder = self.folder / f"sender-{sender}"
        folder.mkdir(exist_ok=True)
        if not self.scenario.fleet.recovers:
            (folder / "journal").unlink(missing_ok=True)
        wires = SimulatedTransport(
            sender,
            self._find_endpoint,
            self._request_lookup(sender),
            lambda dest: self._one_way_delay_ms(sender, dest),
            self.random_streams.sampler(net.jitter, "jitter", sender, life),
            self.random_streams.sampler(net.handshake_rtts, "handshake", sender, life),
            net.keepalive_s * 1000.0,
            net.connect_ms,
            self.emit,
        )
        notice = self.random_streams.sampler(self.scenario.directory.notice_s, "notice", sender, life)
        told = SimulatedEndpointSource(self.registry, lambda: notice() * 1000.0, sender, self.emit)
        board = SimulatedNotifier(sender, self.emit, self.clients.on_nack)
        decider = self._decider
        zones = self.scenario.fleet.zones
        settings = replace(self.settings, zone=zones[sender % len(zones)])
        process = SimulatedSender(
            folder,
            settings,
            self.seed * 1000 + sender * 10 + life,
            wires,
            told,
            board,
            self.now,
            (lambda policy: decider(sender, policy)) if decider else None,
        )
        self.processes[sender] = process
        recovered = process.start()
        if self.fleet_network:
            desk = process.dispatcher
            process.fleet = FleetParticipation(
                self.fleet_network, sender, life, process.policy, desk.notify, self.now, process.telemetry
            )
        self.ingress.known_dead.discard(sender)
        self.emit(SenderStarted(sender, recovered))

    def _find_endpoint(self, uid: str) -> SimulatedEndpoint | None:
        found = self.endpoints.get(uid)
        return found if found and not found.removed else None

    async def crash(self, sender: int, away_s: float) -> None:
        """A process dies, and comes back after a while."""
        process = self.processes[sender]
        if process is None:
            return
        self.processes[sender] = None
        self.emit(SenderCrashed(sender))
        self.loop.call_later(self._failure_detection_s(), self._mark_dead, sender)
        await process.kill()
        await asyncio.sleep(away_s)
        self.start_sender(sender)

    def _mark_dead(self, sender: int) -> None:
        if self.processes[sender] is None:
            self.ingress.known_dead.add(sender)

    # Faults between and on processes ---------------------------------------------------------------

    def links(self) -> Links:
        """Those that faults can be put on; raises `BadScenario` where there are none."""
        if self.fleet_network is None:
            raise InvalidScenarioError("fault.between: without fleet.talk nothing passes between senders")
        return self.fleet_network.links

    def check_faults(self) -> None:
        """Raises `BadScenario` for one that is not played here."""
        if set(self.scenario.fleet.clocks) != {1.0}:
            raise InvalidScenarioError("fleet.clocks: all senders have the one clock here")
        for fault in self.scenario.fault:
            beyond = [name for name in fault.between if name != "*" and not self._senders_named(name)]
            if fault.between and self.links() and beyond:
                raise InvalidScenarioError(
                    f"fault.between: {beyond[0]}: only links between senders are played here"
                )
            if fault.reset or fault.bytes_s:
                raise InvalidScenarioError(
                    "fault.reset, fault.bytes_s: only datagrams pass between senders here"
                )
            if fault.process in ("stop", "pause") or fault.emptied:
                raise InvalidScenarioError(
                    f"fault.process: {fault.process}: only kill, with the folder kept, is played here"
                )

    def _senders_named(self, name: str) -> list[int]:
        """Numbers of the senders of a name or group."""
        among = sender_groups(len(self.processes), self.scenario.fleet.zones).get(name, {name})
        return [n for n in range(len(self.processes)) if f"s{n + 1}" in among]

    async def _inject_fault(self, table: TargetedFaultTable) -> None:
        await asyncio.sleep(table.at_s)
        if table.process:
            who = sorted({n for name in table.who for n in self._senders_named(name)})
            await asyncio.gather(*(self.inject_process_fault(n, table) for n in who))
            return
        one, other = table.between
        fault = LinkFault(
            table.cut,
            table.loss,
            table.delay_ms,
            table.jitter_ms,
            table.repeat,
            table.late_ms,
            table.reset,
            table.bytes_s,
        )
        self.links().inject(one, other, fault, bidirectional=not table.one_way)
        await asyncio.sleep(table.for_s)
        self.links().heal(one, other)

    async def inject_process_fault(self, sender: int, table: TargetedFaultTable) -> None:
        """A fault on a sender's process, to its end."""
        await self.crash(sender, table.for_s)

    async def registry_outage(self, duration_s: float) -> None:
        """The directory tells nothing for so many seconds."""
        self.registry.unavailable_until = self.now() + duration_s * 1000.0
        self.emit(FaultChanged("registry", "", True))
        for process in self.processes:
            if process is not None:
                process.endpoint_source.disconnect()
        await asyncio.sleep(duration_s)
        self.emit(FaultChanged("registry", "", False))

    # Playing ---------------------------------------------------------------------------------------

    async def start_all(self) -> None:
        """Start all senders."""
        self.check_faults()
        for sender in range(len(self.processes)):
            self.start_sender(sender)

    async def stop_all(self) -> None:
        """The day is over."""
        for process in self.processes:
            if process is not None:
                await process.kill()

    async def run(self) -> None:
        """The day, until all is answered or its tail is over."""
        await self.start_all()
        troubles = [
            asyncio.create_task(self.fault_injector.inject(n, table))
            for n, table in enumerate(self.scenario.trouble)
        ]
        troubles += [asyncio.create_task(self._inject_fault(table)) for table in self.scenario.fault]
        helpers = [asyncio.create_task(self.fault_injector.drain_endpoints())]
        await self.clients.generate_arrivals()
        until = self.loop.time() + self.scenario.day.tail_s
        while self.loop.time() < until and (self.clients.is_active() or self.has_pending_messages()):
            await asyncio.sleep(SETTLE_POLL_S)
        for task in (*troubles, *helpers):
            task.cancel()
        await asyncio.gather(*troubles, *helpers, return_exceptions=True)
        await self.stop_all()

    def has_pending_messages(self) -> bool:
        """Whether any sender holds a message, or is away."""
        return any(process is None or process.journal.outstanding for process in self.processes)

    def counters(self) -> dict[str, int]:
        """Troubles that the senders of the last lives counted."""
        found = dict[str, int]()
        for process in self.processes:
            for name, count in (process.telemetry.counters if process else {}).items():
                found[name] = found.get(name, 0) + count
        return found


def emulate(
    scenario: Scenario,
    seed: int,
    listeners: tuple[Listener, ...] = (),
    decider: Callable[[int, Policy], Decider] | None = None,
    sender_count: int | None = None,
    on_created: Callable[[Simulation], None] | None = None,
) -> Simulation:
    """Play a scenario to its end on a driven clock; `made` hears of the world before it begins."""

    async def play(folder: Path) -> Simulation:
        world = Simulation(scenario, seed, folder, listeners, decider, sender_count)
        if on_created:
            on_created(world)
        await world.run()
        return world

    with tempfile.TemporaryDirectory(prefix="kestreltrack-emulator-") as folder:
        return run_in_virtual_time(play(Path(folder)))
