"""Errors of the replicated configuration; the text of each says what an operator can do."""

from __future__ import annotations

from pathlib import Path

from kestreltrack.fleet.replicated_config.version import Version


class ReplicatedConfigError(Exception):
    """Something was rejected, and what was in force stays in force.

    Attributes:
        remedy: What an operator can do; the text of the error ends with it.
    """

    remedy = "Nothing was changed."

    def __str__(self) -> str:
        """Return the cause, then the remedy."""
        return f"{super().__str__()}. {self.remedy}"


class InvalidLeaseParametersError(ReplicatedConfigError, ValueError):
    """The parameters of read leases contradict each other or break the bound on the time to stop."""

    remedy = "Correct fleet.agreed.lease_ms and start the sender again."


class InvalidDocumentError(ReplicatedConfigError):
    """A document does not match its schema, or breaks a rule that no schema states.

    Attributes:
        key: The path of the invalid key, its parts separated by dots; empty for the document itself.
        reason: What is wrong there.
    """

    remedy = "Correct that key and propose the document again; the one before it stays in force as a whole."

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"the document is faulty at {key or 'its top'}: {reason}")
        self.key = key
        self.reason = reason


class RevisionRegressionError(ReplicatedConfigError):
    """The store returned an older version than was acted on: it was wiped, or restored from a backup.

    Attributes:
        current: The version that was acted on.
        received: The older version.
    """

    remedy = (
        "Check whether the store was wiped or restored from a backup; if so, propose the document that is to be "
        "in force with an epoch one higher. Until then senders act on what they have."
    )

    def __init__(self, current: Version, received: Version) -> None:
        super().__init__(f"the store has {received}, older than {current}, which was acted on")
        self.current = current
        self.received = received


class StaleEpochError(RevisionRegressionError):
    """A document is of an epoch from before the store was declared anew."""

    remedy = "End the process or command that still uses the old epoch, and have it read the store again."


class ConflictingRevisionError(ReplicatedConfigError):
    """Two documents with different contents have one version: two stores are taken for one.

    Attributes:
        version: The version that both have.
        local_digest: The hash of the content here.
        remote_digest: The hash of the content elsewhere.
    """

    remedy = (
        "Make sure that all senders read one store (the same members and prefix); then propose the document that is "
        "to be in force with an epoch one higher."
    )

    def __init__(self, version: Version, local_digest: str, remote_digest: str) -> None:
        super().__init__(f"{version} has the content {local_digest} here and {remote_digest} elsewhere")
        self.version = version
        self.local_digest = local_digest
        self.remote_digest = remote_digest


class StateUnreadableError(ReplicatedConfigError):
    """The stored state of the last version acted on cannot be read: going on might return to an older one.

    Attributes:
        path: The file or folder.
        reason: What is wrong with it.
    """

    remedy = (
        "Put the file back from this machine's own disk, or take the whole folder away: the sender then starts as a "
        "new one, which votes only once a new document names it."
    )

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path} cannot be read: {reason}")
        self.path = path
        self.reason = reason


class RevisionTakenError(ReplicatedConfigError):
    """A proposal has a version that is not higher than one that was prepared before.

    Attributes:
        current: The version that was prepared before.
        proposed: The version of the proposal.
    """

    remedy = "Give it a revision higher than that, and propose it again; nothing was changed."

    def __init__(self, current: Version, proposed: Version) -> None:
        super().__init__(f"{proposed} is proposed, and {current} has been prepared already")
        self.current = current
        self.proposed = proposed


class NotLeaderError(ReplicatedConfigError):
    """A proposal was made to another sender than the leader; two leaders would give out one revision twice.

    Attributes:
        leader: The name of the sender that takes proposals.
    """

    remedy = "Propose it there; while that sender is away, what is in force stays."

    def __init__(self, leader: str) -> None:
        super().__init__(f"proposals are taken by {leader}, the first of fleet.agreed.voters")
        self.leader = leader


class VoterNotEnrolledError(ReplicatedConfigError):
    """A sender is listed as a voter under another folder id than its own, or without an id.

    Attributes:
        name: The name of the sender.
        folder_id: The id of its state folder.
        listed_id: The id in the list of voters; empty where there is none.
    """

    remedy = (
        "If all senders start for the first time, write that id into fleet.agreed.voters at each. If the folder was "
        "emptied, put it back; this sender follows the others until then, and must not vote under its old id."
    )

    def __init__(self, name: str, folder_id: str, listed_id: str) -> None:
        super().__init__(
            f"{name} is no voter: its folder has the id {folder_id}, fleet.agreed.voters {listed_id or 'none'}"
        )
        self.name = name
        self.folder_id = folder_id
        self.listed_id = listed_id


class StateWriteError(ReplicatedConfigError):
    """The state folder cannot be written.

    Attributes:
        reason: What the operating system reported.
    """

    remedy = "Make room in GW_STATE, or correct its permissions, and propose it again; nothing was changed."

    def __init__(self, reason: str) -> None:
        super().__init__(f"the document cannot be saved: {reason}")
        self.reason = reason


class NotReadyError(ReplicatedConfigError):
    """The leader has not read its state folder yet, or has released it.

    Attributes:
        name: The name of the leader.
    """

    remedy = "Propose it again once its log has said that it has begun; nothing was changed."

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is starting or stopping")
        self.name = name
