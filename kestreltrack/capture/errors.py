"""The base class of the errors raised while captures are read, written or evaluated."""

from __future__ import annotations


class CaptureError(Exception):
    """A capture, or a request about one, is not valid; the text says why."""
