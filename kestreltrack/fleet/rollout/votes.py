"""Who has to say yes before any sender adopts a change of the claim map, and what is missing.  No I/O.

Voters are those of the base revision: who is cut off still counts, so that no partition can shrink the electorate.
The votes stand in the store, one key for each voter, and are counted in one transaction with the version in force.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.replicated_config.document import ConfigDocument, Count, Name, Version, content_hash
from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError


class StaleProposalError(ReplicatedConfigError):
    """What it rests on is not in force any more; all votes for it are void."""

    remedy = "Look at what is in force now (fleet agreed show) and propose the change anew on that."

    def __init__(self, base: Version, committed: Version) -> None:
        """Both as versions."""
        super().__init__(f"the proposal rests on {base}, but {committed} is in force")


class QuorumNotReachedError(ReplicatedConfigError):
    """Not enough have said yes; nothing has changed, and the proposal stays open."""

    remedy = (
        "Bring the voters named back, or settle what they object to; to go on without them for good, propose a "
        "document that names other voters."
    )

    def __init__(self, missing: tuple[str, ...]) -> None:
        """One line for each quorum that is not there."""
        super().__init__("; ".join(missing))
        self.missing = missing


class Electorate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of the base revision: voters of each region by the id of their folder, and staff by name."""

    voters: dict[Name, frozenset[Name]]
    staff: frozenset[Name] = frozenset()
    staff_needed: Count = 0


class Proposal(msgspec.Struct, frozen=True):
    """A document that is to hold in place of its base."""

    version: Version
    base: Version
    digest: str
    regions: frozenset[str]  # concerned


class Vote(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of one voter or one of the staff, for one proposal on one base."""

    version: Version
    base: Version
    digest: str
    against: tuple[Annotated[str, Meta(max_length=200)], ...] = ()  # no reasons: yes


class LocalEvidence(msgspec.Struct, frozen=True):
    """What a member knows of itself about a change, beside the document."""

    reachable: Mapping[str, bool]  # of each partner that moves: whether its new home is, from here
    capacity: Mapping[str, float]  # calls a second that its new home has for it under its part of the limit
    demand: Mapping[str, float]  # calls a second asked for now
    draining: frozenset[str] = frozenset()  # partners with endpoints that drain
    conflicts: frozenset[str] = frozenset()  # partners whose list is not settled


def moved_destinations(old: ConfigDocument, new: ConfigDocument) -> dict[str, tuple[str, str]]:
    """Of each partner whose home changes: from where, to where."""
    homes = {name: claim.home for name, claim in old.claims.items()}
    return {
        name: (homes.get(name, ""), claim.home)
        for name, claim in sorted(new.claims.items())
        if claim.home != homes.get(name, "")
    }


def build_proposal(old: ConfigDocument, new: ConfigDocument) -> Proposal:
    """All regions that lose or get a partner, or another part of its limit, are concerned."""
    regions = {region for pair in moved_destinations(old, new).values() for region in pair if region}
    for name in old.claims.keys() | new.claims.keys():
        before = old.claims[name].parts if name in old.claims else {}
        after = new.claims[name].parts if name in new.claims else {}
        regions |= {
            region for region in before.keys() | after.keys() if before.get(region) != after.get(region)
        }
    return Proposal(new.version, old.version, content_hash(new), frozenset(regions))


def objections(old: ConfigDocument, new: ConfigDocument, evidence: LocalEvidence) -> tuple[str, ...]:
    """Why a member says no, by its own evidence; a partner that it knows nothing of is no reason to say yes."""

    def reasons() -> Iterator[str]:
        for name, (_, home) in moved_destinations(old, new).items():
            room, asked = evidence.capacity.get(name, 0.0), evidence.demand.get(name, 0.0)
            if home and not evidence.reachable.get(name, False):
                yield f"{home} is not reachable for {name} from here"
            elif home and room < asked:
                yield f"{home} has room for {room:g} of {asked:g} calls a second of {name}"
            if name in evidence.draining:
                yield f"endpoints of {name} drain"
            if name in evidence.conflicts:
                yield f"the list of {name} is in conflict"

    return tuple(reasons())


def is_void(proposal: Proposal, vote: Vote) -> bool:
    """Whether a vote is for something else: another text, or another base."""
    return (vote.version, vote.base, vote.digest) != (proposal.version, proposal.base, proposal.digest)


def require_quorums(
    proposal: Proposal, electorate: Electorate, votes: Mapping[str, Vote], committed: Version
) -> None:
    """Both quorums or nothing; raises `ProposalStale` or `QuorumMissing`.

    All arguments are of one transaction of the store.
    """
    if proposal.base != committed:
        raise StaleProposalError(proposal.base, committed)
    cast = {name: vote for name, vote in votes.items() if not is_void(proposal, vote)}
    yes = {name for name, vote in cast.items() if not vote.against}
    missing = list[str]()
    for region in sorted(proposal.regions):
        voters = electorate.voters.get(region, frozenset())
        need = len(voters) // 2 + 1
        if len(yes & voters) < need:
            missing.append(
                f"{region} has {len(yes & voters)} of {need} votes needed{_missing_votes(voters - yes, cast)}"
            )
    if len(yes & electorate.staff) < electorate.staff_needed:
        found = (
            f"staff have given {len(yes & electorate.staff)} of {electorate.staff_needed} approvals needed"
        )
        missing.append(found + _missing_votes(electorate.staff - yes, cast))
    if missing:
        raise QuorumNotReachedError(tuple(missing))


def _missing_votes(missing: frozenset[str], cast: Mapping[str, Vote]) -> str:
    """Who has not said yes, with what stands against it."""
    told = [
        f"{name}: {', '.join(cast[name].against) if name in cast else 'no vote'}" for name in sorted(missing)
    ]
    return f" ({'; '.join(told)})" if told else ""
