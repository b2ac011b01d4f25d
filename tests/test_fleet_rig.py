"""Several real senders that know of each other, with faults between them and on them; judged by what they hold."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM, SIGUSR1

import pytest
from scenario import SETTINGS

from kestreltrack.fleet.membership.wire import ENCODE as encoded
from kestreltrack.fleet.membership.wire import Alive, Gossip, Left, encode_datagram
from kestreltrack.testing.harness.fleet import Fleet
from kestreltrack.testing.harness.links import LinkFault


def play(folder: Path, count: int, scene: Callable[[Fleet], Awaitable[None]]) -> None:
    async def whole() -> None:
        async with Fleet(folder, SETTINGS, count) as company:
            await company.wait_for_membership(company.names)
            await scene(company)

    asyncio.run(whole())


def test_killed_ones_are_gone_those_that_stop_have_left_and_both_come_back(tmp_path: Path) -> None:
    async def scene(company: Fleet) -> None:
        await company.signal(["s2"], SIGKILL)
        await company.signal(["s4"], SIGTERM)
        rest = ["s1", "s3", "s5"]
        await company.wait_for_views(
            rest, lambda view: view.get("s2") == "gone" and view.get("s4") == "left", "the two ends"
        )
        await company.wait_for_membership(rest)
        await company.wait_ended(company.senders["s4"])
        await asyncio.gather(company.start("s2"), company.start("s4", emptied=True))
        await company.wait_for_membership(company.names)

    play(tmp_path, 5, scene)


def test_halves_cut_apart_see_each_other_gone_and_heal(tmp_path: Path) -> None:
    async def scene(company: Fleet) -> None:
        company.links.inject("zone:a", "zone:b", LinkFault(cut=True))
        for zone in ("a", "b"):
            await company.wait_for_membership(
                [name for name in company.names if company.zone_of[name] == zone]
            )
        company.links.heal()
        await company.wait_for_membership(company.names)
        assert company.datagram_proxy.forwarded and company.datagram_proxy.dropped

    play(tmp_path, 6, scene)


def test_one_that_hears_nothing_is_put_out_and_comes_back_though_it_speaks_all_the_while(
    tmp_path: Path,
) -> None:
    async def scene(company: Fleet) -> None:
        rest = [name for name in company.names if name != "s3"]
        company.links.inject("*", "s3", LinkFault(cut=True), bidirectional=False)
        await company.wait_for_views(rest, lambda view: view.get("s3") == "gone", "the end of the deaf one")
        company.links.heal()
        await company.wait_for_membership(company.names)

    play(tmp_path, 4, scene)


def test_a_pause_longer_than_every_suspicion_ends_in_agreement_under_loss(tmp_path: Path) -> None:
    async def scene(company: Fleet) -> None:
        company.links.inject(
            "*", "*", LinkFault(loss=0.1, jitter_ms=5.0, duplicate_rate=0.1, duplicate_delay_ms=500.0)
        )
        rest = [name for name in company.names if name != "s1"]
        await company.signal(["s1"], SIGSTOP)
        await company.wait_for_views(rest, lambda view: view.get("s1") == "gone", "the end of the paused one")
        await company.signal(["s1"], SIGCONT)
        await company.wait_for_membership(company.names)

    play(tmp_path, 4, scene)


def test_two_processes_of_one_sender_are_one_member(tmp_path: Path) -> None:
    async def scene(company: Fleet) -> None:
        others = ["s2", "s3", "s4"]
        await company.start_successor("s1")  # it serves at once, and is no member before the old one lets go
        await company.wait_for_views(others, lambda view: view.get("s1") == "alive", "that it stays a member")
        old = company.previous_processes["s1"]
        await old.signal(SIGTERM)
        await company.wait_ended(old)
        await company.wait_for_membership(company.names)
        stopping = [n for n, line in enumerate(old.log_records) if line["event"] == "stopping"]
        assert not [line for line in list(old.log_records)[stopping[0] :] if line["event"] == "member"]
        for name in others:
            rows = [line for line in company.senders[name].log_records if line["event"] == "member"]
            left = [row for row in rows if row["name"] == "s1" and row["standing"] == "left"]
            assert not left, "a successor takes over without a farewell"

    play(tmp_path, 4, scene)


def test_noise_and_claims_of_others_names_change_nothing(tmp_path: Path) -> None:
    async def scene(company: Fleet) -> None:
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        claim = encode_datagram("s2", Gossip(), [encoded(Left("s3", 2**60))])
        false = encode_datagram("stranger", Gossip(), [encoded(Alive("s2", "127.0.0.1:9", 2**60))])
        for data in (
            b"",
            b"\xff" * 900,
            bytes(1300),
            claim[:-3],
            claim,
            false,
            b"\x94\x07\xa1x\x91\xa1o\x90",
        ) * 30:
            stranger.sendto(data, company.datagram_proxy.real_addresses["s1"])
        stranger.close()
        sender = company.senders["s1"]
        while sender.counters.get("fleet.dropped", 0) < 100:  # all has come, or as much as its socket holds
            sender.counters.clear()
            await company.signal(["s1"], SIGUSR1)
            await company.wait_until(lambda: bool(sender.counters), "its counts")
        await company.wait_for_membership(company.names)
        written, dropped = company.log_records("s1", "fleet.dropped"), sender.counters["fleet.dropped"]
        assert written[-1]["counts"].keys() >= {"noise", "foreign_name"}
        assert dropped > 2 * len(written), "five a second are written, the rest is counted"
        assert dropped <= len(written) + sender.counters["telemetry.suppressed_lines"]

    play(tmp_path, 4, scene)


def test_a_sender_without_the_operators_file_imports_nothing_of_it() -> None:
    import subprocess
    import sys

    code = "import kestreltrack.sender.assembly, sys; print([m for m in sys.modules if 'fleet' in m or 'msgsp' in m])"
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "[]"


@pytest.mark.parametrize(
    ("key", "value", "says"),
    [
        ("listen", "nowhere", "fleet.listen: expected host:port"),
        ("listen", "127.0.0.1:0", "fleet.listen: expected a port that others can be told"),
        ("seeds", "127.0.0.1:1,x", "fleet.seeds: expected host:port"),
        ("answer_ms", "900", "fleet.answer_ms: expected at most half"),
        ("round_ms", "often", "fleet.round_ms"),
    ],
)
def test_a_fault_of_its_settings_is_named_by_key(key: str, value: str, says: str) -> None:
    from kestreltrack.config.operator import load_operator_config
    from kestreltrack.config.sender import ConfigError

    with pytest.raises(ConfigError, match=says):
        load_operator_config({f"KESTRELTRACK_FLEET_{key.upper()}": value})
