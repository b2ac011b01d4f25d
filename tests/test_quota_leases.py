"""Sums of what senders may use: every interleaving to a depth, planted defects, and long draws with clocks apart."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from kestreltrack.fleet.quota_leases import (
    LeaseGrantor,
    LeaseHolder,
    QuotaLeaseParameters,
    QuotaLeaseRequest,
    QuotaLeaseResponse,
    fair_share,
)
from kestreltrack.testing.model_checking.quota_leases import (
    MAX_TOTAL_SHARE,
    LeaseState,
    explore,
    initial_state,
    restart_process,
)


def test_no_interleaving_lets_the_sum_go_over_the_whole() -> None:
    """Deeper searches and their state counts: docs/fleet-together.md."""
    for senders, keepers, depth in ((2, 1, 5), (2, 2, 3), (3, 1, 4)):
        found = explore(
            initial_state(senders, keepers, max_crashes=1, max_duplicates=1, after_first_response=True), depth
        )
        assert not found.trace and found.depth == depth and found.states > 1_000
        assert found.max_used == pytest.approx(1.0), "all of it is used somewhere"


def from_arrival(
    self: LeaseGrantor, now: float, sender: str, ask: QuotaLeaseRequest
) -> QuotaLeaseResponse | None:
    """A deposit that counts from when the ask came."""
    self.response_times[ask.response_number] = now
    return RECEIVE(self, now, sender, ask)


def no_epoch(
    self: LeaseGrantor, now: float, sender: str, ask: QuotaLeaseRequest
) -> QuotaLeaseResponse | None:
    """A deposit of any epoch is taken; a keeper that starts anew begins to count where the last one did."""
    self.response_times.setdefault(ask.response_number, now)
    return RECEIVE(
        self,
        now,
        sender,
        QuotaLeaseRequest(ask.seq, self.epoch, ask.response_number, ask.deposit, ask.demand),
    )


def whole_budget(self: LeaseGrantor, now: float, sender: str, want: float, whole: bool | None) -> float:
    """Granted from the whole, whatever lies here."""
    self.deposits = {"everybody": (1.0, now + 1e9)}
    return GRANT(self, now, sender, want, whole)


def taken_back(self: LeaseHolder, now: float, apart: tuple[str, int] | None = None) -> float:
    """Only what lies with the present keeper is counted as lent: another gets it at once (no learning)."""
    return LOCKED(self, now, apart) if not apart else 0.0


def arrival_at_holder(self: LeaseHolder, now: float, keeper: str, reply: QuotaLeaseResponse) -> None:
    """A grant that counts from when the answer came."""
    if reply.seq in self.pending_requests:
        self.pending_requests[reply.seq] = now
    ANSWERED(self, now, keeper, reply)


def uses_on(self: LeaseHolder, now: float, keeper: str, want: float) -> QuotaLeaseRequest:
    """What was given back is used until its time is over."""
    grant = self.grant
    ask = ASK(self, now, keeper, want)
    self.grant = grant
    return ask


def forgets(world: LeaseState, s: int) -> None:
    """A new process takes its whole part at once."""
    restart_process(world, s)
    world.holders[s].deposits.clear()


RECEIVE, GRANT, LOCKED, ANSWERED, ASK = (
    LeaseGrantor.handle_request,
    LeaseGrantor._grant_amount,
    LeaseHolder.deposited_amount,
    LeaseHolder.handle_response,
    LeaseHolder.make_request,
)
DEFECTS: dict[str, tuple[type, str, Callable[..., object], int]] = {
    "a deposit counts from its arrival": (LeaseGrantor, "receive", from_arrival, 0),
    "no epoch": (LeaseGrantor, "receive", no_epoch, 1),
    "granted from the whole, not from deposits": (LeaseGrantor, "_grant", whole_budget, 0),
    "deposited anew before the old deposit is over": (LeaseHolder, "locked", taken_back, 0),
    "a grant is used on after it was given back": (LeaseHolder, "ask", uses_on, 0),
    "a grant counts from its arrival": (LeaseHolder, "answered", arrival_at_holder, 0),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, instead, crashes = DEFECTS[name]
    first = initial_state(
        2,
        2 if "deposited anew" in name else 1,
        max_crashes=crashes,
        max_duplicates=0,
        after_first_response=True,
    )
    if "deposit counts" in name:  # the shortest way has seven steps: the first two are taken
        first.requests_in_flight.append((0, 0, first.holders[0].make_request(0.0, "k0", 0.0)))
        first.now = 1.0
    assert not explore(first, depth=3).trace
    monkeypatch.setattr(owner, attribute, instead)
    found = explore(first, depth=6, max_states=60_000)
    assert found.trace and found.max_used > MAX_TOTAL_SHARE, (
        f"{found.states} states to depth {found.depth} did not show it"
    )


def test_a_new_process_that_takes_its_whole_part_at_once_is_found() -> None:
    found = explore(
        initial_state(2, 1, 1, 0, after_first_response=True), depth=6, max_states=60_000, restart=forgets
    )
    assert ("restart", "s0") in found.trace


@pytest.mark.parametrize("seed", range(20))
def test_the_sum_holds_over_long_draws_with_late_lost_repeated_words_and_clocks_one_percent_apart(
    seed: int,
) -> None:
    draw, terms, count = random.Random(seed), QuotaLeaseParameters(), 8
    rates = [draw.choice((0.99, 1.0, 1.01)) for _ in range(count)]
    offsets = [draw.uniform(0.0, 1e6) for _ in range(count)]
    now, starts, deaths = 0.0, 0, 0

    def clock(n: int) -> float:
        return offsets[n] + rates[n] * now

    holders = [LeaseHolder(terms, 1.0 / count, clock(n)) for n in range(count)]
    keepers = [LeaseGrantor(terms, 1) for _ in range(count)]
    on_way: list[tuple[float, int, int, bool, QuotaLeaseRequest | QuotaLeaseResponse]] = []
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
            on_way += post(draw, now, n, k, True, holders[n].make_request(clock(n), f"k{k}", want))
        if draw.random() < 0.001:
            asleep[draw.randrange(count)] = now + draw.uniform(0.0, 10_000.0)
        if draw.random() < 0.001:
            starts, dead = starts + 1, draw.randrange(count)
            holders[dead] = LeaseHolder(terms, 1.0 / count, clock(dead), seq=holders[dead].seq)
            keepers[dead], deaths = LeaseGrantor(terms, keepers[dead].epoch + 1), deaths + 1
        for word in sorted(w for w in on_way if w[0] <= now and now >= asleep[w[2] if w[3] else w[1]]):
            on_way.remove(word)
            _, s, k, asks, what = word
            if asks and isinstance(what, QuotaLeaseRequest):
                if reply := keepers[k].handle_request(clock(k), f"s{s}", what):
                    on_way += post(draw, now, s, k, False, reply)
            elif isinstance(what, QuotaLeaseResponse):
                holders[s].handle_response(clock(s), f"k{k}", what)
        amounts = [holder.usable_quota(clock(m)) for m, holder in enumerate(holders)]
        most, lent = max(most, sum(amounts)), max(lent, max(amounts))
        assert sum(amounts) <= MAX_TOTAL_SHARE, f"{sum(amounts)} at {now}"
    assert lent > 2.0 / count and deaths, "something was shared at all"


def post(
    draw: random.Random, now: float, s: int, k: int, asks: bool, what: QuotaLeaseRequest | QuotaLeaseResponse
) -> list[tuple[float, int, int, bool, QuotaLeaseRequest | QuotaLeaseResponse]]:
    """On its way: lost, late by seconds, or twice."""
    if draw.random() < 0.1:
        return []
    ways = [draw.uniform(0.1, 20.0) if draw.random() < 0.95 else draw.uniform(500.0, 6000.0)]
    ways += [draw.uniform(10.0, 6000.0)] if draw.random() < 0.05 else []
    return [(now + way, s, k, asks, what) for way in ways]


def test_what_is_not_wanted_is_lent_and_comes_back_when_the_keeper_dies() -> None:
    terms, keeper = QuotaLeaseParameters(), LeaseGrantor(QuotaLeaseParameters(), 5)
    holders = [LeaseHolder(terms, 0.25, -1e6) for _ in range(4)]
    for now in (0.0, 1000.0, 2000.0, 3000.0):
        for n, holder in enumerate(holders):
            ask = holder.make_request(now, "k", 1.0 if n == 0 else 0.0)
            reply = keeper.handle_request(now + 1.0, f"s{n}", ask)
            assert reply
            holder.handle_response(now + 2.0, "k", reply)
    assert holders[0].usable_quota(3003.0) > 0.6 and holders[1].usable_quota(3003.0) == pytest.approx(0.0625)
    assert holders[0].usable_quota(3000.0 + 2000.0) == pytest.approx(0.0625), (
        "its grant is over, its deposit not yet"
    )
    assert [h.usable_quota(3000.0 + 5051.0) for h in holders] == [0.25] * 4


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
        QuotaLeaseParameters(**bad)
