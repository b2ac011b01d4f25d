"""The transfer of one document from a voter, chunk by chunk.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    decode_document,
    versioned_digest,
)
from kestreltrack.fleet.replicated_config.errors import InvalidDocumentError
from kestreltrack.fleet.replicated_config.protocol import NEVER
from kestreltrack.fleet.replicated_config.version import Version
from kestreltrack.fleet.replicated_config.wire import Chunk, ChunkRequest, LeaseResponsePacket

# Several round trips within a region; a datagram that has not arrived by then is lost.
CHUNK_RETRY_MS = 300.0


@dataclass(slots=True)
class DocumentTransfer:
    """A document that is being read from a voter.

    Attributes:
        voter_name: The voter that the next chunk is requested from.
        version: The version of the document.
        digest: Its versioned digest.
        response: The voter's response that named it; it is handled once all its documents are here.
        requested_at: When the last chunk was requested, in milliseconds of this sender's clock.
        data: The bytes that have arrived.
    """

    voter_name: str
    version: Version
    digest: str
    response: LeaseResponsePacket
    requested_at: float = NEVER
    data: bytearray = field(default_factory=bytearray)

    def continue_from(self, voter_name: str, response: LeaseResponsePacket) -> None:
        """Request the remaining chunks from another voter that has the same document."""
        self.voter_name = voter_name
        self.response = response

    def is_overdue(self, now: float) -> bool:
        """Return whether the last chunk has to be requested again."""
        return now >= self.requested_at + CHUNK_RETRY_MS

    def make_request(self, now: float) -> ChunkRequest:
        """Return the request for the next chunk."""
        self.requested_at = now
        return ChunkRequest(self.digest, len(self.data))

    def expects(self, chunk: Chunk) -> bool:
        """Return whether a chunk is the next one."""
        return chunk.digest == self.digest and chunk.offset == len(self.data)

    def append(self, chunk: Chunk) -> bool:
        """Add the next chunk, and return whether it was the last one; an empty chunk ends the transfer too."""
        self.data += chunk.data
        return len(self.data) >= chunk.document_bytes or not chunk.data

    def document(self, voter_name: str) -> ConfigDocument:
        """Return the document, the last chunk of which `voter_name` has sent.

        Raises:
            InvalidDocumentError: The bytes are not the document that the voter named.
        """
        document = decode_document(bytes(self.data))
        if versioned_digest(document) != self.digest or document.version != self.version:
            raise InvalidDocumentError("", f"what {voter_name} sent is not {self.digest}")
        return document
