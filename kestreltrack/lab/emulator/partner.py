"""Partners in simulated time: limits, queues, work, connections, what goes wrong with them, cold returns.

A partner's limit holds for all its endpoints together.  An endpoint serves `cores` calls at once, first come first
served, and keeps `queue` more; what it cannot keep it turns away (`full`).  Work is in milliseconds at usual pace; an
endpoint that is cold does `warmth` of its usual work in the same time, and one that is sent more than
`fall_multiple` times what it can do then, over `fall_ms`, falls over (the brief, "No returning partner pushed over").
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from kestreltrack.lab.emulator.streams import Chance

FULL_MS = 1.0  # what a refusal takes
FAIL_MS = 5.0  # what an instant failure takes
SLACK_CALLS = 3.0  # of the work that a returning partner bears beyond its rule
REPEAT_MS = 5.0  # what a repeat that is dropped takes


@dataclass(frozen=True, slots=True)
class Request:
    """A call as an endpoint sees it."""

    id: str
    work_ms: float
    keyed: bool
    sender: int


@dataclass(slots=True)
class Reply:
    """Its answer."""

    status: str
    """`ok`, `error` or `full`."""
    wait_ms: float = 0.0
    left: float | None = None
    limit: float | None = None
    repeat: bool = False


@dataclass(slots=True)
class Limit:
    """What a partner takes from all senders together: a count in each span, or a plain rate with some depth.

    The spans of a `window` are aligned to the clock; `rate` is a token bucket.  0 a second is no limit.
    """

    kind: str
    rate: float
    window_ms: float = 1000.0
    depth_s: float = 0.5
    refused_count: bool = False
    _span: int = -1
    _count: int = 0
    _tokens: float = -1.0
    _at: float = 0.0

    def take(self, now: float) -> bool:
        """Whether one more call is within it; counts it."""
        if self.kind == "none" or self.rate <= 0:
            return True
        if self.kind == "window":
            self._move(now)
            within = self._count < self.most()
            self._count += within or self.refused_count
            return within
        self._fill(now)
        within = self._tokens >= 1.0
        if within:
            self._tokens -= 1.0
        elif self.refused_count:
            self._tokens = max(-self.most(), self._tokens - 1.0)
        return within

    def most(self) -> float:
        """Calls in one span, or tokens when full."""
        if self.kind == "window":
            return max(1.0, self.rate * self.window_ms / 1000.0)
        return max(1.0, self.rate * self.depth_s)

    def _move(self, now: float) -> None:
        span = int(now // self.window_ms)
        if span != self._span:
            self._span, self._count = span, 0

    def _fill(self, now: float) -> None:
        if self._tokens == -1.0 and self._at == 0.0:
            self._tokens = self.most()
        self._tokens = min(self.most(), self._tokens + (now - self._at) * self.rate / 1000.0)
        self._at = now

    def left(self, now: float) -> float:
        """The share that is left just now."""
        if self.kind == "none" or self.rate <= 0:
            return 1.0
        if self.kind == "window":
            self._move(now)
            return max(0.0, 1.0 - self._count / self.most())
        self._fill(now)
        return max(0.0, self._tokens / self.most())

    def opens_ms(self, now: float) -> float:
        """Until there is room again, if nobody else takes it."""
        if self.kind == "window":
            return self.window_ms - now % self.window_ms
        self._fill(now)
        return max(0.0, (1.0 - self._tokens) / self.rate * 1000.0)


@dataclass(slots=True)
class _Job:
    request: Request
    done: Callable[[Reply], None]
    arrived: float
    over: bool = False


@dataclass(slots=True)
class Trouble:
    """What is wrong with a partner just now, and until when."""

    kind: str
    until: float
    size: float = 1.0


class Endpoint:
    """One endpoint of a partner."""

    def __init__(self, uid: str, partner: Partner, cores: int, queue: int, speed: float, connections: int) -> None:
        """Idle; `speed` is work done in a millisecond by one core."""
        self.uid, self.partner, self.cores, self.queue = uid, partner, cores, queue
        self.speed, self.most_connections = speed, connections
        self.connections, self.running = 0, 0
        self.waiting = deque[_Job]()
        self.state = "up"
        """As the directory has it."""
        self.gone = False
        """Replaced: nobody listens here any more."""

    def connect(self) -> bool:
        """Whether one more connection is taken; idle ones are counted by whoever holds them."""
        if self.gone or self.partner.unreachable():
            return False
        if self.most_connections and self.connections >= self.most_connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """One is gone."""
        self.connections -= 1

    def call(self, request: Request, done: Callable[[Reply], None]) -> Callable[[], None]:
        """Take a call; `done` hears its answer, perhaps never.  Returns what the caller calls when it gives up."""
        partner, now = self.partner, self.partner.now()
        trouble = partner.trouble_now()
        job = _Job(request, done, now)
        if self.gone or trouble == "unreachable":
            return lambda: None  # silence: the caller runs into its time-out
        if trouble == "shuts":
            partner.refuse(job, partner.trouble.until - now if partner.trouble else 0.0)
            return lambda: None
        if not partner.limit.take(now):
            partner.refuse(job, partner.limit.opens_ms(now))
            return lambda: None
        if trouble == "fails" and partner.trouble and partner.chance() < partner.trouble.size:
            partner.later(FAIL_MS, job, Reply("error"))
            return lambda: None
        if trouble == "hangs":
            partner.hung.append(job)
            return lambda: self._give_up(job)
        partner.load(request.work_ms, request.sender)
        if partner.down_until > now:
            partner.hung.append(job)
            return lambda: self._give_up(job)
        if self.running >= self.cores and len(self.waiting) >= self.queue:
            partner.refuse(job, 0.0)
            return lambda: None
        if self.running < self.cores:
            self._start(job)
        else:
            self.waiting.append(job)
        return lambda: self._give_up(job)

    def _give_up(self, job: _Job) -> None:
        """The caller has gone: what waits in the queue is taken out on some partners; what runs, runs on."""
        job.over = True
        if self.partner.cancels_queued and job in self.waiting:
            self.waiting.remove(job)

    def _start(self, job: _Job) -> None:
        partner = self.partner
        self.running += 1
        took = job.request.work_ms / (self.speed * partner.pace())
        if partner.seen(job.request):
            took = min(took, REPEAT_MS)
        partner.loop.call_later(took / 1000.0, self._finish, job)

    def _finish(self, job: _Job) -> None:
        partner, now = self.partner, self.partner.now()
        self.running -= 1
        failed = partner.chance() < partner.error_rate
        repeat = partner.seen(job.request)
        if not failed or partner.chance() < 0.5:  # a failure may have had its effect all the same
            partner.effect(job.request, now, repeat)
        partner.report(job, Reply("error" if failed else "ok", repeat=repeat))
        while self.waiting and self.running < self.cores:
            self._start(self.waiting.popleft())


@dataclass(slots=True)
class Cold:
    """A cold return."""

    since: float
    share: float
    lasts_ms: float
    sent: deque[tuple[float, float, int]] = field(default_factory=deque)
    """Work since, with its time and sender."""


class Partner:
    """A partner system with its endpoints."""

    def __init__(
        self, number: int, kind: str, limit: Limit, loop: asyncio.AbstractEventLoop, chance: Chance,
        fall_multiple: float = 2.0, fall_ms: float = 3000.0,
    ) -> None:  # fmt: skip
        """Without endpoints yet."""
        self.number, self.kind, self.limit, self.loop, self.chance = number, kind, limit, loop, chance
        self.fall_multiple, self.fall_ms = fall_multiple, fall_ms
        self.endpoints = list[Endpoint]()
        self.trouble: Trouble | None = None
        self.cold: Cold | None = None
        self.down_until = float("-inf")
        self.hung = list[_Job]()
        self.error_rate, self.tells_wait, self.extra_wait_ms = 0.0, 0.0, 0.0
        self.cancels_queued, self.remembers_ms = True, 25_000.0
        self.down_ms = 8000.0
        self.cold_s, self.cold_from = 8.0, 0.25
        self.on_effect: Callable[[Request, bool], None] = lambda request, repeat: None
        self.on_fall: Callable[[dict[int, float]], None] = lambda senders: None
        self._seen = dict[str, float]()
        self.capacity = 1.0
        """Milliseconds of work in a millisecond, of all endpoints together, warm."""

    def now(self) -> float:
        """The clock, in ms."""
        return self.loop.time() * 1000.0

    # What goes wrong -----------------------------------------------------------------------------

    def trouble_now(self) -> str:
        """What is wrong, if anything."""
        return self.trouble.kind if self.trouble and self.now() < self.trouble.until else ""

    def unreachable(self) -> bool:
        """Whether nobody answers a connection."""
        return self.trouble_now() == "unreachable"

    def begin(self, kind: str, lasts_ms: float, size: float) -> None:
        """Something goes wrong for so long; it ends with a cold return where it was an outage."""
        self.trouble = Trouble(kind, self.now() + lasts_ms, size)
        self.loop.call_later(lasts_ms / 1000.0, self._over, kind)

    def _over(self, kind: str) -> None:
        self.trouble = None
        if kind in ("hangs", "shuts", "unreachable"):  # one that only answers with errors stays warm
            self.hung.clear()  # what hung is never answered
            self.cold = Cold(self.now(), self.cold_from, self.cold_s * 1000.0)

    def warmth(self) -> float:
        """The part of its capacity that it has just now."""
        if self.cold is None:
            return 1.0
        gone = (self.now() - self.cold.since) / self.cold.lasts_ms
        if gone >= 1.0:
            self.cold = None
            return 1.0
        return self.cold.share + (1.0 - self.cold.share) * gone

    def pace(self) -> float:
        """Its speed in times of the usual."""
        slow = self.trouble.size if self.trouble and self.trouble_now() == "slow" else 1.0
        return self.warmth() / slow

    def load(self, work_ms: float, sender: int) -> None:
        """Work arrives; a cold partner that is given too much of it falls over."""
        cold, now = self.cold, self.now()
        if cold is None or self.down_until > now or self.warmth() >= 1.0:
            return
        cold.sent.append((now, work_ms, sender))
        while cold.sent and cold.sent[0][0] < now - self.fall_ms:
            cold.sent.popleft()
        given = sum(work for _, work, _ in cold.sent)
        # Chance alone may bring a few calls together: what it can do and this many of them push nobody over.
        slack = SLACK_CALLS * given / len(cold.sent)
        if given > self.fall_multiple * self.capacity * self.warmth() * self.fall_ms + slack:
            senders = dict[int, float]()
            for _, work, who in cold.sent:
                senders[who] = senders.get(who, 0.0) + work
            self.down_until = now + self.down_ms
            self.cold = Cold(self.down_until, self.cold_from, self.cold_s * 1000.0)
            for endpoint in self.endpoints:
                endpoint.waiting.clear()
            self.on_fall(senders)

    # Answers ---------------------------------------------------------------------------------------

    def refuse(self, job: _Job, opens_ms: float) -> None:
        """Answer `full`; some tell how long to wait."""
        wait = opens_ms + self.extra_wait_ms if opens_ms > 0 and self.chance() < self.tells_wait else 0.0
        self.later(FULL_MS, job, Reply("full", wait_ms=wait))

    def later(self, after_ms: float, job: _Job, reply: Reply) -> None:
        """Answer after a while."""
        self.loop.call_later(after_ms / 1000.0, self.report, job, reply)

    def report(self, job: _Job, reply: Reply) -> None:
        """An answer leaves, with what is left of the limit."""
        if job.over:
            return
        job.over = True
        if self.limit.kind != "none":
            reply.left, reply.limit = self.limit.left(self.now()), self.limit.rate
        job.done(reply)

    def seen(self, request: Request) -> bool:
        """Whether a keyed message had its effect here already, within what is remembered."""
        at = self._seen.get(request.id)
        return request.keyed and at is not None and self.now() - at < self.remembers_ms

    def effect(self, request: Request, now: float, repeat: bool) -> None:
        """A message takes effect, unless it is a repeat that is dropped."""
        if not repeat:
            self._seen[request.id] = now
            if len(self._seen) > 20_000:
                self._seen = {id_: at for id_, at in self._seen.items() if now - at < self.remembers_ms}
        self.on_effect(request, repeat)
