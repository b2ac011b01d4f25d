"""The shell of agreed documents without processes: large documents, folders that fail, ids, noise, what starts it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from test_operator import file

from kestreltrack.config.node import ConfigError
from kestreltrack.config.operator import load_operator
from kestreltrack.fleet.agreed.document import Claim, Document, Partner, Version
from kestreltrack.fleet.agreed.errors import (
    AgreedError,
    DocumentFaulty,
    NotKept,
    NotReady,
    NotTheKeeper,
    ProposalOld,
)
from kestreltrack.fleet.agreed.kept import Folder, write_durable
from kestreltrack.fleet.agreed.reader import Terms
from kestreltrack.fleet.agreed.shell import Agreeing, Reading
from kestreltrack.fleet.agreed.wire import MARK, unmarked
from kestreltrack.fleet.membership.wire import MOST_CARRIED
from kestreltrack.telemetry import Telemetry

ALL = frozenset({"*"})
NAMES = ("a", "b", "c", "d")


def document(revision: int, count: int = 1, out: str = "") -> Document:
    return Document("fleet", 1, revision, partners={str(n): Partner(ALL, ALL, out=out) for n in range(count)})


class Net:
    """Four senders, three of them voters, on one clock; words arrive in order, unless their sender is cut off."""

    def __init__(self, path: Path) -> None:
        self.path, self.now, self.queue = path, 1000.0, list[tuple[str, str, bytes]]()
        self.cut, self.full, self.largest = set[str](), set[str](), 0
        self.telemetry = Telemetry("t")
        ids = {name: self.folder(name) for name in NAMES}
        self.voters = {name: ids[name].id for name in NAMES[:3]}
        self.all = {name: self.begin(name) for name in NAMES}

    def folder(self, name: str) -> Folder:
        def write(path: Path, data: bytes) -> None:
            if name in self.full:
                raise OSError(28, "no space")
            write_durable(path, data)

        at = self.path / name
        at.mkdir(exist_ok=True)
        folder = Folder(at, write)
        first = Agreeing(
            name, {name: ""}, Terms(), folder, self.members(name), lambda: self.now, self.telemetry
        )
        first.begin(1)
        return folder

    def members(self, me: str) -> Any:
        net = self

        class Of:
            def carry(self, name: str, data: bytes) -> None:
                net.queue.append((me, name, data))

            def names(self) -> list[str]:
                return list(NAMES)

        return Of()

    def begin(self, name: str) -> Agreeing:
        folder = self.folder(name)
        fresh = Agreeing(
            name, self.voters, Terms(), folder, self.members(name), lambda: self.now, self.telemetry
        )
        fresh.begin(int(self.now))
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
                    self.all[target].carried(source, data)

    def force(self, name: str) -> Version:
        reader = self.all[name].reader
        assert reader
        return reader.kept.force


@pytest.fixture
def net(tmp_path: Path) -> Net:
    found = Net(tmp_path)
    found.run(500)
    assert all(one.reading() == Reading(True, None) for one in found.all.values()), "nothing is ruled yet"
    return found


def test_a_large_document_comes_in_chunks_to_all_and_to_one_that_was_away(net: Net) -> None:
    net.cut = {"d"}
    net.all["a"].propose(document(1, 2000))
    net.run(5000)
    assert [net.force(name) for name in NAMES] == [Version(1, 1)] * 3 + [Version(0, 0)]
    assert net.all["a"].reading().serves(1999) and not net.all["a"].reading().serves(2000)
    assert not net.all["d"].reading().serves(1)
    net.cut = set()
    net.run(2000)
    assert net.force("d") == Version(1, 1) and net.all["d"].reading().serves(1999)
    assert net.largest <= MOST_CARRIED


def test_what_a_folder_does_not_take_is_not_acted_on(net: Net) -> None:
    net.full = {"a"}
    with pytest.raises(NotKept, match="Make room in GW_STATE"):
        net.all["a"].propose(document(1))
    net.full = {"b", "c"}
    net.all["a"].propose(document(1))
    net.run(9000)
    assert net.force("a") == Version(0, 0) and net.telemetry.counters["fleet.agreed_unkept"]
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
    assert not net.all["d"].reading().leased
    net.cut = set()
    net.run(2000)
    assert {net.force(name) for name in NAMES} == {Version(1, 1)}


def test_a_process_that_stops_leaves_the_folder_alone_and_begins_nothing(net: Net) -> None:
    net.all["a"].propose(document(1))
    net.all["a"].close()
    with pytest.raises(NotReady, match="Propose it again"):
        net.all["a"].propose(document(2))
    assert not net.all["a"].reading().leased
    net.run(9000)
    assert net.force("b") == Version(0, 0)
    net.all["a"] = net.begin("a")
    net.run(4000)
    assert {net.force(name) for name in NAMES} == {Version(1, 1)}


def test_proposals_are_refused_with_a_way_out(net: Net) -> None:
    net.all["a"].propose(document(2))
    net.all["a"].propose(document(2))  # once more is no fault
    refused: list[tuple[str, Document, type[AgreedError], str]] = [
        ("b", document(3), NotTheKeeper, "Propose it there"),
        ("a", document(2, out="moves"), ProposalOld, "a revision higher"),
        ("a", document(1), ProposalOld, "a revision higher"),
        (
            "a",
            Document("f", 1, 3, partners={"x": Partner(ALL, ALL)}),
            DocumentFaulty,
            "the number of a partner",
        ),
        (
            "a",
            Document("f", 1, 3, partners={"1": Partner(ALL, frozenset())}),
            DocumentFaulty,
            "partners.1.firms",
        ),
        ("a", Document("f", 1, 3, claims={"1": Claim("")}), DocumentFaulty, "claim map"),
    ]
    for name, what, kind, words in refused:
        with pytest.raises(kind, match=words):
            net.all[name].propose(what)


def test_noise_is_counted_and_changes_nothing(net: Net) -> None:
    for data in (MARK, MARK + b"\xff" * 9, MARK + b"\x91\xa1a", MARK + b"\x92\xa1w\x01"):
        assert unmarked(data) is None
        net.all["a"].carried("b", data)
    assert net.telemetry.counters["fleet.unread"] == 4


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
        load_operator(file(tmp_path, text))
