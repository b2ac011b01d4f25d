"""Simulated clients, which submit messages and retry, and the ingress that distributes messages over senders."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from kestreltrack.invariants.events import (
    Event,
    MessageAccepted,
    MessageRejected,
    MessageRequested,
    MessageSubmitted,
)
from kestreltrack.ports import Accepted, InvalidMessage, Message, Rejected, SubmitResult
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler, UniformStream
from kestreltrack.testing.emulator.scenario import MessageClassTable, Scenario
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender

# Period of the sinusoidal variation of the load.
LOAD_WAVE_PERIOD_S = 20.0

# Load of the shape `rising`, as a factor of the mean load: its start, and its increase over the length of the run.
RISING_LOAD_START = 0.4
RISING_LOAD_INCREASE = 1.2

# Interval at which a client asks again for a live sender while the ingress knows none.
NO_SENDER_RETRY_MS = 20.0

# A message with less time left than this is not submitted.
MIN_TIME_LEFT_MS = 1.0

# Lower bounds that keep a rate of 0 in a scenario usable as a divisor.
MIN_RATE_PER_S = 1e-6
MIN_TOTAL_RATE_PER_S = 1e-9

# Lower bound of the share of its quota that a tenant uses, which is a divisor.
MIN_QUOTA_USAGE = 0.05

# A backoff is multiplied by this plus a uniform number below 1, which leaves its mean unchanged.
MIN_BACKOFF_FACTOR = 0.5

# Maximum jitter that is added to a retry-after, as a fraction of it.
RETRY_AFTER_JITTER = 0.2

# Minimum number of messages in a burst.
MIN_BURST_SIZE = 2

# Depth of the token bucket of a tenant's quota, in milliseconds of its rate.
QUOTA_BURST_MS = 1000.0


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
    """The sender that has accepted it, or -1."""
    finished: bool = False
    """The client has given up."""


@dataclass(slots=True)
class Traffic:
    """The distribution of messages over destinations, and the tenant of each destination."""

    destinations: list[int]
    cumulative_shares: dict[str, list[float]]
    """By message class: the cumulative shares of the destinations, in the order of `destinations`."""
    tenant_of: dict[int, str]
    rate_of: dict[int, float]
    """Messages a second at full load, by destination."""
    work_samplers: dict[str, Sampler] = field(default_factory=dict)

    def pick_destination(self, cls: str, u: float) -> int:
        """Return the destination for a message of a class and a uniform number `u`."""
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

    def destinations_of_class(self, cls: str) -> set[int]:
        """Return the destinations that get messages of a class."""
        previous = 0.0
        found = set[int]()
        for destination, cumulative in zip(self.destinations, self.cumulative_shares[cls], strict=True):
            if cumulative > previous:
                found.add(destination)
            previous = cumulative
        return found


class Ingress:
    """Distributes messages over the senders at random; it detects a failed sender only after a delay."""

    def __init__(self, processes: list[SimulatedSender | None], uniform: UniformStream) -> None:
        """Create an ingress that considers all senders alive."""
        self.processes = processes
        self._uniform = uniform
        self.known_dead = set[int]()

    def pick_sender(self) -> int:
        """Return a random sender that is considered alive, or -1 where there is none."""
        alive = [n for n in range(len(self.processes)) if n not in self.known_dead]
        return alive[self._uniform.integer_below(len(alive))] if alive else -1


class Clients:
    """All clients: an open-loop generator of arrivals, and the retries of each message."""

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
        """Draw the random values that stay constant during a run."""
        self._scenario = scenario
        self._traffic = traffic
        self._ingress = ingress
        self._now = now
        self._emit = emit
        self._delay_ms = delay_ms
        self.requests = dict[str, ClientRequest]()
        self._tasks = set[asyncio.Task[None]]()
        self.request_count = 0
        self._draw_load(streams)
        self._draw_behavior(streams)
        self._draw_tenants(streams)

    def _draw_load(self, streams: RandomStreams) -> None:
        load = self._scenario.load
        self._gap_uniform = streams.uniform("arrivals", "gap")
        self._choice_uniform = streams.uniform("arrivals", "who")
        self._burst_uniform = streams.uniform("arrivals", "clump")
        self._burst_duration_s = streams.sampler(load.clump_s, "arrivals", "clump", "size")
        rng = streams.generator("day")
        self.load_level = Sampler(load.level, rng)()
        self._wave_amplitude = Sampler(load.swing, rng)()
        self._wave_phase = float(rng.random())

    def _draw_behavior(self, streams: RandomStreams) -> None:
        clients = self._scenario.clients
        self._retries = streams.sampler(clients.retries, "clients", "retries")
        self._backoff_ms = streams.sampler(clients.backoff_ms, "clients", "backoff")()
        self._honor_probability = streams.sampler(clients.honour, "clients", "honour")()
        self._uniform = streams.uniform("clients", "chance")
        self._resubmit_delay_ms = streams.sampler(clients.again_ms, "clients", "again")

    def _draw_tenants(self, streams: RandomStreams) -> None:
        tenants = self._scenario.firm
        full_rate_per_s = self._scenario.load.full
        self._quota_buckets = {
            tenant.name: TokenBucket(tenant.share * full_rate_per_s / 1000.0, QUOTA_BURST_MS)
            for tenant in tenants
        }
        self._tenant_usage = {
            tenant.name: streams.sampler(tenant.usage, "firm", tenant.name)() for tenant in tenants
        }

    # Arrivals --------------------------------------------------------------------------------------

    def rate(self, at_s: float) -> float:
        """Return the arrival rate, in messages a second, at a time since the start of the run."""
        load = self._scenario.load
        if load.shape == "steady":
            factor = 1.0
        elif load.shape == "rising":
            factor = RISING_LOAD_START + RISING_LOAD_INCREASE * (at_s / self._scenario.day.length_s)
        else:
            angle = 2.0 * math.pi * (at_s / LOAD_WAVE_PERIOD_S + self._wave_phase)
            factor = 1.0 + self._wave_amplitude * math.sin(angle)
        return load.full * self.load_level * factor

    async def generate_arrivals(self) -> None:
        """Generate requests and bursts, at exponentially distributed intervals, for the length of the run."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while (elapsed_s := loop.time() - started_at) < self._scenario.day.length_s:
            rate = max(MIN_RATE_PER_S, self.rate(elapsed_s))
            is_burst = self._burst_uniform() < self._burst_probability()
            unit_gap = -math.log(1.0 - self._gap_uniform())
            await asyncio.sleep(unit_gap / (rate * self._arrivals_per_message()))
            if is_burst:
                self._create_burst()
            else:
                self._create_request(*self._draw_class_and_destination())

    def _create_burst(self) -> None:
        """Create at once all messages that one destination gets, on average, in the duration of a burst."""
        dest = self._draw_class_and_destination()[1]
        size = max(MIN_BURST_SIZE, round(self._traffic.rate_of[dest] * self._burst_duration_s()))
        for _ in range(size):
            self._create_request(*self._draw_class_and_destination(dest))

    def _mean_burst_size(self) -> float:
        duration_s = self._scenario.load.clump_s
        mean_s = sum(duration_s) / 2.0 if isinstance(duration_s, tuple) else float(duration_s)  # type: ignore[arg-type]
        rates = list(self._traffic.rate_of.values())
        sum_of_squares = sum(rate * rate for rate in rates)
        return max(float(MIN_BURST_SIZE), mean_s * sum_of_squares / max(MIN_TOTAL_RATE_PER_S, sum(rates)))

    def _burst_probability(self) -> float:
        """Return the probability that an arrival is a burst, from the share of messages that belong to bursts."""
        share = self._scenario.load.clumps
        return share / (share + (1.0 - share) * self._mean_burst_size()) if share else 0.0

    def _arrivals_per_message(self) -> float:
        """Return the mean number of arrivals per message, which is below 1 where some arrivals are bursts."""
        probability = self._burst_probability()
        return 1.0 / (1.0 - probability + probability * self._mean_burst_size())

    def _draw_class_and_destination(self, dest: int | None = None) -> tuple[MessageClassTable, int]:
        """Draw a message class and a destination, or for a given destination a class that is sent to it."""
        cls = self._draw_class()
        if dest is None:
            return cls, self._traffic.pick_destination(cls.name, self._choice_uniform())
        allowed = [
            other for other in self._scenario.cls if dest in self._traffic.destinations_of_class(other.name)
        ]
        return (cls if cls in allowed else allowed[0]), dest

    def _draw_class(self) -> MessageClassTable:
        classes = self._scenario.cls
        u = self._choice_uniform()
        for cls in classes[:-1]:
            if u < cls.share:
                return cls
            u -= cls.share
        return classes[-1]

    def _create_request(self, cls: MessageClassTable, dest: int) -> None:
        now = self._now()
        tenant = self._traffic.tenant_of[dest]
        self.request_count += 1
        within_quota = self._acquire_quota(tenant, now)
        request = ClientRequest(
            id=f"m{self.request_count:06d}",
            cls=cls,
            dest=dest,
            tenant=tenant,
            work_ms=self._traffic.work_samplers[cls.name](),
            deadline=now + cls.deadline_ms,
            retries_left=int(self._retries()),
            backoff_ms=self._backoff_ms,
            honors_retry_after=self._uniform() < self._honor_probability,
        )
        self.requests[request.id] = request
        self._emit(MessageRequested(request.id, dest, cls.name, tenant, within_quota, request.deadline))
        self._start(self._submit_with_retries(request))

    def _acquire_quota(self, tenant: str, now: float) -> bool:
        bucket = self._quota_buckets.get(tenant)
        if bucket is None:
            return True
        return bucket.try_acquire(now, 1.0 / max(MIN_QUOTA_USAGE, self._tenant_usage[tenant]))

    # Submission ------------------------------------------------------------------------------------

    def _start(self, submission: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(submission)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit_with_retries(self, request: ClientRequest) -> None:
        """Submit a message until a sender accepts it, the client gives up, or less than MIN_TIME_LEFT_MS is left."""
        while not request.finished and self._now() < request.deadline - MIN_TIME_LEFT_MS:
            sender = self._ingress.pick_sender()
            if sender < 0:
                await asyncio.sleep(NO_SENDER_RETRY_MS / 1000.0)
                continue
            result = await self._submit(request, sender)
            if result is None:
                await asyncio.sleep(self._resubmit_delay_ms() / 1000.0)
                continue
            if isinstance(result, Accepted):
                request.sender = sender
                self._emit(MessageAccepted(request.id, sender))
                return
            retry_after_ms = (result.retry_after_ms or 0.0) if isinstance(result, Rejected) else 0.0
            self._emit(MessageRejected(request.id, sender, retry_after_ms))
            if isinstance(result, InvalidMessage) or not await self._back_off(request, retry_after_ms):
                request.finished = True
                return

    async def _submit(self, request: ClientRequest, sender: int) -> SubmitResult | None:
        """Submit a message once; return None where the sender is down or ends before it answers."""
        await asyncio.sleep(self._delay_ms() / 1000.0)
        process = self._ingress.processes[sender]
        if process is None:
            return None
        self._emit(MessageSubmitted(request.id, sender))
        key = request.id if request.cls.effect == "keyed" else None
        message = Message(
            request.id,
            request.cls.name,
            request.dest,
            request.deadline,
            b"",
            request.tenant or None,
            None,
            key,
        )
        return await process.submit(message)

    async def _back_off(self, request: ClientRequest, retry_after_ms: float) -> bool:
        """Wait before a retry; return False, without a wait, where the client has no retry left."""
        if request.retries_left <= 0:
            return False
        request.retries_left -= 1
        clients = self._scenario.clients
        wait_ms = request.backoff_ms * (MIN_BACKOFF_FACTOR + self._uniform())
        if request.honors_retry_after and retry_after_ms > 0:
            jitter = 1.0 + RETRY_AFTER_JITTER * self._uniform()
            wait_ms = min(retry_after_ms, clients.most_wait_ms) * jitter
        if clients.backoff == "exp":
            request.backoff_ms *= 2.0
        await asyncio.sleep(wait_ms / 1000.0)
        return True

    def on_nack(self, id_: str, retry_after_ms: float) -> None:
        """Let the client retry a message that its sender has handed back."""
        request = self.requests[id_]
        request.sender = -1
        self._start(self._resubmit_after(request, retry_after_ms))

    async def _resubmit_after(self, request: ClientRequest, retry_after_ms: float) -> None:
        if await self._back_off(request, retry_after_ms):
            await self._submit_with_retries(request)
        else:
            request.finished = True

    def is_active(self) -> bool:
        """Return whether any client still submits or waits for a retry."""
        return bool(self._tasks)


class TokenBucket:
    """The quota of a tenant, as a token bucket."""

    def __init__(self, rate_per_ms: float, burst_ms: float) -> None:
        """Create a full bucket that holds `burst_ms` of the rate, but at least one token."""
        self._rate_per_ms = rate_per_ms
        self._capacity = max(1.0, rate_per_ms * burst_ms)
        self._tokens = self._capacity
        self._refilled_at = 0.0

    def try_acquire(self, now: float, cost: float = 1.0) -> bool:
        """Take the tokens for one message; return False where the quota is exhausted.

        `cost` is the number of tokens, limited to the range 0 to 1.  It is below 1 for a tenant that requests more
        than its quota.
        """
        self._tokens = min(self._capacity, self._tokens + (now - self._refilled_at) * self._rate_per_ms)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= min(1.0, max(0.0, cost))
        return True
