"""The base of the errors that reading, writing and evaluating captures raises."""

from __future__ import annotations


class CaptureError(Exception):
    """A capture, or what was asked of one, is not usable; the text says why."""
