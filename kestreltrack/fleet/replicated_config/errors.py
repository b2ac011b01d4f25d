"""What can be wrong with what a fleet agrees on; each says what an operator can do."""

from __future__ import annotations


class ReplicatedConfigError(Exception):
    """Something is not taken, and what was in force stays; `remedy` is what an operator can do."""

    remedy = "Nothing was changed."

    def __str__(self) -> str:
        """What is wrong, then the way out."""
        return f"{super().__str__()}. {self.remedy}"


class InvalidDocumentError(ReplicatedConfigError):
    """A document that fails its schema or a rule of its own; `key` is where."""

    remedy = "Mend that key and propose the document again; the one before it stays in force as a whole."

    def __init__(self, key: str, reason: str) -> None:
        """`key` with dots, empty for the document as a whole."""
        super().__init__(f"the document is faulty at {key or 'its top'}: {reason}")
        self.key, self.reason = key, reason


class RevisionRegressionError(ReplicatedConfigError):
    """What was read is older than what was acted on: a store that was wiped, or restored from a backup."""

    remedy = (
        "Check whether the store was wiped or restored from a backup; if so, propose the document that is to hold "
        "with an epoch one higher. Until then senders act on what they have."
    )

    def __init__(self, current: object, received: object) -> None:
        """Both as versions."""
        super().__init__(f"the store has {received}, older than {current}, which was acted on")


class StaleEpochError(RevisionRegressionError):
    """A word from before the store was declared anew."""

    remedy = "End the process or command that still uses the old epoch, and have it read the store again."


class ConflictingRevisionError(ReplicatedConfigError):
    """Two contents under one version: two stores are taken for one."""

    remedy = (
        "Make sure that all senders read one store (the same members and prefix); then propose the document that is "
        "to hold with an epoch one higher."
    )

    def __init__(self, version: object, current: str, received: str) -> None:
        """Both as content hashes."""
        super().__init__(f"{version} has the content {received} here and {current} elsewhere")


class EditRejectedError(ReplicatedConfigError):
    """An edit of a list that no member could take in."""

    remedy = "Say it again within that bound; the list is as it was."

    def __init__(self, key: object, reason: str) -> None:
        """What it was to be said of."""
        super().__init__(f"nothing was said of {key}: {reason}")


class StateUnreadableError(ReplicatedConfigError):
    """What was kept of the last version acted on cannot be read: going on might go back."""

    remedy = (
        "Put the file back from this machine's own disk, or take the whole folder away: the sender then begins as a "
        "new one, which votes only once a new document names it."
    )

    def __init__(self, path: object, reason: str) -> None:
        """The file, and what is wrong with it."""
        super().__init__(f"{path} cannot be read: {reason}")


class RevisionTakenError(ReplicatedConfigError):
    """A proposal under a number that is taken."""

    remedy = "Give it a revision higher than that, and propose it again; nothing was changed."

    def __init__(self, current: object, proposed: object) -> None:
        """Both as versions."""
        super().__init__(f"{proposed} is proposed, and {current} has been prepared already")


class NotLeaderError(ReplicatedConfigError):
    """Proposals are taken by one voter alone: two would give one number twice."""

    remedy = "Propose it there; while that sender is away, what is in force stays."

    def __init__(self, leader: str) -> None:
        """Its name."""
        super().__init__(f"proposals are taken by {leader}, the first of fleet.agreed.voters")


class VoterNotEnrolledError(ReplicatedConfigError):
    """A sender named as a voter whose folder has another id, or whose id nobody wrote down yet."""

    remedy = (
        "If all senders start for the first time, write that id into fleet.agreed.voters at each. If the folder was "
        "emptied, put it back; this sender follows the others until then, and must not vote under its old id."
    )

    def __init__(self, name: str, folder_id: str, listed_id: str) -> None:
        """The ids of its folder and in the list."""
        super().__init__(
            f"{name} is no voter: its folder has the id {folder_id}, fleet.agreed.voters {listed_id or 'none'}"
        )


class StateWriteError(ReplicatedConfigError):
    """The state folder does not take it."""

    remedy = "Make room in GW_STATE, or mend its rights, and propose it again; nothing was changed."

    def __init__(self, reason: str) -> None:
        """What the system said."""
        super().__init__(f"the document can't be kept: {reason}")


class NotReadyError(ReplicatedConfigError):
    """Who takes proposals has not read its folder yet, or lets go of it."""

    remedy = "Propose it again once its log has said that it has begun; nothing was changed."

    def __init__(self, name: str) -> None:
        """Its name."""
        super().__init__(f"{name} is starting or stopping")
