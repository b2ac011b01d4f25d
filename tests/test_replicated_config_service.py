"""Several senders in one process: transfer of large documents, state folders, proposals, malformed packets."""

from __future__ import annotations

from pathlib import Path

import pytest
from test_operator_config import write_operator_file

from kestreltrack.config.operator import load_operator_config
from kestreltrack.config.sender import ConfigError
from kestreltrack.fleet.membership.wire import MAX_USER_MESSAGE_BYTES
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    DestinationRules,
    RegionAssignment,
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
from kestreltrack.fleet.replicated_config.service import ReplicatedConfig
from kestreltrack.fleet.replicated_config.storage import StateFolder, write_durable
from kestreltrack.fleet.replicated_config.version import Version
from kestreltrack.fleet.replicated_config.view import ConfigView
from kestreltrack.fleet.replicated_config.wire import MAGIC_BYTE, decode_packet
from kestreltrack.telemetry import Telemetry

ALL = frozenset({"*"})
NAMES = ("a", "b", "c", "d")


def document(revision: int, count: int = 1, exclusion_reason: str = "") -> ConfigDocument:
    """Return a document that lists `count` destinations, numbered from 0."""
    rules = DestinationRules(ALL, ALL, exclusion_reason=exclusion_reason)
    return ConfigDocument("fleet", 1, revision, destinations={str(n): rules for n in range(count)})


class MemberLinks:
    """The messaging interface of membership for one sender, over the queue of the network."""

    def __init__(self, network: Network, local_name: str) -> None:
        self.network = network
        self.local_name = local_name

    def send_user_message(self, member_name: str, data: bytes) -> None:
        self.network.queue.append((self.local_name, member_name, data))

    def member_names(self) -> list[str]:
        return list(NAMES)


class Network:
    """Four senders, three of them voters, on one clock; datagrams arrive in order unless a sender is partitioned."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.now = 1000.0
        self.queue = list[tuple[str, str, bytes]]()
        self.partitioned = set[str]()
        self.full_folders = set[str]()
        self.largest_datagram_bytes = 0
        self.telemetry = Telemetry("t")
        folder_ids = {name: self.new_folder_id(name) for name in NAMES}
        self.voters = {name: folder_ids[name] for name in NAMES[:3]}
        self.senders = {name: self.start(name) for name in NAMES}

    def folder(self, name: str) -> StateFolder:
        def write(path: Path, data: bytes) -> None:
            if name in self.full_folders:
                raise OSError(28, "no space")
            write_durable(path, data)

        path = self.path / name
        path.mkdir(exist_ok=True)
        return StateFolder(path, write)

    def new_folder_id(self, name: str) -> str:
        """Start a sender once while no folder id is configured, as operators do, and return the id of its folder."""
        folder = self.folder(name)
        self.config(name, {name: ""}, folder).start(1)
        return folder.id

    def config(self, name: str, voters: dict[str, str], folder: StateFolder) -> ReplicatedConfig:
        return ReplicatedConfig(
            name,
            voters,
            ReadLeaseParameters(),
            folder,
            MemberLinks(self, name),
            lambda: self.now,
            self.telemetry,
        )

    def start(self, name: str) -> ReplicatedConfig:
        """Start a sender twice, as an empty folder gets its id in the first start, in which no voter has an id."""
        self.new_folder_id(name)
        sender = self.config(name, self.voters, self.folder(name))
        sender.start(int(self.now))
        return sender

    def run(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while self.now < end:
            self.now += 50.0
            for sender in self.senders.values():
                sender.tick()
            while self.queue:
                source, target, data = self.queue.pop(0)
                self.largest_datagram_bytes = max(self.largest_datagram_bytes, len(data))
                if not {source, target} & self.partitioned:
                    self.senders[target].receive(source, data)

    def committed(self, name: str) -> Version:
        replica = self.senders[name].replica
        assert replica
        return replica.state.committed


@pytest.fixture
def network(tmp_path: Path) -> Network:
    network = Network(tmp_path)
    network.run(500)
    assert all(sender.view() == ConfigView(True, None) for sender in network.senders.values()), (
        "no document is in force yet"
    )
    return network


def test_a_large_document_is_sent_in_chunks_also_to_a_sender_that_was_partitioned(network: Network) -> None:
    network.partitioned = {"d"}
    network.senders["a"].propose(document(1, 2000))
    network.run(5000)
    assert [network.committed(name) for name in NAMES] == [Version(1, 1)] * 3 + [Version(0, 0)]
    assert network.senders["a"].view().serves(1999) and not network.senders["a"].view().serves(2000)
    assert not network.senders["d"].view().serves(1)
    network.partitioned = set()
    network.run(2000)
    assert network.committed("d") == Version(1, 1) and network.senders["d"].view().serves(1999)
    assert network.largest_datagram_bytes <= MAX_USER_MESSAGE_BYTES


def test_a_document_that_a_folder_cannot_store_is_not_acted_on(network: Network) -> None:
    network.full_folders = {"a"}
    with pytest.raises(StateWriteError, match="Free space in GW_STATE"):
        network.senders["a"].propose(document(1))
    network.full_folders = {"b", "c"}
    network.senders["a"].propose(document(1))
    network.run(9000)
    assert network.committed("a") == Version(0, 0)
    assert network.telemetry.counters["fleet.config_not_persisted"]
    network.full_folders = set()
    network.run(2000)
    assert {network.committed(name) for name in NAMES} == {Version(1, 1)}


def test_a_voter_with_an_emptied_folder_follows_and_does_not_vote(network: Network) -> None:
    for path in (network.path / "b").iterdir():
        path.unlink()
    network.senders["b"] = network.start("b")
    assert "restore it" in str(network.senders["b"].fault)
    network.partitioned = {"c"}
    network.senders["a"].propose(document(1))
    network.run(9000)
    assert network.committed("a") == Version(0, 0), "one of three is no majority"
    assert not network.senders["d"].view().has_lease
    network.partitioned = set()
    network.run(2000)
    assert {network.committed(name) for name in NAMES} == {Version(1, 1)}


def test_a_closed_replica_rejects_proposals_and_has_no_lease_until_restarted(network: Network) -> None:
    network.senders["a"].propose(document(1))
    network.senders["a"].close()
    with pytest.raises(NotReadyError, match="Propose it again"):
        network.senders["a"].propose(document(2))
    assert not network.senders["a"].view().has_lease
    network.run(9000)
    assert network.committed("b") == Version(0, 0)
    network.senders["a"] = network.start("a")
    network.run(4000)
    assert {network.committed(name) for name in NAMES} == {Version(1, 1)}


def test_proposals_are_rejected_with_a_remedy(network: Network) -> None:
    network.senders["a"].propose(document(2))
    network.senders["a"].propose(document(2))  # a repeated proposal is accepted
    rejected: list[tuple[str, ConfigDocument, type[ReplicatedConfigError], str]] = [
        ("b", document(3), NotLeaderError, "Propose it there"),
        ("a", document(2, exclusion_reason="moves"), RevisionTakenError, "a revision higher"),
        ("a", document(1), RevisionTakenError, "a revision higher"),
        (
            "a",
            ConfigDocument("f", 1, 3, destinations={"x": DestinationRules(ALL, ALL)}),
            InvalidDocumentError,
            "the number of a destination",
        ),
        (
            "a",
            ConfigDocument("f", 1, 3, destinations={"1": DestinationRules(ALL, frozenset())}),
            InvalidDocumentError,
            "partners.1.firms",
        ),
        (
            "a",
            ConfigDocument("f", 1, 3, assignments={"1": RegionAssignment("")}),
            InvalidDocumentError,
            "claim map",
        ),
    ]
    for name, proposal, error_type, text in rejected:
        with pytest.raises(error_type, match=text):
            network.senders[name].propose(proposal)


def test_malformed_packets_are_counted_and_change_nothing(network: Network) -> None:
    for data in (
        MAGIC_BYTE,
        MAGIC_BYTE + b"\xff" * 9,
        MAGIC_BYTE + b"\x91\xa1a",
        MAGIC_BYTE + b"\x92\xa1w\x01",
    ):
        assert decode_packet(data) is None
        network.senders["a"].receive("b", data)
    assert network.telemetry.counters["fleet.malformed"] == 4


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_an_invalid_key_of_the_operators_file_is_named(tmp_path: Path, text: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        load_operator_config(write_operator_file(tmp_path, text))
