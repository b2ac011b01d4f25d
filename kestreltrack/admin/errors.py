"""Errors of the admin interfaces."""

from __future__ import annotations


class AdminError(Exception):
    """A command or request of an operator was not carried out; the message gives the reason."""


class CommandRejectedError(AdminError):
    """The command cannot be carried out now; the message is sent to the operator."""


class InvalidResponseError(AdminError, ValueError):
    """The sender's response to a command cannot be parsed; the sender's log may give the reason."""
