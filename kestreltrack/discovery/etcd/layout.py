"""The layout of keys: `PREFIXendpoints/UID` for an endpoint, `PREFIXsenders/NAME` for a registered sender.

The value of an endpoint's key is its entry in the platform's JSON format (`discovery.json_format`).  The uid is taken
from the key; a uid in the value is ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import orjson

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery.etcd.watch_types import KeyChange, PrefixUpdate
from kestreltrack.discovery.json_format import EndpointFormatError, parse_endpoint
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry

# An entry has about 150 bytes; decoding a much larger value would block the event loop.
MAX_VALUE_BYTES = 64 * 1024


def endpoints_prefix(prefix: str) -> str:
    """Return the prefix of the endpoints' keys."""
    return f"{prefix}endpoints/"


def senders_prefix(prefix: str) -> str:
    """Return the prefix of the registered senders' keys."""
    return f"{prefix}senders/"


def decode_entry(uid: str, value: bytes) -> ListedEndpoint:
    """Decode the endpoint with `uid` from the value of its key.

    Raises:
        EndpointFormatError: The uid or the value is malformed; the message says why.
    """
    if not uid or "/" in uid or not uid.isprintable():
        raise EndpointFormatError("the key has no valid uid")
    if len(value) > MAX_VALUE_BYTES:
        raise EndpointFormatError(f"{len(value)} bytes exceed the limit of {MAX_VALUE_BYTES}")
    try:
        row = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise EndpointFormatError(str(error)) from error
    if not isinstance(row, dict):
        raise EndpointFormatError("the value is not a JSON object")
    return parse_endpoint({**row, "uid": uid})


def encode_entry(row: dict[str, Any]) -> bytes:
    """Encode an entry in the platform's format as the value of its key.

    Raises:
        EndpointFormatError: The entry is malformed: `decode_entry` would reject the value.
    """
    fields = {name: value for name, value in row.items() if name != "uid"}
    value = orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)
    decode_entry(str(row.get("uid", "")), value)
    return value


@dataclass(frozen=True, slots=True)
class _DecodedEntry:
    """The result of decoding a value: an endpoint, or `None` if the value is malformed."""

    value: bytes | None
    endpoint: ListedEndpoint | None


class DirectoryView:
    """The endpoints decoded from the keys; a malformed value leaves the endpoint's last valid state in effect."""

    def __init__(self, prefix: str, telemetry: Telemetry) -> None:
        """Create an empty view of the directory under `prefix`."""
        self._key_prefix = endpoints_prefix(prefix).encode()
        self._telemetry = telemetry
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._decoded: dict[bytes, _DecodedEntry] = {}

    def decode_page(self, changes: tuple[KeyChange, ...]) -> None:
        """Decode the entries of a page in advance, so that `apply` need not decode all pages at once."""
        for change in changes:
            self._decoded[change.key] = _DecodedEntry(change.value, self._decode(change))

    def apply(self, update: PrefixUpdate) -> EndpointListUpdate:
        """Apply an update of the keys; return the complete list, or its changes in order."""
        if update.complete:
            return self._replace_all(update)
        changes = [self._apply_change(change) for change in update.changes]
        endpoints = tuple(endpoint for endpoint in changes if endpoint is not None)
        return EndpointListUpdate(update.revision, False, endpoints)

    def _replace_all(self, update: PrefixUpdate) -> EndpointListUpdate:
        previous = self._endpoints
        self._endpoints = {}
        for change in update.changes:
            decoded = self._decoded.get(change.key)
            if decoded is not None and decoded.value is change.value:
                endpoint = decoded.endpoint
            else:
                endpoint = self._decode(change)
            if endpoint is None:
                endpoint = previous.get(self._uid(change))
            if endpoint is not None and endpoint.state is not EndpointLifecycle.REMOVED:
                self._endpoints[endpoint.uid] = endpoint
        self._decoded = {}
        return EndpointListUpdate(update.revision, True, tuple(self._endpoints.values()))

    def _apply_change(self, change: KeyChange) -> ListedEndpoint | None:
        """Apply the change of one key; return the endpoint in its new state, or `None` if nothing changes."""
        uid = self._uid(change)
        previous = self._endpoints.get(uid)
        endpoint = None if change.value is None else self._decode(change)
        if change.value is not None and endpoint is None:
            return None  # malformed: the last valid state stays in effect
        if endpoint is None or endpoint.state is EndpointLifecycle.REMOVED:
            self._endpoints.pop(uid, None)
            return replace(previous, state=EndpointLifecycle.REMOVED) if previous else None
        self._endpoints[uid] = endpoint
        return endpoint

    def _uid(self, change: KeyChange) -> str:
        return change.key.removeprefix(self._key_prefix).decode(errors="replace")

    def _decode(self, change: KeyChange) -> ListedEndpoint | None:
        try:
            return decode_entry(self._uid(change), change.value or b"")
        except EndpointFormatError as error:
            key = change.key.decode(errors="replace")
            self._telemetry.record_fault("discovery.etcd.malformed", key=key, error=str(error))
            return None
