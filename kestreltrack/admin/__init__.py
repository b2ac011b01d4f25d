"""The admin interfaces of a running sender: commands on a Unix socket, and an HTTP API.

`command_socket` serves commands on a Unix socket, one JSON line per request and per response, to whoever has
permission to open the socket file; `command_client` sends a command.  `http_listener` accepts the HTTP requests of
operators, and `http_api` carries them out.
"""

from kestreltrack.admin.errors import AdminError, CommandRejectedError, InvalidResponseError

__all__ = ["AdminError", "CommandRejectedError", "InvalidResponseError"]
