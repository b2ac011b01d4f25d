"""Serves the admin socket.

The length of a request, the idle time and the number of connections are bounded; an exception in a command does not
end the sender.

→ {"command": "capture.status"}          plus "argument" for a command that takes one
← {"on": true, …}          or   ← {"error": "…"}
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import stat
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import orjson

from kestreltrack.admin.errors import CommandRejectedError
from kestreltrack.telemetry import Telemetry

__all__ = ["AdminSocket", "Command", "CommandRejectedError", "CommandRequest"]

# Well above any command with its argument.
MAX_LINE_BYTES = 4096
# Enough for a few operators and some connections that were left open.
MAX_CONNECTIONS = 8
IDLE_TIMEOUT_S = 30.0
# Only the owner may open the socket file.
SOCKET_UMASK = 0o177

# Called with the argument if the request has one; returns the response, or raises `CommandRejectedError`.
Command = Callable[..., dict[str, Any]]


class CommandRequest(msgspec.Struct, forbid_unknown_fields=True):
    """One request: a line of JSON from the client."""

    command: str
    argument: str = ""


class AdminSocket:
    """Serves commands on a Unix socket that only its owner may open."""

    def __init__(self, path: Path, commands: Mapping[str, Command], telemetry: Telemetry) -> None:
        """Create the server; `open` starts listening."""
        self.path = path
        self.commands = commands
        self.telemetry = telemetry
        self._server: asyncio.Server | None = None
        self._connections = set[asyncio.StreamWriter]()

    async def open(self) -> None:
        """Start listening.

        Raises:
            OSError: The socket cannot be bound to the path, or another process listens on it.
        """
        self._remove_stale_socket()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        # The umask applies at creation: a later chmod would leave an interval in which others could open the file.
        previous_umask = os.umask(SOCKET_UMASK)
        try:
            listener.bind(str(self.path))
        except OSError:
            listener.close()
            raise
        finally:
            os.umask(previous_umask)
        self._server = await asyncio.start_unix_server(
            self._serve_connection, sock=listener, limit=MAX_LINE_BYTES
        )

    def _remove_stale_socket(self) -> None:
        """Remove the socket file of a killed process; raise `OSError` for any other file and for a socket in use."""
        try:
            mode = self.path.lstat().st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise FileExistsError(errno.EEXIST, "the path exists and is not a socket", str(self.path))
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(str(self.path))
            except OSError:
                self.path.unlink()
                return
        raise OSError(errno.EADDRINUSE, "another process listens on this socket", str(self.path))

    def close(self) -> None:
        """Stop listening, abort all connections and remove the socket file."""
        if self._server is None:
            return
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()
        with suppress(OSError):
            self.path.unlink()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            self.telemetry.count("admin.evicted")
            writer.close()
            return
        self._connections.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, TimeoutError):
            # The client closed or reset the connection, or sent nothing for too long.
            pass
        except ValueError:
            # Raised by the reader for a line that exceeds its limit.
            self.telemetry.record_fault("admin.bad_request", error=f"more than {MAX_LINE_BYTES} bytes")
            with suppress(OSError):
                _write_response(writer, {"error": f"a line may have at most {MAX_LINE_BYTES} bytes"})
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests in order until the client closes the connection or is idle for too long."""
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                _write_response(writer, self._run_command(line))
                await writer.drain()

    def _run_command(self, line: bytes) -> dict[str, Any]:
        """Run the command of one request line and return the response."""
        try:
            request = msgspec.json.decode(line, type=CommandRequest)
        except msgspec.MsgspecError as error:
            self.telemetry.record_fault("admin.bad_request", error=str(error))
            return {"error": str(error)}
        command = self.commands.get(request.command)
        if command is None:
            self.telemetry.record_fault("admin.bad_request", error=f"unknown command {request.command!r}")
            return {"error": f"unknown command; known commands: {', '.join(sorted(self.commands))}"}
        try:
            response = command(request.argument) if request.argument else command()
        except CommandRejectedError as error:
            return {"error": str(error)}
        except Exception as error:  # the sender must go on serving its clients
            self.telemetry.record_fault("admin.fault", error=repr(error), command=request.command)
            return {"error": "internal error; see the sender's log"}
        self.telemetry.log("admin", command=request.command)
        return response


def _write_response(writer: asyncio.StreamWriter, response: dict[str, Any]) -> None:
    writer.write(orjson.dumps(response, default=str) + b"\n")
