"""Errors of rollouts; the message of each tells operators what to do."""

from __future__ import annotations

from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError
from kestreltrack.fleet.replicated_config.version import Version


class RolloutError(ReplicatedConfigError):
    """A proposal was not adopted."""


class StaleProposalError(RolloutError):
    """The base of a proposal is no longer the version in force; all votes for the proposal are void.

    Attributes:
        base: The base of the proposal.
        committed: The version in force.
    """

    remedy = "Read the document in force (fleet agreed show) and propose the change again, based on it."

    def __init__(self, base: Version, committed: Version) -> None:
        super().__init__(f"the proposal is based on {base}, but {committed} is in force")
        self.base = base
        self.committed = committed


class QuorumNotReachedError(RolloutError):
    """A proposal has too few votes; nothing has changed, and the proposal stays open.

    Attributes:
        missing: A line for each quorum that is not reached.
    """

    remedy = (
        "Bring the voters named back online, or resolve their objections; to continue without them permanently, "
        "propose a document that names other voters."
    )

    def __init__(self, missing: tuple[str, ...]) -> None:
        super().__init__("; ".join(missing))
        self.missing = missing
