"""Several sender processes as one fleet, with faults of processes and links; checks their views of the members."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM, SIGUSR1

import pytest
from scenario import SETTINGS

from kestreltrack.fleet.membership.wire import ENCODE, Alive, Gossip, Left, encode_datagram
from kestreltrack.testing.harness.fleet import Fleet
from kestreltrack.testing.harness.links import LinkFault


def run_fleet(folder: Path, count: int, scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with Fleet(folder, SETTINGS, count) as fleet:
            await fleet.wait_for_membership(fleet.names)
            await scenario(fleet)

    asyncio.run(run())


def test_killed_sender_is_dead_stopped_sender_has_left_and_both_rejoin(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.signal(["s2"], SIGKILL)
        await fleet.signal(["s4"], SIGTERM)
        others = ["s1", "s3", "s5"]
        await fleet.wait_for_views(
            others,
            lambda view: view.get("s2") == "gone" and view.get("s4") == "left",
            "that one is dead and one has left",
        )
        await fleet.wait_for_membership(others)
        await fleet.wait_ended(fleet.senders["s4"])
        await asyncio.gather(fleet.start("s2"), fleet.start("s4", emptied=True))
        await fleet.wait_for_membership(fleet.names)

    run_fleet(tmp_path, 5, scenario)


def test_partitioned_halves_declare_each_other_dead_and_merge_after_healing(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.links.inject("zone:a", "zone:b", LinkFault(cut=True))
        for zone in ("a", "b"):
            await fleet.wait_for_membership([name for name in fleet.names if fleet.zone_of[name] == zone])
        fleet.links.heal()
        await fleet.wait_for_membership(fleet.names)
        assert fleet.datagram_proxy.forwarded and fleet.datagram_proxy.dropped

    run_fleet(tmp_path, 6, scenario)


def test_sender_that_can_only_send_is_declared_dead_and_rejoins(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        others = [name for name in fleet.names if name != "s3"]
        fleet.links.inject("*", "s3", LinkFault(cut=True), bidirectional=False)
        await fleet.wait_for_views(
            others, lambda view: view.get("s3") == "gone", "that the sender that receives nothing is dead"
        )
        fleet.links.heal()
        await fleet.wait_for_membership(fleet.names)

    run_fleet(tmp_path, 4, scenario)


def test_views_agree_after_a_pause_longer_than_any_suspicion_timeout_under_loss(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.links.inject(
            "*", "*", LinkFault(loss=0.1, jitter_ms=5.0, duplicate_rate=0.1, duplicate_delay_ms=500.0)
        )
        others = [name for name in fleet.names if name != "s1"]
        await fleet.signal(["s1"], SIGSTOP)
        await fleet.wait_for_views(
            others, lambda view: view.get("s1") == "gone", "that the paused sender is dead"
        )
        await fleet.signal(["s1"], SIGCONT)
        await fleet.wait_for_membership(fleet.names)

    run_fleet(tmp_path, 4, scenario)


def test_two_processes_of_one_sender_are_one_member(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        others = ["s2", "s3", "s4"]
        # The successor serves at once, and joins only once the old process releases the address.
        await fleet.start_successor("s1")
        await fleet.wait_for_views(others, lambda view: view.get("s1") == "alive", "that s1 stays a member")
        old = fleet.previous_processes["s1"]
        await old.signal(SIGTERM)
        await fleet.wait_ended(old)
        await fleet.wait_for_membership(fleet.names)
        stopping = [n for n, line in enumerate(old.log_records) if line["event"] == "stopping"]
        assert not [line for line in list(old.log_records)[stopping[0] :] if line["event"] == "member"]
        for name in others:
            rows = [line for line in fleet.senders[name].log_records if line["event"] == "member"]
            left = [row for row in rows if row["name"] == "s1" and row["standing"] == "left"]
            assert not left, "a takeover by a successor announces no leave"

    run_fleet(tmp_path, 4, scenario)


def test_malformed_datagrams_and_names_in_use_change_nothing(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        raw_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        foreign_sender = encode_datagram("s2", Gossip(), [ENCODE(Left("s3", 2**60))])
        foreign_address = encode_datagram("stranger", Gossip(), [ENCODE(Alive("s2", "127.0.0.1:9", 2**60))])
        unknown_version = b"\x94\x07\xa1x\x91\xa1o\x90"
        invalid = [
            b"",
            b"\xff" * 900,
            bytes(1300),
            foreign_sender[:-3],
            foreign_sender,
            foreign_address,
            unknown_version,
        ]
        for data in invalid * 30:
            raw_socket.sendto(data, fleet.datagram_proxy.real_addresses["s1"])
        raw_socket.close()
        sender = fleet.senders["s1"]
        # Until all of them are counted, or as many as the socket buffers.
        while sender.counters.get("fleet.dropped", 0) < 100:
            sender.counters.clear()
            await fleet.signal(["s1"], SIGUSR1)
            await fleet.wait_until(lambda: bool(sender.counters), "its counters")
        await fleet.wait_for_membership(fleet.names)
        logged = fleet.log_records("s1", "fleet.dropped")
        dropped = sender.counters["fleet.dropped"]
        assert logged[-1]["counts"].keys() >= {"noise", "foreign_name"}
        assert dropped > 2 * len(logged), "five a second are logged, all are counted"
        assert dropped <= len(logged) + sender.counters["telemetry.suppressed_lines"]

    run_fleet(tmp_path, 4, scenario)


def test_sender_without_operator_config_imports_no_fleet_module() -> None:
    import subprocess
    import sys

    code = "import kestreltrack.sender.assembly, sys; print([m for m in sys.modules if 'fleet' in m or 'msgsp' in m])"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "[]"


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("listen", "nowhere", "fleet.listen: expected host:port"),
        ("listen", "127.0.0.1:0", "fleet.listen: expected a port that others can be told"),
        ("seeds", "127.0.0.1:1,x", "fleet.seeds: expected host:port"),
        ("answer_ms", "900", "fleet.answer_ms: expected at most half"),
        ("round_ms", "often", "fleet.round_ms"),
    ],
)
def test_invalid_fleet_setting_is_reported_by_key(key: str, value: str, message: str) -> None:
    from kestreltrack.config.operator import load_operator_config
    from kestreltrack.config.sender import ConfigError

    with pytest.raises(ConfigError, match=message):
        load_operator_config({f"KESTRELTRACK_FLEET_{key.upper()}": value})
