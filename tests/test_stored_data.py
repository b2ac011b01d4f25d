"""What earlier versions stored is read with the same content, and is written again with the same bytes.

The files under `stored/` were made by the program of commit 2a7a22f, before its types, modules and fields were
renamed.  Names that reach the disk are part of the formats: a change of names inside of the program must leave them.

`state/`        a sender's folder that lasts: `write_state` below, run by that program.  Its journals hold messages in
                every state and the list of endpoints; beside them are the waits told and the endpoints excluded
`agreed/`       the folder of the agreed documents: one in force, and one prepared on it that is acknowledged
`snapshots/`    states of the decision module in the midst of random days, each with other settings, so that every
                value of every setting that is a choice occurs; an action of each type waits in each of them
`captures/`     how those days went on from there, with a checkpoint inside of the first file and one that begins the
                second; `every` holds each type of event and of action, and a step in which all fields of the events
                differ from their defaults.  `every` and `learns` keep actions whole, `rough` keeps digests of them
`module_before_renames/`   the decision module and its snapshot of that commit, for comparisons against it
`expected.json` what is in these files, by position or by the names on disk, not by those inside of the program

What was decided otherwise on purpose since then is set back while these days are replayed (`DECIDED_SINCE`), so that
every answer and every state of them is still compared with what is stored.
"""

from __future__ import annotations

import contextlib
import io
import json
import shutil
import subprocess
import sys
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
import pytest

from kestreltrack.capture import records
from kestreltrack.capture.reader import Reader, capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.capture.what_if import compare_files
from kestreltrack.cli.app import main
from kestreltrack.decision import EndpointLifecycle, Outcome, circuit_breaker, rate_limit
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.exclusions import EndpointExclusions
from kestreltrack.fleet.replicated_config.document import canonical_bytes as canonical_document
from kestreltrack.fleet.replicated_config.storage import StateFolder
from kestreltrack.journal import Journal
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.journal.takeover import AbandonedJournal
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint, Message, StatusNotification
from kestreltrack.snapshot.codec import restore, take_snapshot
from kestreltrack.snapshot.state import canonical, decode, encode
from kestreltrack.telemetry import Telemetry

ROOT = Path(__file__).parent.parent
STORED = Path(__file__).parent / "stored"
EXPECTED = json.loads((STORED / "expected.json").read_text())
DAYS = ("every", "learns", "rough")
BEFORE_RENAMES = "2a7a22f"
FOLDER_BYTES = 1_000_000
NOW = 1.7e12  # on the clock of a sender, which reads like Unix time in milliseconds
BEGAN, CHECKPOINT, TOOK, DECIDED, PERMITTED, MARK = range(6)  # kinds of records, as they are on disk
EVENT_TYPES, ACTION_TYPES = 11, 7
# Module, name, and its value with which the module decides as it did when the days were stored.
DECIDED_SINCE: list[tuple[ModuleType, str, object]] = [
    (rate_limit, "OPENING_GAP_SHARE", 0.0),
    (circuit_breaker, "warm_up_after_draining", lambda endpoint, now: None),
]


@pytest.fixture(autouse=True)
def decisions_as_stored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set back what is decided otherwise on purpose."""
    for module, name, value in DECIDED_SINCE:
        assert getattr(module, name) != value, f"{name} differs no more: take it out of the list"
        monkeypatch.setattr(module, name, value)


def values(what: Any) -> Any:
    """What an object holds, by position: without any name that the program gives its fields."""
    if is_dataclass(what):
        return [values(getattr(what, field.name)) for field in fields(what)]
    if isinstance(what, msgspec.Struct):
        return [values(getattr(what, name)) for name in what.__struct_fields__]
    if isinstance(what, Enum):
        return what.value
    if isinstance(what, Mapping):
        return {str(name): values(value) for name, value in what.items()}
    if isinstance(what, set | frozenset):
        return sorted(what)
    if isinstance(what, list | tuple):
        return [values(value) for value in what]
    return what.hex() if isinstance(what, bytes) else what


def copy_of(name: str, folder: Path) -> Path:
    """A stored folder where it may be written to."""
    return Path(shutil.copytree(STORED / name, folder / name))


def contents(folder: Path) -> dict[str, bytes]:
    """All files but the locks, which are empty."""
    return {file.name: file.read_bytes() for file in folder.iterdir() if not file.name.endswith(".lock")}


# The folder that lasts ---------------------------------------------------------------------------


def write_state(folder: Path) -> None:
    """The steps that made `state/`: two processes of one sender, and an adoption that got no further than its start.

    Each message is named for the state in which it is left.
    """
    journal = Journal(folder, FOLDER_BYTES, Telemetry())
    beside = Journal(folder, FOLDER_BYTES, Telemetry())  # in the second slot, while the first is held
    _write_journal(journal)
    for number, id_ in enumerate(("left-later", "left-sooner")):
        held = beside.record_accepted(Message(id_, "safe", 4, NOW + 9_000.0 - number * 1_000.0, b"left"))
        beside.record_attempt(held, NOW + 5.0, "zone-b")
    beside.close()
    journal.close()
    remains = AbandonedJournal.open(folder, "journal.1", Telemetry())
    assert remains is not None
    list(remains.read())
    list(remains.compact(()))  # written anew, with nothing taken over
    remains.close()
    _write_waits(folder)
    exclusion = EndpointExclusions(EndpointList())
    exclusion.load(b'["node-up","node-gone"]')
    (folder / "excluded").write_bytes(exclusion.dump())


def _write_journal(journal: Journal) -> None:
    journal.record_endpoints(EndpointListUpdate(7, True, (
        ListedEndpoint("node-up", "127.0.0.1:9001", 3, "plain", "zone-a", EndpointLifecycle.UP, 2.5),
        ListedEndpoint("node-draining", "127.0.0.1:9002", 3, "batch", "zone-b", EndpointLifecycle.DRAINING, 30.0),
        ListedEndpoint("node-removed", "127.0.0.1:9003", 4, "apart", "", EndpointLifecycle.UP, 1.25),
    )))  # fmt: skip
    removed = ListedEndpoint(
        "node-removed", "127.0.0.1:9003", 4, "apart", "", EndpointLifecycle.REMOVED, 1.25
    )
    journal.record_endpoints(EndpointListUpdate(8, False, (removed,)))

    def taken(id_: str, cls: str = "keyed", *more: Any) -> Any:
        return journal.record_accepted(
            Message(id_, cls, 3, NOW + 20_000.0, b"\x00\xff body of " + id_.encode(), *more)
        )

    taken("untried", "safe")
    journal.record_attempt(taken("out", "unsafe", "acme"), NOW + 10.0, "zone-a")
    ambiguous = taken("ambiguous", "keyed", "acme", None, "key-1")
    journal.record_attempt(ambiguous, NOW + 20.0, "zone-a")
    journal.record_outcome(ambiguous, Outcome.TIMED_OUT)
    again = taken("ambiguous-and-out", "keyed", None, None, "key-2")
    for number, outcome in enumerate(Outcome):
        journal.record_attempt(again, NOW + 30.0 + number, f"zone-{number}")
        journal.record_outcome(again, outcome)
    journal.record_attempt(again, NOW + 50.0, "zone-a")
    refused = taken("refused")
    journal.record_attempt(refused, NOW + 60.0, "zone-b")
    journal.record_outcome(refused, Outcome.REJECTED)
    delivered = taken("delivered")
    journal.record_attempt(delivered, NOW + 70.0, "zone-b")
    journal.record_outcome(delivered, Outcome.OK)
    journal.record_completed(delivered)
    told = taken("notice-told")
    journal.record_pending_notification(StatusNotification("notice-told", False))
    journal.record_completed(told)
    taken("notice-owed-requeue", "safe", "acme")
    journal.record_pending_notification(StatusNotification("notice-owed-requeue", True, 250.0))
    given_up = taken("notice-owed-given-up", "unsafe")
    journal.record_attempt(given_up, NOW + 80.0, "zone-b")
    journal.record_outcome(given_up, Outcome.CONNECTION_BROKEN)
    journal.record_pending_notification(StatusNotification("notice-owed-given-up", False))
    first, second = (taken(f"ordered-{number}", "ordered", "acme", 5) for number in (1, 2))
    journal.record_attempt(first, NOW + 90.0, "zone-a", second)  # both in one call


def _write_waits(folder: Path) -> None:
    first = SharedRetryAfter(folder, "journal")
    first.record(3, NOW + 60_000.0, NOW)
    first.record(4, NOW + 90_500.25, NOW)
    second = SharedRetryAfter(folder, "journal.1")
    second.read_changes(NOW)
    second.record(9, NOW + 30_000.0, NOW)


def test_the_same_steps_write_the_same_files(tmp_path: Path) -> None:
    write_state(tmp_path)
    assert contents(tmp_path) == contents(STORED / "state")


def test_a_journal_is_read_with_all_that_was_held_in_both_slots(tmp_path: Path) -> None:
    journal = Journal(copy_of("state", tmp_path), FOLDER_BYTES, Telemetry())
    troubles = {name: journal.telemetry.counters[name] for name in ("journal.corrupt", "journal.torn")}
    assert not any(troubles.values())
    assert {id_: values(held) for id_, held in journal.outstanding.items()} == EXPECTED["held"]
    assert list(journal.outstanding) == list(EXPECTED["held"]), (
        "in the order in which they are to be taken up"
    )
    assert values(journal.endpoints) == EXPECTED["list"]
    journal.close()


def test_a_journal_that_was_read_is_written_anew_with_the_names_on_disk(tmp_path: Path) -> None:
    folder = copy_of("state", tmp_path)
    Journal(folder, FOLDER_BYTES, Telemetry()).close()
    Journal(folder, FOLDER_BYTES, Telemetry()).close()  # from the file that the first wrote
    texts = [json.dumps(row, separators=(",", ":")).encode() for row in EXPECTED["journal"]]
    assert (folder / "journal").read_bytes() == b"".join(b"%08x %s\n" % (zlib.crc32(t), t) for t in texts)
    assert not (folder / "journal.1").exists(), "what the second slot held was adopted"


def test_waits_that_were_told_still_bind(tmp_path: Path) -> None:
    folder = copy_of("state", tmp_path)
    waits = {3: NOW + 60_000.0, 4: NOW + 90_500.25, 9: NOW + 30_000.0}
    for slot in ("journal", "journal.1"):
        assert SharedRetryAfter(folder, slot).read_changes(NOW) == waits
    assert SharedRetryAfter(folder, "journal").read_changes(NOW + 45_000.0) == {3: waits[3], 4: waits[4]}
    assert json.loads((folder / "waits.journal").read_bytes()) == {str(d): waits[d] for d in (3, 4)}


def test_endpoints_that_were_excluded_stay_out(tmp_path: Path) -> None:
    folder = copy_of("state", tmp_path)
    machines = EndpointList()
    journal = Journal(folder, FOLDER_BYTES, Telemetry())
    assert journal.endpoints is not None
    machines.apply(journal.endpoints)
    journal.close()
    exclusion, data = EndpointExclusions(machines), (folder / "excluded").read_bytes()
    assert values(exclusion.load(data)) == [
        [[["node-up", 3, "plain", "zone-a", "draining", 2.5]], False, False]
    ]  # what the module hears: the entries, whether they are the whole list, whether they are remembered
    assert exclusion.is_known("node-gone") and not exclusion.is_known("node-other")
    assert exclusion.dump() == data == b'["node-gone","node-up"]'


# The agreed documents ----------------------------------------------------------------------------


def test_agreed_documents_are_read_and_kept_again_as_they_were(tmp_path: Path) -> None:
    folder = StateFolder(copy_of("agreed", tmp_path))
    found = folder.load()
    assert found and folder.id == EXPECTED["agreed"]["id"]
    kept, documents = found
    assert values(kept) == [[1, 7], [1, 8]], "in force, acknowledged"
    read = {"-".join(map(str, version)): values(document) for version, document in documents.items()}
    assert read == EXPECTED["agreed"]["documents"]
    texts = {canonical_document(document) for document in documents.values()}
    assert texts == {file.read_bytes() for file in (STORED / "agreed").glob("agreed-*.json")}
    (tmp_path / "again").mkdir()
    again = StateFolder(tmp_path / "again")
    again.load()
    again.id = folder.id
    again.save(kept, documents)
    assert contents(tmp_path / "again") == contents(STORED / "agreed")


# Snapshots and captures --------------------------------------------------------------------------


def raw_records(day: str) -> Iterator[bytes]:
    """All records of a stored capture, as they are on disk."""
    for file in capture_files([STORED / "captures" / day]):
        for _, _, joined in Reader(file).raw_blocks():
            yield from records.split_records(joined)


def written_again(data: bytes) -> bytes:
    """A record that was read, as the present program writes it."""
    record = records.decode_record(data)
    if record.kind == TOOK:
        return records.encode_event(record.clock, record.payload)
    if record.kind == DECIDED and record.context[0]:
        return records.encode_decision(
            record.clock, records.decode_actions(record.payload), full_actions=True
        )
    if record.kind == PERMITTED:
        destination, endpoint = record.context
        return records.encode_permission(record.clock, destination, endpoint, record.payload)
    if record.kind == MARK:
        return records.encode_mark(record.clock, record.payload, *record.context)
    if record.kind == CHECKPOINT:
        return records.encode_checkpoint(record.clock, record.payload)
    return msgspec.msgpack.encode([record.kind, record.clock, *record.context, record.payload])


@pytest.mark.parametrize("day", DAYS)
def test_a_snapshot_is_taken_up_and_taken_again_with_the_same_bytes(day: str) -> None:
    data = (STORED / "snapshots" / f"{day}.bin").read_bytes()
    assert canonical(data) == data
    policy = restore(decode(data))
    assert canonical(encode(take_snapshot(policy))) == data
    assert values(policy.settings) == EXPECTED["settings"][day]
    waiting = policy.decide(EXPECTED["pending"][day]["clock"])
    assert msgspec.msgpack.decode(records.encode_actions(waiting)) == EXPECTED["pending"][day]["actions"]


def test_snapshots_hold_every_value_of_every_choice() -> None:
    text = json.dumps(EXPECTED["settings"])
    for choices in (
        ("safe", "keyed", "unsafe"), ("all", "zone"), ("line", "halves"), ("none", "exact", "rough"),
    ):  # fmt: skip
        assert all(f'"{choice}"' in text for choice in choices)


@pytest.mark.parametrize("day", DAYS)
def test_records_of_a_capture_are_written_again_with_the_same_bytes(day: str) -> None:
    kinds = set[int]()
    for data in raw_records(day):
        kinds.add(msgspec.msgpack.decode(data)[0])
        assert written_again(data) == data
    assert kinds == {BEGAN, CHECKPOINT, TOOK, DECIDED, PERMITTED, MARK}


def test_checkpoints_of_a_capture_are_canonical_states() -> None:
    for day in DAYS:
        states = [
            records.decode_record(data).payload for data in raw_records(day) if records.is_checkpoint(data)
        ]
        assert len(states) == 3
        assert canonical(states[0]) == (STORED / "snapshots" / f"{day}.bin").read_bytes()
        for state in states:
            assert encode(decode(canonical(state))) == canonical(state)


def test_the_head_of_a_capture_is_read() -> None:
    for day in DAYS:
        head = values(records.decode_record(next(raw_records(day))).payload)
        form, version, digest, sender, _, whole, number, hashed = head
        assert (form, version, digest) == (1, "0.2.0", EXPECTED["digest"])
        assert (sender, whole, number, hashed) == (f"sender-{day}", day != "rough", 0, False)


def test_a_capture_holds_every_event_and_every_action() -> None:
    rows = [msgspec.msgpack.decode(data) for data in raw_records("every")]
    assert {row[2] for row in rows if row[0] == TOOK} == set(range(EVENT_TYPES))
    answers = [msgspec.msgpack.decode(row[3]) for row in rows if row[0] == DECIDED]
    assert {action[0] for actions in answers for action in actions} == set(range(ACTION_TYPES))


def test_events_are_read_with_all_their_fields() -> None:
    """The step in which every field differs from its default, `counted` and the like among them."""
    heard = [records.decode_record(data) for data in raw_records("every")]
    found = [values(r.payload) for r in heard if r.kind == TOOK and r.clock == EXPECTED["told"]["clock"]]
    assert found == EXPECTED["told"]["events"]


@pytest.mark.parametrize("day", DAYS)
def test_a_capture_replays_identically_as_a_whole_and_from_its_second_file(day: str) -> None:
    files = capture_files([STORED / "captures" / day])
    for part, compared in ((files, EXPECTED["compared"][day][0]), (files[1:], EXPECTED["compared"][day][1])):
        done = replay(part)
        assert done.identical() and not done.faults and done.compared == compared


def command(*words: str) -> Any:
    """What a command prints as JSON; it must end with 0.  In this process, where the constants are set back."""
    printed = io.TextIOWrapper(io.BytesIO())
    with pytest.MonkeyPatch.context() as patch, contextlib.redirect_stdout(printed):
        patch.setattr(sys, "argv", ["kestreltrack", *words, "--json"])
        code = main()
    printed.seek(0)
    text = printed.read()
    assert code == 0, text
    return json.loads(text)


def test_the_commands_read_a_capture() -> None:
    found = command("replay", str(STORED / "captures" / "every"))
    assert (
        found["identical"] and found["compared"] == EXPECTED["compared"]["every"][0] and not found["faults"]
    )


# Against the module before the renames -----------------------------------------------------------


def module_before_renames(folder: Path) -> Path:
    """Its sources under their real names; they are stored under others so that no tool takes them for code."""
    for file in (STORED / "module_before_renames").rglob("*.py.txt"):
        target = folder / file.relative_to(STORED / "module_before_renames").with_suffix("")
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(file, target)
    return folder


def is_known(commit: str) -> bool:
    """Whether this is a checkout whose history goes back so far."""
    line = ["git", "-C", str(ROOT), "rev-parse", "--quiet", "--verify", f"{commit}^{{commit}}"]
    return subprocess.run(line, capture_output=True, timeout=60).returncode == 0


@pytest.mark.parametrize("day", DAYS)
def test_the_module_before_the_renames_decides_alike(day: str, tmp_path: Path) -> None:
    """From the stored sources, and from the commit too where the history has it."""
    files = capture_files([STORED / "captures" / day])
    commits = [BEFORE_RENAMES] if is_known(BEFORE_RENAMES) else []
    for where in (str(module_before_renames(tmp_path)), *commits):
        found = compare_files(files, where)
        assert found.identical() and not found.faults
        assert found.comparable == found.same == EXPECTED["compared"][day][0] and not found.incomparable


def test_the_command_compares_with_the_module_before_the_renames(tmp_path: Path) -> None:
    place = str(STORED / "captures" / "learns")
    assert command("replay", place, "--against", str(module_before_renames(tmp_path)))["alike"]


def test_a_difference_from_the_module_before_the_renames_is_found(tmp_path: Path) -> None:
    source = module_before_renames(tmp_path) / "decision" / "policy.py"
    text = source.read_text()
    assert "PAUSE_MS = 250.0" in text
    source.write_text(text.replace("PAUSE_MS = 250.0", "PAUSE_MS = 900.0"))
    found = compare_files(capture_files([STORED / "captures" / "learns"]), str(tmp_path))
    assert not found.identical() and found.differences and not found.capture_divergence
