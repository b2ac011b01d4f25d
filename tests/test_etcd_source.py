"""Following etcd on sockets through every fault of the fake cluster; waits are for conditions, not for times."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from etcd_rig import PREFIX, Rig, create_certificates, entry_value, play

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient, TlsSettings
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.process import server_tls
from kestreltrack.testing.fakes.etcd.store import EtcdStore

UP, DRAINING, REMOVED = EndpointLifecycle.UP, EndpointLifecycle.DRAINING, EndpointLifecycle.REMOVED


async def follow_with_open_watch(rig: Rig, endpoint_count: int = 6) -> None:
    for number in range(endpoint_count):
        rig.put(number)
    rig.follow()
    await rig.until_caught_up()
    # Changes that the watch delivers show that it is open.
    rig.put(0, "draining")
    rig.put(0, "up")
    await rig.until_changed("u0", UP)


def test_changes_are_delivered_in_order_and_once() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        rig.changes.clear()
        rig.put(1, "draining")
        rig.put(2)
        rig.delete(3)
        rig.put(3)
        rig.put(1)
        await rig.until_caught_up()
        await rig.until(lambda: len(rig.changes) == 5)
        states = [DRAINING, UP, REMOVED, UP, UP]
        assert rig.changes == list(zip(["u1", "u2", "u3", "u3", "u1"], states, strict=True))
        assert len(rig.complete_updates()) == 1

    play(story)


def test_drains_that_were_compacted_away_during_a_disconnection_are_delivered_without_flapping() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        rig.changes.clear()
        await rig.apply_fault_everywhere("refuse")
        rig.put(1, "draining")
        rig.put(2, "draining")
        rig.put(2, "up")
        rig.delete(3)
        rig.put(4, "draining")
        rig.delete(4)
        rig.put(4)
        rig.put(9)
        await rig.cluster.apply_fault(0, "compact")
        await rig.apply_fault_everywhere("heal")
        await rig.until_caught_up()
        complete = rig.complete_updates()
        assert len(complete) == 2, "one to begin with, one after the compaction"
        assert not rig.changes, "delivered as the difference of a complete list, not as half of the events"
        assert rig.telemetry.counters["discovery.etcd.compacted"] >= 1
        assert {endpoint.uid: endpoint.state for endpoint in complete[1].endpoints}["u1"] is DRAINING

    play(story)


def test_busy_stream_that_is_cut_continues_where_it_was() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig, 40)
        rig.changes.clear()
        expected = list[tuple[str, EndpointLifecycle]]()
        for turn in range(12):
            for number in range(10):
                state = ("draining", "up")[(turn + number) % 2]
                rig.put(number, state)
                expected.append((f"u{number}", EndpointLifecycle(state)))
            if turn % 3 == 1:
                await rig.cluster.apply_fault(rig.watched_member(), "cut")
            await asyncio.sleep(0)
        await rig.until(lambda: len(rig.changes) >= len(expected))
        assert rig.changes == expected, "each once, in order, through four cuts"
        assert len(rig.complete_updates()) == 1, "nothing was read again"

    play(story)


@pytest.mark.parametrize("fault", ["hang", "lag", "no_leader", "refuse"])
def test_faulty_member_is_left_for_another(fault: str) -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        member = rig.watched_member()
        await rig.cluster.apply_fault(member, fault)
        rig.put(1, "draining")
        await rig.until_changed("u1", DRAINING)
        assert rig.watched_member() != member
        assert rig.changes.count(("u1", DRAINING)) == 1

    play(story)


def test_repeated_events_are_delivered_once() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        await rig.cluster.apply_fault(rig.watched_member(), "repeat")
        rig.changes.clear()
        rig.put(1, "draining")
        rig.put(2, "draining")
        rig.put(3, "draining")
        await rig.until_changed("u3", DRAINING)
        await rig.until(lambda: rig.telemetry.counters["discovery.etcd.repeated"] >= 1)
        assert len(rig.changes) == 3

    play(story)


def test_token_that_expires_during_a_watch_is_renewed() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        first_tokens = set(rig.cluster.auth_state.tokens)
        await rig.cluster.apply_fault(0, "expire_tokens")
        await rig.cluster.apply_fault(0, "cut")
        rig.put(1, "draining")
        await rig.until_changed("u1", DRAINING)
        assert rig.cluster.auth_state.tokens and not first_tokens & set(rig.cluster.auth_state.tokens)

    play(story, lambda: Rig(1, {"sender": "s3cret"}), user="sender", password="s3cret")


def test_another_cluster_at_the_same_addresses_is_read_from_the_beginning() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        old_store = rig.cluster.store
        rig.cluster.store = EtcdStore(cluster_id=99)
        # The members' services hold the store: they take the new one when they start again.
        await rig.apply_fault_everywhere("refuse")
        rig.put(1)
        rig.put(77, "draining")
        await rig.apply_fault_everywhere("heal")
        await rig.until_caught_up()
        assert rig.states() == {"u1": "up", "u77": "draining"}
        assert rig.telemetry.counters["discovery.etcd.other_cluster"] >= 1
        assert rig.cluster.store.revision < old_store.revision

    play(story)


def test_batch_that_is_cut_between_its_fragments_is_delivered_completely_or_not_at_all() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig, 20)
        rig.cluster.fragment_bytes = 400
        for member in rig.cluster.members:
            member.faults.cut_in_batch = True  # once each
        rig.changes.clear()
        rig.updates.clear()
        transaction = pb.TxnRequest()
        for number in range(20):
            key = f"{PREFIX}endpoints/u{number}".encode()
            value = entry_value(number, "draining").encode()
            transaction.success.add(request_put=pb.PutRequest(key=key, value=value))
        rig.cluster.store.txn(transaction)
        rig.cluster.store.commit()
        rig.cluster.notify_change()
        await rig.until_caught_up()
        batches = [update for update in rig.updates if not update.complete and len(update.endpoints) > 1]
        assert [len(update.endpoints) for update in batches] == [20]
        assert len(rig.changes) == 20
        assert sum(not member.faults.cut_in_batch for member in rig.cluster.members) >= 1, "one was cut"

    play(story)


def test_ten_thousand_keys_are_read_in_pages_while_writes_continue() -> None:
    async def story(rig: Rig) -> None:
        for number in range(10_000):
            rig.put(number)
        rig.follow()
        for turn in range(60):
            rig.put(turn * 150, "draining")
            await asyncio.sleep(0.002)
        await rig.until_caught_up()
        complete = rig.complete_updates()
        assert len(complete) == 1 and len(complete[0].endpoints) == 10_000
        assert sum(state == "draining" for state in rig.states().values()) == 60

    play(story, lambda: Rig(page_size=500, response_timeout_ms=5000.0))


def test_malformed_value_leaves_the_last_good_state_in_force() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        rig.cluster.put(f"{PREFIX}endpoints/u1", "{not json")
        rig.cluster.put(f"{PREFIX}endpoints/u2", '{"endpoint": "no address"}')
        rig.cluster.put(f"{PREFIX}endpoints/new", "[]")
        rig.put(3, "draining")
        await rig.until_changed("u3", DRAINING)
        assert rig.states() == {f"u{n}": "draining" if n == 3 else "up" for n in range(6)}
        assert rig.telemetry.counters["discovery.etcd.malformed"] == 3
        rig.delete(1)
        await rig.until(lambda: "u1" not in rig.states())

    play(story)


def test_changed_address_is_applied() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        rig.put(1, port=2001)
        await rig.until(lambda: rig.endpoint_list.address("u1") == "127.0.0.1:2001")

    play(story)


def test_stale_list_is_reported_by_its_age_and_stays_in_force() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        rig.source.staleness.bounds_ms = (100.0, 200.0)
        await rig.apply_fault_everywhere("refuse")
        await rig.until(lambda: rig.telemetry.counters["discovery.stale"] == 2)
        assert len(rig.states()) == 6 and rig.source.age_ms() >= 200.0
        await rig.apply_fault_everywhere("heal")
        await rig.until(lambda: rig.source.age_ms() < 100.0)

    play(story)


def test_list_stays_in_force_until_replaced_members_have_published_theirs() -> None:
    async def story(rig: Rig) -> None:
        await follow_with_open_watch(rig)
        other = Rig(1)
        await other.start()
        try:
            other.put(1)
            other.put(8)
            rig.source.replace_client(EtcdClient(ClusterSettings(tuple(other.cluster.addresses))))
            assert len(rig.states()) == 6
            await rig.until(lambda: rig.states() == {"u1": "up", "u8": "up"})
        finally:
            await other.stop()

    play(story)


# TLS ------------------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    return create_certificates(tmp_path_factory.mktemp("certificates"))


def follow_over_tls(
    files: dict[str, str], member: str, client: TlsSettings, accepted: bool, client_ca: str = ""
) -> None:
    """Follow a member that presents the certificate `member`; check that it is accepted, or that it is not."""

    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.follow()
        if accepted:
            await rig.until_caught_up()
            rig.put(1, "draining")
            await rig.until_changed("u1", DRAINING)
        else:
            await rig.until(lambda: rig.telemetry.counters["discovery.etcd.unreachable"] >= 2)
            assert not rig.updates, "nothing is accepted from a member that cannot prove its identity"

    member_tls = server_tls(files[member], files[f"{member}_key"], client_ca)
    play(story, lambda: Rig(1), tls=client, server_tls=member_tls)


def test_members_with_a_valid_certificate_are_followed(files: dict[str, str]) -> None:
    follow_over_tls(files, "good", TlsSettings(files["ca"]), accepted=True)


def test_configured_name_is_verified_instead_of_the_address(files: dict[str, str]) -> None:
    follow_over_tls(files, "named", TlsSettings(files["ca"], server_name="etcd.example"), accepted=True)


@pytest.mark.parametrize("member, ca", [("good", "stranger"), ("expired", "ca"), ("named", "ca")])
def test_wrong_authority_expired_certificate_and_wrong_name_are_rejected(
    files: dict[str, str], member: str, ca: str
) -> None:
    follow_over_tls(files, member, TlsSettings(files[ca]), accepted=False)


def test_mutual_tls_requires_a_certificate_of_the_client(files: dict[str, str]) -> None:
    with_certificate = TlsSettings(files["ca"], files["client"], files["client_key"])
    follow_over_tls(files, "good", with_certificate, accepted=True, client_ca=files["ca"])
    follow_over_tls(files, "good", TlsSettings(files["ca"]), accepted=False, client_ca=files["ca"])


def test_renewed_certificate_is_used_without_reading_the_list_again(
    files: dict[str, str], tmp_path: Path
) -> None:
    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.follow()
        await rig.until_caught_up()
        rig.source.replace_client(EtcdClient(rig.source.client.cluster))
        rig.put(1, "draining")
        await rig.until_changed("u1", DRAINING)
        assert len(rig.complete_updates()) == 1

    member_tls = server_tls(files["good"], files["good_key"], files["ca"])
    client = TlsSettings(files["ca"], files["client"], files["client_key"])
    play(story, lambda: Rig(1), tls=client, server_tls=member_tls)
