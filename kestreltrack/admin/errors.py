"""The errors of the operators' commands and calls."""

from __future__ import annotations


class AdminError(Exception):
    """An operator's command or call was not carried out; the text says why."""


class CommandRejectedError(AdminError):
    """The command cannot be carried out now; the text goes to the operator."""


class InvalidResponseError(AdminError, ValueError):
    """The running sender's answer to a command cannot be read; its log may say why."""
