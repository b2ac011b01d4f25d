"""Errors of the replicated configuration; each message ends with what an operator can do."""

from __future__ import annotations

from pathlib import Path

from kestreltrack.fleet.replicated_config.version import Version


class ReplicatedConfigError(Exception):
    """An operation was rejected; the committed document stays in force.

    Attributes:
        remedy: What an operator can do; the last sentences of the message.
    """

    remedy = "Nothing was changed."

    def __str__(self) -> str:
        """Return the cause followed by the remedy."""
        return f"{super().__str__()}. {self.remedy}"


class InvalidLeaseParametersError(ReplicatedConfigError, ValueError):
    """The read lease parameters are inconsistent or exceed the bound on the time to stop."""

    remedy = "Correct fleet.agreed.lease_ms and restart the sender."


class InvalidDocumentError(ReplicatedConfigError):
    """A document does not match its schema or breaks a rule that the schema cannot express.

    Attributes:
        key: The dotted path of the invalid key; empty for the document itself.
        reason: What is wrong there.
    """

    remedy = (
        "Correct that key and propose the document again; the previous document stays in force unchanged."
    )

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"the document is invalid at {key or 'the top level'}: {reason}")
        self.key = key
        self.reason = reason


class RevisionRegressionError(ReplicatedConfigError):
    """The store returned a version older than the current one: it was wiped, or restored from a backup.

    Attributes:
        current: The newest version that this sender has acted on.
        received: The older version.
    """

    remedy = (
        "Check whether the store was wiped or restored from a backup; if so, propose the document that is to be "
        "in force with an epoch one higher. Until then, senders keep acting on their current version."
    )

    def __init__(self, current: Version, received: Version) -> None:
        super().__init__(f"the store returned {received}, which is older than the current {current}")
        self.current = current
        self.received = received


class StaleEpochError(RevisionRegressionError):
    """A document has an epoch that was replaced by a higher one after the store lost revisions."""

    remedy = "Restart the process or command that still uses the old epoch, so that it reads the store again."


class ConflictingRevisionError(ReplicatedConfigError):
    """Two documents with different contents have the same version: senders use two different stores as one.

    Attributes:
        version: The version that both have.
        local_digest: The digest of the content at this sender.
        remote_digest: The digest of the other content.
    """

    remedy = (
        "Make sure that all senders read one store (the same members and prefix); then propose the document that is "
        "to be in force with an epoch one higher."
    )

    def __init__(self, version: Version, local_digest: str, remote_digest: str) -> None:
        super().__init__(
            f"{version} has the digest {local_digest} at this sender and {remote_digest} elsewhere"
        )
        self.version = version
        self.local_digest = local_digest
        self.remote_digest = remote_digest


class StateUnreadableError(ReplicatedConfigError):
    """The stored versions cannot be read; continuing without them could return to an older version.

    Attributes:
        path: The file or folder.
        reason: Why it cannot be read.
    """

    remedy = (
        "Restore the file from this machine's own disk, or remove the whole folder: the sender then starts with a "
        "new folder id, and votes only once fleet.agreed.voters lists that id."
    )

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path} cannot be read: {reason}")
        self.path = path
        self.reason = reason


class RevisionTakenError(ReplicatedConfigError):
    """The version of a proposal is not higher than one that was prepared before.

    Attributes:
        current: The highest version that was prepared.
        proposed: The version of the proposal.
    """

    remedy = "Give the document a revision higher than that and propose it again; nothing was changed."

    def __init__(self, current: Version, proposed: Version) -> None:
        super().__init__(f"{proposed} was proposed, but {current} has been prepared already")
        self.current = current
        self.proposed = proposed


class NotLeaderError(ReplicatedConfigError):
    """A proposal was made to a sender other than the leader; two leaders could assign one revision twice.

    Attributes:
        leader: The name of the sender that accepts proposals.
    """

    remedy = "Propose it there; while that sender is down, the committed document stays in force."

    def __init__(self, leader: str) -> None:
        super().__init__(f"proposals are accepted only by {leader}, the first of fleet.agreed.voters")
        self.leader = leader


class VoterNotEnrolledError(ReplicatedConfigError):
    """A sender is listed as a voter under another folder id than its own, or without an id.

    Attributes:
        name: The name of the sender.
        folder_id: The id of its state folder.
        listed_id: The id in the list of voters; empty if the list has none.
    """

    remedy = (
        "If all senders start for the first time, add that id to fleet.agreed.voters on each of them. If the folder "
        "was emptied, restore it; until then this sender follows the others and must not vote under its old id."
    )

    def __init__(self, name: str, folder_id: str, listed_id: str) -> None:
        super().__init__(
            f"{name} is not a voter: its state folder has the id {folder_id}, and fleet.agreed.voters lists "
            f"{listed_id or 'no id'}"
        )
        self.name = name
        self.folder_id = folder_id
        self.listed_id = listed_id


class StateWriteError(ReplicatedConfigError):
    """The state folder cannot be written to.

    Attributes:
        reason: What the operating system reported.
    """

    remedy = "Free space in GW_STATE or correct its permissions, then propose it again; nothing was changed."

    def __init__(self, reason: str) -> None:
        super().__init__(f"the document cannot be saved: {reason}")
        self.reason = reason


class NotReadyError(ReplicatedConfigError):
    """The leader has not read its state folder yet, or has released it.

    Attributes:
        name: The name of the leader.
    """

    remedy = (
        "Propose it again once the log of that sender has reported the change begun; nothing was changed."
    )

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is starting or stopping")
        self.name = name
