"""Decodes the JSON form of an endpoint list while it is received.

Each entry is decoded as soon as it is complete, so that neither the whole text nor its decoded form is ever held:
only the endpoints are, and of these no more than the limit.  No I/O.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Container
from enum import Enum, auto

import orjson

from kestreltrack.discovery.endpoint_selection import EndpointSelection
from kestreltrack.discovery.json_format import (
    EndpointFormatError,
    TooManyChangesError,
    parse_complete,
    parse_endpoint,
    parse_revision,
)
from kestreltrack.discovery.json_text import TOKEN
from kestreltrack.ports import EndpointListUpdate

# The bytes that `decode_list` decodes at a time.
SLICE_BYTES = 16 * 1024
# Limit on one entry; those of the platform take less than 200 bytes.
MAX_ENTRY_BYTES = 16 * 1024
# Limit on everything outside of the entries.
MAX_OTHER_BYTES = 16 * 1024

# The name of the member that holds the entries.
ENTRIES_NAME = b'"targets"'

# Whether a string is a name of a member, and the beginning of a list as its value.
_LIST_BEGINS = re.compile(rb"\s*:\s*\[")
_UNDECIDED_LIST = re.compile(rb"\s*(?::\s*)?\Z")
# An entry without objects or lists in it, as those of the platform are.
_FLAT_ENTRY = re.compile(rb'\{(?:[^{}\[\]"]|"(?:[^"\\]|\\.)*")*+\}', re.DOTALL)
_SPACE = re.compile(rb"[ \t\r\n]*")


class _Part(Enum):
    """The part of the document that is received next."""

    BEFORE_ENTRIES = auto()
    ENTRIES = auto()
    AFTER_ENTRIES = auto()


class EndpointListDecoder:
    """Decodes one document; a second call of `begin` starts anew.

    Attributes:
        max_endpoints: The number of endpoints to keep of a complete list, or to accept as changes.
        wanted: Returns the destinations that are kept rather than others.
        received_bytes: The size of what was received of the document.
    """

    def __init__(self, max_endpoints: float = float("inf")) -> None:
        """Wait for the beginning of a document."""
        self.max_endpoints = max_endpoints
        self.wanted: Callable[[], Container[int]] = tuple
        self._is_list = False
        self._reset()

    def _reset(self) -> None:
        self.received_bytes = 0
        self._part = _Part.BEFORE_ENTRIES
        self._unread = bytearray()
        # What was read of the document except for its entries.
        self._other = bytearray()
        self._depth = 0
        self._needs_comma = False
        self._selection = EndpointSelection(self.max_endpoints, self.wanted())

    def begin(self, status: int) -> None:
        """Start with the body of a response, which holds a list only if its status is 200."""
        self._is_list = status == 200
        self._reset()

    def receive(self, data: bytes) -> None:
        """Take the next bytes of the body.

        Raises:
            EndpointFormatError: They cannot belong to a list, or an entry does not have the platform's format.
            ValueError: They are not valid JSON.
        """
        if not self._is_list:
            return
        self.received_bytes += len(data)
        self._unread += data
        if self._part is _Part.BEFORE_ENTRIES:
            self._read_before_entries()
        if self._part is _Part.ENTRIES:
            self._read_entries()
        if self._part is _Part.AFTER_ENTRIES:
            self._take_other(len(self._unread))
        elif len(self._unread) > MAX_ENTRY_BYTES:
            raise EndpointFormatError(f"endpoint list: an entry is larger than {MAX_ENTRY_BYTES} bytes")

    def finish(self) -> EndpointListUpdate:
        """Return the list or the changes after the end of the body.

        Raises:
            EndpointFormatError: The document does not have the platform's format.
            TooManyChangesError: There are more changes than `max_endpoints`.
            ValueError: The body is not valid JSON.
        """
        if self._part is _Part.ENTRIES:
            raise EndpointFormatError("endpoint list: it ends among its entries")
        document = orjson.loads(bytes(self._other + self._unread))
        if self._part is _Part.BEFORE_ENTRIES or document["targets"] != []:
            raise EndpointFormatError("endpoint list: targets is missing, occurs twice or is not a list")
        complete = parse_complete(document)
        if self._selection.omitted and not complete:
            raise TooManyChangesError(f"endpoint list: over {self.max_endpoints} changes at once")
        return EndpointListUpdate(
            parse_revision(document), complete, self._selection.endpoints(), self._selection.omitted
        )

    def _take_other(self, size: int) -> None:
        self._other += self._unread[:size]
        del self._unread[:size]
        if len(self._other) > MAX_OTHER_BYTES:
            raise EndpointFormatError(f"endpoint list: over {MAX_OTHER_BYTES} bytes outside of its entries")

    def _read_before_entries(self) -> None:
        """Read up to the bracket at which the entries begin."""
        unread = bytes(self._unread)
        read_until = len(unread)
        for token in TOKEN.finditer(unread):
            text = token.group()
            if token["open"] is not None:
                read_until = token.start()
                break
            if text in b"{[":
                self._depth += 1
            elif text in b"}]":
                self._depth -= 1
            elif self._depth == 1 and text == ENTRIES_NAME:
                if list_begins := _LIST_BEGINS.match(unread, token.end()):
                    self._take_other(list_begins.end())
                    self._other += b"]"
                    self._part = _Part.ENTRIES
                    return
                if _UNDECIDED_LIST.match(unread, token.end()):
                    read_until = token.start()
                    break
        self._take_other(read_until)

    def _read_entries(self) -> None:
        """Decode the complete entries that were received, and find the bracket at their end."""
        unread = self._unread
        position = 0
        while True:
            position = _skip_space(unread, position)
            next_byte = bytes(unread[position : position + 1])
            is_first = not self._selection.received
            if next_byte == b"]" and (self._needs_comma or is_first):
                del unread[: position + 1]
                self._part = _Part.AFTER_ENTRIES
                return
            if self._needs_comma:
                if next_byte not in (b"", b","):
                    raise EndpointFormatError("endpoint list: its entries are not separated by commas")
                if not next_byte:
                    break
                self._needs_comma = False
                position += 1
                continue
            if next_byte not in (b"", b"{"):
                raise EndpointFormatError("endpoint list: an entry is not an object")
            end = _entry_end(unread, position)
            if end is None:
                break
            self._selection.add(parse_endpoint(orjson.loads(unread[position:end])))
            self._needs_comma = True
            position = end
        del unread[:position]


def decode_list(text: bytes, max_endpoints: float = float("inf")) -> EndpointListUpdate:
    """Return the list in a text that is in memory already.

    Raises:
        EndpointFormatError: The document does not have the platform's format.
        ValueError: The text is not valid JSON.
    """
    decoder = EndpointListDecoder(max_endpoints)
    decoder.begin(200)
    for start in range(0, len(text), SLICE_BYTES):
        decoder.receive(text[start : start + SLICE_BYTES])
    return decoder.finish()


def _skip_space(data: bytearray, position: int) -> int:
    space = _SPACE.match(data, position)
    assert space
    return space.end()


def _entry_end(data: bytearray, start: int) -> int | None:
    """Return the end of the object that begins at `start`, or `None` if it is not complete."""
    if flat_entry := _FLAT_ENTRY.match(data, start):
        return flat_entry.end()
    depth = 0
    for token in TOKEN.finditer(data, start):
        text = token.group()
        if token["open"] is not None:
            return None
        if text in b"{[":
            depth += 1
        elif text in b"}]":
            depth -= 1
            if depth == 0:
                return token.end()
    return None
