"""Following etcd on sockets through every trouble that its stand-in can make; waits are by order, not by time."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from etcd_rig import PREFIX, Rig, certificates, play, value

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient, TlsSettings
from kestreltrack.testing.fakes.etcd.process import server_tls
from kestreltrack.testing.fakes.etcd.store import EtcdStore

UP, DRAINING, REMOVED = EndpointLifecycle.UP, EndpointLifecycle.DRAINING, EndpointLifecycle.REMOVED


async def begun(rig: Rig, endpoints: int = 6) -> None:
    for number in range(endpoints):
        rig.put(number)
    rig.follow()
    await rig.caught_up()
    rig.put(0, "draining")  # heard by the watch: it stands
    rig.put(0, "up")
    await rig.until(lambda: ("u0", UP) in rig.told)


def test_changes_are_told_in_order_and_once() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        rig.told.clear()
        rig.put(1, "draining")
        rig.put(2)
        rig.delete(3)
        rig.put(3)
        rig.put(1)
        await rig.caught_up()
        await rig.until(lambda: len(rig.told) == 5)
        states = [DRAINING, UP, REMOVED, UP, UP]
        assert rig.told == list(zip(["u1", "u2", "u3", "u3", "u1"], states, strict=True))
        assert len([u for u in rig.updates if u.complete]) == 1

    play(story)


def test_drains_written_while_cut_off_and_compacted_away_are_told_and_nothing_flaps() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        rig.told.clear()
        for member in range(3):
            await rig.cluster.apply_fault(member, "refuse")
        rig.put(1, "draining")
        rig.put(2, "draining")
        rig.put(2, "up")
        rig.delete(3)
        rig.put(4, "draining")
        rig.delete(4)
        rig.put(4)
        rig.put(9)
        await rig.cluster.apply_fault(0, "compact")
        for member in range(3):
            await rig.cluster.apply_fault(member, "heal")
        await rig.caught_up()
        wholes = [u for u in rig.updates if u.complete]
        assert len(wholes) == 2, "one to begin with, one after the compaction"
        assert not rig.told, "told by the difference of a whole list, not by half of the events"
        assert rig.telemetry.counters["discovery.etcd.compacted"] >= 1
        assert {m.uid: m.state for m in wholes[1].endpoints}["u1"] is DRAINING

    play(story)


def test_a_busy_stream_that_is_cut_goes_on_where_it_was() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig, 40)
        rig.told.clear()
        wanted = list[tuple[str, EndpointLifecycle]]()
        for turn in range(12):
            for number in range(10):
                state = ("draining", "up")[(turn + number) % 2]
                rig.put(number, state)
                wanted.append((f"u{number}", EndpointLifecycle(state)))
            if turn % 3 == 1:
                await rig.cluster.apply_fault(rig.watched(), "cut")
            await asyncio.sleep(0)
        await rig.until(lambda: len(rig.told) >= len(wanted))
        assert rig.told == wanted, "each once, in order, through four cuts"
        assert len([u for u in rig.updates if u.complete]) == 1, "nothing was read anew"

    play(story)


@pytest.mark.parametrize("fault", ["hang", "lag", "no_leader", "refuse"])
def test_a_member_in_trouble_is_left_for_another(fault: str) -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        member = rig.watched()
        await rig.cluster.apply_fault(member, fault)
        rig.put(1, "draining")
        await rig.until(lambda: ("u1", DRAINING) in rig.told)
        assert rig.watched() != member
        assert rig.told.count(("u1", DRAINING)) == 1

    play(story)


def test_a_member_that_repeats_events_is_heard_once() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        await rig.cluster.apply_fault(rig.watched(), "repeat")
        rig.told.clear()
        rig.put(1, "draining")
        rig.put(2, "draining")
        rig.put(3, "draining")
        await rig.until(lambda: ("u3", DRAINING) in rig.told)
        await rig.until(lambda: rig.telemetry.counters["discovery.etcd.repeated"] >= 1)
        assert len(rig.told) == 3

    play(story)


def test_a_token_that_runs_out_in_mid_watch_is_renewed() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        first = set(rig.cluster.auth_state.tokens)
        await rig.cluster.apply_fault(0, "expire_tokens")
        await rig.cluster.apply_fault(0, "cut")
        rig.put(1, "draining")
        await rig.until(lambda: ("u1", DRAINING) in rig.told)
        assert rig.cluster.auth_state.tokens and not first & set(rig.cluster.auth_state.tokens)

    play(story, lambda: Rig(1, {"sender": "s3cret"}), user="sender", password="s3cret")


def test_another_cluster_behind_the_same_addresses_is_read_from_the_beginning() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        old, rig.cluster.store = rig.cluster.store, EtcdStore(cluster_id=99)
        for member in rig.cluster.members:  # the services hold the store
            await rig.cluster.apply_fault(member.number, "refuse")
        rig.put(1)
        rig.put(77, "draining")
        for member in rig.cluster.members:
            await rig.cluster.apply_fault(member.number, "heal")
        await rig.caught_up()
        assert rig.states() == {"u1": "up", "u77": "draining"}
        assert rig.telemetry.counters["discovery.etcd.other_cluster"] >= 1
        assert rig.cluster.store.revision < old.revision

    play(story)


def test_a_batch_that_is_cut_between_its_fragments_is_told_whole_or_not_at_all() -> None:
    async def story(rig: Rig) -> None:
        from kestreltrack.etcdapi import rpc_pb2 as pb

        await begun(rig, 20)
        rig.cluster.fragment_bytes = 400
        for member in rig.cluster.members:
            member.faults.cut_in_batch = True  # once each
        rig.told.clear()
        rig.updates.clear()
        txn = pb.TxnRequest()
        for number in range(20):
            key = f"{PREFIX}endpoints/u{number}".encode()
            txn.success.add(request_put=pb.PutRequest(key=key, value=value(number, "draining").encode()))
        rig.cluster.store.txn(txn)
        rig.cluster.store.commit()
        rig.cluster.notify_change()
        await rig.caught_up()
        told = [u for u in rig.updates if not u.complete and len(u.endpoints) > 1]
        assert [len(u.endpoints) for u in told] == [20]
        assert len(rig.told) == 20
        assert sum(not m.faults.cut_in_batch for m in rig.cluster.members) >= 1, "one was cut"

    play(story)


def test_ten_thousand_keys_come_in_pages_while_writes_go_on() -> None:
    async def story(rig: Rig) -> None:
        for number in range(10_000):
            rig.put(number)
        rig.follow()
        for turn in range(60):
            rig.put(turn * 150, "draining")
            await asyncio.sleep(0.002)
        await rig.caught_up()
        wholes = [u for u in rig.updates if u.complete]
        assert len(wholes) == 1 and len(wholes[0].endpoints) == 10_000
        assert sum(state == "draining" for state in rig.states().values()) == 60

    play(story, lambda: Rig(page_size=500, response_timeout_ms=5000.0))


def test_a_value_that_cannot_be_read_leaves_the_last_good_state() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        rig.cluster.put(f"{PREFIX}endpoints/u1", "{not json")
        rig.cluster.put(f"{PREFIX}endpoints/u2", '{"endpoint": "no address"}')
        rig.cluster.put(f"{PREFIX}endpoints/new", "[]")
        rig.put(3, "draining")
        await rig.until(lambda: ("u3", DRAINING) in rig.told)
        assert rig.states() == {f"u{n}": "draining" if n == 3 else "up" for n in range(6)}
        assert rig.telemetry.counters["discovery.etcd.malformed"] == 3
        rig.delete(1)
        await rig.until(lambda: "u1" not in rig.states())

    play(story)


def test_an_address_that_changes_under_a_uid_is_removed_and_added() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        rig.put(1, port=2001)
        await rig.until(lambda: rig.list.address("u1") == "127.0.0.1:2001")

    play(story)


def test_an_old_picture_is_told_by_its_age_and_kept() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
        rig.source.staleness.bounds_ms = (100.0, 200.0)
        for member in range(3):
            await rig.cluster.apply_fault(member, "refuse")
        await rig.until(lambda: rig.telemetry.counters["discovery.stale"] == 2)
        assert len(rig.states()) == 6 and rig.source.age_ms() >= 200.0
        for member in range(3):
            await rig.cluster.apply_fault(member, "heal")
        await rig.until(lambda: rig.source.age_ms() < 100.0)

    play(story)


def test_a_move_to_other_members_keeps_the_picture_till_they_have_told() -> None:
    async def story(rig: Rig) -> None:
        await begun(rig)
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
    return certificates(tmp_path_factory.mktemp("certificates"))


def tls_story(
    files: dict[str, str], member: str, client: TlsSettings, good: bool, client_ca: str = ""
) -> None:
    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.follow()
        if good:
            await rig.caught_up()
            rig.put(1, "draining")
            await rig.until(lambda: ("u1", DRAINING) in rig.told)
        else:
            await rig.until(lambda: rig.telemetry.counters["discovery.etcd.unreachable"] >= 2)
            assert not rig.updates, "nothing of a member that cannot prove itself is believed"

    shown = server_tls(files[member], files[f"{member}_key"], client_ca)
    play(story, lambda: Rig(1), tls=client, server_tls=shown)


def test_members_that_prove_themselves_are_followed(files: dict[str, str]) -> None:
    tls_story(files, "good", TlsSettings(files["ca"]), good=True)


def test_a_name_may_stand_for_the_address(files: dict[str, str]) -> None:
    tls_story(files, "named", TlsSettings(files["ca"], server_name="etcd.example"), good=True)


@pytest.mark.parametrize("member, ca", [("good", "stranger"), ("expired", "ca"), ("named", "ca")])
def test_wrong_authority_expired_certificate_and_wrong_name_are_refused(
    files: dict[str, str], member: str, ca: str
) -> None:
    tls_story(files, member, TlsSettings(files[ca]), good=False)


def test_with_mutual_tls_a_client_has_to_prove_itself_too(files: dict[str, str]) -> None:
    proved = TlsSettings(files["ca"], files["client"], files["client_key"])
    tls_story(files, "good", proved, good=True, client_ca=files["ca"])
    tls_story(files, "good", TlsSettings(files["ca"]), good=False, client_ca=files["ca"])


def test_a_renewed_certificate_is_taken_up_without_reading_all_anew(
    files: dict[str, str], tmp_path: Path
) -> None:
    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.follow()
        await rig.caught_up()
        where = rig.source.client.cluster
        rig.source.replace_client(EtcdClient(where))
        rig.put(1, "draining")
        await rig.until(lambda: ("u1", DRAINING) in rig.told)
        assert len([u for u in rig.updates if u.complete]) == 1

    shown = server_tls(files["good"], files["good_key"], files["ca"])
    client = TlsSettings(files["ca"], files["client"], files["client_key"])
    play(story, lambda: Rig(1), tls=client, server_tls=shown)
