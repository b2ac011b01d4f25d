"""Rollouts: adoption requires all quorums, and a stage is incompatible only for the destinations that it moves."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.fleet.replicated_config import document
from kestreltrack.fleet.replicated_config.compatibility import incompatible_keys
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    DestinationRules,
    RegionAssignment,
)
from kestreltrack.fleet.replicated_config.version import Version
from kestreltrack.fleet.rollout import votes
from kestreltrack.fleet.rollout.errors import QuorumNotReachedError, StaleProposalError
from kestreltrack.fleet.rollout.stages import stage_document
from kestreltrack.fleet.rollout.votes import Electorate, LocalEvidence, Vote, require_quorums

ALLOWED = frozenset({"a"})
DESTINATIONS = [f"p{n}" for n in range(200)]
OLD = ConfigDocument(
    "rules",
    1,
    7,
    destinations={name: DestinationRules(ALLOWED, ALLOWED) for name in DESTINATIONS},
    assignments={name: RegionAssignment("north", "", {"north": 0.7, "south": 0.3}) for name in DESTINATIONS},
)
NEW = msgspec.structs.replace(
    OLD,
    revision=8,
    assignments={name: RegionAssignment("south", "", {"north": 0.3, "south": 0.7}) for name in DESTINATIONS},
)
VOTERS = {
    "north": frozenset({"n1", "n2", "n3"}),
    "south": frozenset({"s1", "s2", "s3"}),
    "west": frozenset({"w1"}),
}
ELECTORATE = Electorate(VOTERS, frozenset({"ann", "ben", "cat"}), 2)
PROPOSAL = votes.build_proposal(OLD, NEW)
APPROVAL = Vote(PROPOSAL.version, PROPOSAL.base, PROPOSAL.digest)
APPROVAL_OF_OLDER_BASE = msgspec.structs.replace(APPROVAL, base=Version(1, 6))
ENOUGH_VOTES = dict.fromkeys(("n1", "n2", "s1", "s3", "ann", "cat"), APPROVAL)


def test_both_quorums_adopt_a_proposal_without_votes_of_an_unaffected_region() -> None:
    assert PROPOSAL.regions == {"north", "south"}
    require_quorums(PROPOSAL, ELECTORATE, ENOUGH_VOTES, OLD.version)


@pytest.mark.parametrize("without", ENOUGH_VOTES)
def test_a_proposal_is_not_adopted_without_any_one_vote_and_the_missing_vote_is_named(without: str) -> None:
    cast = {name: vote for name, vote in ENOUGH_VOTES.items() if name != without}
    with pytest.raises(QuorumNotReachedError, match=f"{without}: no vote.*Bring the voters named back"):
        require_quorums(PROPOSAL, ELECTORATE, cast, OLD.version)


def test_a_vote_for_another_base_or_document_is_void_as_are_all_once_the_base_has_changed() -> None:
    assignments = {**NEW.assignments, "p0": OLD.assignments["p0"]}
    other = msgspec.structs.replace(NEW, assignments=assignments)
    for vote in (
        APPROVAL_OF_OLDER_BASE,
        msgspec.structs.replace(APPROVAL, version=Version(1, 9)),
        msgspec.structs.replace(APPROVAL, digest=document.content_hash(other)),
        msgspec.structs.replace(APPROVAL, against=("south is full",)),
    ):
        with pytest.raises(QuorumNotReachedError, match=r"s1: (no vote|south is full)"):
            require_quorums(PROPOSAL, ELECTORATE, {**ENOUGH_VOTES, "s1": vote}, OLD.version)
    with pytest.raises(StaleProposalError, match="propose the change again"):
        require_quorums(PROPOSAL, ELECTORATE, ENOUGH_VOTES, NEW.version)


voter_names = sorted(frozenset().union(*VOTERS.values()) | ELECTORATE.staff | {"nobody"})
any_votes = st.dictionaries(st.sampled_from(voter_names), st.sampled_from([APPROVAL, APPROVAL_OF_OLDER_BASE]))


@given(any_votes, any_votes)
@settings(max_examples=300, deadline=None)
def test_any_two_sets_of_votes_that_adopt_share_an_approving_voter_in_each_region(
    one: dict[str, Vote], other: dict[str, Vote]
) -> None:
    """The sides of a partition read different votes: neither may adopt what all votes together would not."""

    def adopts(cast: dict[str, Vote]) -> bool:
        try:
            require_quorums(PROPOSAL, ELECTORATE, cast, OLD.version)
        except QuorumNotReachedError:
            return False
        return True

    if adopts(one) and adopts(other):
        for region in PROPOSAL.regions:
            in_both = VOTERS[region] & one.keys() & other.keys()
            assert any(one[voter] == other[voter] == APPROVAL for voter in in_both)
    if adopts(one):
        approving = {name for name, vote in one.items() if vote == APPROVAL}
        assert len(approving & VOTERS["north"]) >= 2
        assert len(approving & VOTERS["south"]) >= 2
        assert len(approving & ELECTORATE.staff) >= 2


def test_counting_reachable_voters_only_or_ignoring_the_base_would_adopt_without_a_quorum(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reachable = {"n1": APPROVAL, "s1": APPROVAL, "ann": APPROVAL, "ben": APPROVAL}
    reachable_voters = {region: voters & reachable.keys() for region, voters in VOTERS.items()}
    require_quorums(PROPOSAL, Electorate(reachable_voters, ELECTORATE.staff, 2), reachable, OLD.version)
    with pytest.raises(QuorumNotReachedError):
        require_quorums(PROPOSAL, ELECTORATE, reachable, OLD.version)
    stale = dict.fromkeys(ENOUGH_VOTES, APPROVAL_OF_OLDER_BASE)
    with pytest.raises(QuorumNotReachedError):
        require_quorums(PROPOSAL, ELECTORATE, stale, OLD.version)
    monkeypatch.setattr(votes, "is_void", lambda proposal, vote: vote.version != proposal.version)
    require_quorums(PROPOSAL, ELECTORATE, stale, OLD.version)


NO_OBJECTION = LocalEvidence(
    dict.fromkeys(DESTINATIONS, True), dict.fromkeys(DESTINATIONS, 5.0), dict.fromkeys(DESTINATIONS, 4.0)
)


@pytest.mark.parametrize(
    ("change", "objection"),
    [
        ({}, None),
        ({"reachable": dict.fromkeys(DESTINATIONS[1:], True)}, "south is not reachable for p0 from here"),
        (
            {"capacity": dict.fromkeys(DESTINATIONS[1:], 5.0)},
            "south has capacity for 0 of 4 calls per second of p0",
        ),
        ({"draining": frozenset({"p0"})}, "endpoints of p0 are draining"),
        ({"conflicts": frozenset({"p0"})}, "the list of p0 has conflicting edits"),
    ],
)
def test_a_member_votes_by_its_own_evidence(change: dict[str, object], objection: str | None) -> None:
    found = votes.objections(OLD, NEW, msgspec.structs.replace(NO_OBJECTION, **change))
    assert found == ((objection,) if objection else ())


def test_each_stage_is_incompatible_only_where_it_moves_and_the_last_is_the_proposal() -> None:
    before = OLD
    moved = set[str]()
    for number, fraction in enumerate((0.05, 0.25, 0.6, 1.0), 1):
        stage = stage_document(OLD, NEW, fraction, revision=7 + number)
        document.validate_document(stage)
        in_south = {name for name, assignment in stage.assignments.items() if assignment.home == "south"}
        assert moved < in_south, "what has moved stays there"
        assert abs(len(in_south) / len(DESTINATIONS) - fraction) < 0.1
        keys = incompatible_keys(before, stage)
        assert {key.split(".")[1] for key in keys} == in_south - moved
        before = stage
        moved = in_south
    assert document.content_hash(before) == document.content_hash(NEW)
    rolled_back = stage_document(OLD, NEW, 0.0, revision=12)
    assert rolled_back.version > before.version
    assert document.content_hash(rolled_back) == document.content_hash(OLD)
    assert stage_document(OLD, NEW, 1.0, region="west").assignments == OLD.assignments
