"""Quorums that have to approve a change of assignments before any sender adopts it.  No I/O.

The electorate is that of the base revision: an unreachable voter still counts, so that a partition cannot shrink the
electorate.  The store holds the votes, one key per voter; they are counted in one transaction with the version in
force.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    Count,
    Name,
    content_hash,
)
from kestreltrack.fleet.replicated_config.protocol import majority
from kestreltrack.fleet.replicated_config.version import Version
from kestreltrack.fleet.rollout.errors import QuorumNotReachedError, StaleProposalError


class Electorate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may vote, as of the base revision.

    Attributes:
        voters: The folder ids of each region's voters.
        staff: The names of the staff who may approve.
        staff_needed: How many of them have to approve.
    """

    voters: dict[Name, frozenset[Name]]
    staff: frozenset[Name] = frozenset()
    staff_needed: Count = 0


class Proposal(msgspec.Struct, frozen=True):
    """A document that is proposed to replace its base.

    Attributes:
        version: The version of the document.
        base: The version of its base.
        digest: The content hash of the document.
        regions: The regions whose voters have to approve.
    """

    version: Version
    base: Version
    digest: str
    regions: frozenset[str]


class Vote(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The vote of a voter or of a member of staff on one proposal with one base.

    Attributes:
        version: The version of the proposal.
        base: The version of its base.
        digest: The content hash of the proposal.
        against: The reasons to reject the proposal; empty if the vote approves it.
    """

    version: Version
    base: Version
    digest: str
    against: tuple[Annotated[str, Meta(max_length=200)], ...] = ()


class LocalEvidence(msgspec.Struct, frozen=True):
    """Local observations by which a member votes on a change.

    Attributes:
        reachable: Whether the new home of each moved destination is reachable from this member.
        capacity: The calls per second that the new home can make to each destination, by its fraction of the limit.
        demand: The calls per second that are currently requested of each destination.
        draining: The destinations with draining endpoints.
        conflicts: The destinations with conflicting edits in their list.
    """

    reachable: Mapping[str, bool]
    capacity: Mapping[str, float]
    demand: Mapping[str, float]
    draining: frozenset[str] = frozenset()
    conflicts: frozenset[str] = frozenset()


def moved_destinations(old: ConfigDocument, new: ConfigDocument) -> dict[str, tuple[str, str]]:
    """Return the old and the new home of each destination whose home changes."""
    homes = {name: assignment.home for name, assignment in old.assignments.items()}
    return {
        name: (homes.get(name, ""), assignment.home)
        for name, assignment in sorted(new.assignments.items())
        if assignment.home != homes.get(name, "")
    }


def build_proposal(old: ConfigDocument, new: ConfigDocument) -> Proposal:
    """Return the proposal of `new` in place of `old`.

    The voters of each region that loses or gains a destination, or whose fraction of a limit changes, must approve.
    """
    moves = moved_destinations(old, new).values()
    regions = {region for old_and_new_home in moves for region in old_and_new_home if region}
    for name in old.assignments.keys() | new.assignments.keys():
        before = _limit_fractions(old, name)
        after = _limit_fractions(new, name)
        regions |= {
            region for region in before.keys() | after.keys() if before.get(region) != after.get(region)
        }
    return Proposal(new.version, old.version, content_hash(new), frozenset(regions))


def _limit_fractions(document: ConfigDocument, destination_name: str) -> Mapping[str, float]:
    assignment = document.assignments.get(destination_name)
    return {} if assignment is None else assignment.limit_fractions


def objections(old: ConfigDocument, new: ConfigDocument, evidence: LocalEvidence) -> tuple[str, ...]:
    """Return the reasons for which a member rejects a change, by its own evidence.

    Missing evidence on a destination counts against the change.
    """
    return tuple(_iter_objections(old, new, evidence))


def _iter_objections(old: ConfigDocument, new: ConfigDocument, evidence: LocalEvidence) -> Iterator[str]:
    for name, (_, home) in moved_destinations(old, new).items():
        capacity = evidence.capacity.get(name, 0.0)
        demand = evidence.demand.get(name, 0.0)
        if home and not evidence.reachable.get(name, False):
            yield f"{home} is not reachable for {name} from here"
        elif home and capacity < demand:
            yield f"{home} has capacity for {capacity:g} of {demand:g} calls per second of {name}"
        if name in evidence.draining:
            yield f"endpoints of {name} are draining"
        if name in evidence.conflicts:
            yield f"the list of {name} has conflicting edits"


def is_void(proposal: Proposal, vote: Vote) -> bool:
    """Return whether a vote is for another document or another base."""
    return (vote.version, vote.base, vote.digest) != (proposal.version, proposal.base, proposal.digest)


def require_quorums(
    proposal: Proposal, electorate: Electorate, votes: Mapping[str, Vote], committed: Version
) -> None:
    """Check that the voters of each affected region, and the staff, have approved a proposal.

    The arguments have to be read in one transaction of the store.

    Raises:
        StaleProposalError: The base of the proposal is no longer in force.
        QuorumNotReachedError: Votes are missing.
    """
    if proposal.base != committed:
        raise StaleProposalError(proposal.base, committed)
    valid_votes = {name: vote for name, vote in votes.items() if not is_void(proposal, vote)}
    approving = {name for name, vote in valid_votes.items() if not vote.against}
    missing = list[str]()
    for region in sorted(proposal.regions):
        voters = electorate.voters.get(region, frozenset())
        approvals = len(approving & voters)
        needed = majority(voters)
        if approvals < needed:
            reasons = _describe_missing_votes(voters - approving, valid_votes)
            missing.append(f"{region} has {approvals} of {needed} votes needed{reasons}")
    approvals = len(approving & electorate.staff)
    needed = electorate.staff_needed
    if approvals < needed:
        reasons = _describe_missing_votes(electorate.staff - approving, valid_votes)
        missing.append(f"staff have given {approvals} of {needed} approvals needed{reasons}")
    if missing:
        raise QuorumNotReachedError(tuple(missing))


def _describe_missing_votes(missing: frozenset[str], valid_votes: Mapping[str, Vote]) -> str:
    """Describe who has not approved, with their objections."""
    reasons = [
        f"{name}: {', '.join(valid_votes[name].against) if name in valid_votes else 'no vote'}"
        for name in sorted(missing)
    ]
    return f" ({'; '.join(reasons)})" if reasons else ""
