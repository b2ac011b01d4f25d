"""Membership status for operators: the member list with all states, and the number of members in each state."""

from __future__ import annotations

from typing import Any

from kestreltrack.fleet.membership.member_table import MemberRecord, MemberState
from kestreltrack.fleet.membership.swim import Swim
from kestreltrack.fleet.membership.wire import Alive


def membership_status(swim: Swim | None, now: float) -> dict[str, Any]:
    """Return the JSON-compatible result of the operators' command; `swim` is `None` until the socket is bound."""
    if swim is None:
        return {"bound": False, "members": []}
    rows = [_member_row(swim.local_member, MemberState.ALIVE, 0.0, [])]
    rows += [_record_row(member, now) for member in swim.table.members.values()]
    return {
        "bound": True,
        "me": swim.local_member.name,
        "caught_up": swim.caught_up,
        "slow": swim.local_health_score,
        "counts": dict(swim.counts),
        "members": sorted(rows, key=lambda row: str(row["name"])),
    }


def _record_row(member: MemberRecord, now: float) -> dict[str, Any]:
    reporters = sorted(member.suspicion.reporters) if member.suspicion else []
    return _member_row(member.info, member.state, now - member.state_since, reporters)


def _member_row(
    info: Alive, state: MemberState, state_age_ms: float, suspected_by: list[str]
) -> dict[str, Any]:
    return {
        "name": info.name,
        "standing": state.value,
        "for_s": round(state_age_ms / 1000.0, 1),
        "address": info.address,
        "zone": info.zone,
        "region": info.region,
        "version": info.version,
        "incarnation": info.incarnation,
        "start": info.process_start_ms,
        "suspected_by": suspected_by,
    }


def members_by_state(swim: Swim | None) -> dict[str, int]:
    """Return the number of members in each state; the local member counts as alive."""
    counts = dict.fromkeys((state.value for state in MemberState), 0)
    counts[MemberState.ALIVE.value] = 1
    if swim is not None:
        for member in swim.table.members.values():
            counts[member.state.value] += 1
    return counts
