"""Lists of several regions become one: over any order, loss, repeat, wipe and old folder; the meaning; the cost."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from kestreltrack.fleet.reconcile import entries
from kestreltrack.fleet.reconcile.digests import DigestTree
from kestreltrack.fleet.reconcile.entries import Entry, Key, ResolvedDestination, join
from kestreltrack.fleet.reconcile.replica import MAX_DATAGRAM_BYTES, Replica
from kestreltrack.fleet.replicated_config.errors import EditRejectedError

NAMES = ("north", "south", "west")
ENROLLED, PAUSED, ADDRESS = "enrolled/a/f", "paused", "address"
KEYS = [Key(partner, field) for partner in "78" for field in (ENROLLED, PAUSED, ADDRESS)]


class Lists:
    """Three members and what is on its way between them."""

    def __init__(self, first_id: int = 1) -> None:
        self.ids = itertools.count(first_id)
        self.lists = {name: self.fresh(name) for name in NAMES}
        self.way: list[tuple[str, str, bytes]] = []  # from whom, to whom

    def fresh(self, name: str) -> Replica:
        return Replica(name, NAMES, lambda: next(self.ids))

    def post(self, source: str, to: str, data: list[bytes]) -> None:
        assert all(len(one) <= MAX_DATAGRAM_BYTES for one in data)
        self.way += [(source, to, one) for one in data]

    def edit(self, name: str, key: Key, value: str) -> tuple[int, int]:
        told = self.lists[name].edit(key, value, name, 0)
        for other in NAMES:
            if other != name:
                self.post(name, other, told)
        return self.lists[name].entries[key].siblings[0].dot

    def deliver(self, at: int) -> None:
        source, to, data = self.way[at]
        self.post(to, source, self.lists[to].receive(data))

    def cut(self) -> None:
        self.way.clear()

    def heal(self, names: tuple[str, ...] = NAMES) -> None:
        """Lossless rounds until nothing changes any more."""
        before = None
        for _ in range(30):
            for one, other in itertools.permutations(names, 2):
                self.post(one, other, self.lists[one].start_comparison())
            while self.way:
                self.deliver(0)
                del self.way[0]
            state = [(self.lists[name].canonical_bytes(), self.lists[name].vector) for name in names]
            if state == before:
                return
            before = state
        raise AssertionError("they go on telling each other for ever")

    def read(self, name: str, partner: str = "7") -> ResolvedDestination:
        return self.lists[name].resolve(partner, [ENROLLED, PAUSED, ADDRESS])


class Machine(RuleBasedStateMachine):
    """Anything may happen to any member and any datagram; then all is healed."""

    def __init__(self) -> None:
        super().__init__()
        self.all = Lists()
        self.said: dict[Key, dict[tuple[int, int], str]] = {key: {} for key in KEYS}
        self.replaced: set[tuple[int, int]] = set()
        self.lost = False  # whether a folder was lost, and edits with it
        self.backup: bytes = b""

    @rule(name=st.sampled_from(NAMES), key=st.sampled_from(KEYS), value=st.sampled_from(["", "x", "y"]))
    def edit(self, name: str, key: Key, value: str) -> None:
        held = self.all.lists[name]
        before = held.entries.get(key)
        dropped = {dot for dot in self.said[key] if entries.contains_dot(dot, held.vector)}
        self.replaced |= {side.dot for side in before.siblings} if before else dropped
        dot = self.all.edit(name, key, value)
        assert all(dot not in said for said in self.said.values()), "a dot came twice"
        self.said[key][dot] = value

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def compare(self, one: str, other: str) -> None:
        if one != other:
            self.all.post(one, other, self.all.lists[one].start_comparison())

    @precondition(lambda self: self.all.way)
    @rule(draw=st.randoms(use_true_random=False), fate=st.sampled_from(["comes", "comes", "twice", "lost"]))
    def datagram(self, draw: random.Random, fate: str) -> None:
        at = draw.randrange(len(self.all.way))
        if fate != "lost":
            self.all.deliver(at)
        if fate != "twice":
            del self.all.way[at]

    @rule(name=st.sampled_from(NAMES))
    def wiped(self, name: str) -> None:
        self.all.lists[name], self.lost = self.all.fresh(name), True

    @rule()
    def copied(self) -> None:
        self.backup = self.all.lists["west"].encode_state()

    @precondition(lambda self: self.backup)
    @rule()
    def put_back(self) -> None:
        self.all.lists["west"], self.lost = self.all.fresh("west"), True
        self.all.lists["west"].restore(self.backup)

    @rule(name=st.sampled_from(NAMES))
    def restarted(self, name: str) -> None:
        state = self.all.lists[name].encode_state()
        self.all.lists[name] = self.all.fresh(name)
        self.all.lists[name].restore(state)

    @rule()
    def healed(self) -> None:
        self.check()

    @invariant()
    def digests_are_those_of_what_is_held(self) -> None:
        for held in self.all.lists.values():
            again = DigestTree()
            for key, entry in held.entries.items():
                again.update(key, entry)
            assert again.children("") == held.digests.children("") and again.count("") == held.digests.count(
                ""
            )

    def check(self) -> None:
        self.all.heal()
        contents = {held.canonical_bytes() for held in self.all.lists.values()}
        assert len(contents) == 1
        held = self.all.lists["north"]
        for key, said in self.said.items():
            left = {dot for dot in said if dot not in self.replaced}
            entry = held.entries.get(key)
            found = {side.dot for side in entry.siblings} if entry else set()
            assert self.lost or (found == left if entry else self._over({said[dot] for dot in left}, key))
            assert found <= said.keys()
        assert self.lost or not [key for key, entry in held.entries.items() if entries.is_tombstone(entry)], (
            "kept for ever"
        )

    @staticmethod
    def _over(values: set[str], key: Key) -> bool:
        """Whether the sides that nobody has replaced say nothing."""
        return not values or ("" in values if key.field == ENROLLED else values == {""})

    def teardown(self) -> None:
        self.check()


def test_all_members_with_the_same_edits_hold_the_same_bytes() -> None:
    run_state_machine_as_test(
        Machine, settings=settings(max_examples=60, stateful_step_count=40, deadline=None)
    )


dots = st.tuples(st.integers(1, 3), st.integers(1, 3))
sides = st.builds(entries.Sibling, dots, st.just("x"), st.just("s"), st.just(0))


@st.composite
def states(draw: st.DrawFn) -> list[Entry]:
    """States of one key that edits could have led to: each dot has one value, whoever holds it."""
    found = []
    for _ in range(3):
        held = {side.dot: side for side in draw(st.lists(sides, max_size=3))}
        context = {
            r: max([n for q, n in held if q == r], default=0) + draw(st.integers(0, 2)) for r in (1, 2, 3)
        }
        found.append(Entry(KEYS[0], tuple(sorted(held.values())), tuple(c for c in context.items() if c[1])))
    return found


@given(states())
@settings(max_examples=300, deadline=None)
def test_the_join_is_the_same_in_any_order_and_twice(three: list[Entry]) -> None:
    def both(one: Entry, other: Entry) -> Entry:
        found = join(one, other, lambda dot: False)
        assert found
        return found

    a, b, c = three
    assert both(a, b) == both(b, a) and both(a, a) == a and both(both(a, b), b) == both(a, b)
    assert both(both(a, b), c) == both(a, both(b, c))


# What it means -----------------------------------------------------------------------------------


def test_withdrawn_beats_enrolled_and_paused_beats_resumed_on_both_sides_of_a_cut() -> None:
    for first, second in (("north", "south"), ("south", "north")):
        lists = Lists()
        lists.edit("north", Key("7", ENROLLED), "yes")
        lists.edit("north", Key("7", PAUSED), "they asked")
        lists.heal()
        lists.edit(first, Key("7", ENROLLED), "")
        lists.edit(second, Key("7", ENROLLED), "still")
        lists.edit(first, Key("7", PAUSED), "")
        lists.edit(second, Key("7", PAUSED), "they asked again")
        lists.cut()
        assert lists.read(second).enrolled and not lists.read(first).enrolled
        lists.heal()
        for name in NAMES:
            assert not lists.read(name).enrolled and lists.read(name).paused == "they asked again"
            assert not lists.read(name).conflicts


def test_two_addresses_are_kept_until_staff_settle_it_and_until_then_it_goes_on_by_what_both_knew() -> None:
    lists, key = Lists(), Key("7", ADDRESS)
    lists.edit("west", key, "old")
    lists.heal()
    lists.edit("north", key, "tried")
    lists.edit("north", key, "one")
    lists.edit("south", key, "two")
    lists.cut()
    lists.heal()
    for name in NAMES:
        reading = lists.read(name)
        assert reading.address == "old" and not reading.halted
        assert {(side.author, side.value) for side in reading.conflicts[0].siblings} == {
            ("north", "one"),
            ("south", "two"),
        }
        assert "set again at any member" in str(reading.conflicts[0])
    lists.edit("north", key, "three")
    lists.edit(
        "south", key, "four"
    )  # settled differently at once: one conflict more, by the same that both knew
    lists.cut()
    lists.heal()
    assert lists.read("west").address == "old" and len(lists.lists["west"].conflicts()) == 1
    lists.edit("west", key, "four")
    lists.heal()
    assert [lists.read(name).address for name in NAMES] == ["four"] * 3 and not lists.lists[
        "north"
    ].conflicts()


def test_without_anything_that_both_knew_the_partner_stands_still_and_the_clock_decides_nothing() -> None:
    for early, late in ((1, 2), (2, 1)):
        lists, key = Lists(), Key("7", ADDRESS)
        lists.lists["north"].edit(key, "one", "staff", early)
        lists.lists["south"].edit(key, "two", "staff", late)
        lists.heal()
        assert lists.read("west").halted and not lists.read("west").address


def test_the_same_address_from_both_sides_is_no_conflict() -> None:
    lists, key = Lists(), Key("7", ADDRESS)
    lists.edit("north", key, "one")
    lists.edit("south", key, "one")
    lists.cut()
    lists.heal()
    assert lists.read("west").address == "one" and not lists.read("west").conflicts


# Tombstones and folders --------------------------------------------------------------------------


def withdrawn_while_west_is_away() -> Lists:
    lists = Lists()
    lists.edit("west", Key("7", ENROLLED), "yes")
    lists.heal()
    lists.edit("north", Key("7", ENROLLED), "")
    lists.cut()
    lists.heal(("north", "south"))
    return lists


def test_a_tombstone_stays_while_one_is_away_and_goes_once_all_have_it() -> None:
    lists = withdrawn_while_west_is_away()
    assert lists.lists["north"].entries and lists.read("west").enrolled
    lists.heal()
    assert not any(held.entries for held in lists.lists.values())
    lists.edit("south", Key("7", ENROLLED), "again")
    lists.heal()
    assert all(lists.read(name).enrolled for name in NAMES)


def test_a_tombstone_dropped_early_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """West enrols anew without knowing of the withdrawal, which has to beat it."""
    for early in (False, True):
        if early:
            monkeypatch.setattr(Replica, "stable_vector", lambda self: self.vector)
        lists = withdrawn_while_west_is_away()
        lists.edit("west", Key("7", ENROLLED), "still")
        lists.cut()
        lists.heal()
        assert [bool(lists.read(name).enrolled) for name in NAMES] == [early] * 3


def test_a_folder_of_yesterday_brings_nothing_back() -> None:
    lists = Lists()
    lists.edit("west", Key("7", ENROLLED), "yes")
    lists.heal()
    old = lists.lists["west"].encode_state()
    lists.edit("north", Key("7", ENROLLED), "")
    lists.heal()
    lists.lists["west"] = lists.fresh("west")
    lists.lists["west"].restore(old)
    assert lists.read("west").enrolled
    lists.heal()
    assert not any(held.entries for held in lists.lists.values())


def test_an_emptied_folder_is_a_new_replica_and_one_that_is_not_loses_edits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for same in (False, True):
        lists, key = Lists(), Key("7", ADDRESS)
        lists.edit("west", key, "one")
        lists.heal()
        if same:
            monkeypatch.setattr(lists, "ids", itertools.repeat(1))
        lists.lists["west"] = lists.fresh("west")
        lists.edit("west", key, "two")  # the first edit of a process that knows of none before it
        lists.deliver(0)
        found = [side.value for side in lists.lists["north"].entries[key].siblings]
        assert found == (["one"] if same else ["one", "two"])


def test_an_edit_that_nobody_could_take_in_is_refused_with_the_way_out() -> None:
    lists = Lists()
    with pytest.raises(EditRejectedError, match="within that bound"):
        lists.edit("north", Key("7", ADDRESS), "x" * 65)
    with pytest.raises(EditRejectedError):
        lists.edit("north", Key("7", "colour"), "red")
    assert not lists.lists["north"].entries and not lists.lists["north"].vector


# Datagrams ---------------------------------------------------------------------------------------


@given(st.binary(max_size=200), st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=20))
@settings(max_examples=200, deadline=None)
def test_noise_changes_nothing(data: bytes, tree: object) -> None:
    lists = Lists()
    lists.edit("north", KEYS[0], "x")
    before = lists.lists["north"].encode_state()
    for noise in (
        data,
        msgspec.msgpack.encode([tree]) if fits(tree) else b"",
        msgspec.msgpack.encode([["h", tree]]) if fits(tree) else b"",
    ):
        lists.lists["north"].receive(noise)
    assert lists.lists["north"].encode_state() == before


def fits(tree: object) -> bool:
    try:
        msgspec.msgpack.encode(tree)
    except (OverflowError, msgspec.MsgspecError):
        return False
    return True


@pytest.mark.parametrize("differ", [0, 10, 300])
def test_the_cost_grows_with_the_difference_and_not_with_the_list(differ: int) -> None:
    """Figures: benchmarks/reconcile.py."""
    spent = {}
    for size in (1_000, 4_000):
        lists = Lists()
        for n in range(size):
            lists.lists["north"].edit(Key(str(n), ADDRESS), "x", "staff", 0)
        lists.lists["south"].restore(lists.lists["north"].encode_state())
        for n in range(differ):
            lists.lists[NAMES[n % 2]].edit(Key(str(n), ADDRESS), "y", "staff", 1)
        lists.post("north", "south", lists.lists["north"].start_comparison())
        total = 0
        while lists.way:
            total += len(lists.way[0][2])
            lists.deliver(0)
            del lists.way[0]
        assert lists.lists["north"].canonical_bytes() == lists.lists["south"].canonical_bytes()
        spent[size] = total
    assert spent[4_000] <= 2.0 * spent[1_000] and spent[4_000] < 200 + 1_000 * differ
