"""Scenarios on sockets with the directory in etcd, against the real process."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import Relay, entry, sends
from scenario import SETTINGS, World

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated, Outcome

DELIVERED = "n2 expect {0} \n n2 send 200 \n sender expect end how=ok"
HAND_IN = "s1 send SUBMIT {0} c=keyed,d=20000,dest=1 \n s1 expect +OK"

SCENARIOS = {
    "a drain in etcd stops fresh work there, and an undrain brings it back": f"""
        e put draining n1
        sender expect list whole=False n=1
        {HAND_IN.format("m1")}
        {DELIVERED.format("m1")}
        e put draining n2
        sender expect list whole=False n=1
        {HAND_IN.format("m2")}
        e put up n2
        {DELIVERED.format("m2")}
        """,
    "what a drained endpoint has, it finishes": """
        e remove n2
        sender expect list whole=False n=1
        s1 send SUBMIT m1 c=keyed,d=20000,dest=1
        s1 expect +OK
        n1 expect m1
        e put draining n1
        sender expect list whole=False n=1
        n1 send 200
        sender expect end how=ok
        """,
    "a restart while etcd is away starts on the list as last held": f"""
        e put draining n1
        sender expect list whole=False n=1
        e refuse
        sender expect discovery.etcd.member_failed
        sender send KILL
        sender wait alone
        sender expect discovery.etcd.member_failed
        {HAND_IN.format("m1")}
        {DELIVERED.format("m1")}
        e put draining n3
        e heal
        sender expect list whole=True n=4
        s1 send SUBMIT m2 c=keyed,d=20000,dest=2
        s1 expect +OK
        e put up n3
        n3 expect m2
        n3 send 200
        sender expect end how=ok
        """,
    "drains written while the connection is cut are kept once it is back": f"""
        e refuse
        sender expect discovery.etcd.member_failed
        e put draining n1
        e put draining n3
        e put up n3
        e compact
        e heal
        sender expect list whole=True n=4
        {HAND_IN.format("m1")}
        {DELIVERED.format("m1")}
        """,
    "the source moves to the platform and back, and messages go on": f"""
        d send draining n2
        sender source platform
        sender expect discovery.source source=platform
        sender expect list whole=True n=4
        {HAND_IN.format("m1")}
        n1 expect m1
        e put draining n1
        sender source etcd
        sender expect discovery.source source=etcd
        sender expect list whole=True n=4
        n1 send 200
        sender expect end how=ok
        {HAND_IN.format("m2")}
        {DELIVERED.format("m2")}
        """,
    "a faulty operator's file leaves the old one in force": f"""
        sender source nowhere
        sender expect config.reload_rejected
        e put draining n1
        sender expect list whole=False n=1
        {HAND_IN.format("m1")}
        {DELIVERED.format("m1")}
        """,
    "tokens that run out are renewed": f"""
        e expire_tokens
        e cut
        sender expect discovery.etcd.member_failed
        e put draining n1
        sender expect list whole=False n=1
        {HAND_IN.format("m1")}
        {DELIVERED.format("m1")}
        """,
}


@pytest.mark.parametrize("text", SCENARIOS.values(), ids=SCENARIOS)
def test_scenario(tmp_path: Path, text: str) -> None:
    asyncio.run(World(tmp_path, SETTINGS, etcd=True).play(text))


def test_a_list_from_another_source_keeps_waits_drains_and_health() -> None:
    relay = Relay(entry(1, "a"), entry(1, "b"), entry(2, "c"))
    relay.arrive(1, "keyed")
    relay.end("m1", Outcome.REJECTED, retry_after_ms=4000.0)
    for _ in range(4):
        relay.arrive(2)
    sick = [id_ for id_ in relay.tries if id_ != "m1"]
    for id_ in sick:
        relay.end(id_, Outcome.ERROR)
    health = relay.policy.destinations[2].limits
    whole = [entry(1, "a", lifecycle=EndpointLifecycle.DRAINING), entry(1, "b"), entry(2, "c")]
    assert "m1" not in sends(relay.do(EndpointsUpdated(whole, complete=True)))
    assert relay.policy.destinations[2].limits is health and health and health.breaker.consecutive_failures
    assert "m1" not in sends(relay.wait(3900)), "the wait goes on"
    assert "m1" in sends(relay.wait(3000)) and relay.where["m1"] == "b"
