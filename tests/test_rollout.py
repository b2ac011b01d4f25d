"""No adoption without both quorums, whoever is visible; stages that contradict only at the partners they move."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.fleet.replicated_config import document
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    DestinationRules,
    RegionAssignment,
    Version,
    incompatible_keys,
)
from kestreltrack.fleet.rollout import votes
from kestreltrack.fleet.rollout.stages import stage_document
from kestreltrack.fleet.rollout.votes import (
    Electorate,
    LocalEvidence,
    QuorumNotReachedError,
    StaleProposalError,
    Vote,
    require_quorums,
)

ALL = frozenset({"a"})
NAMES = [f"p{n}" for n in range(200)]
OLD = ConfigDocument(
    "rules",
    1,
    7,
    partners={name: DestinationRules(ALL, ALL) for name in NAMES},
    claims={name: RegionAssignment("north", "", {"north": 0.7, "south": 0.3}) for name in NAMES},
)
NEW = msgspec.structs.replace(
    OLD,
    revision=8,
    claims={name: RegionAssignment("south", "", {"north": 0.3, "south": 0.7}) for name in NAMES},
)
VOTERS = {
    "north": frozenset({"n1", "n2", "n3"}),
    "south": frozenset({"s1", "s2", "s3"}),
    "west": frozenset({"w1"}),
}
CROWD = Electorate(VOTERS, frozenset({"ann", "ben", "cat"}), 2)
WANTED = votes.build_proposal(OLD, NEW)
YES = Vote(WANTED.version, WANTED.base, WANTED.digest)
ENOUGH = dict.fromkeys(("n1", "n2", "s1", "s3", "ann", "cat"), YES)


def test_both_quorums_adopt_and_a_region_not_concerned_has_no_say() -> None:
    assert WANTED.regions == {"north", "south"}
    require_quorums(WANTED, CROWD, ENOUGH, OLD.version)


@pytest.mark.parametrize("without", ENOUGH)
def test_without_any_one_of_them_it_stands_still_and_says_what_is_missing(without: str) -> None:
    cast = {name: vote for name, vote in ENOUGH.items() if name != without}
    with pytest.raises(QuorumNotReachedError, match=f"{without}: no vote.*Bring the voters named back"):
        require_quorums(WANTED, CROWD, cast, OLD.version)


def test_a_vote_for_another_base_or_text_is_void_and_so_is_all_once_the_base_has_moved() -> None:
    other = msgspec.structs.replace(NEW, claims={**NEW.claims, "p0": OLD.claims["p0"]})
    for bad in (
        msgspec.structs.replace(YES, base=Version(1, 6)),
        msgspec.structs.replace(YES, version=Version(1, 9)),
        msgspec.structs.replace(YES, digest=document.content_hash(other)),
        msgspec.structs.replace(YES, against=("south is full",)),
    ):
        with pytest.raises(QuorumNotReachedError, match=r"s1: (no vote|south is full)"):
            require_quorums(WANTED, CROWD, {**ENOUGH, "s1": bad}, OLD.version)
    with pytest.raises(StaleProposalError, match="propose the change anew"):
        require_quorums(WANTED, CROWD, ENOUGH, NEW.version)


everybody = sorted(frozenset().union(*VOTERS.values()) | CROWD.staff | {"nobody"})
some = st.dictionaries(
    st.sampled_from(everybody), st.sampled_from([YES, msgspec.structs.replace(YES, base=Version(1, 6))])
)


@given(some, some)
@settings(max_examples=300, deadline=None)
def test_two_halves_that_see_different_votes_never_adopt_what_all_votes_together_do_not(
    one: dict[str, Vote], other: dict[str, Vote]
) -> None:
    """Of any two sets of votes that adopt, one voter at least of each region is in both."""

    def adopts(cast: dict[str, Vote]) -> bool:
        try:
            require_quorums(WANTED, CROWD, cast, OLD.version)
        except QuorumNotReachedError:
            return False
        return True

    if adopts(one) and adopts(other):
        for region in WANTED.regions:
            assert any(one[v] == other[v] == YES for v in VOTERS[region] if v in one and v in other)
    if adopts(one):
        yes = {name for name, vote in one.items() if vote == YES}
        assert (
            len(yes & VOTERS["north"]) >= 2
            and len(yes & VOTERS["south"]) >= 2
            and len(yes & CROWD.staff) >= 2
        )


def test_an_electorate_of_those_who_are_visible_and_votes_without_base_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    visible = {"n1": YES, "s1": YES, "ann": YES, "ben": YES}
    seen = Electorate({region: voters & visible.keys() for region, voters in VOTERS.items()}, CROWD.staff, 2)
    require_quorums(WANTED, seen, visible, OLD.version)
    with pytest.raises(QuorumNotReachedError):
        require_quorums(WANTED, CROWD, visible, OLD.version)
    stale = {name: msgspec.structs.replace(vote, base=Version(1, 6)) for name, vote in ENOUGH.items()}
    with pytest.raises(QuorumNotReachedError):
        require_quorums(WANTED, CROWD, stale, OLD.version)
    monkeypatch.setattr(votes, "is_void", lambda wanted, vote: vote.version != wanted.version)
    require_quorums(WANTED, CROWD, stale, OLD.version)


GOOD = LocalEvidence(dict.fromkeys(NAMES, True), dict.fromkeys(NAMES, 5.0), dict.fromkeys(NAMES, 4.0))


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({}, None),
        ({"reachable": dict.fromkeys(NAMES[1:], True)}, "south is not reachable for p0 from here"),
        ({"room": dict.fromkeys(NAMES[1:], 5.0)}, "south has room for 0 of 4 calls a second of p0"),
        ({"drains": frozenset({"p0"})}, "endpoints of p0 drain"),
        ({"conflicts": frozenset({"p0"})}, "the list of p0 is in conflict"),
    ],
)
def test_a_member_votes_by_its_own_evidence(change: dict[str, object], words: str | None) -> None:
    found = votes.objections(OLD, NEW, msgspec.structs.replace(GOOD, **change))
    assert found == ((words,) if words else ())


def test_each_stage_contradicts_only_at_the_partners_it_moves_and_the_last_is_the_proposal() -> None:
    before, moved = OLD, set[str]()
    for number, share in enumerate((0.05, 0.25, 0.6, 1.0), 1):
        stage = stage_document(OLD, NEW, share, revision=7 + number)
        document.validate_document(stage)
        there = {name for name, claim in stage.claims.items() if claim.home == "south"}
        assert moved < there and abs(len(there) / len(NAMES) - share) < 0.1, "who has moved stays there"
        keys = incompatible_keys(before, stage)
        assert {key.split(".")[1] for key in keys} == there - moved
        before, moved = stage, there
    assert document.content_hash(before) == document.content_hash(NEW)
    back = stage_document(OLD, NEW, 0.0, revision=12)
    assert back.version > before.version and document.content_hash(back) == document.content_hash(OLD)
    assert stage_document(OLD, NEW, 1.0, region="west").claims == OLD.claims
