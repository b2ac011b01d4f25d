"""The simulation of a scenario: destinations, service registry, ingress, clients, senders and faults."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from kestreltrack.decision import EndpointLifecycle, Policy
from kestreltrack.invariants.events import Event, FaultChanged, Listener, SenderCrashed, SenderStarted
from kestreltrack.ports import ListedEndpoint
from kestreltrack.sender.dispatcher import Decider
from kestreltrack.testing.emulator.calls import Request
from kestreltrack.testing.emulator.clients import Clients, Ingress
from kestreltrack.testing.emulator.deployment import Deployment
from kestreltrack.testing.emulator.destination import SimulatedEndpoint
from kestreltrack.testing.emulator.faults import FaultInjector
from kestreltrack.testing.emulator.fleet_members import (
    FleetParticipation,
    SimulatedDatagramNetwork,
    sender_groups,
)
from kestreltrack.testing.emulator.notifier import SimulatedNotifier
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler
from kestreltrack.testing.emulator.scenario import InvalidScenarioError, Scenario, TargetedFaultTable
from kestreltrack.testing.emulator.sender_settings import build_settings
from kestreltrack.testing.emulator.service_registry import ServiceRegistry, SimulatedEndpointSource
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender
from kestreltrack.testing.emulator.transport import SimulatedTransport
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time
from kestreltrack.testing.harness.links import LinkFault, Links

# Interval between checks of whether every message has its final answer.
SETTLE_POLL_S = 0.25


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
        """Create the deployment, and draw the random values that stay constant during a run.

        `decider` may wrap or replace the policy of each sender.  `sender_count` is the number of senders that each
        sender assumes; the default is the actual number.
        """
        self.scenario = scenario
        self.random_streams = RandomStreams(seed)
        self.folder = folder
        self.seed = seed
        self.listeners = list(listeners)
        self._decider = decider
        self.loop = asyncio.get_running_loop()
        self._sender_count = sender_count or scenario.fleet.senders
        self.deployment = Deployment(scenario, self.random_streams, self.loop, self.emit)
        self.traffic = self.deployment.traffic
        self.kinds = self.deployment.kinds
        self.destinations = self.deployment.destinations
        self.endpoints = {
            endpoint.uid: endpoint
            for destination in self.destinations.values()
            for endpoint in destination.endpoints
        }
        self.registry = self._create_registry()
        self.independent_destinations = frozenset(
            number for number, kind in self.kinds.items() if kind.routes == "apart"
        )
        self.settings = build_settings(
            scenario, self.random_streams, self.deployment.mean_work_ms_of_class, self._sender_count
        )
        """The settings of the first sender; other senders differ in their zone."""
        self.processes: list[SimulatedSender | None] = [None] * scenario.fleet.senders
        """The running process of each sender; None while it is down."""
        self.ingress = Ingress(self.processes, self.random_streams.uniform("front"))
        self.clients = self._create_clients()
        self._one_way_delays_ms = dict[tuple[int, int], float]()
        self._failure_detection_s = self.random_streams.sampler(scenario.front.notice_s, "front", "notice")
        self._incarnations = [0] * scenario.fleet.senders
        self.fleet_network = self._create_fleet_network() if scenario.fleet.talk else None
        self.fault_injector = FaultInjector(self)

    def _create_registry(self) -> ServiceRegistry:
        registry = ServiceRegistry(self.scenario.directory.pushed)
        for endpoint in self.endpoints.values():
            registry.publish(self.listed_endpoint(endpoint))
        return registry

    def _create_clients(self) -> Clients:
        delay_ms = self.random_streams.sampler(self.scenario.net.client_ms, "net", "clients")
        return Clients(
            self.scenario, self.random_streams, self.traffic, self.ingress, self.now, self.emit, delay_ms
        )

    def _create_fleet_network(self) -> SimulatedDatagramNetwork:
        fleet = self.scenario.fleet
        one_way_delay_ms = self.random_streams.sampler(fleet.way_ms, "fleet", "way")
        groups = sender_groups(fleet.senders, fleet.zones)
        return SimulatedDatagramNetwork(one_way_delay_ms, fleet.loss, self.seed, groups)

    def now(self) -> float:
        """Return the time of the clock, in milliseconds."""
        return self.loop.time() * 1000.0

    def emit(self, event: Event) -> None:
        """Pass an event to the listeners."""
        now = self.now()
        for listener in self.listeners:
            listener(now, event)

    def mean_work_ms(self, number: int) -> float:
        """Return the mean work (ms) of a message to a destination."""
        return self.deployment.mean_work_ms(number)

    def listed_endpoint(
        self, endpoint: SimulatedEndpoint, lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    ) -> ListedEndpoint:
        """Return the list entry of an endpoint, with its rate at the accuracy that the scenario sets."""
        destination = endpoint.destination
        kind = self.kinds[destination.number]
        has_limit = kind.limit != "none"
        rate = endpoint.rate_limit.rate_per_s if has_limit else self.traffic.rate_of[destination.number]
        match self.scenario.knows.weights:
            case "none":
                listed_rate = 1.0
            case "rough":
                error_factor = self.random_streams.sampler(kind.rough, "rough", destination.number)()
                listed_rate = rate * error_factor
            case "exact":
                listed_rate = rate
        return ListedEndpoint(
            endpoint.uid, endpoint.uid, destination.number, kind.name, endpoint.zone, lifecycle, listed_rate
        )

    # Senders ---------------------------------------------------------------------------------------

    def _one_way_delay_ms(self, sender: int, dest: int) -> float:
        """Return the delay between a sender and a destination, which is constant during a run."""
        delay_ms = self._one_way_delays_ms.get((sender, dest))
        if delay_ms is None:
            rng = self.random_streams.generator("way", sender, dest)
            delay_ms = Sampler(self.scenario.net.partner_ms, rng)() / 2.0
            self._one_way_delays_ms[sender, dest] = delay_ms
        return delay_ms

    def _request_lookup(self, sender: int) -> Callable[[str], Request]:
        def request_for(message_id: str) -> Request:
            request = self.clients.requests[message_id]
            has_key = request.cls.effect == "keyed"
            return Request(message_id, request.work_ms, has_key, sender, request.cls.scope == "zone")

        return request_for

    def start_sender(self, sender: int) -> None:
        """Start a sender's process in the folder of its previous incarnation."""
        incarnation = self._incarnations[sender]
        self._incarnations[sender] += 1
        process = self._create_process(sender, incarnation)
        self.processes[sender] = process
        recovered_count = process.start()
        if self.fleet_network:
            process.fleet = FleetParticipation(
                self.fleet_network,
                sender,
                incarnation,
                process.policy,
                process.dispatcher.notify,
                self.now,
                process.telemetry,
            )
        self.ingress.known_dead.discard(sender)
        self.emit(SenderStarted(sender, recovered_count))

    def _create_process(self, sender: int, incarnation: int) -> SimulatedSender:
        folder = self.folder / f"sender-{sender}"
        folder.mkdir(exist_ok=True)
        if not self.scenario.fleet.recovers:
            (folder / "journal").unlink(missing_ok=True)
        zones = self.scenario.fleet.zones
        decider = self._decider
        return SimulatedSender(
            folder,
            replace(self.settings, zone=zones[sender % len(zones)]),
            self.seed * 1000 + sender * 10 + incarnation,
            self._create_transport(sender, incarnation),
            self._create_endpoint_source(sender, incarnation),
            SimulatedNotifier(sender, self.emit, self.clients.on_nack),
            self.now,
            (lambda policy: decider(sender, policy)) if decider else None,
        )

    def _create_transport(self, sender: int, incarnation: int) -> SimulatedTransport:
        net = self.scenario.net
        streams = self.random_streams
        return SimulatedTransport(
            sender,
            self._find_endpoint,
            self._request_lookup(sender),
            lambda dest: self._one_way_delay_ms(sender, dest),
            streams.sampler(net.jitter, "jitter", sender, incarnation),
            streams.sampler(net.handshake_rtts, "handshake", sender, incarnation),
            net.keepalive_s * 1000.0,
            net.connect_ms,
            self.emit,
        )

    def _create_endpoint_source(self, sender: int, incarnation: int) -> SimulatedEndpointSource:
        delay_s = self.random_streams.sampler(self.scenario.directory.notice_s, "notice", sender, incarnation)
        return SimulatedEndpointSource(self.registry, lambda: delay_s() * 1000.0, sender, self.emit)

    def _find_endpoint(self, uid: str) -> SimulatedEndpoint | None:
        endpoint = self.endpoints.get(uid)
        return endpoint if endpoint and not endpoint.removed else None

    async def crash(self, sender: int, away_s: float) -> None:
        """Kill a sender's process, and restart it after `away_s` seconds."""
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
        """Return the links on which faults can be injected.

        Raises:
            InvalidScenarioError: The senders of the scenario do not communicate.
        """
        if self.fleet_network is None:
            raise InvalidScenarioError("fault.between: senders do not communicate without fleet.talk")
        return self.fleet_network.links

    def check_faults(self) -> None:
        """Check that all targeted faults can be simulated.

        Raises:
            InvalidScenarioError: One of them cannot.
        """
        if set(self.scenario.fleet.clocks) != {1.0}:
            raise InvalidScenarioError("fleet.clocks: all senders share one clock in the emulator")
        for fault in self.scenario.fault:
            self._check_fault(fault)

    def _check_fault(self, fault: TargetedFaultTable) -> None:
        unknown = [name for name in fault.between if name != "*" and not self._senders_named(name)]
        if fault.between and self.links() and unknown:
            raise InvalidScenarioError(
                f"fault.between: {unknown[0]}: only links between senders can be simulated"
            )
        if fault.reset or fault.bytes_s:
            raise InvalidScenarioError(
                "fault.reset, fault.bytes_s: simulated senders exchange datagrams only"
            )
        if fault.process in ("stop", "pause") or fault.emptied:
            raise InvalidScenarioError(
                f"fault.process: {fault.process}: only kill, with the folder kept, can be simulated"
            )

    def _senders_named(self, name: str) -> list[int]:
        """Return the numbers of the senders with a name or in a group."""
        names = sender_groups(len(self.processes), self.scenario.fleet.zones).get(name, {name})
        return [n for n in range(len(self.processes)) if f"s{n + 1}" in names]

    async def _inject_fault(self, table: TargetedFaultTable) -> None:
        await asyncio.sleep(table.at_s)
        if table.process:
            senders = sorted({n for name in table.who for n in self._senders_named(name)})
            await asyncio.gather(*(self.inject_process_fault(sender, table) for sender in senders))
        else:
            await self._inject_link_fault(table)

    async def _inject_link_fault(self, table: TargetedFaultTable) -> None:
        first, second = table.between
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
        self.links().inject(first, second, fault, bidirectional=not table.one_way)
        await asyncio.sleep(table.for_s)
        self.links().heal(first, second)

    async def inject_process_fault(self, sender: int, table: TargetedFaultTable) -> None:
        """Inject a fault of a sender's process, and return after its end."""
        await self.crash(sender, table.for_s)

    async def registry_outage(self, duration_s: float) -> None:
        """Make the service registry unavailable for `duration_s` seconds."""
        self.registry.unavailable_until = self.now() + duration_s * 1000.0
        self.emit(FaultChanged("registry", "", True))
        for process in self.processes:
            if process is not None:
                process.endpoint_source.disconnect()
        await asyncio.sleep(duration_s)
        self.emit(FaultChanged("registry", "", False))

    # Running ---------------------------------------------------------------------------------------

    async def start_all(self) -> None:
        """Start all senders.

        Raises:
            InvalidScenarioError: A targeted fault cannot be simulated.
        """
        self.check_faults()
        for sender in range(len(self.processes)):
            self.start_sender(sender)

    async def stop_all(self) -> None:
        """Kill all senders at the end of the run."""
        for process in self.processes:
            if process is not None:
                await process.kill()

    async def run(self) -> None:
        """Run the scenario, then wait until every message has its final answer or the tail has elapsed."""
        await self.start_all()
        tasks = self._start_faults()
        await self.clients.generate_arrivals()
        await self._settle()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.stop_all()

    def _start_faults(self) -> list[asyncio.Task[None]]:
        tasks = [
            asyncio.create_task(self.fault_injector.inject(n, table))
            for n, table in enumerate(self.scenario.trouble)
        ]
        tasks += [asyncio.create_task(self._inject_fault(table)) for table in self.scenario.fault]
        tasks.append(asyncio.create_task(self.fault_injector.drain_endpoints()))
        return tasks

    async def _settle(self) -> None:
        ends_at_s = self.loop.time() + self.scenario.day.tail_s
        while self.loop.time() < ends_at_s and (self.clients.is_active() or self.has_pending_messages()):
            await asyncio.sleep(SETTLE_POLL_S)

    def has_pending_messages(self) -> bool:
        """Return whether any sender is down or has an outstanding message."""
        return any(process is None or process.journal.outstanding for process in self.processes)

    def counters(self) -> dict[str, int]:
        """Return the summed counters of the senders' last incarnations; a sender that is down is left out."""
        totals = dict[str, int]()
        for process in self.processes:
            if process is None:
                continue
            for name, count in process.telemetry.counters.items():
                totals[name] = totals.get(name, 0) + count
        return totals


def emulate(
    scenario: Scenario,
    seed: int,
    listeners: tuple[Listener, ...] = (),
    decider: Callable[[int, Policy], Decider] | None = None,
    sender_count: int | None = None,
    on_created: Callable[[Simulation], None] | None = None,
) -> Simulation:
    """Run a scenario to its end in virtual time, and return the simulation.

    `on_created` is called with the simulation before it starts; for the other parameters see `Simulation`.

    Raises:
        InvalidScenarioError: The scenario has a fault that cannot be simulated.
    """

    async def simulate(folder: Path) -> Simulation:
        simulation = Simulation(scenario, seed, folder, listeners, decider, sender_count)
        if on_created:
            on_created(simulation)
        await simulation.run()
        return simulation

    with tempfile.TemporaryDirectory(prefix="kestreltrack-emulator-") as folder:
        return run_in_virtual_time(simulate(Path(folder)))
