"""Membership: the protocol over a simulated network with faults, and its handling of malformed datagrams."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.fleet.membership import wire
from kestreltrack.fleet.membership.member_table import MemberState
from kestreltrack.fleet.membership.swim import ProbeTiming, Swim
from kestreltrack.fleet.membership.wire import (
    Alive,
    Dead,
    Gossip,
    Left,
    MalformedDatagramError,
    Suspect,
    decode_datagram,
    encode_datagram,
)
from kestreltrack.testing.harness.links import LinkFault
from kestreltrack.testing.harness.simulated_network import SimulatedNetwork, ViewChange

SECOND_MS = 1000.0
MINUTE_MS = 60_000.0


def joined_network(
    count: int, loss: float = 0.0, duplicate_rate: float = 0.0, duplicate_delay_ms: float = 0.0
) -> SimulatedNetwork:
    """Return a network whose members know each other."""
    fault = LinkFault(
        loss=loss,
        delay_ms=1.0,
        jitter_ms=2.0,
        duplicate_rate=duplicate_rate,
        duplicate_delay_ms=duplicate_delay_ms,
    )
    network = SimulatedNetwork(count, 1, fault)
    network.run(3 * MINUTE_MS, network.views_agree)
    assert network.views_agree()
    return network


def states_of(network: SimulatedNetwork, name: str) -> set[str]:
    """Return the states that the other running members record for one member."""
    return {
        member.table.members[name].state.value if name in member.table.members else "unknown"
        for member in network.running_members()
        if member.local_member.name != name
    }


def members_declared_dead_by(changes: list[ViewChange], member: str) -> set[str]:
    """Return the members that one member has recorded as dead."""
    return {
        change.change.name
        for change in changes
        if change.member == member and change.change.state is MemberState.DEAD
    }


@pytest.mark.parametrize(("count", "loss"), [(1, 0.0), (2, 0.0), (8, 0.0), (40, 0.1), (12, 0.3)])
def test_members_find_each_other_and_a_killed_member_is_dead_for_all(count: int, loss: float) -> None:
    network = joined_network(count, loss=loss)
    if count > 1:
        network.kill(["m0001"])
        network.run(3 * MINUTE_MS, lambda: states_of(network, "m0001") == {"gone"})
        assert states_of(network, "m0001") == {"gone"}
    network.run(MINUTE_MS, network.views_agree)
    assert network.views_agree() and not network.false_positives()


def test_announced_leave_is_known_within_two_seconds_without_suspicion() -> None:
    network = joined_network(8)
    network.leave("m0004")
    network.run(2 * SECOND_MS)
    assert states_of(network, "m0004") == {"left"}
    assert not [view for view in network.view_changes if view.change.state is MemberState.SUSPECT]


def test_restarted_member_is_one_member_with_a_new_incarnation() -> None:
    network = joined_network(6)
    network.kill(["m0002"])
    network.add("m0002", start=2)  # before any other member has detected the failure
    network.run(20 * SECOND_MS)
    assert network.views_agree() and not network.false_positives()
    network.kill(["m0002"])
    network.run(MINUTE_MS, lambda: states_of(network, "m0002") == {"gone"})
    network.add("m0002", start=1)  # its clock was set back: it learns the incarnation to exceed
    network.run(MINUTE_MS, network.views_agree)
    assert network.views_agree() and network.members["m0002"].local_member.incarnation > 2


def test_member_catches_up_through_a_seed_found_after_its_start() -> None:
    network = joined_network(8)
    late = network.add("late", seeds=0)
    late.replace_seeds(["m0001:1"])  # as after a read of the etcd registry
    assert not late.caught_up, "the list of the seed has not been received yet"
    network.run(2 * SECOND_MS, lambda: network.views_agree() and late.caught_up)
    assert network.views_agree() and late.caught_up, "it knows all members, not only the seed"
    alone = network.add("alone", seeds=0)
    alone.replace_seeds(["nobody:1"])
    alone.replace_seeds([])
    assert alone.caught_up, "without seeds there is no member to catch up from"


def test_partitioned_halves_find_each_other_after_healing() -> None:
    network = joined_network(10)
    network.links.groups = {"one": {f"m{n:04}" for n in range(5)}, "two": {f"m{n:04}" for n in range(5, 10)}}
    network.links.inject("one", "two", LinkFault(cut=True))
    network.run(2 * MINUTE_MS)
    assert all(len(member.active_members()) == 5 for member in network.running_members())
    network.heal()
    network.run(2 * MINUTE_MS, network.views_agree)
    assert network.views_agree()


def test_member_that_receives_nothing_causes_no_other_member_to_be_declared_dead() -> None:
    network = joined_network(8)
    network.links.inject("*", "m0003", LinkFault(cut=True), bidirectional=False)
    network.run(MINUTE_MS)
    assert states_of(network, "m0003") == {"gone"}
    others = [
        view for view in network.false_positives() if view.change.name != "m0003" and view.member != "m0003"
    ]
    assert not others, "only the member that receives nothing may believe others dead"
    network.heal()
    network.run(2 * MINUTE_MS, network.views_agree)
    assert network.views_agree()


def test_member_paused_for_30_s_declares_nobody_dead_and_has_to_catch_up() -> None:
    network = joined_network(8)
    network.pause("m0005", 30 * SECOND_MS)
    network.kill(["m0006"])
    network.run(29 * SECOND_MS)
    assert states_of(network, "m0006") >= {"gone"}
    changes_before = len(network.view_changes)
    network.run(1.002 * SECOND_MS)
    assert not network.members["m0005"].caught_up, "its view is 30 s old"
    network.run(MINUTE_MS, lambda: network.views_agree() and network.members["m0005"].caught_up)
    assert network.views_agree() and network.members["m0005"].caught_up
    assert members_declared_dead_by(network.view_changes[changes_before:], "m0005") <= {"m0006"}, (
        "missing answers during its own pause are no evidence against others"
    )


def test_datagrams_duplicated_five_seconds_later_change_nothing() -> None:
    network = joined_network(8, duplicate_rate=0.5, duplicate_delay_ms=5 * SECOND_MS)
    network.kill(["m0002"])
    network.run(MINUTE_MS, lambda: states_of(network, "m0002") == {"gone"})
    changes_before = len(network.view_changes)
    network.run(MINUTE_MS)
    assert not network.view_changes[changes_before:] and states_of(network, "m0002") == {"gone"}


def test_seven_in_ten_killed_at_once_are_removed_and_rejoin() -> None:
    network = joined_network(20)
    names = [f"m{n:04}" for n in range(14)]
    network.kill(names)
    network.run(3 * MINUTE_MS, network.views_agree)
    assert network.views_agree() and len(network.running_members()) == 6
    for name in names:
        network.add(name, start=2)
    network.run(3 * MINUTE_MS, network.views_agree)
    assert network.views_agree() and len(network.running_members()) == 20


def test_rolling_restart_declares_no_running_member_dead() -> None:
    network = joined_network(10)
    for n in range(10):
        network.leave(f"m{n:04}")
        network.run(SECOND_MS)
        network.add(f"m{n:04}", start=2)
        network.run(2 * SECOND_MS)
    network.run(MINUTE_MS, network.views_agree)
    assert network.views_agree() and not network.false_positives()


def test_answers_slower_than_the_probe_timeout_cause_suspicions_but_no_death() -> None:
    network = joined_network(12)
    network.links.inject(
        "*", "m0007", LinkFault(delay_ms=300.0, jitter_ms=300.0)
    )  # later than the timeout of a direct answer
    network.run(3 * MINUTE_MS)
    suspected = [view for view in network.view_changes if view.change.state is MemberState.SUSPECT]
    assert suspected and not network.false_positives(), "each suspicion is refuted in time"


def test_datagram_rate_of_a_member_does_not_grow_with_the_fleet() -> None:
    small = joined_network(6)
    large = joined_network(60)
    rates = list[float]()
    for network in (small, large):
        network.run(MINUTE_MS)  # until all updates about joins are disseminated
        sent_before = sum(network.datagrams_sent.values())
        network.run(MINUTE_MS)
        rates.append((sum(network.datagrams_sent.values()) - sent_before) / len(network.members) / 60.0)
    assert rates[1] < 1.3 * rates[0] and rates[1] < 5.0, "datagrams per second and member"


# Names ---------------------------------------------------------------------------------------------


def datagram_from(name: str, *updates: wire.MemberUpdate, body: wire.Body | None = None) -> bytes:
    return encode_datagram(name, body or Gossip(), [wire.ENCODE(update) for update in updates])


def member_that_knows_one_other() -> Swim:
    """Return the local member `me`, which knows the member `a`."""
    swim = Swim(Alive("me", "me:1", 5), ProbeTiming(), 1)
    swim.join(0.0, [])
    swim.receive(1.0, "a:1", datagram_from("a", Alive("a", "a:1", 7)))
    assert [info.name for info in swim.active_members()] == ["a", "me"]
    swim.take_changes()
    return swim


@pytest.mark.parametrize(
    ("source", "data"),
    [
        ("x:1", datagram_from("a", Dead("a", 9, "a"))),  # uses the name of another member
        ("a:1", datagram_from("me", Left("a", 9))),  # uses the name of the recipient
        ("x:1", datagram_from("x", Alive("a", "x:1", 9))),  # gives an alive member another address
        ("x:1", datagram_from("x", Suspect("a", 6, "x"))),  # of an earlier incarnation
        ("x:1", datagram_from("x", Dead("b", 6, "x"))),  # of an unknown member
        ("a:1", datagram_from("a", Alive("me", "a:1", 99))),
    ],
)
def test_name_in_use_cannot_be_taken_or_ended_by_another_address(source: str, data: bytes) -> None:
    swim = member_that_knows_one_other()
    swim.receive(2.0, source, data)
    assert [info.name for info in swim.active_members()] == ["a", "me"] and not swim.take_changes()
    assert swim.local_member.incarnation == 5 and swim.active_members()[0].address == "a:1"


def test_suspicion_of_the_local_member_is_refuted_with_a_larger_incarnation() -> None:
    swim = member_that_knows_one_other()
    swim.receive(2.0, "a:1", datagram_from("a", Suspect("me", 5, "a")))
    assert swim.local_member.incarnation == 6 and swim.local_health_score == 1, (
        "the local member itself may be slow"
    )
    for _ in range(20):
        swim.tick(swim.next_due())  # until the refutation is disseminated
    ping = datagram_from("a", Suspect("me", 5, "a"), body=wire.Ping(1, "me"))
    (answer,) = swim.receive(swim._now, "a:1", ping)
    assert swim.local_member.incarnation == 6 and swim.local_member in decode_datagram(answer[1])[2], (
        "a member that has missed the refutation receives it again"
    )


def test_suspicion_with_more_reporters_expires_sooner() -> None:
    network = joined_network(8)
    swim = network.members["m0000"]
    table = swim.table
    now = network.now
    table.apply_update(now, Suspect("m0003", 1, "m0001"))
    timeout_with_one_reporter_ms = table.next_suspicion_expiry() - now
    for reporter in ("m0002", "m0004", "m0004", "m0005"):
        table.apply_update(now, Suspect("m0003", 1, reporter))
    assert table.next_suspicion_expiry() - now == pytest.approx(timeout_with_one_reporter_ms / 6.0)


# Datagrams -----------------------------------------------------------------------------------------


TRUNCATED_DATAGRAM = datagram_from("a", Alive("b", "b:1", 1))[:12]


@given(
    st.one_of(st.binary(max_size=1400), st.binary(max_size=60).map(lambda tail: TRUNCATED_DATAGRAM + tail))
)
@settings(max_examples=400, deadline=None)
def test_malformed_datagram_is_counted_and_changes_nothing(data: bytes) -> None:
    swim = member_that_knows_one_other()
    try:
        decode_datagram(data)
    except MalformedDatagramError as error:
        assert str(error) in ("noise", "too_long", "unknown_version")
        swim.receive(2.0, "x:1", data)
        assert [info.name for info in swim.active_members()] == ["a", "me"] and swim.counts[str(error)] == 1
    else:
        swim.receive(2.0, "x:1", data)  # a valid datagram by chance
    assert swim.local_member.name == "me" and swim.tick(3.0) is not None


def test_added_and_omitted_fields_are_accepted_and_unknown_versions_dropped() -> None:
    def datagram(version: int, *alive: Any) -> bytes:
        return msgspec.msgpack.encode([version, "b", ["o"], [list(alive)]])

    longer = datagram(1, "a", "b", "b:1", 7, "zone", "", "9.9", 1, "a field of a later version")
    assert decode_datagram(longer)[2] == [Alive("b", "b:1", 7, "zone", "", "9.9", 1)]
    assert decode_datagram(datagram(1, "a", "b", "b:1", 7))[2] == [Alive("b", "b:1", 7)]
    for data, reason in (
        (datagram(2, "a", "b", "b:1", 7), "unknown_version"),
        (longer + bytes(1200), "too_long"),
    ):
        with pytest.raises(MalformedDatagramError, match=reason):
            decode_datagram(data)


def test_no_datagram_exceeds_the_limit_with_600_members() -> None:
    swim = member_that_knows_one_other()
    sizes = list[int]()
    for number in range(600):
        name = f"{number:04}" + "n" * 60
        outgoing = swim.receive(
            2.0, "a:1", datagram_from("a", Alive(name, "1.2.3.4:" + "5" * 50, 1, "z" * 64, "r" * 64))
        )
        sizes += [len(data) for _, data in outgoing]
    pages = 0
    after_name = ""
    for round_number in range(1000):
        sizes += [len(data) for _, data in swim.tick(3.0 + 200.0 * round_number)]
        (answer,) = swim.receive(
            3.0 + 200.0 * round_number, "a:1", datagram_from("a", body=wire.StateRequest(after_name))
        )
        sizes.append(len(answer[1]))
        _, body, updates = decode_datagram(answer[1])
        assert isinstance(body, wire.StatePage) and (updates or not body.next_after_name)
        pages += 1
        after_name = body.next_after_name
        if not after_name:
            break
    assert max(sizes) <= wire.MAX_DATAGRAM_BYTES and pages > 100


def test_members_beyond_the_limit_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("kestreltrack.fleet.membership.member_table.MAX_MEMBERS", 5)
    swim = member_that_knows_one_other()
    for n in range(20):
        swim.receive(2.0, "a:1", datagram_from("a", Alive(f"n{n}", f"n{n}:1", 1)))
    assert len(swim.table.members) == 5 and swim.table.rejected_updates == 16
