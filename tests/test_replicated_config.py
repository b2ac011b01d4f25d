"""Configuration documents: incompatible changes, intersections, validation and successors; the state folder."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.fleet.replicated_config import compatibility, errors
from kestreltrack.fleet.replicated_config import document as documents
from kestreltrack.fleet.replicated_config.compatibility import incompatible_keys, intersection
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    DestinationRules,
    LimitSettings,
    RegionAssignment,
)
from kestreltrack.fleet.replicated_config.protocol import PersistentState
from kestreltrack.fleet.replicated_config.storage import STATE_FILE_NAME, StateFolder, write_durable

BOTH = frozenset({"a", "b"})
BASE = ConfigDocument(
    "rules",
    1,
    7,
    LimitSettings({"trials": 4.0}, {"hold": 0.5}, {"x": 0.5, "y": 0.5}),
    {
        "7": DestinationRules(BOTH, BOTH),
        "8": DestinationRules(BOTH, BOTH, exclusion_reason="asked for by hand"),
    },
    {"7": RegionAssignment("north", "west", {"north": 0.6, "south": 0.4})},
)


def changed(path: str, value: Any) -> ConfigDocument:
    """Return `BASE` with the next revision and one key set, or removed by `None`."""
    tree = msgspec.to_builtins(BASE)
    tree["revision"] += 1
    *parents, last = path.split(".")
    table = tree
    for key in parents:
        table = table[key]
    if value is None:
        del table[last]
    else:
        table[last] = value
    return documents.decode_document(msgspec.json.encode(tree))


CHANGES: list[tuple[str, Any, str]] = [
    ("claims.7.home", "south", "claims.7.home"),
    ("claims.7", None, "claims.7.home"),
    ("claims.8", {"home": "north", "parts": {"north": 1.0}}, ""),
    ("claims.7.standby", "south", ""),
    ("claims.7.parts", {"north": 0.5, "south": 0.5}, "claims.7.parts"),
    ("claims.7.parts", {"north": 0.5, "south": 0.4}, ""),
    ("partners.7.out", "no answers", "partners.7.out"),
    ("partners.8.out", "", "partners.8.out"),
    ("partners.8.out", "another reason", ""),
    ("partners.7.paused", "they asked", "partners.7.paused"),
    ("partners.8", None, "partners.8"),
    ("partners.9", {"classes": ["a"], "firms": ["a"]}, ""),
    ("partners.7.classes", ["a"], "partners.7.classes"),
    ("partners.7.firms", ["a", "b", "c"], ""),
    ("settings.budgets.trials", 3.0, "settings.budgets.trials"),
    ("settings.budgets.trials", 5.0, ""),
    ("settings.levels.more", 1.0, "settings.levels.more"),
    ("settings.shares", {"x": 0.6, "y": 0.4}, "settings.shares"),
    ("settings.shares", {"x": 0.5, "y": 0.4}, ""),
]


@pytest.mark.parametrize(("path", "value", "key"), CHANGES)
def test_each_changed_key_is_classified_as_compatible_or_incompatible(
    path: str, value: Any, key: str
) -> None:
    new = changed(path, value)
    keys = [change.key for change in compatibility.changed_keys(BASE, new)]
    assert keys and all(change.startswith(path) for change in keys)
    assert incompatible_keys(BASE, new) == ((key,) if key else ())


names = st.sampled_from(["a", "b", "c"])
fractions = st.dictionaries(st.sampled_from(["n", "s"]), st.sampled_from([0.1, 0.3, 0.5]), min_size=1)
destination_rules = st.builds(
    DestinationRules,
    st.frozensets(names),
    st.frozensets(names),
    st.sampled_from(["", "p"]),
    st.sampled_from(["", "o"]),
)
assignments = st.builds(RegionAssignment, st.sampled_from(["", "n", "s"]), st.just(""), fractions)
amounts = st.dictionaries(names, st.sampled_from([1.0, 2.0]))
any_documents = st.builds(
    ConfigDocument,
    st.just("rules"),
    st.just(1),
    st.integers(1, 9),
    st.builds(LimitSettings, amounts, amounts, fractions),
    st.dictionaries(names, destination_rules),
    st.dictionaries(names, assignments),
)


@given(any_documents, any_documents)
@settings(max_examples=200, deadline=None)
def test_the_intersection_contradicts_neither_document(old: ConfigDocument, new: ConfigDocument) -> None:
    """A sender on the intersection does nothing that senders on the old or the new document may not do or rely on."""
    both = intersection(old, new)
    for other in (old, new):
        assert served(both) <= served(other)
        for name, assignment in both.assignments.items():
            other_assignment = other.assignments[name]
            assert assignment.home in ("", other_assignment.home)
            assert all(
                fraction <= other_assignment.limit_fractions[region]
                for region, fraction in assignment.limit_fractions.items()
            )
        assert all(both.settings.budgets[name] <= amount for name, amount in other.settings.budgets.items())
        assert all(both.settings.levels[name] <= amount for name, amount in other.settings.levels.items())
        assert all(share <= other.settings.shares[name] for name, share in both.settings.shares.items())
    assert intersection(old, old) == old


def served(document: ConfigDocument) -> set[tuple[str, str, str]]:
    """Return each combination of destination, class and tenant that a document lets senders serve."""
    return {
        (name, message_class, tenant)
        for name, rules in document.destinations.items()
        if not rules.pause_reason and not rules.exclusion_reason
        for message_class in rules.classes
        for tenant in rules.tenants
    }


def test_a_sender_without_a_lease_starts_nothing_that_a_document_regulates() -> None:
    restricted = compatibility.without_lease(BASE)
    assert not served(restricted)
    assert not any(assignment.home for assignment in restricted.assignments.values())
    assert restricted.destinations["8"].exclusion_reason == "asked for by hand"


INVALID_CHANGES: list[tuple[str, Any, str]] = [
    ("partners.7.firms", 3, "partners"),
    ("partners.7.colour", "red", "partners"),
    ("claims.9", {"home": "north", "parts": {"north": 1.0}}, "claims.9"),
    ("claims.7.parts", {"north": 0.7, "south": 0.4}, "claims.7.parts"),
    ("claims.7.parts", {"south": 0.4}, "claims.7.parts"),
    ("claims.7.standby", "north", "claims.7.standby"),
    ("settings.shares", {"x": 0.7, "y": 0.4}, "settings.shares"),
    ("settings.budgets.trials", -1.0, "settings.budgets"),
    ("name", "", "name"),
]


@pytest.mark.parametrize(("path", "value", "key"), INVALID_CHANGES)
def test_an_invalid_document_is_rejected_as_a_whole_with_the_invalid_key(
    path: str, value: Any, key: str
) -> None:
    with pytest.raises(errors.InvalidDocumentError) as rejection:
        changed(path, value)
    assert rejection.value.key.startswith(key) and "propose the document again" in str(rejection.value)


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_random_bytes_raise_invalid_document_error_and_nothing_else(data: bytes) -> None:
    with pytest.raises(errors.InvalidDocumentError):
        documents.decode_document(data)


def test_an_older_version_or_conflicting_content_from_the_store_is_rejected_with_a_remedy() -> None:
    current = BASE.version
    digest = documents.content_hash(BASE)
    documents.check_successor(current, digest, BASE)
    documents.check_successor(current, digest, changed("partners.7.out", "x"))
    cases: list[tuple[ConfigDocument, type[errors.ReplicatedConfigError], str]] = [
        (msgspec.structs.replace(BASE, revision=6), errors.RevisionRegressionError, "an epoch one higher"),
        (msgspec.structs.replace(BASE, epoch=0, revision=9), errors.StaleEpochError, "uses the old epoch"),
        (
            msgspec.structs.replace(changed("partners.7.out", "x"), revision=7),
            errors.ConflictingRevisionError,
            "read one store",
        ),
    ]
    for received, error_type, remedy in cases:
        with pytest.raises(errors.ReplicatedConfigError, match=remedy) as rejection:
            documents.check_successor(current, digest, received)
        assert type(rejection.value) is error_type
    assert documents.content_hash(msgspec.structs.replace(BASE, revision=9)) == digest, (
        "restored content has its original hash"
    )


# State folder -----------------------------------------------------------------------------------


def test_stored_state_is_read_after_a_restart_and_an_emptied_folder_gets_another_id(tmp_path: Path) -> None:
    new = changed("partners.7.out", "x")
    state = PersistentState(BASE.version, new.version)
    by_version = {BASE.version: BASE, new.version: new}
    folder = StateFolder(tmp_path)
    assert folder.load() is None and folder.id
    folder.save(PersistentState(BASE.version, BASE.version), by_version)
    folder.save(state, by_version)
    reopened = StateFolder(tmp_path)
    assert reopened.load() == (state, by_version) and reopened.id == folder.id
    folder.save(PersistentState(new.version, new.version), by_version)
    assert len(list(tmp_path.iterdir())) == 2, "documents that are no longer needed are removed"
    for path in tmp_path.iterdir():
        path.unlink()
    assert reopened.load() is None and reopened.id != folder.id


@pytest.mark.parametrize("fails_at", range(3))
def test_a_failed_write_leaves_the_previously_stored_state(tmp_path: Path, fails_at: int) -> None:
    """The disk is full, or the process is killed, at each of the writes."""
    new = changed("partners.7.out", "x")
    written = list[Path]()
    folder = StateFolder(tmp_path)
    folder.load()
    folder.save(PersistentState(BASE.version, BASE.version), {BASE.version: BASE})

    def write(path: Path, data: bytes) -> None:
        if len(written) == fails_at:
            path.with_name(path.name + ".new").write_bytes(data[: len(data) // 2])
            raise OSError("no space left")
        written.append(path)
        write_durable(path, data)

    failing_folder = StateFolder(tmp_path, write)
    failing_folder.load()
    expected = PersistentState(BASE.version, new.version)
    if fails_at < 2:
        with pytest.raises(OSError):
            failing_folder.save(expected, {BASE.version: BASE, new.version: new})
        expected = PersistentState(BASE.version, BASE.version)
    else:
        failing_folder.save(expected, {BASE.version: BASE, new.version: new})
    stored = StateFolder(tmp_path).load()
    assert stored and stored[0] == expected


def test_an_unreadable_folder_is_not_treated_as_a_new_one(tmp_path: Path) -> None:
    folder = StateFolder(tmp_path)
    folder.load()
    folder.save(PersistentState(BASE.version, BASE.version), {BASE.version: BASE})
    document_path = next(tmp_path.glob("agreed-*"))
    other = documents.canonical_bytes(changed("partners.7.out", "x"))
    for path, data in ((document_path, b"{}"), (document_path, other), (tmp_path / STATE_FILE_NAME, b"")):
        before = path.read_bytes()
        path.write_bytes(data)
        with pytest.raises(errors.StateUnreadableError, match="remove the whole folder"):
            StateFolder(tmp_path).load()
        path.write_bytes(before)
    assert StateFolder(tmp_path).load()
