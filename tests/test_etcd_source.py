"""The etcd endpoint source over sockets, under every fault of the fake cluster.

Tests wait for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from etcd_harness import PREFIX, EtcdHarness, create_certificates, entry_value, run_scenario

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient, TlsSettings
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.process import server_tls
from kestreltrack.testing.fakes.etcd.store import EtcdStore

UP = EndpointLifecycle.UP
DRAINING = EndpointLifecycle.DRAINING
REMOVED = EndpointLifecycle.REMOVED


async def follow_with_open_watch(harness: EtcdHarness, endpoint_count: int = 6) -> None:
    for number in range(endpoint_count):
        harness.put(number)
    harness.follow()
    await harness.wait_until_caught_up()
    # The watch is open once it has delivered changes.
    harness.put(0, "draining")
    harness.put(0, "up")
    await harness.wait_until_changed("u0", UP)


def test_changes_are_delivered_in_order_and_once() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        harness.changes.clear()
        harness.put(1, "draining")
        harness.put(2)
        harness.delete(3)
        harness.put(3)
        harness.put(1)
        await harness.wait_until_caught_up()
        await harness.wait_until(lambda: len(harness.changes) == 5)
        states = [DRAINING, UP, REMOVED, UP, UP]
        assert harness.changes == list(zip(["u1", "u2", "u3", "u3", "u1"], states, strict=True))
        assert len(harness.complete_updates()) == 1

    run_scenario(scenario)


def test_drains_that_were_compacted_away_during_a_disconnection_are_delivered_without_flapping() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        harness.changes.clear()
        await harness.apply_fault_everywhere("refuse")
        harness.put(1, "draining")
        harness.put(2, "draining")
        harness.put(2, "up")
        harness.delete(3)
        harness.put(4, "draining")
        harness.delete(4)
        harness.put(4)
        harness.put(9)
        await harness.cluster.apply_fault(0, "compact")
        await harness.apply_fault_everywhere("heal")
        await harness.wait_until_caught_up()
        complete = harness.complete_updates()
        assert len(complete) == 2, "one at the start, one after the compaction"
        assert not harness.changes, "a complete list replaces the events, some of which are compacted"
        assert harness.telemetry.counters["discovery.etcd.compacted"] >= 1
        assert {endpoint.uid: endpoint.state for endpoint in complete[1].endpoints}["u1"] is DRAINING

    run_scenario(scenario)


def test_interrupted_stream_resumes_without_loss_or_repetition() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness, 40)
        harness.changes.clear()
        expected = list[tuple[str, EndpointLifecycle]]()
        for turn in range(12):
            for number in range(10):
                state = ("draining", "up")[(turn + number) % 2]
                harness.put(number, state)
                expected.append((f"u{number}", EndpointLifecycle(state)))
            if turn % 3 == 1:
                await harness.cluster.apply_fault(harness.watched_member(), "cut")
            await asyncio.sleep(0)
        await harness.wait_until(lambda: len(harness.changes) >= len(expected))
        assert harness.changes == expected, "each once, in order, across four interruptions"
        assert len(harness.complete_updates()) == 1, "the list was not read again"

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["hang", "lag", "no_leader", "refuse"])
def test_source_switches_from_a_faulty_member_to_another(fault: str) -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        member = harness.watched_member()
        await harness.cluster.apply_fault(member, fault)
        harness.put(1, "draining")
        await harness.wait_until_changed("u1", DRAINING)
        assert harness.watched_member() != member
        assert harness.changes.count(("u1", DRAINING)) == 1

    run_scenario(scenario)


def test_repeated_events_are_delivered_once() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        await harness.cluster.apply_fault(harness.watched_member(), "repeat")
        harness.changes.clear()
        harness.put(1, "draining")
        harness.put(2, "draining")
        harness.put(3, "draining")
        await harness.wait_until_changed("u3", DRAINING)
        await harness.wait_until(lambda: harness.telemetry.counters["discovery.etcd.repeated"] >= 1)
        assert len(harness.changes) == 3

    run_scenario(scenario)


def test_token_that_expires_during_a_watch_is_renewed() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        first_tokens = set(harness.cluster.auth_state.tokens)
        await harness.cluster.apply_fault(0, "expire_tokens")
        await harness.cluster.apply_fault(0, "cut")
        harness.put(1, "draining")
        await harness.wait_until_changed("u1", DRAINING)
        assert harness.cluster.auth_state.tokens and not first_tokens & set(harness.cluster.auth_state.tokens)

    run_scenario(scenario, lambda: EtcdHarness(1, {"sender": "s3cret"}), user="sender", password="s3cret")


def test_list_is_read_again_from_another_cluster_at_the_same_addresses() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        old_store = harness.cluster.store
        harness.cluster.store = EtcdStore(cluster_id=99)
        # The members' services get the new store when they are restarted.
        await harness.apply_fault_everywhere("refuse")
        harness.put(1)
        harness.put(77, "draining")
        await harness.apply_fault_everywhere("heal")
        await harness.wait_until_caught_up()
        assert harness.states() == {"u1": "up", "u77": "draining"}
        assert harness.telemetry.counters["discovery.etcd.other_cluster"] >= 1
        assert harness.cluster.store.revision < old_store.revision

    run_scenario(scenario)


def test_batch_interrupted_between_fragments_is_delivered_completely_or_not_at_all() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness, 20)
        harness.cluster.fragment_bytes = 400
        for member in harness.cluster.members:
            member.faults.cut_in_batch = True  # takes effect once
        harness.changes.clear()
        harness.updates.clear()
        transaction = pb.TxnRequest()
        for number in range(20):
            key = f"{PREFIX}endpoints/u{number}".encode()
            value = entry_value(number, "draining").encode()
            transaction.success.add(request_put=pb.PutRequest(key=key, value=value))
        harness.cluster.store.txn(transaction)
        harness.cluster.store.commit()
        harness.cluster.notify_change()
        await harness.wait_until_caught_up()
        batches = [update for update in harness.updates if not update.complete and len(update.endpoints) > 1]
        assert [len(update.endpoints) for update in batches] == [20]
        assert len(harness.changes) == 20
        assert sum(not member.faults.cut_in_batch for member in harness.cluster.members) >= 1, (
            "at least one member interrupted the batch"
        )

    run_scenario(scenario)


def test_ten_thousand_keys_are_read_in_pages_while_writes_continue() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        for number in range(10_000):
            harness.put(number)
        harness.follow()
        for turn in range(60):
            harness.put(turn * 150, "draining")
            await asyncio.sleep(0.002)
        await harness.wait_until_caught_up()
        complete = harness.complete_updates()
        assert len(complete) == 1 and len(complete[0].endpoints) == 10_000
        assert sum(state == "draining" for state in harness.states().values()) == 60

    run_scenario(scenario, lambda: EtcdHarness(page_size=500, response_timeout_ms=5000.0))


def test_malformed_value_leaves_the_last_valid_state_in_effect() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        harness.cluster.put(f"{PREFIX}endpoints/u1", "{not json")
        harness.cluster.put(f"{PREFIX}endpoints/u2", '{"endpoint": "no address"}')
        harness.cluster.put(f"{PREFIX}endpoints/new", "[]")
        harness.put(3, "draining")
        await harness.wait_until_changed("u3", DRAINING)
        assert harness.states() == {f"u{n}": "draining" if n == 3 else "up" for n in range(6)}
        assert harness.telemetry.counters["discovery.etcd.malformed"] == 3
        harness.delete(1)
        await harness.wait_until(lambda: "u1" not in harness.states())

    run_scenario(scenario)


def test_changed_address_is_applied() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        harness.put(1, port=2001)
        await harness.wait_until(lambda: harness.endpoint_list.address("u1") == "127.0.0.1:2001")

    run_scenario(scenario)


def test_stale_list_is_reported_by_its_age_and_stays_in_effect() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        harness.source.staleness.bounds_ms = (100.0, 200.0)
        await harness.apply_fault_everywhere("refuse")
        await harness.wait_until(lambda: harness.telemetry.counters["discovery.stale"] == 2)
        assert len(harness.states()) == 6 and harness.source.age_ms() >= 200.0
        await harness.apply_fault_everywhere("heal")
        await harness.wait_until(lambda: harness.source.age_ms() < 100.0)

    run_scenario(scenario)


def test_list_stays_in_effect_until_the_new_members_have_delivered_theirs() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        await follow_with_open_watch(harness)
        other = EtcdHarness(1)
        await other.start()
        try:
            other.put(1)
            other.put(8)
            harness.source.replace_client(EtcdClient(ClusterSettings(tuple(other.cluster.addresses))))
            assert len(harness.states()) == 6
            await harness.wait_until(lambda: harness.states() == {"u1": "up", "u8": "up"})
        finally:
            await other.stop()

    run_scenario(scenario)


# TLS ------------------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def certificates(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    return create_certificates(tmp_path_factory.mktemp("certificates"))


def follow_over_tls(
    certificates: dict[str, str], member: str, client: TlsSettings, accepted: bool, client_ca: str = ""
) -> None:
    """Follow a member with the certificate `member`; check that the client accepts or rejects it."""

    async def scenario(harness: EtcdHarness) -> None:
        harness.put(1)
        harness.follow()
        if accepted:
            await harness.wait_until_caught_up()
            harness.put(1, "draining")
            await harness.wait_until_changed("u1", DRAINING)
        else:
            await harness.wait_until(lambda: harness.telemetry.counters["discovery.etcd.unreachable"] >= 2)
            assert not harness.updates, "nothing is delivered from a member whose certificate is rejected"

    member_tls = server_tls(certificates[member], certificates[f"{member}_key"], client_ca)
    run_scenario(scenario, lambda: EtcdHarness(1), tls=client, server_tls=member_tls)


def test_members_with_a_valid_certificate_are_followed(certificates: dict[str, str]) -> None:
    follow_over_tls(certificates, "valid", TlsSettings(certificates["ca"]), accepted=True)


def test_configured_server_name_is_verified_instead_of_the_address(certificates: dict[str, str]) -> None:
    follow_over_tls(
        certificates, "other_name", TlsSettings(certificates["ca"], server_name="etcd.example"), accepted=True
    )


@pytest.mark.parametrize("member, ca", [("valid", "untrusted_ca"), ("expired", "ca"), ("other_name", "ca")])
def test_untrusted_ca_expired_certificate_and_wrong_name_are_rejected(
    certificates: dict[str, str], member: str, ca: str
) -> None:
    follow_over_tls(certificates, member, TlsSettings(certificates[ca]), accepted=False)


def test_mutual_tls_requires_a_client_certificate(certificates: dict[str, str]) -> None:
    with_certificate = TlsSettings(certificates["ca"], certificates["client"], certificates["client_key"])
    follow_over_tls(certificates, "valid", with_certificate, accepted=True, client_ca=certificates["ca"])
    follow_over_tls(
        certificates, "valid", TlsSettings(certificates["ca"]), accepted=False, client_ca=certificates["ca"]
    )


def test_renewed_certificate_is_used_without_reading_the_list_again(
    certificates: dict[str, str], tmp_path: Path
) -> None:
    async def scenario(harness: EtcdHarness) -> None:
        harness.put(1)
        harness.follow()
        await harness.wait_until_caught_up()
        harness.source.replace_client(EtcdClient(harness.source.client.cluster))
        harness.put(1, "draining")
        await harness.wait_until_changed("u1", DRAINING)
        assert len(harness.complete_updates()) == 1

    member_tls = server_tls(certificates["valid"], certificates["valid_key"], certificates["ca"])
    client = TlsSettings(certificates["ca"], certificates["client"], certificates["client_key"])
    run_scenario(scenario, lambda: EtcdHarness(1), tls=client, server_tls=member_tls)
