"""Executes a plan with real senders and returns the observations."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from kestreltrack.testing.fakes.destinations import FakeDestination, InjectedFault
from kestreltrack.testing.fakes.repeating_server import ResponseRepeater
from kestreltrack.testing.pressure.measurement import pressing
from kestreltrack.testing.soak.clients import HALF_COMMAND, SoakClients
from kestreltrack.testing.soak.fakes import ObservedEndpoint, ObservedPlatform
from kestreltrack.testing.soak.observations import NEVER, Drain, Observations
from kestreltrack.testing.soak.plan import (
    CLIENT_FAULTS,
    DESTINATION_FAULTS,
    RESOURCE_FAULTS,
    RESPONSE_FAULTS,
    SERVICE_FAULTS,
    Fault,
    FaultKind,
    SoakPlan,
)
from kestreltrack.testing.soak.processes import SoakSender
from kestreltrack.testing.soak.rule_checks import RESTART_SLACK_S

# Protocol page: a change in discovery counts as announced after this time, whether or not it arrived.
ANNOUNCED_AFTER_S = 6.0
LAG_SAMPLE_S = 0.01
RESOURCE_SAMPLE_S = 0.25
SETTLE_CHECK_S = 0.1
LOWERED_LIMIT_PER_S = 3.0
SURPLUS_BYTES = b"\r\nHTTP/1.1 20"
FAILURE_RATE = 0.7
SLOWDOWN_FACTOR = 20.0
SERVICE_TIMES_MS = (5.0, 30.0, 120.0)


class SoakRunner:
    """Runs the senders, clients, endpoints and platforms of one plan."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Create all parts; nothing listens before `run`."""
        self.plan = plan
        self.observations = Observations()
        self._random = random.Random(f"play {plan.seed}")
        self.destinations = [self._destination(dest) for dest in range(1, plan.destinations + 1)]
        self.endpoints = [
            ObservedEndpoint(
                f"p{destination.dest}-{number}",
                destination,
                random.Random(f"{plan.seed} {destination.dest} {number}"),
                self.observations.calls.append,
            )
            for destination in self.destinations
            for number in range(plan.endpoints_per_destination)
        ]
        self.names = [f"s{number}" for number in range(plan.senders)]
        pushed = plan.settings["discovery"] == "push"
        self.platforms = {
            name: ObservedPlatform(self.observations.notifications.append, plan.indented_lists, pushed)
            for name in self.names
        }
        self.folder = folder
        self.senders = dict[str, SoakSender]()
        self.clients = dict[str, SoakClients]()
        self._background = set[asyncio.Task[Any]]()

    def _destination(self, dest: int) -> FakeDestination:
        (window_ms,) = [row["keyTtlMs"] for row in self.plan.settings["classes"] if "keyTtlMs" in row]
        return FakeDestination(
            dest,
            service_time_ms=self._random.choice(SERVICE_TIMES_MS),
            deduplication_window_s=window_ms / 1000.0,
        )

    async def run(self) -> Observations:
        """Execute the plan and return the observations."""
        try:
            await self._start()
            self._spawn(self._measure_lag())
            self._spawn(self._sample_resources())
            faults = [asyncio.create_task(self._inject_at(fault)) for fault in self.plan.faults]
            await asyncio.gather(*(clients.run() for clients in self.clients.values()), *faults)
            await self._wait_until_settled()
        finally:
            await self._stop()
        return self.observations

    async def _start(self) -> None:
        for endpoint in self.endpoints:
            await endpoint.listen()
        for name, platform in self.platforms.items():
            await platform.listen()
            platform.on_list_sent = partial(self._record_announced_drains, name)
            for endpoint in self.endpoints:
                platform.publish(endpoint.discovery_row())
            sender = SoakSender(
                self.folder / name, name, platform.address, self.plan.settings, self.observations
            )
            sender.limits = self.plan.limits
            if self.plan.planted_fault:
                sender.program = ("kestreltrack.testing.soak.planted_faults", self.plan.planted_fault)
            self.senders[name] = sender
            await sender.start_next()
        for name, sender in self.senders.items():
            await sender.wait_ready()
            self.clients[name] = SoakClients(
                name,
                lambda sender=sender: sender.listen_address,  # type: ignore[misc]
                self.plan,
                random.Random(f"{self.plan.seed} {name}"),
                self._record_submission,
            )

    def _record_submission(self, submission: Any) -> None:
        self.observations.submissions[submission.message_id] = submission

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)

    async def _measure_lag(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_S)
            lag_s = time.monotonic() - started_at - LAG_SAMPLE_S
            self.observations.observer_lag_s = max(self.observations.observer_lag_s, lag_s)

    async def _sample_resources(self) -> None:
        while True:
            for sender in self.senders.values():
                sender.sample()
            await asyncio.sleep(RESOURCE_SAMPLE_S)

    async def _inject_at(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind in DESTINATION_FAULTS:
            await self._inject_destination_fault(fault)
        elif fault.kind in CLIENT_FAULTS:
            await self._inject_client_fault(fault)
        elif fault.kind in RESPONSE_FAULTS:
            await self._inject_response_fault(fault)
        elif fault.kind in SERVICE_FAULTS:
            await self._inject_service_fault(fault)
        elif fault.kind in RESOURCE_FAULTS:
            await self._inject_resource_fault(fault)
        elif fault.kind is FaultKind.KILL_AT_ACCEPT:
            await self._kill_at_accept(fault)
        else:
            await self.senders[self.names[fault.target]].inject(fault)

    async def _kill_at_accept(self, fault: Fault) -> None:
        sender = self.senders[self.names[fault.target]]
        accepted = asyncio.Event()
        clients = self.clients[sender.name]

        def kill() -> None:
            if sender.process and sender.process.returncode is None:
                sender.process_record.killed_at = min(sender.process_record.killed_at, time.monotonic())
                sender.process.kill()
            accepted.set()

        clients.on_accepted = kill
        try:
            async with asyncio.timeout(self.plan.seconds / 4.0):
                await accepted.wait()
        except TimeoutError:
            clients.on_accepted = None
            return
        await sender.inject(replace(fault, kind=FaultKind.KILL))

    async def _inject_destination_fault(self, fault: Fault) -> None:
        destination = self.destinations[fault.target]
        endpoints = [endpoint for endpoint in self.endpoints if endpoint.destination is destination]
        endpoint = endpoints[self._random.randrange(len(endpoints))]
        if fault.kind is FaultKind.DRAIN:
            await self._drain(endpoint, fault.duration_s)
            return
        if fault.kind is FaultKind.RESET:
            endpoint.reset_connections()
            return
        if fault.kind is FaultKind.LOWER_LIMIT:
            destination.rate_limit = LOWERED_LIMIT_PER_S
        else:
            destination.fault = _destination_fault(fault.kind)
        await asyncio.sleep(fault.duration_s)
        destination.rate_limit = 0.0
        destination.recover()

    async def _inject_response_fault(self, fault: Fault) -> None:
        servers: Sequence[ObservedPlatform | ObservedEndpoint] = self.endpoints
        if fault.kind is FaultKind.REPEAT_LISTS:
            servers = list(self.platforms.values())
        extra_bytes = SURPLUS_BYTES if fault.kind is FaultKind.SURPLUS_BYTES else None
        repeater = ResponseRepeater(fault.share, fault.delay_s, extra_bytes)
        for server in servers:
            server.repeaters.append(repeater)
        await asyncio.sleep(fault.duration_s)
        for server in servers:
            server.repeaters.remove(repeater)

    async def _inject_service_fault(self, fault: Fault) -> None:
        if fault.kind is FaultKind.SLOW_DISCOVERY:
            await self._slow_discovery(fault)
            return
        destination = self.destinations[fault.target]
        destination.rate_limit = LOWERED_LIMIT_PER_S
        destination.min_retry_after_ms = 1000.0 * fault.delay_s
        await asyncio.sleep(fault.duration_s)
        destination.rate_limit = 0.0
        destination.min_retry_after_ms = 0.0

    async def _slow_discovery(self, fault: Fault) -> None:
        for platform in self.platforms.values():
            platform.list_delay_s = fault.delay_s
        await asyncio.sleep(fault.duration_s)
        for platform in self.platforms.values():
            platform.list_delay_s = 0.0

    async def _drain(self, endpoint: ObservedEndpoint, duration_s: float) -> None:
        if any(
            drain.endpoint == endpoint.uid and drain.ended_at == NEVER for drain in self.observations.drains
        ):
            return  # already draining; the end of that drain would cut this one short
        published_at = time.monotonic()
        drains = [Drain(endpoint.uid, name, NEVER) for name in self.names]
        self.observations.drains += drains
        for platform in self.platforms.values():
            platform.publish(endpoint.discovery_row("draining"))
        await asyncio.sleep(duration_s)
        for drain, platform in zip(drains, self.platforms.values(), strict=True):
            drain.ended_at = time.monotonic()
            (*_, latest) = self.observations.processes_of(drain.sender)
            reachable = platform.available.is_set() and latest.ready_at < published_at
            if reachable and drain.announced_at == NEVER:
                drain.announced_at = published_at + ANNOUNCED_AFTER_S
            platform.publish(endpoint.discovery_row())

    def _record_announced_drains(self, sender: str, rows: list[dict[str, Any]]) -> None:
        """Record which drains a list that was written to a sender announces."""
        draining = {row["uid"] for row in rows if row["state"] == "draining"}
        for drain in self.observations.drains:
            if drain.sender == sender and drain.ended_at == NEVER and drain.endpoint in draining:
                drain.announced_at = min(drain.announced_at, time.monotonic())

    async def _inject_client_fault(self, fault: Fault) -> None:
        name = self.names[fault.target]
        clients = self.clients[name]
        match fault.kind:
            case FaultKind.FLOOD:
                await clients.flood(fault.count)
            case FaultKind.CROWD:
                # About half of the drawn counts exceed the descriptor limit; discovery is unavailable meanwhile.
                self.platforms[name].available.clear()
                await clients.crowd(fault.count * self.plan.descriptors // 26, fault.duration_s)
                self.platforms[name].available.set()
            case FaultKind.HALF_COMMANDS:
                await clients.crowd(fault.count, fault.duration_s, HALF_COMMAND)
            case FaultKind.BAD_COMMANDS:
                await clients.bad_commands(fault.count)
            case _:
                for platform in self.platforms.values():
                    platform.available.clear()
                await asyncio.sleep(fault.duration_s)
                for platform in self.platforms.values():
                    platform.available.set()

    async def _inject_resource_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.PRESSURE:
                sender = self.senders[self.names[fault.target]]
                async with pressing(
                    fault.pressure, sender.listen_address, fault.count, fault.duration_s, self.plan.seed
                ):
                    await asyncio.sleep(fault.duration_s)
            case FaultKind.REPEATED_IDS:
                delivered = {call.message_id for call in self.observations.calls if call.status == "200"}
                await self.clients[self.names[fault.target]].repeat(delivered, fault.count)
            case _:
                endpoint = self.endpoints[fault.target * self.plan.endpoints_per_destination]
                endpoint.reset_connections()
                for platform in self.platforms.values():
                    platform.publish(endpoint.discovery_row() | {"boot_ms": round(1000.0 * time.time())})

    async def _wait_until_settled(self) -> None:
        """Wait until each accepted message has its final answer, or until the last one is overdue."""
        for sender in self.senders.values():
            await sender.wait_settled()
        deadline_s = self.plan.settings["classes"][0]["deadlineMs"] / 1000.0
        until = time.monotonic() + deadline_s + 2.0 * RESTART_SLACK_S
        while time.monotonic() < until and self._has_pending_messages():
            await asyncio.sleep(SETTLE_CHECK_S)
        self.observations.ended_at = time.monotonic()

    def _has_pending_messages(self) -> bool:
        ended = {call.message_id for call in self.observations.calls if call.status == "200"}
        ended |= {notification.message_id for notification in self.observations.notifications}
        submissions = self.observations.submissions.values()
        return any(row.accepted and row.message_id not in ended for row in submissions)

    async def _stop(self) -> None:
        for task in self._background:
            task.cancel()
        self.observations.ended_at = min(self.observations.ended_at, time.monotonic())
        for clients in self.clients.values():
            clients.close()
        await asyncio.gather(*(sender.terminate() for sender in self.senders.values()))
        for endpoint in self.endpoints:
            endpoint.close()
        for platform in self.platforms.values():
            self.observations.unanswered_notifications |= platform.unanswered
            platform.close()
        for destination in self.destinations:
            self.observations.execution_counts.update(destination.execution_counts)


def _destination_fault(kind: FaultKind) -> InjectedFault:
    match kind:
        case FaultKind.HANG:
            return InjectedFault(hang=True)
        case FaultKind.FAIL:
            return InjectedFault(failure_rate=FAILURE_RATE)
        case FaultKind.REJECT:
            return InjectedFault(reject=True)
        case FaultKind.STALL:
            return InjectedFault(stall=True)
        case FaultKind.CORRUPT:
            return InjectedFault(corrupt=lambda response: response[: len(response) // 2])
        case _:
            return InjectedFault(slowdown=SLOWDOWN_FACTOR)
