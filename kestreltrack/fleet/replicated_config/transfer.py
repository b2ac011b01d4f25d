"""The transfer of a document from a voter in chunks.  No I/O."""

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

# Several round trips within a region; a chunk that has not arrived by then counts as lost.
CHUNK_RETRY_MS = 300.0


@dataclass(slots=True)
class DocumentTransfer:
    """A document that is being received from a voter.

    Attributes:
        voter_name: The voter from which the next chunk is requested.
        version: The version of the document.
        digest: Its versioned digest.
        response: The voter's response that listed the document; handled once all its documents have arrived.
        requested_at: When the last chunk was requested, in milliseconds of this sender's clock.
        data: The bytes received so far.
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
        """Append the next chunk and return whether the transfer is complete; an empty chunk also ends it."""
        self.data += chunk.data
        return len(self.data) >= chunk.document_bytes or not chunk.data

    def document(self, voter_name: str) -> ConfigDocument:
        """Return the document, whose last chunk came from `voter_name`.

        Raises:
            InvalidDocumentError: The bytes are not the document that the voter announced.
        """
        document = decode_document(bytes(self.data))
        if versioned_digest(document) != self.digest or document.version != self.version:
            raise InvalidDocumentError(
                "", f"the bytes received from {voter_name} do not match the digest {self.digest}"
            )
        return document
