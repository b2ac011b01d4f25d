"""Sums of what senders may use: every interleaving to a depth, planted defects, and long draws with clocks apart."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from kestreltrack.fleet.leases import Ask, Holder, Keeper, Reply, Terms, fair_share
from kestreltrack.lab.check.leases import WHOLE, World, begin_again, explore, start


def test_no_interleaving_lets_the_sum_go_over_the_whole() -> None:
    """Deeper searches and their state counts: docs/fleet-together.md."""
    for senders, keepers, depth in ((2, 1, 5), (2, 2, 3), (3, 1, 4)):
        found = explore(start(senders, keepers, crashes=1, repeats=1, acquainted=True), depth)
        assert not found.way and found.depth == depth and found.states > 1_000
        assert found.most == pytest.approx(1.0), "all of it is used somewhere"


def from_arrival(self: Keeper, now: float, sender: str, ask: Ask) -> Reply | None:
    """A deposit that counts from when the ask came."""
    self.replies[ask.number] = now
    return RECEIVE(self, now, sender, ask)


def no_epoch(self: Keeper, now: float, sender: str, ask: Ask) -> Reply | None:
    """A deposit of any epoch is taken; a keeper that starts anew begins to count where the last one did."""
    self.replies.setdefault(ask.number, now)
    return RECEIVE(self, now, sender, Ask(ask.seq, self.epoch, ask.number, ask.deposit, ask.want))


def whole_budget(self: Keeper, now: float, sender: str, want: float, whole: bool | None) -> float:
    """Granted from the whole, whatever lies here."""
    self.deposits = {"everybody": (1.0, now + 1e9)}
    return GRANT(self, now, sender, want, whole)


def taken_back(self: Holder, now: float, apart: tuple[str, int] | None = None) -> float:
    """Only what lies with the present keeper is counted as lent: another gets it at once (no learning)."""
    return LOCKED(self, now, apart) if not apart else 0.0


def arrival_at_holder(self: Holder, now: float, keeper: str, reply: Reply) -> None:
    """A grant that counts from when the answer came."""
    if reply.seq in self.asked:
        self.asked[reply.seq] = now
    ANSWERED(self, now, keeper, reply)


def uses_on(self: Holder, now: float, keeper: str, want: float) -> Ask:
    """What was given back is used until its time is over."""
    grant = self.grant
    ask = ASK(self, now, keeper, want)
    self.grant = grant
    return ask


def forgets(world: World, s: int) -> None:
    """A new process takes its whole part at once."""
    begin_again(world, s)
    world.holders[s].lent.clear()


RECEIVE, GRANT, LOCKED, ANSWERED, ASK = (
    Keeper.receive,
    Keeper._grant,
    Holder.locked,
    Holder.answered,
    Holder.ask,
)
DEFECTS: dict[str, tuple[type, str, Callable[..., object], int]] = {
    "a deposit counts from its arrival": (Keeper, "receive", from_arrival, 0),
    "no epoch": (Keeper, "receive", no_epoch, 1),
    "granted from the whole, not from deposits": (Keeper, "_grant", whole_budget, 0),
    "deposited anew before the old deposit is over": (Holder, "locked", taken_back, 0),
    "a grant is used on after it was given back": (Holder, "ask", uses_on, 0),
    "a grant counts from its arrival": (Holder, "answered", arrival_at_holder, 0),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, instead, crashes = DEFECTS[name]
    first = start(2, 2 if "deposited anew" in name else 1, crashes=crashes, repeats=0, acquainted=True)
    if "deposit counts" in name:  # the shortest way has seven steps: the first two are taken
        first.asks.append((0, 0, first.holders[0].ask(0.0, "k0", 0.0)))
        first.now = 1.0
    assert not explore(first, depth=3).way
    monkeypatch.setattr(owner, attribute, instead)
    found = explore(first, depth=6, most_states=60_000)
    assert found.way and found.most > WHOLE, f"{found.states} states to depth {found.depth} did not show it"


def test_a_new_process_that_takes_its_whole_part_at_once_is_found() -> None:
    found = explore(start(2, 1, 1, 0, acquainted=True), depth=6, most_states=60_000, restart=forgets)
    assert ("restart", "s0") in found.way


@pytest.mark.parametrize("seed", range(20))
def test_the_sum_holds_over_long_draws_with_late_lost_repeated_words_and_clocks_one_percent_apart(
    seed: int,
) -> None:
    draw, terms, count = random.Random(seed), Terms(), 8
    rates = [draw.choice((0.99, 1.0, 1.01)) for _ in range(count)]
    offsets = [draw.uniform(0.0, 1e6) for _ in range(count)]
    now, starts, deaths = 0.0, 0, 0

    def clock(n: int) -> float:
        return offsets[n] + rates[n] * now

    holders = [Holder(terms, 1.0 / count, clock(n)) for n in range(count)]
    keepers = [Keeper(terms, 1) for _ in range(count)]
    on_way: list[tuple[float, int, int, bool, Ask | Reply]] = []
    asleep = [0.0] * count
    most, lent = 0.0, 0.0
    for _ in range(6_000):
        now += draw.expovariate(1.0 / 15.0)
        n = draw.randrange(count)
        if now >= asleep[n]:
            k = (
                n % 2 if draw.random() < 0.005 else (0 if now < 40_000 else 1)
            )  # views differ, and the keeper moves
            want = draw.choice((0.0, 0.0, 0.0, 0.05, 0.05, 1.0)) if n else 1.0
            on_way += post(draw, now, n, k, True, holders[n].ask(clock(n), f"k{k}", want))
        if draw.random() < 0.001:
            asleep[draw.randrange(count)] = now + draw.uniform(0.0, 10_000.0)
        if draw.random() < 0.001:
            starts, dead = starts + 1, draw.randrange(count)
            holders[dead] = Holder(terms, 1.0 / count, clock(dead), seq=holders[dead].seq)
            keepers[dead], deaths = Keeper(terms, keepers[dead].epoch + 1), deaths + 1
        for word in sorted(w for w in on_way if w[0] <= now and now >= asleep[w[2] if w[3] else w[1]]):
            on_way.remove(word)
            _, s, k, asks, what = word
            if asks and isinstance(what, Ask):
                if reply := keepers[k].receive(clock(k), f"s{s}", what):
                    on_way += post(draw, now, s, k, False, reply)
            elif isinstance(what, Reply):
                holders[s].answered(clock(s), f"k{k}", what)
        amounts = [holder.amount(clock(m)) for m, holder in enumerate(holders)]
        most, lent = max(most, sum(amounts)), max(lent, max(amounts))
        assert sum(amounts) <= WHOLE, f"{sum(amounts)} at {now}"
    assert lent > 2.0 / count and deaths, "something was shared at all"


def post(
    draw: random.Random, now: float, s: int, k: int, asks: bool, what: Ask | Reply
) -> list[tuple[float, int, int, bool, Ask | Reply]]:
    """On its way: lost, late by seconds, or twice."""
    if draw.random() < 0.1:
        return []
    ways = [draw.uniform(0.1, 20.0) if draw.random() < 0.95 else draw.uniform(500.0, 6000.0)]
    ways += [draw.uniform(10.0, 6000.0)] if draw.random() < 0.05 else []
    return [(now + way, s, k, asks, what) for way in ways]


def test_what_is_not_wanted_is_lent_and_comes_back_when_the_keeper_dies() -> None:
    terms, keeper = Terms(), Keeper(Terms(), 5)
    holders = [Holder(terms, 0.25, -1e6) for _ in range(4)]
    for now in (0.0, 1000.0, 2000.0, 3000.0):
        for n, holder in enumerate(holders):
            ask = holder.ask(now, "k", 1.0 if n == 0 else 0.0)
            reply = keeper.receive(now + 1.0, f"s{n}", ask)
            assert reply
            holder.answered(now + 2.0, "k", reply)
    assert holders[0].amount(3003.0) > 0.6 and holders[1].amount(3003.0) == pytest.approx(0.0625)
    assert holders[0].amount(3000.0 + 2000.0) == pytest.approx(0.0625), (
        "its grant is over, its deposit not yet"
    )
    assert [h.amount(3000.0 + 5051.0) for h in holders] == [0.25] * 4


@pytest.mark.parametrize(
    ("wants", "shares"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 0.5, "b": 0.5}),
        ({"a": 0.1, "b": 1.0}, {"a": 0.1, "b": 0.9}),
        ({"a": 0.1, "b": 0.2, "c": 1.0, "d": 1.0}, {"a": 0.1, "b": 0.2, "c": 0.35, "d": 0.35}),
        ({"a": 0.0}, {"a": 0.0, "nobody": 0.0}),
    ],
)
def test_shares_are_max_min_fair(wants: dict[str, float], shares: dict[str, float]) -> None:
    assert {name: pytest.approx(fair_share(1.0, wants, name)) for name in shares} == shares


@pytest.mark.parametrize("bad", [{"grant_ms": 5000.0}, {"floor": 1.5}, {"drift": 0.5}, {"lease_ms": 0.0}])
def test_terms_under_which_nothing_could_be_granted_are_refused(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError):
        Terms(**bad)
