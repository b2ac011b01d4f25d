"""Scenarios of a real sender process that follows a directory in a fake etcd cluster."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import Relay, entry, sends
from scenario import SETTINGS, ScenarioHarness

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated, Outcome

DELIVERED_BY_N2 = "n2 expect {0} \n n2 send 200 \n sender expect end how=ok"
SUBMIT = "s1 send SUBMIT {0} c=keyed,d=20000,dest=1 \n s1 expect +OK"

SCENARIOS = {
    "a drain in etcd stops new messages there, and an undrain resumes them": f"""
        e put draining n1
        sender expect endpoint_list complete=False count=1
        {SUBMIT.format("m1")}
        {DELIVERED_BY_N2.format("m1")}
        e put draining n2
        sender expect endpoint_list complete=False count=1
        {SUBMIT.format("m2")}
        e put up n2
        {DELIVERED_BY_N2.format("m2")}
        """,
    "a draining endpoint finishes what is in flight": """
        e remove n2
        sender expect endpoint_list complete=False count=1
        s1 send SUBMIT m1 c=keyed,d=20000,dest=1
        s1 expect +OK
        n1 expect m1
        e put draining n1
        sender expect endpoint_list complete=False count=1
        n1 send 200
        sender expect end how=ok
        """,
    "a restart while etcd is unreachable starts on the persisted list": f"""
        e put draining n1
        sender expect endpoint_list complete=False count=1
        e refuse
        sender expect discovery.etcd.member_failed
        sender send KILL
        sender restart no_list
        sender expect discovery.etcd.member_failed
        {SUBMIT.format("m1")}
        {DELIVERED_BY_N2.format("m1")}
        e put draining n3
        e heal
        sender expect endpoint_list complete=True count=4
        s1 send SUBMIT m2 c=keyed,d=20000,dest=2
        s1 expect +OK
        e put up n3
        n3 expect m2
        n3 send 200
        sender expect end how=ok
        """,
    "drains written during a disconnection take effect after it": f"""
        e refuse
        sender expect discovery.etcd.member_failed
        e put draining n1
        e put draining n3
        e put up n3
        e compact
        e heal
        sender expect endpoint_list complete=True count=4
        {SUBMIT.format("m1")}
        {DELIVERED_BY_N2.format("m1")}
        """,
    "the source is switched to the platform and back, and messages are delivered": f"""
        d send draining n2
        sender source platform
        sender expect discovery.source source=platform
        sender expect endpoint_list complete=True count=4
        {SUBMIT.format("m1")}
        n1 expect m1
        e put draining n1
        sender source etcd
        sender expect discovery.source source=etcd
        sender expect endpoint_list complete=True count=4
        n1 send 200
        sender expect end how=ok
        {SUBMIT.format("m2")}
        {DELIVERED_BY_N2.format("m2")}
        """,
    "a malformed operator's file is rejected and the old one stays in effect": f"""
        sender source nowhere
        sender expect config.reload_rejected
        e put draining n1
        sender expect endpoint_list complete=False count=1
        {SUBMIT.format("m1")}
        {DELIVERED_BY_N2.format("m1")}
        """,
    "expired tokens are renewed": f"""
        e expire_tokens
        e cut
        sender expect discovery.etcd.member_failed
        e put draining n1
        sender expect endpoint_list complete=False count=1
        {SUBMIT.format("m1")}
        {DELIVERED_BY_N2.format("m1")}
        """,
}


@pytest.mark.parametrize("text", SCENARIOS.values(), ids=SCENARIOS)
def test_scenario(tmp_path: Path, text: str) -> None:
    asyncio.run(ScenarioHarness(tmp_path, SETTINGS, etcd=True).run(text))


def test_list_from_another_source_preserves_retry_after_drains_and_health() -> None:
    relay = Relay(entry(1, "a"), entry(1, "b"), entry(2, "c"))
    relay.arrive(1, "keyed")
    relay.end("m1", Outcome.REJECTED, retry_after_ms=4000.0)
    for _ in range(4):
        relay.arrive(2)
    failing = [id_ for id_ in relay.tries if id_ != "m1"]
    for id_ in failing:
        relay.end(id_, Outcome.ERROR)
    health = relay.policy.destinations[2].limits
    complete_list = [entry(1, "a", lifecycle=EndpointLifecycle.DRAINING), entry(1, "b"), entry(2, "c")]

    assert "m1" not in sends(relay.do(EndpointsUpdated(complete_list, complete=True)))

    assert relay.policy.destinations[2].limits is health and health and health.breaker.consecutive_failures
    assert "m1" not in sends(relay.wait(3900)), "the retry-after stays in effect"
    assert "m1" in sends(relay.wait(3000)) and relay.where["m1"] == "b"
