"""The shell of agreed documents without processes: large documents, folders that fail, ids, noise, what starts it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from test_operator import file

from kestreltrack.config.operator import load_operator_config
from kestreltrack.config.sender import ConfigError
from kestreltrack.fleet.membership.wire import MAX_USER_MESSAGE_BYTES
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    DestinationRules,
    RegionAssignment,
    Version,
)
from kestreltrack.fleet.replicated_config.errors import (
    InvalidDocumentError,
    NotLeaderError,
    NotReadyError,
    ReplicatedConfigError,
    RevisionTakenError,
    StateWriteError,
)
from kestreltrack.fleet.replicated_config.protocol import ReadLeaseParameters
from kestreltrack.fleet.replicated_config.service import ConfigView, ReplicatedConfig
from kestreltrack.fleet.replicated_config.storage import StateFolder, write_durable
from kestreltrack.fleet.replicated_config.wire import MAGIC_BYTE, decode_packet
from kestreltrack.telemetry import Telemetry

ALL = frozenset({"*"})
NAMES = ("a", "b", "c", "d")


def document(revision: int, count: int = 1, out: str = "") -> ConfigDocument:
    return ConfigDocument(
        "fleet", 1, revision, partners={str(n): DestinationRules(ALL, ALL, out=out) for n in range(count)}
    )


class Net:
    """Four senders, three of them voters, on one clock; words arrive in order, unless their sender is cut off."""

    def __init__(self, path: Path) -> None:
        self.path, self.now, self.queue = path, 1000.0, list[tuple[str, str, bytes]]()
        self.cut, self.full, self.largest = set[str](), set[str](), 0
        self.telemetry = Telemetry("t")
        ids = {name: self.folder(name) for name in NAMES}
        self.voters = {name: ids[name].id for name in NAMES[:3]}
        self.all = {name: self.begin(name) for name in NAMES}

    def folder(self, name: str) -> StateFolder:
        def write(path: Path, data: bytes) -> None:
            if name in self.full:
                raise OSError(28, "no space")
            write_durable(path, data)

        at = self.path / name
        at.mkdir(exist_ok=True)
        folder = StateFolder(at, write)
        first = ReplicatedConfig(
            name,
            {name: ""},
            ReadLeaseParameters(),
            folder,
            self.members(name),
            lambda: self.now,
            self.telemetry,
        )
        first.start(1)
        return folder

    def members(self, me: str) -> Any:
        net = self

        class Of:
            def carry(self, name: str, data: bytes) -> None:
                net.queue.append((me, name, data))

            def names(self) -> list[str]:
                return list(NAMES)

        return Of()

    def begin(self, name: str) -> ReplicatedConfig:
        folder = self.folder(name)
        fresh = ReplicatedConfig(
            name,
            self.voters,
            ReadLeaseParameters(),
            folder,
            self.members(name),
            lambda: self.now,
            self.telemetry,
        )
        fresh.start(int(self.now))
        return fresh

    def run(self, ms: float) -> None:
        ends = self.now + ms
        while self.now < ends:
            self.now += 50.0
            for one in self.all.values():
                one.tick()
            while self.queue:
                source, target, data = self.queue.pop(0)
                self.largest = max(self.largest, len(data))
                if not {source, target} & self.cut:
                    self.all[target].receive(source, data)

    def force(self, name: str) -> Version:
        reader = self.all[name].replica
        assert reader
        return reader.state.committed


@pytest.fixture
def net(tmp_path: Path) -> Net:
    found = Net(tmp_path)
    found.run(500)
    assert all(one.view() == ConfigView(True, None) for one in found.all.values()), "nothing is ruled yet"
    return found


def test_a_large_document_comes_in_chunks_to_all_and_to_one_that_was_away(net: Net) -> None:
    net.cut = {"d"}
    net.all["a"].propose(document(1, 2000))
    net.run(5000)
    assert [net.force(name) for name in NAMES] == [Version(1, 1)] * 3 + [Version(0, 0)]
    assert net.all["a"].view().serves(1999) and not net.all["a"].view().serves(2000)
    assert not net.all["d"].view().serves(1)
    net.cut = set()
    net.run(2000)
    assert net.force("d") == Version(1, 1) and net.all["d"].view().serves(1999)
    assert net.largest <= MAX_USER_MESSAGE_BYTES


def test_what_a_folder_does_not_take_is_not_acted_on(net: Net) -> None:
    net.full = {"a"}
    with pytest.raises(StateWriteError, match="Make room in GW_STATE"):
        net.all["a"].propose(document(1))
    net.full = {"b", "c"}
    net.all["a"].propose(document(1))
    net.run(9000)
    assert net.force("a") == Version(0, 0) and net.telemetry.counters["fleet.config_not_persisted"]
    net.full = set()
    net.run(2000)
    assert {net.force(name) for name in NAMES} == {Version(1, 1)}


def test_an_emptied_folder_follows_and_does_not_vote(net: Net) -> None:
    for kept in (net.path / "b").iterdir():
        kept.unlink()
    net.all["b"] = net.begin("b")
    assert "put it back" in str(net.all["b"].fault)
    net.cut = {"c"}
    net.all["a"].propose(document(1))
    net.run(9000)
    assert net.force("a") == Version(0, 0), "one of three is no majority"
    assert not net.all["d"].view().has_lease
    net.cut = set()
    net.run(2000)
    assert {net.force(name) for name in NAMES} == {Version(1, 1)}


def test_a_process_that_stops_leaves_the_folder_alone_and_begins_nothing(net: Net) -> None:
    net.all["a"].propose(document(1))
    net.all["a"].close()
    with pytest.raises(NotReadyError, match="Propose it again"):
        net.all["a"].propose(document(2))
    assert not net.all["a"].view().has_lease
    net.run(9000)
    assert net.force("b") == Version(0, 0)
    net.all["a"] = net.begin("a")
    net.run(4000)
    assert {net.force(name) for name in NAMES} == {Version(1, 1)}


def test_proposals_are_refused_with_a_way_out(net: Net) -> None:
    net.all["a"].propose(document(2))
    net.all["a"].propose(document(2))  # once more is no fault
    refused: list[tuple[str, ConfigDocument, type[ReplicatedConfigError], str]] = [
        ("b", document(3), NotLeaderError, "Propose it there"),
        ("a", document(2, out="moves"), RevisionTakenError, "a revision higher"),
        ("a", document(1), RevisionTakenError, "a revision higher"),
        (
            "a",
            ConfigDocument("f", 1, 3, partners={"x": DestinationRules(ALL, ALL)}),
            InvalidDocumentError,
            "the number of a partner",
        ),
        (
            "a",
            ConfigDocument("f", 1, 3, partners={"1": DestinationRules(ALL, frozenset())}),
            InvalidDocumentError,
            "partners.1.firms",
        ),
        (
            "a",
            ConfigDocument("f", 1, 3, claims={"1": RegionAssignment("")}),
            InvalidDocumentError,
            "claim map",
        ),
    ]
    for name, what, kind, words in refused:
        with pytest.raises(kind, match=words):
            net.all[name].propose(what)


def test_noise_is_counted_and_changes_nothing(net: Net) -> None:
    for data in (
        MAGIC_BYTE,
        MAGIC_BYTE + b"\xff" * 9,
        MAGIC_BYTE + b"\x91\xa1a",
        MAGIC_BYTE + b"\x92\xa1w\x01",
    ):
        assert decode_packet(data) is None
        net.all["a"].receive("b", data)
    assert net.telemetry.counters["fleet.malformed"] == 4


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('[fleet.agreed]\nvoters = ["a"]\n', "fleet.agreed.voters: expected together with fleet.listen"),
        (
            '[fleet]\nlisten = "127.0.0.1:1"\n[fleet.agreed]\nvoters = ["a=7"]\n',
            "fleet.agreed.voters: expected name=id",
        ),
        ('[fleet]\nlisten = "127.0.0.1:1"\n[fleet.agreed]\nvoters = ["a", "a"]\n', "expected each name once"),
        ('[fleet.agreed]\nlease_ms = "x"\n', "fleet.agreed.lease_ms: expected"),
    ],
)
def test_a_key_that_is_wrong_is_named(tmp_path: Path, text: str, words: str) -> None:
    with pytest.raises(ConfigError, match=words):
        load_operator_config(file(tmp_path, text))
