"""What operators may ask of a running sender.

`command_socket` takes commands on a Unix socket, one JSON line each way, from whoever may open the socket's file;
`command_client` sends one.  `http_listener` serves the operators' HTTP calls, and `http_api` is what they mean.
"""

from kestreltrack.admin.errors import AdminError, CommandRejectedError, InvalidResponseError

__all__ = ["AdminError", "CommandRejectedError", "InvalidResponseError"]
