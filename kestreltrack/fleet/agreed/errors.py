"""What can be wrong with what a fleet agrees on; each says what an operator can do."""

from __future__ import annotations


class AgreedError(Exception):
    """Something is not taken, and what was in force stays; `remedy` is what an operator can do."""

    remedy = "Nothing was changed."

    def __str__(self) -> str:
        """What is wrong, then the way out."""
        return f"{super().__str__()}. {self.remedy}"


class DocumentFaulty(AgreedError):
    """A document that fails its schema or a rule of its own; `key` is where."""

    remedy = "Mend that key and propose the document again; the one before it stays in force as a whole."

    def __init__(self, key: str, why: str) -> None:
        """`key` with dots, empty for the document as a whole."""
        super().__init__(f"the document is faulty at {key or 'its top'}: {why}")
        self.key, self.why = key, why


class RevisionWentBack(AgreedError):
    """What was read is older than what was acted on: a store that was wiped, or restored from a backup."""

    remedy = (
        "Check whether the store was wiped or restored from a backup; if so, propose the document that is to hold "
        "with an epoch one higher. Until then senders act on what they have."
    )

    def __init__(self, held: object, found: object) -> None:
        """Both as versions."""
        super().__init__(f"the store has {found}, older than {held}, which was acted on")


class EpochOld(RevisionWentBack):
    """A word from before the store was declared anew."""

    remedy = "End the process or command that still uses the old epoch, and have it read the store again."


class RevisionTwice(AgreedError):
    """Two contents under one version: two stores are taken for one."""

    remedy = (
        "Make sure that all senders read one store (the same members and prefix); then propose the document that is "
        "to hold with an epoch one higher."
    )

    def __init__(self, version: object, held: str, found: str) -> None:
        """Both as content hashes."""
        super().__init__(f"{version} has the content {found} here and {held} elsewhere")


class EditRefused(AgreedError):
    """An edit of a list that no member could take in."""

    remedy = "Say it again within that bound; the list is as it was."

    def __init__(self, key: object, why: str) -> None:
        """What it was to be said of."""
        super().__init__(f"nothing was said of {key}: {why}")


class KeptUnreadable(AgreedError):
    """What was kept of the last version acted on cannot be read: going on might go back."""

    remedy = (
        "Put the file back from this machine's own disk, or take the whole folder away: the sender then begins as a "
        "new one, which votes only once a new document names it."
    )

    def __init__(self, path: object, why: str) -> None:
        """The file, and what is wrong with it."""
        super().__init__(f"{path} cannot be read: {why}")


class ProposalOld(AgreedError):
    """A proposal under a number that is taken."""

    remedy = "Give it a revision higher than that, and propose it again; nothing was changed."

    def __init__(self, held: object, found: object) -> None:
        """Both as versions."""
        super().__init__(f"{found} is proposed, and {held} has been prepared already")


class NotTheKeeper(AgreedError):
    """Proposals are taken by one voter alone: two would give one number twice."""

    remedy = "Propose it there; while that sender is away, what is in force stays."

    def __init__(self, keeper: str) -> None:
        """Its name."""
        super().__init__(f"proposals are taken by {keeper}, the first of fleet.agreed.voters")


class NotEnrolled(AgreedError):
    """A sender named as a voter whose folder has another id, or whose id nobody wrote down yet."""

    remedy = (
        "If all senders start for the first time, write that id into fleet.agreed.voters at each. If the folder was "
        "emptied, put it back; this sender follows the others until then, and must not vote under its old id."
    )

    def __init__(self, name: str, here: str, listed: str) -> None:
        """The ids of its folder and in the list."""
        super().__init__(
            f"{name} is no voter: its folder has the id {here}, fleet.agreed.voters {listed or 'none'}"
        )


class NotKept(AgreedError):
    """The state folder does not take it."""

    remedy = "Make room in GW_STATE, or mend its rights, and propose it again; nothing was changed."

    def __init__(self, why: str) -> None:
        """What the system said."""
        super().__init__(f"the document can't be kept: {why}")


class NotReady(AgreedError):
    """Who takes proposals has not read its folder yet, or lets go of it."""

    remedy = "Propose it again once its log has said that it has begun; nothing was changed."

    def __init__(self, name: str) -> None:
        """Its name."""
        super().__init__(f"{name} is starting or stopping")
