"""Data stored by an earlier version is read with the same content, and written again with the same bytes.

The files under `stored/` were written by commit 2a7a22f, before types, modules and fields were renamed.  Names on
disk are part of the formats, so renaming identifiers must not change them.

`state/`        the state folder of a sender, written by `write_state` below, run with that commit.  Its journals
                contain messages in every state and the endpoint list; next to them are the files of the shared
                retry-afters and of the excluded endpoints
`agreed/`       the folder of the replicated config: one document in force, and an acknowledged one based on it
`snapshots/`    states of the decision module in the middle of random event sequences, each with different settings,
                which together contain every value of every enumerated setting; each state has a pending action of
                every type
`captures/`     the continuations of those sequences, with a checkpoint inside the first file and one at the start of
                the second; `every` contains each type of event and action, and a step in which all fields of the
                events differ from their defaults.  `every` and `learns` store complete actions, `rough` their digests
`module_before_renames/`   the decision module and the snapshot package of that commit, for comparisons
`expected.json` the content of these files, by position or by the names on disk, not by the names of identifiers

Decisions that were changed on purpose since then are reverted while the captures are replayed (`BEHAVIOUR_CHANGES`),
so that every answer and every state is still compared with the stored one.
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
CAPTURE_NAMES = ("every", "learns", "rough")
BEFORE_RENAMES = "2a7a22f"
FOLDER_BYTES = 1_000_000
NOW = 1.7e12  # a clock reading of a sender, in milliseconds of Unix time
# The kinds of records on disk.
FILE_HEADER = 0
CHECKPOINT = 1
EVENT = 2
DECISION = 3
PERMISSION = 4
MARK = 5
EVENT_TYPE_COUNT = 11
ACTION_TYPE_COUNT = 7
# Module, name, and the value with which the decision module decides as it did when the captures were stored.
BEHAVIOUR_CHANGES: list[tuple[ModuleType, str, object]] = [
    (rate_limit, "OPENING_GAP_SHARE", 0.0),
    (circuit_breaker, "warm_up_after_draining", lambda endpoint, now: None),
]


@pytest.fixture(autouse=True)
def decisions_as_stored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Revert the decisions that were changed on purpose since the data was stored."""
    for module, name, value in BEHAVIOUR_CHANGES:
        assert getattr(module, name) != value, f"{name} no longer differs: remove it from BEHAVIOUR_CHANGES"
        monkeypatch.setattr(module, name, value)


def field_values(content: Any) -> Any:
    """Return the content of an object by position, without the names of its fields."""
    if is_dataclass(content):
        stored = [field for field in fields(content) if not field.name.startswith("_")]
        return [field_values(getattr(content, field.name)) for field in stored]
    if isinstance(content, msgspec.Struct):
        return [field_values(getattr(content, name)) for name in content.__struct_fields__]
    if isinstance(content, Enum):
        return content.value
    if isinstance(content, Mapping):
        return {str(name): field_values(value) for name, value in content.items()}
    if isinstance(content, set | frozenset):
        return sorted(content)
    if isinstance(content, list | tuple):
        return [field_values(value) for value in content]
    return content.hex() if isinstance(content, bytes) else content


def copy_stored(name: str, folder: Path) -> Path:
    """Return a writable copy of a stored folder."""
    return Path(shutil.copytree(STORED / name, folder / name))


def file_contents(folder: Path) -> dict[str, bytes]:
    """Return the contents of all files except the locks, which are empty."""
    return {file.name: file.read_bytes() for file in folder.iterdir() if not file.name.endswith(".lock")}


# The state folder --------------------------------------------------------------------------------


def write_state(folder: Path) -> None:
    """Write `state/`: the journals of two processes of one sender, and a takeover that stops after its start.

    The id of each message names its final state.
    """
    journal = Journal(folder, FOLDER_BYTES, Telemetry())
    second_slot = Journal(folder, FOLDER_BYTES, Telemetry())  # the first slot is locked
    _write_journal(journal)
    for number, message_id in enumerate(("left-later", "left-sooner")):
        message = second_slot.record_accepted(
            Message(message_id, "safe", 4, NOW + 9_000.0 - number * 1_000.0, b"left")
        )
        second_slot.record_attempt(message, NOW + 5.0, "zone-b")
    second_slot.close()
    journal.close()
    abandoned = AbandonedJournal.open(folder, "journal.1", Telemetry())
    assert abandoned is not None
    list(abandoned.read())
    list(abandoned.compact(()))  # rewritten, with no message taken over
    abandoned.close()
    _write_retry_afters(folder)
    exclusions = EndpointExclusions(EndpointList())
    exclusions.load(b'["node-up","node-gone"]')
    (folder / "excluded").write_bytes(exclusions.dump())


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

    def accept(message_id: str, cls: str = "keyed", *more: Any) -> Any:
        return journal.record_accepted(
            Message(message_id, cls, 3, NOW + 20_000.0, b"\x00\xff body of " + message_id.encode(), *more)
        )

    accept("untried", "safe")
    journal.record_attempt(accept("out", "unsafe", "acme"), NOW + 10.0, "zone-a")
    ambiguous = accept("ambiguous", "keyed", "acme", None, "key-1")
    journal.record_attempt(ambiguous, NOW + 20.0, "zone-a")
    journal.record_outcome(ambiguous, Outcome.TIMED_OUT)
    all_outcomes = accept("ambiguous-and-out", "keyed", None, None, "key-2")
    for number, outcome in enumerate(Outcome):
        journal.record_attempt(all_outcomes, NOW + 30.0 + number, f"zone-{number}")
        journal.record_outcome(all_outcomes, outcome)
    journal.record_attempt(all_outcomes, NOW + 50.0, "zone-a")
    refused = accept("refused")
    journal.record_attempt(refused, NOW + 60.0, "zone-b")
    journal.record_outcome(refused, Outcome.REJECTED)
    delivered = accept("delivered")
    journal.record_attempt(delivered, NOW + 70.0, "zone-b")
    journal.record_outcome(delivered, Outcome.OK)
    journal.record_completed(delivered)
    notified = accept("notice-told")
    journal.record_pending_notification(StatusNotification("notice-told", False))
    journal.record_completed(notified)
    accept("notice-owed-requeue", "safe", "acme")
    journal.record_pending_notification(StatusNotification("notice-owed-requeue", True, 250.0))
    given_up = accept("notice-owed-given-up", "unsafe")
    journal.record_attempt(given_up, NOW + 80.0, "zone-b")
    journal.record_outcome(given_up, Outcome.CONNECTION_BROKEN)
    journal.record_pending_notification(StatusNotification("notice-owed-given-up", False))
    first, second = (accept(f"ordered-{number}", "ordered", "acme", 5) for number in (1, 2))
    journal.record_attempt(first, NOW + 90.0, "zone-a", second)  # one call carries both


def _write_retry_afters(folder: Path) -> None:
    first = SharedRetryAfter(folder, "journal")
    first.record(3, NOW + 60_000.0, NOW)
    first.record(4, NOW + 90_500.25, NOW)
    second = SharedRetryAfter(folder, "journal.1")
    second.read_changes(NOW)
    second.record(9, NOW + 30_000.0, NOW)


def test_the_same_steps_write_the_same_files(tmp_path: Path) -> None:
    write_state(tmp_path)
    assert file_contents(tmp_path) == file_contents(STORED / "state")


def test_a_journal_recovers_the_messages_of_both_slots(tmp_path: Path) -> None:
    journal = Journal(copy_stored("state", tmp_path), FOLDER_BYTES, Telemetry())
    faults = {name: journal.telemetry.counters[name] for name in ("journal.corrupt", "journal.torn")}
    assert not any(faults.values())
    not_stored_place = 0.0  # among the messages of its ordering key, which earlier versions did not store
    assert {message_id: field_values(message) for message_id, message in journal.outstanding.items()} == {
        message_id: [*values, not_stored_place] for message_id, values in EXPECTED["held"].items()
    }
    assert list(journal.outstanding) == list(EXPECTED["held"]), "in the order in which they are recovered"
    not_stored = [0, ""]  # endpoints that were left out; the source, which earlier versions did not store
    assert field_values(journal.endpoints) == [*EXPECTED["list"], *not_stored]
    journal.close()


def test_compaction_of_a_recovered_journal_keeps_the_names_on_disk(tmp_path: Path) -> None:
    folder = copy_stored("state", tmp_path)
    Journal(folder, FOLDER_BYTES, Telemetry()).close()
    Journal(folder, FOLDER_BYTES, Telemetry()).close()  # reads the file that the first one wrote
    rows = [json.dumps(row, separators=(",", ":")).encode() for row in EXPECTED["journal"]]
    assert (folder / "journal").read_bytes() == b"".join(
        b"%08x %s\n" % (zlib.crc32(row), row) for row in rows
    )
    assert not (folder / "journal.1").exists(), "the messages of the second slot were taken over"


def test_stored_retry_afters_still_apply(tmp_path: Path) -> None:
    folder = copy_stored("state", tmp_path)
    retry_afters = {3: NOW + 60_000.0, 4: NOW + 90_500.25, 9: NOW + 30_000.0}
    for slot in ("journal", "journal.1"):
        assert SharedRetryAfter(folder, slot).read_changes(NOW) == retry_afters
    assert SharedRetryAfter(folder, "journal").read_changes(NOW + 45_000.0) == {
        3: retry_afters[3],
        4: retry_afters[4],
    }
    assert json.loads((folder / "waits.journal").read_bytes()) == {
        str(dest): retry_afters[dest] for dest in (3, 4)
    }


def test_stored_exclusions_still_apply(tmp_path: Path) -> None:
    folder = copy_stored("state", tmp_path)
    endpoint_list = EndpointList()
    journal = Journal(folder, FOLDER_BYTES, Telemetry())
    assert journal.endpoints is not None
    endpoint_list.apply(journal.endpoints)
    journal.close()
    exclusions = EndpointExclusions(endpoint_list)
    data = (folder / "excluded").read_bytes()
    assert field_values(exclusions.load(data)) == [
        [[["node-up", 3, "plain", "zone-a", "draining", 2.5]], False, False]
    ]  # the event for the decision module: the entries, `complete`, `cached`
    assert exclusions.is_known("node-gone")
    assert not exclusions.is_known("node-other")
    assert exclusions.dump() == data == b'["node-gone","node-up"]'


# The replicated config ---------------------------------------------------------------------------


def test_replicated_config_is_read_and_saved_with_the_same_bytes(tmp_path: Path) -> None:
    folder = StateFolder(copy_stored("agreed", tmp_path))
    loaded = folder.load()
    assert loaded
    assert folder.id == EXPECTED["agreed"]["id"]
    versions, documents = loaded
    assert field_values(versions) == [[1, 7], [1, 8]], "in force, acknowledged"
    by_version = {
        "-".join(map(str, version)): field_values(document) for version, document in documents.items()
    }
    assert by_version == EXPECTED["agreed"]["documents"]
    texts = {canonical_document(document) for document in documents.values()}
    assert texts == {file.read_bytes() for file in (STORED / "agreed").glob("agreed-*.json")}
    (tmp_path / "again").mkdir()
    copy = StateFolder(tmp_path / "again")
    copy.load()
    copy.id = folder.id
    copy.save(versions, documents)
    assert file_contents(tmp_path / "again") == file_contents(STORED / "agreed")


# Snapshots and captures --------------------------------------------------------------------------


def raw_records(name: str) -> Iterator[bytes]:
    """Yield the encoded records of a stored capture."""
    for file in capture_files([STORED / "captures" / name]):
        for _, _, joined in Reader(file).raw_blocks():
            yield from records.split_records(joined)


def reencode(data: bytes) -> bytes:
    """Decode a record, and encode it as the current version does."""
    record = records.decode_record(data)
    if record.kind == EVENT:
        return records.encode_event(record.clock, record.payload)
    if record.kind == DECISION and record.context[0]:
        return records.encode_decision(
            record.clock, records.decode_actions(record.payload), full_actions=True
        )
    if record.kind == PERMISSION:
        destination, endpoint = record.context
        return records.encode_permission(record.clock, destination, endpoint, record.payload)
    if record.kind == MARK:
        return records.encode_mark(record.clock, record.payload, *record.context)
    if record.kind == CHECKPOINT:
        return records.encode_checkpoint(record.clock, record.payload)
    return msgspec.msgpack.encode([record.kind, record.clock, *record.context, record.payload])


@pytest.mark.parametrize("name", CAPTURE_NAMES)
def test_a_snapshot_is_restored_and_taken_again_with_the_same_bytes(name: str) -> None:
    data = (STORED / "snapshots" / f"{name}.bin").read_bytes()
    assert canonical(data) == data
    policy = restore(decode(data))
    assert canonical(encode(take_snapshot(policy))) == data
    assert field_values(policy.settings) == EXPECTED["settings"][name]
    pending = policy.decide(EXPECTED["pending"][name]["clock"])
    assert msgspec.msgpack.decode(records.encode_actions(pending)) == EXPECTED["pending"][name]["actions"]


def test_snapshots_contain_every_value_of_every_enumerated_setting() -> None:
    text = json.dumps(EXPECTED["settings"])
    for choices in (
        ("safe", "keyed", "unsafe"), ("all", "zone"), ("line", "halves"), ("none", "exact", "rough"),
    ):  # fmt: skip
        assert all(f'"{choice}"' in text for choice in choices)


@pytest.mark.parametrize("name", CAPTURE_NAMES)
def test_records_of_a_capture_are_encoded_again_with_the_same_bytes(name: str) -> None:
    kinds = set[int]()
    for data in raw_records(name):
        kinds.add(msgspec.msgpack.decode(data)[0])
        assert reencode(data) == data
    assert kinds == {FILE_HEADER, CHECKPOINT, EVENT, DECISION, PERMISSION, MARK}


def test_checkpoints_of_a_capture_are_canonical_states() -> None:
    for name in CAPTURE_NAMES:
        states = [
            records.decode_record(data).payload for data in raw_records(name) if records.is_checkpoint(data)
        ]
        assert len(states) == 3
        assert canonical(states[0]) == (STORED / "snapshots" / f"{name}.bin").read_bytes()
        for state in states:
            assert encode(decode(canonical(state))) == canonical(state)


def test_the_file_header_of_a_capture_is_read() -> None:
    for name in CAPTURE_NAMES:
        header = field_values(records.decode_record(next(raw_records(name))).payload)
        format_version, version, digest, sender, _, full_actions, number, hashed = header
        assert (format_version, version, digest) == (1, "0.2.0", EXPECTED["digest"])
        assert (sender, full_actions, number, hashed) == (f"sender-{name}", name != "rough", 0, False)


def test_a_capture_contains_every_type_of_event_and_action() -> None:
    rows = [msgspec.msgpack.decode(data) for data in raw_records("every")]
    assert {row[2] for row in rows if row[0] == EVENT} == set(range(EVENT_TYPE_COUNT))
    answers = [msgspec.msgpack.decode(row[3]) for row in rows if row[0] == DECISION]
    assert {action[0] for actions in answers for action in actions} == set(range(ACTION_TYPE_COUNT))


def test_events_are_read_with_all_their_fields() -> None:
    """Compare the events of the step in which every field differs from its default."""
    clock = EXPECTED["told"]["clock"]
    decoded = [records.decode_record(data) for data in raw_records("every")]
    events = [
        field_values(record.payload) for record in decoded if record.kind == EVENT and record.clock == clock
    ]
    assert events == EXPECTED["told"]["events"]


@pytest.mark.parametrize("name", CAPTURE_NAMES)
def test_a_capture_replays_identically_from_its_first_and_from_its_second_file(name: str) -> None:
    files = capture_files([STORED / "captures" / name])
    compared_from_first, compared_from_second = EXPECTED["compared"][name]
    for part, compared in ((files, compared_from_first), (files[1:], compared_from_second)):
        result = replay(part)
        assert result.identical()
        assert not result.faults
        assert result.compared == compared


def run_command(*words: str) -> Any:
    """Return the JSON that a command prints; it must exit with 0.

    The command runs in this process, in which the behaviour changes are reverted.
    """
    printed = io.TextIOWrapper(io.BytesIO())
    with pytest.MonkeyPatch.context() as patch, contextlib.redirect_stdout(printed):
        patch.setattr(sys, "argv", ["kestreltrack", *words, "--json"])
        code = main()
    printed.seek(0)
    text = printed.read()
    assert code == 0, text
    return json.loads(text)


def test_the_replay_command_reads_a_capture() -> None:
    document = run_command("replay", str(STORED / "captures" / "every"))
    assert document["identical"]
    assert document["compared"] == EXPECTED["compared"]["every"][0]
    assert not document["faults"]


# The decision module before the renames ----------------------------------------------------------


def copy_module_before_renames(folder: Path) -> Path:
    """Copy the sources under their real names; the stored names hide them from tools that look for Python files."""
    for file in (STORED / "module_before_renames").rglob("*.py.txt"):
        target = folder / file.relative_to(STORED / "module_before_renames").with_suffix("")
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(file, target)
    return folder


def is_in_history(commit: str) -> bool:
    """Return whether this checkout has the commit in its history."""
    command = ["git", "-C", str(ROOT), "rev-parse", "--quiet", "--verify", f"{commit}^{{commit}}"]
    return subprocess.run(command, capture_output=True, timeout=60).returncode == 0


@pytest.mark.parametrize("name", CAPTURE_NAMES)
def test_the_module_before_the_renames_decides_identically(name: str, tmp_path: Path) -> None:
    """Compare with the stored sources, and with the commit if the history contains it."""
    files = capture_files([STORED / "captures" / name])
    commits = [BEFORE_RENAMES] if is_in_history(BEFORE_RENAMES) else []
    for source in (str(copy_module_before_renames(tmp_path)), *commits):
        comparison = compare_files(files, source)
        assert comparison.identical()
        assert not comparison.faults
        assert comparison.comparable == comparison.same == EXPECTED["compared"][name][0]
        assert not comparison.incomparable


def test_the_replay_command_compares_with_the_module_before_the_renames(tmp_path: Path) -> None:
    folder = str(STORED / "captures" / "learns")
    assert run_command("replay", folder, "--against", str(copy_module_before_renames(tmp_path)))["alike"]


def test_a_difference_from_the_module_before_the_renames_is_found(tmp_path: Path) -> None:
    source = copy_module_before_renames(tmp_path) / "decision" / "policy.py"
    text = source.read_text()
    assert "PAUSE_MS = 250.0" in text
    source.write_text(text.replace("PAUSE_MS = 250.0", "PAUSE_MS = 900.0"))
    comparison = compare_files(capture_files([STORED / "captures" / "learns"]), str(tmp_path))
    assert not comparison.identical()
    assert comparison.differences
    assert not comparison.capture_divergence
