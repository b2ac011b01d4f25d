"""Intermediate documents between a base and a proposal, one for each stage of a rollout.  No I/O.

A stage moves a set of destinations at all senders: if only some senders used the new assignments, a destination would
have two homes.  Each stage is a separate document that is committed like any other, so the bound of the replicated
configuration holds throughout a rollout.  A rollback is one more proposal, with the old homes.
"""

from __future__ import annotations

import msgspec
from xxhash import xxh3_64_intdigest

from kestreltrack.fleet.replicated_config.document import ConfigDocument, RegionAssignment

# Upper bound, exclusive, of the hash that ranks destinations.
HASH_RANGE = 2.0**64


def rollout_rank(destination_name: str, proposal_revision: int) -> float:
    """Return the position of a destination in a rollout, from 0 to 1; the order differs between proposals."""
    return xxh3_64_intdigest(destination_name.encode(), seed=proposal_revision) / HASH_RANGE


def stage_document(
    old: ConfigDocument, new: ConfigDocument, fraction: float, region: str = "", revision: int | None = None
) -> ConfigDocument:
    """Return a document with the new assignments of some destinations and the old ones of all others.

    Everything else in `new` (settings, lists) is part of each stage above 0.

    Args:
        old: The base of the proposal.
        new: The proposal.
        fraction: The fraction of the destinations to move, from 0 (none) to 1 (all).
        region: Move only destinations with this new home; empty for any.
        revision: The revision of the stage; `None` for the revision of the proposal.
    """
    stage_revision = new.revision if revision is None else revision
    if fraction <= 0.0:
        return msgspec.structs.replace(old, epoch=new.epoch, revision=stage_revision)
    assignments = dict[str, RegionAssignment]()
    for name in new.destinations:
        assignment = old.assignments.get(name)
        new_assignment = new.assignments.get(name)
        in_region = not region or (new_assignment is not None and new_assignment.home == region)
        if in_region and rollout_rank(name, new.revision) < fraction:
            assignment = new_assignment
        if assignment is not None:
            assignments[name] = assignment
    return msgspec.structs.replace(new, revision=stage_revision, assignments=assignments)
