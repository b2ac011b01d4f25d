"""Parses the JSON form in which the platform publishes the endpoint list.

| field | attribute of `ListedEndpoint` |
| --- | --- |
| `uid` | `uid` |
| `endpoint` | `address`, as `host:port` |
| `pod_group` | `dest` |
| `model` | `kind` |
| `az` | `zone`, optional |
| `state` | `state`: `up`, `draining` or `removed` |
| `capacity_hint` | `rate`, optional |
| `boot_ms` | `started_ms`, optional |

An update is an object with `rev`, `all` (whether the list is complete) and `targets`.
"""

from __future__ import annotations

import math
import sys
from typing import Any, TypeVar

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.http1 import split_address
from kestreltrack.ports import DiscoveryError, ListedEndpoint

T = TypeVar("T")


class EndpointFormatError(DiscoveryError, ValueError):
    """An endpoint or a list does not have the platform's format; the message names the invalid field."""


class TooManyChangesError(EndpointFormatError):
    """There are more changes at once than the memory holds: the complete list has to be requested."""


def _typed_field(row: Any, key: str, kind: type[T], default: T | None = None) -> T:
    """Return a field of the expected type; integers are accepted as floats, booleans are not accepted as numbers."""
    value = row.get(key, default) if isinstance(row, dict) else None
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise EndpointFormatError(f"endpoint list: {key} is missing or has the wrong type: {value!r}")
    if isinstance(value, float) and not math.isfinite(value):
        raise EndpointFormatError(f"endpoint list: {key} is not finite")
    return value


def parse_endpoint(row: Any) -> ListedEndpoint:
    """Return the endpoint described by one decoded entry of the list.

    Raises:
        EndpointFormatError: A field is missing, has the wrong type, or has an invalid value.
    """
    address = _typed_field(row, "endpoint", str)
    state = _typed_field(row, "state", str)
    try:
        split_address(address)
        lifecycle = EndpointLifecycle(state)
    except ValueError as error:
        raise EndpointFormatError(str(error)) from error
    started_ms = _typed_field(row, "boot_ms", float) if row.get("boot_ms") is not None else None
    endpoint = ListedEndpoint(
        uid=_typed_field(row, "uid", str),
        address=address,
        dest=_typed_field(row, "pod_group", int),
        # Many endpoints share these two.
        kind=sys.intern(_typed_field(row, "model", str)),
        zone=sys.intern(_typed_field(row, "az", str, "")),
        state=lifecycle,
        rate=_typed_field(row, "capacity_hint", float, 1.0),
    )
    return endpoint.with_start(started_ms)


def parse_revision(document: Any) -> int:
    """Return the revision of a decoded document; raises `EndpointFormatError`."""
    return _typed_field(document, "rev", int)


def parse_complete(document: Any) -> bool:
    """Return whether a decoded document has the complete list; raises `EndpointFormatError`."""
    return _typed_field(document, "all", bool)
