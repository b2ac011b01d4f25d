"""Firms that hand in messages, with retries, and the front layer that spreads them over the senders."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from kestreltrack.invariants.events import (
    Event,
    MessageAccepted,
    MessageRejected,
    MessageRequested,
    MessageSubmitted,
)
from kestreltrack.ports import Accepted as Yes
from kestreltrack.ports import InvalidMessage, Message
from kestreltrack.ports import Rejected as No
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler, UniformStream
from kestreltrack.testing.emulator.scenario import MessageClassTable, Scenario
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender

LOAD_WAVE_PERIOD_S = 20.0  # of the slow wave over the day
NO_SENDER_RETRY_MS = 20.0  # of the front, where it knows of no live sender


@dataclass(slots=True)
class ClientRequest:
    """A message that a client wants delivered."""

    id: str
    cls: MessageClassTable
    dest: int
    tenant: str
    work_ms: float
    deadline: float
    retries_left: int
    backoff_ms: float
    honors_retry_after: bool
    sender: int = -1
    """Who holds it, if anyone."""
    finished: bool = False


@dataclass(slots=True)
class Traffic:
    """Who gets how much: the partners' shares of the traffic by class, and their firms."""

    destinations: list[int]
    cumulative_shares: dict[str, list[float]]
    """Cumulated, by class."""
    tenant_of: dict[int, str]
    rate_of: dict[int, float]
    """Messages a second at full load, by partner."""
    work_samplers: dict[str, Sampler] = field(default_factory=dict)

    def pick_destination(self, cls: str, u: float) -> int:
        """A partner for a message of a class."""
        shares = self.cumulative_shares[cls]
        low = 0
        high = len(shares) - 1
        while low < high:
            middle = (low + high) // 2
            if shares[middle] <= u:
                low = middle + 1
            else:
                high = middle
        return self.destinations[low]


class Ingress:
    """Spreads messages over the senders; notices late that one has died."""

    def __init__(self, processes: list[SimulatedSender | None], uniform: UniformStream) -> None:
        """Knows all of them as alive."""
        self.processes = processes
        self._uniform = uniform
        self.known_dead = set[int]()

    def pick_sender(self) -> int:
        """A sender that is taken for alive, or -1."""
        live = [n for n in range(len(self.processes)) if n not in self.known_dead]
        return live[self._uniform.integer_below(len(live))] if live else -1


class Clients:
    """All firms together: an open loop of first tries, and each one's retries."""

    def __init__(
        self,
        scenario: Scenario,
        streams: RandomStreams,
        traffic: Traffic,
        ingress: Ingress,
        now: Callable[[], float],
        emit: Callable[[Event], None],
        delay_ms: Sampler,
    ) -> None:
        """Draws what holds for the day."""
        self._scenario = scenario
        self._traffic = traffic
        self._ingress = ingress
        self._now = now
        self._emit = emit
        self._delay = delay_ms
        load = scenario.load
        clients = scenario.clients
        self._gap_uniform, self._choice_uniform = (
            streams.uniform("arrivals", "gap"),
            streams.uniform("arrivals", "who"),
        )
        self._burst_uniform = streams.uniform("arrivals", "clump")
        self._burst_duration_s = streams.sampler(load.clump_s, "arrivals", "clump", "size")
        day = streams.generator("day")
        self.load_level = Sampler(load.level, day)()
        self._wave_amplitude, self._phase = Sampler(load.swing, day)(), float(day.random())
        self._retries = streams.sampler(clients.retries, "clients", "retries")
        self._backoff_ms = streams.sampler(clients.backoff_ms, "clients", "backoff")()
        self._honor_probability = streams.sampler(clients.honour, "clients", "honour")()
        self._uniform = streams.uniform("clients", "chance")
        self._resubmit_delay_ms = streams.sampler(clients.again_ms, "clients", "again")
        self._quota_buckets = {
            firm.name: TokenBucket(firm.share * load.full / 1000.0, 1000.0) for firm in scenario.firm
        }
        self._tenant_usage = {
            firm.name: streams.sampler(firm.usage, "firm", firm.name)() for firm in scenario.firm
        }
        self.requests = dict[str, ClientRequest]()
        self._tasks = set[asyncio.Task[None]]()
        self.request_count = 0

    def rate(self, at_s: float) -> float:
        """Messages a second at a time of the day."""
        load = self._scenario.load
        part = at_s / self._scenario.day.length_s
        wave = 1.0 + self._wave_amplitude * math.sin(
            2.0 * math.pi * (at_s / LOAD_WAVE_PERIOD_S + self._phase)
        )
        if load.shape == "steady":
            wave = 1.0
        elif load.shape == "rising":
            wave = 0.4 + 1.2 * part
        return load.full * self.load_level * wave

    async def generate_arrivals(self) -> None:
        """First tries, from the first second to the day's end."""
        loop = asyncio.get_running_loop()
        scenario = self._scenario
        began = loop.time()
        while (at := loop.time() - began) < scenario.day.length_s:
            rate = max(1e-6, self.rate(at))
            clump = self._burst_uniform() < self._burst_probability()
            await asyncio.sleep(-math.log(1.0 - self._gap_uniform()) / (rate * self._arrivals_per_message()))
            if clump:
                dest = self._draw_class_and_destination()[1]
                size = max(2, round(self._traffic.rate_of[dest] * self._burst_duration_s()))
                for _ in range(size):
                    self._create_request(*self._draw_class_and_destination(dest))
            else:
                self._create_request(*self._draw_class_and_destination())

    def _mean_burst_size(self) -> float:
        clump_s = self._scenario.load.clump_s
        mean = sum(clump_s) / 2.0 if isinstance(clump_s, tuple) else float(clump_s)  # type: ignore[arg-type]
        rates = list(self._traffic.rate_of.values())
        return max(2.0, mean * sum(r * r for r in rates) / max(1e-9, sum(rates)))

    def _burst_probability(self) -> float:
        """Of an arrival to be a clump, so that the part of messages in clumps is as said."""
        part = self._scenario.load.clumps
        return part / (part + (1.0 - part) * self._mean_burst_size()) if part else 0.0

    def _arrivals_per_message(self) -> float:
        """Arrivals for each message: fewer, where some are clumps."""
        chance = self._burst_probability()
        return 1.0 / (1.0 - chance + chance * self._mean_burst_size())

    def _draw_class_and_destination(self, dest: int | None = None) -> tuple[MessageClassTable, int]:
        classes = self._scenario.cls
        u = self._choice_uniform()
        for cls in classes:
            if u < cls.share or cls is classes[-1]:
                break
            u -= cls.share
        if dest is None:
            return cls, self._traffic.pick_destination(cls.name, self._choice_uniform())
        allowed = [c for c in classes if dest in self._destinations_of_class(c.name)]
        return (cls if cls in allowed else allowed[0]), dest

    def _destinations_of_class(self, cls: str) -> set[int]:
        shares = self._traffic.cumulative_shares[cls]
        last = 0.0
        found = set[int]()
        for partner, upto in zip(self._traffic.destinations, shares, strict=True):
            if upto > last:
                found.add(partner)
            last = upto
        return found

    def _create_request(self, cls: MessageClassTable, dest: int) -> None:
        now = self._now()
        firm = self._traffic.tenant_of[dest]
        self.request_count += 1
        bucket = self._quota_buckets.get(firm)
        within = bucket is None or bucket.try_acquire(now, 1.0 / max(0.05, self._tenant_usage[firm]))
        wanted = ClientRequest(
            f"m{self.request_count:06d}",
            cls,
            dest,
            firm,
            self._traffic.work_samplers[cls.name](),
            now + cls.deadline_ms,
            int(self._retries()),
            self._backoff_ms,
            self._uniform() < self._honor_probability,
        )
        self.requests[wanted.id] = wanted
        self._emit(MessageRequested(wanted.id, dest, cls.name, firm, within, wanted.deadline))
        self._start(wanted)

    def _start(self, request: ClientRequest) -> None:
        task = asyncio.create_task(self._submit_with_retries(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit_with_retries(self, request: ClientRequest) -> None:
        """One message until it is taken on, given up, or its time is over."""
        while not request.finished and self._now() < request.deadline - 1.0:
            sender = self._ingress.pick_sender()
            if sender < 0:
                await asyncio.sleep(NO_SENDER_RETRY_MS / 1000.0)
                continue
            await asyncio.sleep(self._delay() / 1000.0)
            process = self._ingress.processes[sender]
            if process is None:  # dead, and the front does not know yet
                await asyncio.sleep(self._resubmit_delay_ms() / 1000.0)
                continue
            self._emit(MessageSubmitted(request.id, sender))
            cls = request.cls
            dest = request.dest
            key = request.id if cls.effect == "keyed" else None
            message = Message(
                request.id, cls.name, dest, request.deadline, b"", request.tenant or None, None, key
            )
            answer = await process.submit(message)
            if answer is None:
                await asyncio.sleep(self._resubmit_delay_ms() / 1000.0)
                continue
            if isinstance(answer, Yes):
                request.sender = sender
                self._emit(MessageAccepted(request.id, sender))
                return
            wait = (answer.retry_after_ms or 0.0) if isinstance(answer, No) else 0.0
            self._emit(MessageRejected(request.id, sender, wait))
            if isinstance(answer, InvalidMessage) or not await self._back_off(request, wait):
                request.finished = True
                return

    async def _back_off(self, request: ClientRequest, retry_after_ms: float) -> bool:
        """Wait before another try; false where there is none."""
        if request.retries_left <= 0:
            return False
        request.retries_left -= 1
        wait = request.backoff_ms * (0.5 + self._uniform())
        if request.honors_retry_after and retry_after_ms > 0:
            wait = min(retry_after_ms, self._scenario.clients.most_wait_ms) * (1.0 + 0.2 * self._uniform())
        if self._scenario.clients.backoff == "exp":
            request.backoff_ms *= 2.0
        await asyncio.sleep(wait / 1000.0)
        return True

    def on_nack(self, id_: str, retry_after_ms: float) -> None:
        """A requeue notice: the client tries again."""
        wanted = self.requests[id_]
        wanted.sender = -1
        task = asyncio.create_task(self._resubmit_after(wanted, retry_after_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _resubmit_after(self, request: ClientRequest, retry_after_ms: float) -> None:
        if await self._back_off(request, retry_after_ms):
            await self._submit_with_retries(request)
        else:
            request.finished = True

    def is_active(self) -> bool:
        """Whether any client still tries."""
        return bool(self._tasks)


class TokenBucket:
    """A firm's share: tokens at a rate, one second of them deep."""

    def __init__(self, rate_per_ms: float, burst_ms: float) -> None:
        """Full."""
        self._rate_per_ms = rate_per_ms
        self._capacity = max(1.0, rate_per_ms * burst_ms)
        self._tokens = self._capacity
        self._refilled_at = 0.0

    def try_acquire(self, now: float, cost: float = 1.0) -> bool:
        """Whether one more lies within the share; `cost` is below 1 for a firm that asks for more than its share."""
        self._tokens = min(self._capacity, self._tokens + (now - self._refilled_at) * self._rate_per_ms)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= min(1.0, max(0.0, cost)) if cost < 1.0 else 1.0
        return True
