"""One member of a fleet: probes, suspicions and news, after SWIM with Lifeguard's refinements.  No I/O.

Who holds it gives it datagrams and the time, and sends what it returns.  Load is the same in a fleet of any size: one
probe each interval, three members told of news five times a second while there is any, one page of the whole state
each half minute.  What is refined after Lifeguard: a member that has reason to think itself slow (no answer and no
`Nack` either, a refuted suspicion) probes less often and waits longer; a suspicion is shorter the more witnesses it
has; whoever is suspected hears so with the next ping.

A member that was paused (SIGSTOP, a machine that sleeps) convicts nobody of not having answered meanwhile, and is not
`caught_up` until another has told it the whole state.  Times are milliseconds of a clock that only goes forward.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from kestreltrack.fleet.membership.news import News
from kestreltrack.fleet.membership.table import Change, Seen, Standing, Table
from kestreltrack.fleet.membership.wire import (
    ENCODE,
    Ack,
    Alive,
    AskState,
    Body,
    Carry,
    Fact,
    Gossip,
    Left,
    Nack,
    Ping,
    PingFor,
    State,
    Suspect,
    Unreadable,
    fitting,
    pack,
    room,
    unpack,
)

HELPERS = (
    3  # members asked to probe in one's place (SWIM's k): 0.04 of false alarms at 10% loss, 3 more calls
)
TELL_MS, TELL_TO = 200.0, 3  # news go to so many members, so often, while there is any
NACK_SHARE = 0.8  # of the time that a helper has: then it says that it still waits
SLOW_MOST = 8  # Lifeguard's S: intervals and time-outs grow up to nine times
SYNC_MS = 30_000.0  # between pages of the whole state asked of somebody: mends what all news have missed
REACH_MS = 5_000.0  # between tries to reach one that is gone, or a seed that is not a member: a cut heals
PAUSED_ROUNDS = 3.0  # intervals without a tick: this process stood still
PAGE_MS = 500.0  # for the answer to a page; then another member is asked
KEEP_MS = 3_600_000.0  # what ended is remembered so long, and tried now and then


@dataclass(frozen=True, slots=True)
class Timing:
    """`round_ms`: the probe interval; `answer_ms`: for a direct answer.  Published values are 1,000 and 500."""

    round_ms: float = 1000.0
    answer_ms: float = 400.0


@dataclass(slots=True)
class Probe:
    """The probe that is out."""

    seq: int
    name: str
    sent: float
    helpers: set[str]
    nacked: set[str]
    asked: bool = False


@dataclass(slots=True)
class Errand:
    """A probe made for another member."""

    origin: str  # its address
    seq: int  # of its request
    nack_at: float
    ends: float


Out = tuple[str, bytes]  # an address, and what to send there


class Swim:
    """One member."""

    def __init__(self, me: Alive, timing: Timing, seed: int) -> None:
        """`me.incarnation` is best the time of start: a later process of the same name then has a larger one."""
        self.me, self.timing, self.random = me, timing, random.Random(seed)
        self.table, self.news = Table(me.name, timing.round_ms), News()
        self.counts: dict[str, int] = {}  # of what was dropped, by reason; and of what was sent
        self.slow = 0  # Lifeguard's local health multiplier, less one
        self.caught_up = False
        self.left = False
        self._seeds: list[str] = []
        self._seq = 0
        self._ring: list[str] = []
        self._probe: Probe | None = None
        self._errands: dict[int, Errand] = {}
        self._page: tuple[str, str, float] | None = None  # asked of whom, after which name, until when
        self._now = self._probe_at = self._tell_at = self._sync_at = self._reach_at = -math.inf
        self._out: list[Out] = []
        self._carried: list[tuple[str, bytes]] = []

    # What the shell calls ------------------------------------------------------------------------

    def begin(self, now: float, seeds: Iterable[str]) -> list[Out]:
        """Join through any of `seeds` (addresses; one's own is passed over)."""
        self._now = now
        self._seeds = [seed for seed in seeds if seed != self.me.address]
        self._probe_at = now + self.random.random() * self.timing.round_ms  # not all in one instant
        self._tell_at, self._sync_at, self._reach_at = (
            now + TELL_MS,
            now + SYNC_MS * self.random.random(),
            now,
        )
        self.caught_up = not self._seeds  # the first of a fleet has nobody to learn from
        return self.tick(now)

    def reseed(self, seeds: Iterable[str]) -> None:
        """Other seeds from now on; each that is no member is reached for now and then.

        The first ones count as if they had been there from the beginning.
        """
        first = not (self._seeds or self.table.present)
        self._seeds = [seed for seed in seeds if seed != self.me.address]
        if first and self._seeds:
            self.caught_up, self._reach_at = False, self._now
        elif not (self._seeds or self.table.present):
            self.caught_up = True  # those found before were nobody

    def tick(self, now: float) -> list[Out]:
        """Do what is due; to be called at `due`, and no harm in between."""
        gap = now - self._now
        if gap > PAUSED_ROUNDS * self._round() and not self.left:
            self._paused(gap)
        self._now = now
        if self.left:
            return self._sent()
        for gone in self.table.run_out(now):
            self.news.tell(gone)
        self._see_to_probe(now)
        self._see_to_errands(now)
        if now >= self._probe_at:
            self._begin_probe(now)
        if self._page and now >= self._page[2]:
            self._ask_page(now, self._page[1])
        if now >= self._sync_at:
            self._sync_at = now + SYNC_MS * (0.5 + self.random.random())
            self._ask_page(now, "")
        if now >= self._reach_at:
            self._reach(now)
        if now >= self._tell_at:
            self._tell_at = now + TELL_MS
            for seen in self._some(TELL_TO if len(self.news) else 0):
                self._send(seen.info.address, Gossip())
        return self._sent()

    def due(self) -> float:
        """When the next tick is due."""
        times = [self._probe_at, self._sync_at, self._reach_at, self.table.next_end()]
        if len(self.news):
            times.append(self._tell_at)
        if self._probe:
            times.append(self._probe.sent + (self._round() if self._probe.asked else self._patience()))
        if self._page:
            times.append(self._page[2])
        times += [
            errand.nack_at if errand.nack_at > self._now else errand.ends for errand in self._errands.values()
        ]
        return min(times)

    def receive(self, now: float, source: str, data: bytes) -> list[Out]:
        """Take a datagram from an address; one that is not sound is counted and changes nothing."""
        if self.left:
            return []
        gap = now - self._now
        if gap > PAUSED_ROUNDS * self._round():  # what lay in the socket while this process stood still
            self._paused(gap)
            self._now = now
        try:
            name, body, news = unpack(data)
        except Unreadable as bad:
            self._count(str(bad))
            return []
        known = self.table.seen.get(name)
        if name == self.me.name or (known and known.here and known.info.address != source):
            self._count("foreign_name")  # a name taken twice, or claimed: the first goes on having it
            return []
        for fact in news:
            self._take(now, fact)
        self._answer(now, source, name, body)
        return self._sent()

    def leave(self, now: float) -> list[Out]:
        """Say farewell: the others need not find out."""
        if not self.left:
            self._now, self.left = now, True
            farewell = ENCODE(Left(self.me.name, self.me.incarnation))
            for seen in self._some(2 * TELL_TO):
                self._out.append((seen.info.address, pack(self.me.name, Gossip(), [farewell])))
        return self._sent()

    def carry(self, name: str, data: bytes) -> list[Out]:
        """Send a member something of another part of the fleet; nothing to one that is not here."""
        seen = self.table.seen.get(name)
        if seen and seen.here and not self.left:
            self._send(seen.info.address, Carry(data))
        return self._sent()

    def carried(self) -> list[tuple[str, bytes]]:
        """What came from members for other parts since the last call: names, and what they sent."""
        found, self._carried = self._carried, []
        return found

    def changes(self) -> list[Change]:
        """What changed since the last call."""
        found, self.table.changes = self.table.changes, []
        return found

    def living(self) -> list[Alive]:
        """All members, oneself among them, by name."""
        return sorted(
            [self.me, *(seen.info for seen in self.table.present.values())], key=lambda info: info.name
        )

    # News ----------------------------------------------------------------------------------------

    def _take(self, now: float, fact: Fact) -> None:
        if fact.name != self.me.name:
            if self.table.take(now, fact):
                self.news.tell(fact)
            return
        if isinstance(fact, Alive):
            if fact.incarnation > self.me.incarnation or fact.address != self.me.address:
                self._count("foreign_name")
            if fact.incarnation <= self.me.incarnation or fact.address != self.me.address:
                return
        elif fact.incarnation < self.me.incarnation:
            self.news.tell(
                self.me
            )  # refuted already, and somebody has not heard: the answer to it says so again
            return
        # Somebody holds this one to be suspect or gone, or remembers a later incarnation of it: refute.
        info = self.me
        self.me = Alive(
            info.name, info.address, fact.incarnation + 1, info.zone, info.region, info.version, info.start
        )
        self.news.tell(self.me)
        if isinstance(fact, Suspect):
            self._slower(1)

    def _send(self, address: str, body: Body, first: Iterable[Fact] = ()) -> None:
        """A packet with as much news as it holds; `first` goes in front of it."""
        ahead = [ENCODE(fact) for fact in first]
        waiting = self.news.waiting()
        chosen = fitting(self.me.name, body, [*ahead, *(fact for _, fact in waiting)])
        self.news.told([name for name, _ in waiting[: max(0, len(chosen) - len(ahead))]], self.table.count())
        self._out.append((address, pack(self.me.name, body, chosen)))

    def _sent(self) -> list[Out]:
        out, self._out = self._out, []
        self.counts["sent"] = self.counts.get("sent", 0) + len(out)
        return out

    def _some(self, most: int) -> list[Seen]:
        """Other members drawn anew."""
        if most <= 0:
            return []
        here = list(self.table.present.values())
        return here if len(here) <= most else self.random.sample(here, most)

    # Probes --------------------------------------------------------------------------------------

    def _round(self) -> float:
        return self.timing.round_ms * (self.slow + 1)

    def _patience(self) -> float:
        return self.timing.answer_ms * (self.slow + 1)

    def _slower(self, by: int) -> None:
        self.slow = min(SLOW_MOST, max(0, self.slow + by))

    def _begin_probe(self, now: float) -> None:
        """The next of a shuffled ring: each member is probed once in a round of all (SWIM 4.3)."""
        self._probe_at = now + self._round()
        if self._probe is not None:
            return
        while self._ring or self._shuffle():
            seen = self.table.seen.get(self._ring.pop())
            if seen is None or not seen.here:
                continue
            name = seen.info.name
            self._probe = Probe(self._next(), name, now, set(), set())
            # Whoever is suspected hears so first of all (Lifeguard's buddy system): it can refute at once.
            self._send(
                seen.info.address, Ping(self._probe.seq, name), [seen.fact()] if seen.suspicion else ()
            )
            return

    def _shuffle(self) -> bool:
        self._ring = list(self.table.present)
        self.random.shuffle(self._ring)
        return bool(self._ring)

    def _see_to_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None:
            return
        seen = self.table.seen.get(probe.name)
        if seen is None or not seen.here:
            self._probe = None
        elif not probe.asked and now >= probe.sent + self._patience():
            probe.asked = True
            helpers = [s for s in self._some(HELPERS + 1) if s.info.name != probe.name][:HELPERS]
            probe.helpers = {helper.info.name for helper in helpers}
            for helper in helpers:
                self._send(helper.info.address, PingFor(probe.seq, probe.name, seen.info.address))
        elif probe.asked and now >= probe.sent + self._round():
            self._probe = None
            self._slower(len(probe.helpers - probe.nacked) if probe.helpers else 1)
            fact = Suspect(probe.name, seen.info.incarnation, self.me.name)
            if self.table.take(now, fact):
                self.news.tell(fact)

    def _see_to_errands(self, now: float) -> None:
        for seq, errand in list(self._errands.items()):
            if now >= errand.ends:
                del self._errands[seq]
            elif now >= errand.nack_at > -math.inf:
                errand.nack_at = -math.inf
                self._send(errand.origin, Nack(errand.seq))

    def _next(self) -> int:
        self._seq += 1
        return self._seq

    # Answers -------------------------------------------------------------------------------------

    def _answer(self, now: float, source: str, name: str, body: Body) -> None:
        known = self.table.seen.get(name)
        if isinstance(body, Ping):
            if body.target in ("", self.me.name):
                # One that is held to be gone, and pings, hears so; a stranger learns who answers.
                wrong = known and not known.here and known.info.address == source
                first = [known.fact()] if known and wrong else []
                self._send(source, Ack(body.seq), [*first, self.me] if not body.target else first)
        elif isinstance(body, PingFor):
            if body.target != self.me.name and len(self._errands) < 64:
                seq = self._next()
                nack_at = now + NACK_SHARE * (self.timing.round_ms - self.timing.answer_ms)
                self._errands[seq] = Errand(source, body.seq, nack_at, now + self.timing.round_ms)
                self._send(body.address, Ping(seq, body.target))
        elif isinstance(body, Ack):
            self._acked(now, name, body.seq)
        elif isinstance(body, Nack):
            probe = self._probe
            if probe and probe.seq == body.seq:
                probe.nacked.add(name)
        elif isinstance(body, AskState):
            self._tell_page(source, body.after)
        elif isinstance(body, State):
            self._got_page(now, name, body)
        elif isinstance(body, Carry) and known and known.here:
            self._carried.append((name, body.data))
        elif isinstance(body, Carry):
            self._count("stranger")

    def _acked(self, now: float, name: str, seq: int) -> None:
        if errand := self._errands.pop(seq, None):
            self._send(errand.origin, Ack(errand.seq))
        probe = self._probe
        if probe and probe.seq == seq and (name == probe.name or name in probe.helpers):
            self._probe = None
            self._slower(-1)

    # The whole state -----------------------------------------------------------------------------

    def _tell_page(self, source: str, after: str) -> None:
        """Members in the order of names, as many as one datagram holds; oneself is one of them."""
        names = sorted(name for name in (*self.table.seen, self.me.name) if name > after)
        left, chosen, more = room(self.me.name, State(after, "x" * 64)), list[bytes](), ""
        for before, name in zip([after, *names], names, strict=False):
            row = [ENCODE(fact) for fact in self._known(name)]
            left -= sum(map(len, row))
            if left < 0:
                more = before
                break
            chosen += row
        self._out.append((source, pack(self.me.name, State(after, more), chosen)))

    def _known(self, name: str) -> list[Fact]:
        """All there is to tell of one member: where it is, then what is held of it."""
        seen = self.table.seen.get(name)
        if seen is None:
            return [self.me]
        return [seen.info, seen.fact()] if seen.suspicion else [seen.fact()]

    def _ask_page(self, now: float, after: str) -> None:
        """Of some member, or of a seed while there is none."""
        some = [seen.info.address for seen in self._some(1)] or self.random.sample(
            self._seeds, len(self._seeds)
        )[:1]
        self._page = (some[0], after, now + PAGE_MS * (self.slow + 1)) if some else None
        if some:
            self._send(some[0], AskState(after), [self.me])

    def _got_page(self, now: float, name: str, state: State) -> None:
        if self._page is None or self._page[1] != state.after:
            return  # nobody asked, or it came late
        if state.more > state.after:
            address = self._page[0]
            self._page = (address, state.more, now + PAGE_MS * (self.slow + 1))
            self._send(address, AskState(state.more))
        else:
            self._page, self.caught_up = None, True

    # Joining, cuts that heal, pauses -------------------------------------------------------------

    def _reach(self, now: float) -> None:
        """Ping one that is gone, or a seed that is not a member: whoever answers is told what is held of it."""
        self._reach_at = now + REACH_MS * (0.5 + self.random.random()) * (0.2 if not self.caught_up else 1.0)
        self.table.forget(now - KEEP_MS)
        here = {seen.info.address for seen in self.table.present.values()}
        ended = [s.info.address for s in self.table.seen.values() if s.standing is Standing.GONE]
        places = [address for address in (*self._seeds, *ended) if address not in here]
        if places:
            address = self.random.choice(places)
            gone = next((s for s in self.table.seen.values() if s.info.address == address), None)
            facts: list[Fact] = [self.me, gone.fact()] if gone else [self.me]
            self._send(address, Ping(self._next(), ""), facts)
        if not self.caught_up and self._page is None:
            self._ask_page(now, "")

    def _paused(self, gap: float) -> None:
        self._count("paused")
        self.table.paused(gap)
        self._probe, self._errands, self._page = None, {}, None
        self.caught_up = not (self._seeds or self.table.present)
        self._probe_at, self._reach_at = self._now + gap + self._round(), self._now + gap

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
