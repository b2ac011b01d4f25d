"""Addresses of the form ``host:port``."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Host and port of ``host:port``."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
