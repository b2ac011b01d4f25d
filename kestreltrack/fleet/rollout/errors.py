"""Errors of rollouts; the text of each says what an operator can do."""

from __future__ import annotations

from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError
from kestreltrack.fleet.replicated_config.version import Version


class RolloutError(ReplicatedConfigError):
    """A proposal was not adopted."""


class StaleProposalError(RolloutError):
    """The base of a proposal is not in force any more; all votes for the proposal are void.

    Attributes:
        base: The base of the proposal.
        committed: The version in force.
    """

    remedy = "Look at what is in force now (fleet agreed show) and propose the change anew on that."

    def __init__(self, base: Version, committed: Version) -> None:
        super().__init__(f"the proposal is based on {base}, but {committed} is in force")
        self.base = base
        self.committed = committed


class QuorumNotReachedError(RolloutError):
    """Too few votes for a proposal; nothing has changed, and the proposal stays open.

    Attributes:
        missing: One line for each quorum that is not reached.
    """

    remedy = (
        "Bring the voters named back, or settle what they object to; to go on without them for good, propose a "
        "document that names other voters."
    )

    def __init__(self, missing: tuple[str, ...]) -> None:
        super().__init__("; ".join(missing))
        self.missing = missing
