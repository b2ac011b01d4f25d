"""The documents that lie between a base and a proposal, one for each stage.  No I/O.

Stages go by partner, not by sender: with a few senders on the new map a partner would have two homes.  Each stage is
a document of its own, and takes force like any other, so the bound of `agreed` holds at every instant of a rollout;
going back is one more document with the old homes.
"""

from __future__ import annotations

import msgspec
from xxhash import xxh3_64_intdigest

from kestreltrack.fleet.replicated_config.document import ConfigDocument, RegionAssignment


def rollout_rank(destination_name: str, proposal_revision: int) -> float:
    """Where a partner stands in the order of a rollout, 0 to 1: another order for each proposal."""
    return xxh3_64_intdigest(destination_name.encode(), seed=proposal_revision) / 2.0**64


def stage_document(
    old: ConfigDocument, new: ConfigDocument, fraction: float, region: str = "", revision: int | None = None
) -> ConfigDocument:
    """`old` with a share of the partners whose claims differ as `new` has them: all of them with 1.

    `region`: only those that come to it.  All else in `new` (settings, lists) comes with the first stage above 0.
    """
    number = new.revision if revision is None else revision
    if fraction <= 0.0:
        return msgspec.structs.replace(old, epoch=new.epoch, revision=number)
    claims = dict[str, RegionAssignment]()
    for name in new.partners:
        before, after = old.claims.get(name), new.claims.get(name)
        there = not region or (after is not None and after.home == region)
        chosen = after if there and rollout_rank(name, new.revision) < fraction else before
        if chosen is not None:
            claims[name] = chosen
    return msgspec.structs.replace(new, revision=number, claims=claims)
