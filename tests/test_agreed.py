"""What senders act on: which changes contradict, every interleaving of the tables to a depth, planted defects."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.fleet.replicated_config import document as documents
from kestreltrack.fleet.replicated_config import errors
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    DestinationRules,
    LimitSettings,
    RegionAssignment,
    Version,
    incompatible_keys,
    intersection,
)
from kestreltrack.fleet.replicated_config.protocol import (
    CommitCoordinator,
    CommitRecord,
    ConfigReplica,
    PersistentState,
    PreparedChange,
    Promise,
    ReadLeaseParameters,
    ReadLeaseResponse,
)
from kestreltrack.fleet.replicated_config.storage import STATE_FILE_NAME, StateFolder, write_durable
from kestreltrack.testing.model_checking import replicated_config as check
from kestreltrack.testing.model_checking.replicated_config import (
    ReplicationState,
    explore,
    initial_state,
    random_walk,
)

BOTH = frozenset({"a", "b"})
BASE = ConfigDocument(
    "rules",
    1,
    7,
    LimitSettings({"trials": 4.0}, {"hold": 0.5}, {"x": 0.5, "y": 0.5}),
    {"7": DestinationRules(BOTH, BOTH), "8": DestinationRules(BOTH, BOTH, out="asked for by hand")},
    {"7": RegionAssignment("north", "west", {"north": 0.6, "south": 0.4})},
)


def changed(path: str, value: Any) -> ConfigDocument:
    """`BASE` with one key set, or taken away by `None`; the next revision."""
    tree = msgspec.to_builtins(BASE)
    tree["revision"] += 1
    *above, last = path.split(".")
    place = tree
    for key in above:
        place = place[key]
    if value is None:
        del place[last]
    else:
        place[last] = value
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
def test_what_contradicts_is_told_from_what_merely_adds_key_by_key(path: str, value: Any, key: str) -> None:
    new = changed(path, value)
    keys = [change.key for change in documents.changed_keys(BASE, new)]
    assert keys and all(change.startswith(path) for change in keys)
    assert incompatible_keys(BASE, new) == ((key,) if key else ())


names = st.sampled_from(["a", "b", "c"])
shares = st.dictionaries(st.sampled_from(["n", "s"]), st.sampled_from([0.1, 0.3, 0.5]), min_size=1)
partners = st.builds(
    DestinationRules,
    st.frozensets(names),
    st.frozensets(names),
    st.sampled_from(["", "p"]),
    st.sampled_from(["", "o"]),
)
claims = st.builds(RegionAssignment, st.sampled_from(["", "n", "s"]), st.just(""), shares)
amounts = st.dictionaries(names, st.sampled_from([1.0, 2.0]))
texts = st.builds(
    ConfigDocument,
    st.just("rules"),
    st.just(1),
    st.integers(1, 9),
    st.builds(LimitSettings, amounts, amounts, shares),
    st.dictionaries(names, partners),
    st.dictionaries(names, claims),
)


@given(texts, texts)
@settings(max_examples=200, deadline=None)
def test_the_narrow_reading_contradicts_neither(old: ConfigDocument, new: ConfigDocument) -> None:
    """Whoever acts on it does nothing that the others, on the old or the new, may not do or count on."""
    both = intersection(old, new)
    for other in (old, new):
        assert served(both) <= served(other)
        for name, claim in both.claims.items():
            assert claim.home in ("", other.claims[name].home)
            assert all(part <= other.claims[name].parts[region] for region, part in claim.parts.items())
        assert all(both.settings.budgets[name] <= amount for name, amount in other.settings.budgets.items())
        assert all(both.settings.levels[name] <= amount for name, amount in other.settings.levels.items())
        assert all(share <= other.settings.shares[name] for name, share in both.settings.shares.items())
    assert intersection(old, old) == old


def served(document: ConfigDocument) -> set[tuple[str, str, str]]:
    return {
        (name, cls, firm)
        for name, partner in document.partners.items()
        if not partner.paused and not partner.out
        for cls in partner.classes
        for firm in partner.firms
    }


def test_one_without_a_lease_begins_nothing_that_a_document_rules() -> None:
    by_itself = documents.without_lease(BASE)
    assert not served(by_itself) and not any(claim.home for claim in by_itself.claims.values())
    assert by_itself.partners["8"].out == "asked for by hand"


FAULTS: list[tuple[str, Any, str]] = [
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


@pytest.mark.parametrize(("path", "value", "key"), FAULTS)
def test_a_faulty_document_is_refused_as_a_whole_and_says_where(path: str, value: Any, key: str) -> None:
    with pytest.raises(errors.InvalidDocumentError) as bad:
        changed(path, value)
    assert bad.value.key.startswith(key) and "propose the document again" in str(bad.value)


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_noise_is_a_faulty_document_and_nothing_else(data: bytes) -> None:
    with pytest.raises(errors.InvalidDocumentError):
        documents.decode_document(data)


def test_a_store_that_went_back_is_refused_with_the_way_out() -> None:
    held, digest = BASE.version, documents.content_hash(BASE)
    documents.check_successor(held, digest, BASE)
    documents.check_successor(held, digest, changed("partners.7.out", "x"))
    cases: list[tuple[ConfigDocument, type[errors.ReplicatedConfigError], str]] = [
        (msgspec.structs.replace(BASE, revision=6), errors.RevisionRegressionError, "an epoch one higher"),
        (msgspec.structs.replace(BASE, epoch=0, revision=9), errors.StaleEpochError, "uses the old epoch"),
        (
            msgspec.structs.replace(changed("partners.7.out", "x"), revision=7),
            errors.ConflictingRevisionError,
            "read one store",
        ),
    ]
    for found, kind, words in cases:
        with pytest.raises(errors.ReplicatedConfigError, match=words) as bad:
            documents.check_successor(held, digest, found)
        assert type(bad.value) is kind
    assert documents.content_hash(msgspec.structs.replace(BASE, revision=9)) == digest, (
        "put back, it is the same"
    )


# The tables --------------------------------------------------------------------------------------


def test_no_interleaving_has_two_act_on_what_contradicts_or_one_go_back() -> None:
    """Deeper searches and their state counts: docs/agreed.md."""
    for first, depth in (
        (initial_state(), 3),
        (initial_state(prepared_by_majority=True), 3),
        (initial_state(max_revision=3, prepared_by_majority=True), 3),
    ):
        found = explore(first, depth, convergence_check_interval=40)
        assert not found.violation and found.depth == depth and found.states > 800


@pytest.mark.parametrize("adds", [frozenset(), frozenset({2}), frozenset({2, 3})])
def test_long_ways_neither_breach_nor_stand_still(adds: frozenset[int]) -> None:
    ways = [
        random_walk(
            initial_state(max_revision=4, compatible_revisions=adds, max_crashes=3, max_duplicates=5),
            seed,
            60,
        )
        for seed in range(40)
    ]
    assert not [found for found in ways if found.violation]
    assert max(found.max_committed_revision for found in ways) >= 3


def no_margin(self: ReadLeaseParameters) -> float:
    """As if all clocks ran alike."""
    return self.lease_ms


def from_arrival(self: ConfigReplica, now: float, voter: str, answer: ReadLeaseResponse) -> None:
    """A lease that counts from when its answer came."""
    if answer.seq in self.pending_requests:
        self.pending_requests[answer.seq] = now
    ANSWERED(self, now, voter, answer)


def before_all(self: CommitCoordinator, now: float) -> bool:
    """Force as soon as a majority has acknowledged."""
    return len(self.promised_at) >= 2


def grants_on(self: ConfigReplica, now: float, sender: str, ask: Any) -> ReadLeaseResponse:
    """A voter that has acknowledged goes on granting leases on the old one."""
    kept, self.state = self.state, PersistentState(Version(1, 0), Version(1, 0))
    answer = ASKED_BY(self, now, sender, ask)
    self.state = kept
    return answer


def remembers(self: ConfigReplica, now: float) -> Promise:
    """After a restart a voter says that it granted nothing."""
    self.started_at = -1e9
    return PROMISE(self, now)


def at_once(self: ConfigReplica, now: float) -> tuple[Version, Version] | None:
    """Acts on what is prepared before it has taken force."""
    pair = READING(self, now)
    return pair and (pair[1], pair[1])


def for_ever(self: ConfigReplica) -> float:
    """Who is cut off goes on by what it has."""
    return 1e9


ANSWERED, ASKED_BY, PROMISE, READING = (
    ConfigReplica.handle_response,
    ConfigReplica.handle_request,
    ConfigReplica.make_promise,
    ConfigReplica.readable_versions,
)
DEFECTS: dict[str, tuple[type, str, object, str]] = {
    "no lease margin": (ReadLeaseParameters, "wait_ms", property(no_margin), "acts on [2]"),
    "lease counted from arrival": (ConfigReplica, "answered", from_arrival, "acts on [2]"),
    "force before all acknowledged": (CommitCoordinator, "is_settled", before_all, "acts on [2]"),
    "leases on the old after acknowledging": (ConfigReplica, "asked_by", grants_on, "acts on [2]"),
    "grants forgotten by a restart": (ConfigReplica, "promise", remembers, "acts on [2]"),
    "acts before force": (ConfigReplica, "reading", at_once, "acts on [2]"),
    "no lease needed": (ConfigReplica, "lease", for_ever, "acts on [2]"),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, instead, breach = DEFECTS[name]
    first = initial_state(max_duplicates=0, max_crashes=0, prepared_by_majority="restart" not in name)
    if "arrival" in name:  # some steps of the search are taken: two answers are late, and two of time
        ask = first.replicas[2].make_request(0.0)
        first.responses_in_flight += [
            (2, w, ReadLeaseResponse(ask.seq, True, ask.acknowledged)) for w in (0, 1)
        ]
        first.now = 2.0
    for s in (0, 1) if "restart" in name else ():
        check.restart_process(first, s)
    monkeypatch.setattr(owner, attribute, instead)
    found = explore(first, depth=7, max_in_flight=0, max_states=60_000)
    assert breach in found.violation, f"{found.states} states to depth {found.depth} did not show it"


def forgets(world: ReplicationState, s: int) -> None:
    """A new process that begins with what was in force at first."""
    check.restart_process(world, s)
    world.replicas[s].state = PersistentState(Version(1, 1), Version(1, 1))


def test_going_back_after_a_restart_is_found() -> None:
    found = explore(initial_state(prepared_by_majority=True), depth=4, max_in_flight=0, restart=forgets)
    assert "after revision 2" in found.violation and any(step[0] == "restart" for step in found.trace)


def test_a_standstill_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CommitCoordinator, "is_settled", lambda self, now: len(self.clear) > 3)
    assert (
        explore(initial_state(prepared_by_majority=True), depth=2, convergence_check_interval=1).violation
        == "it does not heal"
    )


@pytest.mark.parametrize("seed", range(6))
def test_nobody_contradicts_over_long_draws_with_late_words_restarts_and_clocks_one_percent_apart(
    seed: int,
) -> None:
    """Five senders, three of them voters, with the terms of `run`; also how long a change takes to take force."""
    draw, terms, count = random.Random(seed), ReadLeaseParameters(), 5
    rates = [draw.choice((0.99, 1.0, 1.01)) for _ in range(count)]
    voters, first = frozenset({"s0", "s1", "s2"}), Version(1, 1)
    now, record, publisher, forced, most_wait, complete = 0.0, CommitRecord(first, first), None, 1, 0.0, None
    readers = [ConfigReplica(terms, PersistentState(first, first), voters, -1e6) for _ in range(count)]
    on_way: list[tuple[float, Callable[[], object]]] = []

    def post(what: Callable[[], object]) -> None:
        """On its way: lost, late by seconds, or twice."""
        for _ in range(draw.choice((0, 1, 1, 1, 1, 1, 1, 1, 1, 2))):
            on_way.append(
                (now + (draw.uniform(1, 30) if draw.random() < 0.95 else draw.uniform(500, 6000)), what)
            )

    def asks(s: int) -> None:
        reader, ask = readers[s], readers[s].make_request(rates[s] * now)

        def arrives(w: int) -> None:
            answer = readers[w].handle_request(rates[w] * now, f"s{s}", ask)
            post(
                lambda: (
                    readers[s].handle_response(rates[s] * now, f"s{w}", answer)
                    if readers[s] is reader
                    else None
                )
            )

        for w in range(3):
            post(partial(arrives, w))

    def promises(s: int, to: CommitCoordinator) -> None:
        promise = readers[s].make_promise(rates[s] * now)
        post(lambda: to.handle_promise(rates[3] * now, f"s{s}", promise))

    asleep = [0.0] * count
    for _ in range(20_000):
        now += draw.expovariate(1.0 / 15.0)
        s = draw.randrange(count)
        if draw.random() < 0.05 and now >= asleep[s]:
            asks(s)
        if draw.random() < 0.001:
            asleep[s] = now + draw.uniform(0.0, 10_000.0)
        if draw.random() < 0.001:
            readers[s] = ConfigReplica(terms, readers[s].state, voters, rates[s] * now, readers[s].seq)
        if record.prepared == record.committed and draw.random() < 0.01:
            record = record.prepare(record.committed, Version(1, record.committed.revision + 1)) or record
            publisher, complete = CommitCoordinator(terms, voters, record.prepared), None
        if publisher and draw.random() < 0.1 and now >= asleep[s]:
            word = PreparedChange(record.prepared, record.committed)
            post(partial(lambda s, word: readers[s].acknowledge(word), s, word))
            post(partial(lambda s, version: readers[s].commit(version), s, record.committed))
            promises(s, publisher)
            if complete is None and len(publisher.promised_at) >= 2:
                complete = now
            if written := publisher.next_record(rates[3] * now, record, False):
                record, forced = written, forced + 1
                most_wait = max(most_wait, now - (complete or now))
        for word_at in [row for row in on_way if row[0] <= now]:
            on_way.remove(word_at)
            word_at[1]()
        acting = [
            {*pair}
            for n, r in enumerate(readers)
            if now >= asleep[n] and (pair := r.readable_versions(rates[n] * now))
        ]
        assert all(one & other for one in acting for other in acting), f"{acting} at {now}"
    assert forced > 20 and most_wait <= terms.worst_case_stop_ms + 1_000.0


# Kept on disk ------------------------------------------------------------------------------------


def test_what_was_kept_is_there_after_a_restart_and_an_emptied_folder_is_another_voter(
    tmp_path: Path,
) -> None:
    new = changed("partners.7.out", "x")
    kept, texts = PersistentState(BASE.version, new.version), {BASE.version: BASE, new.version: new}
    folder = StateFolder(tmp_path)
    assert folder.load() is None and folder.id
    folder.save(PersistentState(BASE.version, BASE.version), texts)
    folder.save(kept, texts)
    again = StateFolder(tmp_path)
    assert again.load() == (kept, texts) and again.id == folder.id
    folder.save(PersistentState(new.version, new.version), texts)
    assert len(list(tmp_path.iterdir())) == 2, "what nobody needs any more is gone"
    for path in tmp_path.iterdir():
        path.unlink()
    assert again.load() is None and again.id != folder.id


@pytest.mark.parametrize("fails_at", range(3))
def test_a_write_that_fails_leaves_what_was_kept_before(tmp_path: Path, fails_at: int) -> None:
    """A process killed, or a disk full, at any write."""
    new, written = changed("partners.7.out", "x"), list[Path]()
    folder = StateFolder(tmp_path)
    folder.load()
    folder.save(PersistentState(BASE.version, BASE.version), {BASE.version: BASE})

    def write(path: Path, data: bytes) -> None:
        if len(written) == fails_at:
            path.with_name(path.name + ".new").write_bytes(data[: len(data) // 2])
            raise OSError("no space left")
        written.append(path)
        write_durable(path, data)

    second = StateFolder(tmp_path, write)
    second.load()
    kept = PersistentState(BASE.version, new.version)
    if fails_at < 2:
        with pytest.raises(OSError):
            second.save(kept, {BASE.version: BASE, new.version: new})
        kept = PersistentState(BASE.version, BASE.version)
    else:
        second.save(kept, {BASE.version: BASE, new.version: new})
    found = StateFolder(tmp_path).load()
    assert found and found[0] == kept


def test_what_cannot_be_read_is_no_new_folder(tmp_path: Path) -> None:
    folder = StateFolder(tmp_path)
    folder.load()
    folder.save(PersistentState(BASE.version, BASE.version), {BASE.version: BASE})
    text = next(tmp_path.glob("agreed-*"))
    other = documents.canonical_bytes(changed("partners.7.out", "x"))
    for path, data in ((text, b"{}"), (text, other), (tmp_path / STATE_FILE_NAME, b"")):
        before = path.read_bytes()
        path.write_bytes(data)
        with pytest.raises(errors.StateUnreadableError, match="take the whole folder away"):
            StateFolder(tmp_path).load()
        path.write_bytes(before)
    assert StateFolder(tmp_path).load()


@pytest.mark.parametrize("bad", [{"lease_ms": 5000.0}, {"drift": 0.5}, {"lease_ms": 0.0}, {"look_ms": -1.0}])
def test_terms_that_break_the_bound_are_refused(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError):
        ReadLeaseParameters(**bad)
    assert ReadLeaseParameters().worst_case_stop_ms < 3200.0
