"""Replicated lists: convergence despite reordering, loss, duplication and lost folders; resolution; traffic."""

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
from kestreltrack.fleet.reconcile.entries import Dot, Entry, Key, join
from kestreltrack.fleet.reconcile.errors import EditRejectedError, InvalidReplicaStateError
from kestreltrack.fleet.reconcile.messages import MAX_DATAGRAM_BYTES
from kestreltrack.fleet.reconcile.replica import Replica
from kestreltrack.fleet.reconcile.resolution import ResolvedDestination

NAMES = ("north", "south", "west")
ENROLLED = "enrolled/a/f"
PAUSED = "paused"
ADDRESS = "address"
KEYS = [Key(destination, field) for destination in "78" for field in (ENROLLED, PAUSED, ADDRESS)]


class ReplicaGroup:
    """Three replicas, and the datagrams in flight between them."""

    def __init__(self, first_id: int = 1) -> None:
        self.ids = itertools.count(first_id)
        self.replicas = {name: self.new_replica(name) for name in NAMES}
        # Source, target and data.
        self.in_flight: list[tuple[str, str, bytes]] = []

    def new_replica(self, name: str) -> Replica:
        return Replica(name, NAMES, lambda: next(self.ids))

    def send(self, source: str, target: str, datagrams: list[bytes]) -> None:
        assert all(len(data) <= MAX_DATAGRAM_BYTES for data in datagrams)
        self.in_flight += [(source, target, data) for data in datagrams]

    def edit(self, name: str, key: Key, value: str) -> Dot:
        datagrams = self.replicas[name].edit(key, value, name, 0)
        for other in NAMES:
            if other != name:
                self.send(name, other, datagrams)
        return self.replicas[name].entries[key].siblings[0].dot

    def deliver(self, index: int) -> None:
        source, target, data = self.in_flight[index]
        self.send(target, source, self.replicas[target].receive(data))

    def drop_all(self) -> None:
        self.in_flight.clear()

    def deliver_all(self) -> None:
        while self.in_flight:
            self.deliver(0)
            del self.in_flight[0]

    def converge(self, names: tuple[str, ...] = NAMES) -> None:
        """Exchange comparisons without loss until no replica changes any more."""
        before = None
        for _ in range(30):
            for one, other in itertools.permutations(names, 2):
                self.send(one, other, self.replicas[one].start_comparison())
            self.deliver_all()
            state = [(self.replicas[name].canonical_bytes(), self.replicas[name].vector) for name in names]
            if state == before:
                return
            before = state
        raise AssertionError("the replicas have not converged in 30 rounds")

    def resolve(self, name: str, destination: str = "7") -> ResolvedDestination:
        return self.replicas[name].resolve(destination, [ENROLLED, PAUSED, ADDRESS])


class ReplicaStateMachine(RuleBasedStateMachine):
    """Edits, restarts, lost folders and datagram faults in any order, after which all replicas have to converge."""

    def __init__(self) -> None:
        super().__init__()
        self.members = ReplicaGroup()
        self.edits: dict[Key, dict[Dot, str]] = {key: {} for key in KEYS}
        self.replaced: set[Dot] = set()
        # Whether a folder was lost or restored, which may lose edits.
        self.lost_edits = False
        self.backup: bytes = b""

    @rule(name=st.sampled_from(NAMES), key=st.sampled_from(KEYS), value=st.sampled_from(["", "x", "y"]))
    def edit(self, name: str, key: Key, value: str) -> None:
        replica = self.members.replicas[name]
        before = replica.entries.get(key)
        dropped = {dot for dot in self.edits[key] if entries.contains_dot(dot, replica.vector)}
        self.replaced |= {sibling.dot for sibling in before.siblings} if before else dropped
        dot = self.members.edit(name, key, value)
        assert all(dot not in edits for edits in self.edits.values()), "a dot was reused"
        self.edits[key][dot] = value

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def compare(self, one: str, other: str) -> None:
        if one != other:
            self.members.send(one, other, self.members.replicas[one].start_comparison())

    @precondition(lambda self: self.members.in_flight)
    @rule(
        rng=st.randoms(use_true_random=False),
        fault=st.sampled_from(["none", "none", "duplicated", "lost"]),
    )
    def deliver_or_drop(self, rng: random.Random, fault: str) -> None:
        index = rng.randrange(len(self.members.in_flight))
        if fault != "lost":
            self.members.deliver(index)
        if fault != "duplicated":
            del self.members.in_flight[index]

    @rule(name=st.sampled_from(NAMES))
    def wipe_folder(self, name: str) -> None:
        self.members.replicas[name] = self.members.new_replica(name)
        self.lost_edits = True

    @rule()
    def back_up_folder(self) -> None:
        self.backup = self.members.replicas["west"].encode_state()

    @precondition(lambda self: self.backup)
    @rule()
    def restore_folder(self) -> None:
        self.members.replicas["west"] = self.members.new_replica("west")
        self.lost_edits = True
        self.members.replicas["west"].restore(self.backup)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        state = self.members.replicas[name].encode_state()
        self.members.replicas[name] = self.members.new_replica(name)
        self.members.replicas[name].restore(state)

    @rule()
    def converge(self) -> None:
        self.check()

    @invariant()
    def digests_are_those_of_the_entries(self) -> None:
        for replica in self.members.replicas.values():
            expected = DigestTree()
            for key, entry in replica.entries.items():
                expected.update(key, entry)
            assert expected.children("") == replica.digests.children("")
            assert expected.count("") == replica.digests.count("")

    def check(self) -> None:
        self.members.converge()
        contents = {replica.canonical_bytes() for replica in self.members.replicas.values()}
        assert len(contents) == 1
        replica = self.members.replicas["north"]
        for key, edits in self.edits.items():
            expected = {dot for dot in edits if dot not in self.replaced}
            entry = replica.entries.get(key)
            found = {sibling.dot for sibling in entry.siblings} if entry else set()
            if not self.lost_edits:
                assert (
                    found == expected if entry else self._has_no_value({edits[dot] for dot in expected}, key)
                )
            assert found <= edits.keys()
        if not self.lost_edits:
            tombstones = [key for key, entry in replica.entries.items() if entries.is_tombstone(entry)]
            assert not tombstones, "tombstones are never dropped"

    @staticmethod
    def _has_no_value(values: set[str], key: Key) -> bool:
        """Return whether concurrent values of a key resolve to no value."""
        return not values or ("" in values if key.field == ENROLLED else values == {""})

    def teardown(self) -> None:
        self.check()


def test_all_members_with_the_same_edits_hold_the_same_bytes() -> None:
    run_state_machine_as_test(
        ReplicaStateMachine, settings=settings(max_examples=60, stateful_step_count=40, deadline=None)
    )


any_dots = st.tuples(st.integers(1, 3), st.integers(1, 3))
any_siblings = st.builds(entries.Sibling, any_dots, st.just("x"), st.just("s"), st.just(0))


@st.composite
def states(draw: st.DrawFn) -> list[Entry]:
    """Draw three reachable states of one key: a dot has the same value in each."""
    entry_states = []
    for _ in range(3):
        siblings = {sibling.dot: sibling for sibling in draw(st.lists(any_siblings, max_size=3))}
        context = {}
        for replica_id in (1, 2, 3):
            newest = max([number for other_id, number in siblings if other_id == replica_id], default=0)
            context[replica_id] = newest + draw(st.integers(0, 2))
        dots = tuple(dot for dot in context.items() if dot[1])
        entry_states.append(Entry(KEYS[0], tuple(sorted(siblings.values())), dots))
    return entry_states


@given(states())
@settings(max_examples=300, deadline=None)
def test_the_join_is_commutative_associative_and_idempotent(entry_states: list[Entry]) -> None:
    def joined(one: Entry, other: Entry) -> Entry:
        entry = join(one, other, lambda dot: False)
        assert entry
        return entry

    a, b, c = entry_states
    assert joined(a, b) == joined(b, a) and joined(a, a) == a and joined(joined(a, b), b) == joined(a, b)
    assert joined(joined(a, b), c) == joined(a, joined(b, c))


# Resolution ----------------------------------------------------------------------------------------


def test_a_withdrawal_wins_over_an_enrolment_and_a_pause_over_a_resumption() -> None:
    for first, second in (("north", "south"), ("south", "north")):
        members = ReplicaGroup()
        members.edit("north", Key("7", ENROLLED), "yes")
        members.edit("north", Key("7", PAUSED), "they asked")
        members.converge()
        members.edit(first, Key("7", ENROLLED), "")
        members.edit(second, Key("7", ENROLLED), "still")
        members.edit(first, Key("7", PAUSED), "")
        members.edit(second, Key("7", PAUSED), "they asked again")
        members.drop_all()
        assert members.resolve(second).enrolled and not members.resolve(first).enrolled
        members.converge()
        for name in NAMES:
            assert not members.resolve(name).enrolled and members.resolve(name).paused == "they asked again"
            assert not members.resolve(name).conflicts


def test_conflicting_addresses_fall_back_to_the_common_ancestor_until_staff_resolve_the_conflict() -> None:
    members = ReplicaGroup()
    key = Key("7", ADDRESS)
    members.edit("west", key, "old")
    members.converge()
    members.edit("north", key, "tried")
    members.edit("north", key, "one")
    members.edit("south", key, "two")
    members.drop_all()
    members.converge()
    for name in NAMES:
        resolved = members.resolve(name)
        assert resolved.address == "old" and not resolved.halted
        assert {(sibling.author, sibling.value) for sibling in resolved.conflicts[0].siblings} == {
            ("north", "one"),
            ("south", "two"),
        }
        assert "set again at any member" in str(resolved.conflicts[0])
    members.edit("north", key, "three")
    # A concurrent, different resolution is another conflict with the same common ancestor.
    members.edit("south", key, "four")
    members.drop_all()
    members.converge()
    assert members.resolve("west").address == "old" and len(members.replicas["west"].conflicts()) == 1
    members.edit("west", key, "four")
    members.converge()
    assert [members.resolve(name).address for name in NAMES] == ["four"] * 3 and not members.replicas[
        "north"
    ].conflicts()


def test_a_conflict_without_a_common_ancestor_halts_the_destination_whatever_the_clocks_say() -> None:
    for early, late in ((1, 2), (2, 1)):
        members = ReplicaGroup()
        key = Key("7", ADDRESS)
        members.replicas["north"].edit(key, "one", "staff", early)
        members.replicas["south"].edit(key, "two", "staff", late)
        members.converge()
        assert members.resolve("west").halted and not members.resolve("west").address


def test_the_same_address_set_at_two_members_is_no_conflict() -> None:
    members = ReplicaGroup()
    key = Key("7", ADDRESS)
    members.edit("north", key, "one")
    members.edit("south", key, "one")
    members.drop_all()
    members.converge()
    assert members.resolve("west").address == "one" and not members.resolve("west").conflicts


# Tombstones and folders --------------------------------------------------------------------------


def withdrawn_while_west_is_cut_off() -> ReplicaGroup:
    members = ReplicaGroup()
    members.edit("west", Key("7", ENROLLED), "yes")
    members.converge()
    members.edit("north", Key("7", ENROLLED), "")
    members.drop_all()
    members.converge(("north", "south"))
    return members


def test_a_tombstone_is_held_while_a_member_is_cut_off_and_dropped_once_all_have_it() -> None:
    members = withdrawn_while_west_is_cut_off()
    assert members.replicas["north"].entries and members.resolve("west").enrolled
    members.converge()
    assert not any(replica.entries for replica in members.replicas.values())
    members.edit("south", Key("7", ENROLLED), "again")
    members.converge()
    assert all(members.resolve(name).enrolled for name in NAMES)


def test_a_withdrawal_is_lost_if_its_tombstone_is_dropped_before_all_members_have_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """West enrols again without knowing of the concurrent withdrawal, which wins unless it was dropped."""
    for early in (False, True):
        if early:
            monkeypatch.setattr(Replica, "stable_vector", lambda self: self.vector)
        members = withdrawn_while_west_is_cut_off()
        members.edit("west", Key("7", ENROLLED), "still")
        members.drop_all()
        members.converge()
        assert [bool(members.resolve(name).enrolled) for name in NAMES] == [early] * 3


def test_a_restored_folder_does_not_resurrect_a_replaced_value() -> None:
    members = ReplicaGroup()
    members.edit("west", Key("7", ENROLLED), "yes")
    members.converge()
    old = members.replicas["west"].encode_state()
    members.edit("north", Key("7", ENROLLED), "")
    members.converge()
    members.replicas["west"] = members.new_replica("west")
    members.replicas["west"].restore(old)
    assert members.resolve("west").enrolled
    members.converge()
    assert not any(replica.entries for replica in members.replicas.values())


def test_an_emptied_folder_is_a_new_replica_and_a_reused_id_loses_edits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for reuse_id in (False, True):
        members = ReplicaGroup()
        key = Key("7", ADDRESS)
        members.edit("west", key, "one")
        members.converge()
        if reuse_id:
            monkeypatch.setattr(members, "ids", itertools.repeat(1))
        members.replicas["west"] = members.new_replica("west")
        # The first edit of a process that has no state of earlier edits.
        members.edit("west", key, "two")
        members.deliver(0)
        found = [sibling.value for sibling in members.replicas["north"].entries[key].siblings]
        assert found == (["one"] if reuse_id else ["one", "two"])


def test_an_edit_beyond_the_limits_is_rejected_with_a_remedy() -> None:
    members = ReplicaGroup()
    with pytest.raises(EditRejectedError, match="within this limit"):
        members.edit("north", Key("7", ADDRESS), "x" * 65)
    with pytest.raises(EditRejectedError):
        members.edit("north", Key("7", "colour"), "red")
    assert not members.replicas["north"].entries and not members.replicas["north"].vector


def test_a_stored_state_that_cannot_be_decoded_is_rejected_with_a_remedy() -> None:
    replica = ReplicaGroup().new_replica("west")
    with pytest.raises(InvalidReplicaStateError, match="fetched again from the other members"):
        replica.restore(b"\xc1")


# Datagrams ---------------------------------------------------------------------------------------


@given(st.binary(max_size=200), st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=20))
@settings(max_examples=200, deadline=None)
def test_a_malformed_datagram_changes_nothing(data: bytes, tree: object) -> None:
    members = ReplicaGroup()
    members.edit("north", KEYS[0], "x")
    before = members.replicas["north"].encode_state()
    for malformed in (
        data,
        msgspec.msgpack.encode([tree]) if is_encodable(tree) else b"",
        msgspec.msgpack.encode([["h", tree]]) if is_encodable(tree) else b"",
    ):
        members.replicas["north"].receive(malformed)
    assert members.replicas["north"].encode_state() == before


def is_encodable(tree: object) -> bool:
    try:
        msgspec.msgpack.encode(tree)
    except (OverflowError, msgspec.MsgspecError):
        return False
    return True


@pytest.mark.parametrize("differing_entries", [0, 10, 300])
def test_traffic_grows_with_the_difference_and_not_with_the_length_of_the_list(
    differing_entries: int,
) -> None:
    """Figures: benchmarks/reconcile.py."""
    sent_bytes = {}
    for size in (1_000, 4_000):
        members = ReplicaGroup()
        for n in range(size):
            members.replicas["north"].edit(Key(str(n), ADDRESS), "x", "staff", 0)
        members.replicas["south"].restore(members.replicas["north"].encode_state())
        for n in range(differing_entries):
            members.replicas[NAMES[n % 2]].edit(Key(str(n), ADDRESS), "y", "staff", 1)
        members.send("north", "south", members.replicas["north"].start_comparison())
        total_bytes = 0
        while members.in_flight:
            _, _, data = members.in_flight[0]
            total_bytes += len(data)
            members.deliver(0)
            del members.in_flight[0]
        assert members.replicas["north"].canonical_bytes() == members.replicas["south"].canonical_bytes()
        sent_bytes[size] = total_bytes
    assert (
        sent_bytes[4_000] <= 2.0 * sent_bytes[1_000] and sent_bytes[4_000] < 200 + 1_000 * differing_entries
    )
