"""Who is a member: the real code over a simulated network with every fault; the datagrams against noise."""

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
from kestreltrack.testing.harness.simulated_network import SimulatedNetwork

SECOND, MINUTE = 1000.0, 60_000.0


def joined(count: int, loss: float = 0.0, repeat: float = 0.0, late_ms: float = 0.0) -> SimulatedNetwork:
    net = SimulatedNetwork(
        count,
        1,
        LinkFault(loss=loss, delay_ms=1.0, jitter_ms=2.0, duplicate_rate=repeat, duplicate_delay_ms=late_ms),
    )
    net.run(3 * MINUTE, net.views_agree)
    assert net.views_agree()
    return net


def standings(net: SimulatedNetwork, of: str) -> set[str]:
    """What all that run hold of one member."""
    return {
        m.table.members[of].state.value if of in m.table.members else "unknown"
        for m in net.running_members()
        if m.local_member.name != of
    }


@pytest.mark.parametrize(("count", "loss"), [(1, 0.0), (2, 0.0), (8, 0.0), (40, 0.1), (12, 0.3)])
def test_all_find_each_other_and_a_death_is_known_to_all(count: int, loss: float) -> None:
    net = joined(count, loss=loss)
    if count > 1:
        net.kill(["m0001"])
        net.run(3 * MINUTE, lambda: standings(net, "m0001") == {"gone"})
        assert standings(net, "m0001") == {"gone"}
    net.run(MINUTE, net.views_agree)
    assert net.views_agree() and not net.false_positives()


def test_a_farewell_is_known_at_once_and_no_suspicion() -> None:
    net = joined(8)
    net.leave("m0004")
    net.run(2 * SECOND)
    assert standings(net, "m0004") == {"left"}
    assert not [told for told in net.view_changes if told.change.state is MemberState.SUSPECT]


def test_one_that_comes_back_under_its_name_is_one_member_with_a_new_incarnation() -> None:
    net = joined(6)
    net.kill(["m0002"])
    net.add("m0002", start=2)  # before anybody has noticed: a restart is no flap
    net.run(20 * SECOND)
    assert net.views_agree() and not net.false_positives()
    net.kill(["m0002"])
    net.run(MINUTE, lambda: standings(net, "m0002") == {"gone"})
    net.add("m0002", start=1)  # its clock went back meanwhile: it finds out that it has to go beyond
    net.run(MINUTE, net.views_agree)
    assert net.views_agree() and net.members["m0002"].local_member.incarnation > 2


def test_who_finds_its_first_seed_after_its_beginning_learns_from_it_as_if_it_had_been_given() -> None:
    net = joined(8)
    late = net.add("late", seeds=0)
    late.replace_seeds(["m0001:1"])  # etcd's register was read a moment later
    assert not late.caught_up, "there is somebody to learn from"
    net.run(2 * SECOND, lambda: net.views_agree() and late.caught_up)
    assert net.views_agree() and late.caught_up, "all of them, not the seed alone"
    alone = net.add("alone", seeds=0)
    alone.replace_seeds(["nobody:1"])
    alone.replace_seeds([])
    assert alone.caught_up, "the entry was of one that is no more"


def test_two_halves_that_were_cut_apart_find_each_other_again() -> None:
    net = joined(10)
    net.links.groups = {"one": {f"m{n:04}" for n in range(5)}, "two": {f"m{n:04}" for n in range(5, 10)}}
    net.links.inject("one", "two", LinkFault(cut=True))
    net.run(2 * MINUTE)
    assert all(len(member.active_members()) == 5 for member in net.running_members())
    net.heal()
    net.run(2 * MINUTE, net.views_agree)
    assert net.views_agree()


def test_one_that_is_heard_but_hears_nothing_convicts_nobody_for_good() -> None:
    net = joined(8)
    net.links.inject("*", "m0003", LinkFault(cut=True), bidirectional=False)
    net.run(MINUTE)
    assert standings(net, "m0003") == {"gone"}
    others = [
        told for told in net.false_positives() if told.change.name != "m0003" and told.member != "m0003"
    ]
    assert not others, "what the deaf one believes is its own affair"
    net.heal()
    net.run(2 * MINUTE, net.views_agree)
    assert net.views_agree()


def test_a_member_paused_for_30_s_convicts_nobody_and_knows_that_it_is_behind() -> None:
    net = joined(8)
    net.pause("m0005", 30 * SECOND)
    net.kill(["m0006"])
    net.run(29 * SECOND)
    assert standings(net, "m0006") >= {"gone"}
    told = len(net.view_changes)
    net.run(1.002 * SECOND)
    assert not net.members["m0005"].caught_up, "what it holds is 30 s old"
    net.run(MINUTE, lambda: net.views_agree() and net.members["m0005"].caught_up)
    assert net.views_agree() and net.members["m0005"].caught_up
    convicted = [t for t in net.view_changes[told:] if t.member == "m0005" and t.change.state is MemberState.DEAD]
    assert {t.change.name for t in convicted} <= {"m0006"}, (
        "nobody answered it for 30 s, and that was its own fault"
    )


def test_what_comes_again_five_seconds_later_changes_nothing() -> None:
    net = joined(8, repeat=0.5, late_ms=5 * SECOND)
    net.kill(["m0002"])
    net.run(MINUTE, lambda: standings(net, "m0002") == {"gone"})
    told = len(net.view_changes)
    net.run(MINUTE)
    assert not net.view_changes[told:] and standings(net, "m0002") == {"gone"}


def test_seven_in_ten_killed_at_once_and_back() -> None:
    net = joined(20)
    names = [f"m{n:04}" for n in range(14)]
    net.kill(names)
    net.run(3 * MINUTE, net.views_agree)
    assert net.views_agree() and len(net.running_members()) == 6
    for name in names:
        net.add(name, start=2)
    net.run(3 * MINUTE, net.views_agree)
    assert net.views_agree() and len(net.running_members()) == 20


def test_a_rolling_restart_is_no_news_of_death() -> None:
    net = joined(10)
    for n in range(10):
        net.leave(f"m{n:04}")
        net.run(SECOND)
        net.add(f"m{n:04}", start=2)
        net.run(2 * SECOND)
    net.run(MINUTE, net.views_agree)
    assert net.views_agree() and not net.false_positives()


def test_answers_slower_than_the_usual_patience_make_suspicions_but_no_death() -> None:
    net = joined(12)
    net.links.inject("*", "m0007", LinkFault(delay_ms=300.0, jitter_ms=300.0))  # direct answers come too late
    net.run(3 * MINUTE)
    suspected = [told for told in net.view_changes if told.change.state is MemberState.SUSPECT]
    assert suspected and not net.false_positives(), (
        "refuted each time: the edge of suspicion is no flap of membership"
    )


def test_load_does_not_grow_with_the_fleet() -> None:
    small, large = joined(6), joined(60)
    rates = list[float]()
    for net in (small, large):
        net.run(MINUTE)  # the news of joining are told
        before = sum(net.datagrams_sent.values())
        net.run(MINUTE)
        rates.append((sum(net.datagrams_sent.values()) - before) / len(net.members) / 60.0)
    assert rates[1] < 1.3 * rates[0] and rates[1] < 5.0, "datagrams a second for each member"


# Names ---------------------------------------------------------------------------------------------


def told(name: str, *facts: wire.MemberUpdate, body: wire.Body | None = None) -> bytes:
    return encode_datagram(name, body or Gossip(), [wire.ENCODE(fact) for fact in facts])


def one() -> Swim:
    swim = Swim(Alive("me", "me:1", 5), ProbeTiming(), 1)
    swim.join(0.0, [])
    swim.receive(1.0, "a:1", told("a", Alive("a", "a:1", 7)))
    assert [info.name for info in swim.active_members()] == ["a", "me"]
    swim.take_changes()
    return swim


@pytest.mark.parametrize(
    ("source", "data"),
    [
        ("x:1", told("a", Dead("a", 9, "a"))),  # claims another's name
        ("a:1", told("me", Left("a", 9))),  # one's own
        ("x:1", told("x", Alive("a", "x:1", 9))),  # gives a living member's name another address
        ("x:1", told("x", Suspect("a", 6, "x"))),  # of an incarnation that is over
        ("x:1", told("x", Dead("b", 6, "x"))),  # of one that nobody knows
        ("a:1", told("a", Alive("me", "a:1", 99))),
    ],
)
def test_a_name_is_its_first_holders(source: str, data: bytes) -> None:
    swim = one()
    swim.receive(2.0, source, data)
    assert [info.name for info in swim.active_members()] == ["a", "me"] and not swim.take_changes()
    assert swim.local_member.incarnation == 5 and swim.active_members()[0].address == "a:1"


def test_a_suspicion_of_oneself_is_refuted_with_a_larger_incarnation() -> None:
    swim = one()
    swim.receive(2.0, "a:1", told("a", Suspect("me", 5, "a")))
    assert swim.local_member.incarnation == 6 and swim.local_health_score == 1, (
        "it may be oneself that is slow"
    )
    for _ in range(20):
        swim.tick(swim.next_due())  # the refutation is told, and told often enough
    ping = told("a", Suspect("me", 5, "a"), body=wire.Ping(1, "me"))
    (answer,) = swim.receive(swim._now, "a:1", ping)
    assert swim.local_member.incarnation == 6 and swim.local_member in decode_datagram(answer[1])[2], (
        "who has missed it is told again"
    )


def test_a_suspicion_with_more_witnesses_is_shorter() -> None:
    net = joined(8)
    swim = net.members["m0000"]
    table, now = swim.table, net.now
    table.apply_update(now, Suspect("m0003", 1, "m0001"))
    alone = table.next_suspicion_expiry() - now
    for witness in ("m0002", "m0004", "m0004", "m0005"):
        table.apply_update(now, Suspect("m0003", 1, witness))
    assert table.next_suspicion_expiry() - now == pytest.approx(alone / 6.0)


# Datagrams -----------------------------------------------------------------------------------------


HALF = told("a", Alive("b", "b:1", 1))[:12]


@given(st.one_of(st.binary(max_size=1400), st.binary(max_size=60).map(lambda tail: HALF + tail)))
@settings(max_examples=400, deadline=None)
def test_noise_is_counted_and_changes_nothing(data: bytes) -> None:
    swim = one()
    try:
        decode_datagram(data)
    except MalformedDatagramError as bad:
        assert str(bad) in ("noise", "too_long", "unknown_version")
        swim.receive(2.0, "x:1", data)
        assert [info.name for info in swim.active_members()] == ["a", "me"] and swim.counts[str(bad)] == 1
    else:
        swim.receive(2.0, "x:1", data)  # read after all: it is a datagram like any other
    assert swim.local_member.name == "me" and swim.tick(3.0) is not None


def test_versions_that_differ_in_a_field_read_each_other_and_others_are_dropped() -> None:
    def datagram(version: int, *alive: Any) -> bytes:
        return msgspec.msgpack.encode([version, "b", ["o"], [list(alive)]])

    longer = datagram(1, "a", "b", "b:1", 7, "zone", "", "9.9", 1, "a field of later")
    assert decode_datagram(longer)[2] == [Alive("b", "b:1", 7, "zone", "", "9.9", 1)]
    assert decode_datagram(datagram(1, "a", "b", "b:1", 7))[2] == [Alive("b", "b:1", 7)]
    for data, word in (
        (datagram(2, "a", "b", "b:1", 7), "unknown_version"),
        (longer + bytes(1200), "too_long"),
    ):
        with pytest.raises(MalformedDatagramError, match=word):
            decode_datagram(data)


def test_no_datagram_is_longer_than_allowed_whatever_there_is_to_tell() -> None:
    swim = one()
    sizes = list[int]()
    for n in range(600):
        name = f"{n:04}" + "n" * 60
        out = swim.receive(2.0, "a:1", told("a", Alive(name, "1.2.3.4:" + "5" * 50, 1, "z" * 64, "r" * 64)))
        sizes += [len(data) for _, data in out]
    pages, after = 0, ""
    for moment in range(1000):
        sizes += [len(data) for _, data in swim.tick(3.0 + 200.0 * moment)]
        (answer,) = swim.receive(3.0 + 200.0 * moment, "a:1", told("a", body=wire.StateRequest(after)))
        sizes.append(len(answer[1]))
        _, body, facts = decode_datagram(answer[1])
        assert isinstance(body, wire.StatePage) and (facts or not body.next_after_name)
        pages, after = pages + 1, body.next_after_name
        if not after:
            break
    assert max(sizes) <= wire.MAX_DATAGRAM_BYTES and pages > 100


def test_members_beyond_the_bound_are_not_taken_in(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("kestreltrack.fleet.membership.member_table.MAX_MEMBERS", 5)
    swim = one()
    for n in range(20):
        swim.receive(2.0, "a:1", told("a", Alive(f"n{n}", f"n{n}:1", 1)))
    assert len(swim.table.members) == 5 and swim.table.rejected_updates == 16
