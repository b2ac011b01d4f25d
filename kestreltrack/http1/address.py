"""Addresses of the form ``host:port``."""

from __future__ import annotations

from kestreltrack.http1.errors import InvalidAddressError

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port; the brackets of an IPv6 address are removed.

    Raises:
        InvalidAddressError: The address is not of this form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise InvalidAddressError(address)
    return host.strip("[]"), int(port)
