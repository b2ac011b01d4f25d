"""The documents that lie between a base and a proposal, one for each stage of a rollout.  No I/O.

A stage is a set of destinations, not of senders: with some senders on the new assignments and some on the old ones a
destination would have two homes.  Each stage is a document of its own, and is committed like any other, so the bound
of the replicated configuration holds at every moment of a rollout.  To roll back is to propose one more document,
with the old homes.
"""

from __future__ import annotations

import msgspec
from xxhash import xxh3_64_intdigest

from kestreltrack.fleet.replicated_config.document import ConfigDocument, RegionAssignment

# The hash that ranks destinations is below this.
HASH_RANGE = 2.0**64


def rollout_rank(destination_name: str, proposal_revision: int) -> float:
    """Return the place of a destination in the order of a rollout, from 0 to 1; each proposal has another order."""
    return xxh3_64_intdigest(destination_name.encode(), seed=proposal_revision) / HASH_RANGE


def stage_document(
    old: ConfigDocument, new: ConfigDocument, fraction: float, region: str = "", revision: int | None = None
) -> ConfigDocument:
    """Return `old` with the assignments of some destinations as `new` has them.

    All else in `new` (settings, lists) is in force from the first stage above 0.

    Args:
        old: The base of the proposal.
        new: The proposal.
        fraction: The fraction of the destinations, from 0 (none of them) to 1 (all of them).
        region: Only destinations whose new home this is; empty: any.
        revision: The revision of the stage; `None`: the revision of the proposal.
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
