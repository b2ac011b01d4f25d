"""Serves the admin socket.

Input is bounded in length, time and number of connections; a fault of a command does not end the sender.

→ {"command": "capture.status"}          with "argument" for a command that takes one
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

# A command and its argument are far shorter.
MAX_LINE_BYTES = 4096
# A few operators, and some that have forgotten to close.
MAX_CONNECTIONS = 8
IDLE_TIMEOUT_S = 30.0
# Only the owner may open the socket's file.
SOCKET_UMASK = 0o177

# Takes the argument where the request has one, and returns the answer; may raise `CommandRejectedError`.
Command = Callable[..., dict[str, Any]]


class CommandRequest(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a client."""

    command: str
    argument: str = ""


class AdminSocket:
    """A Unix socket that only its owner may open, and the commands it serves."""

    def __init__(self, path: Path, commands: Mapping[str, Command], telemetry: Telemetry) -> None:
        """Remember the path; nothing is opened before `open`."""
        self.path = path
        self.commands = commands
        self.telemetry = telemetry
        self._server: asyncio.Server | None = None
        self._connections = set[asyncio.StreamWriter]()

    async def open(self) -> None:
        """Listen.

        Raises:
            OSError: The path cannot be listened on, or another process does.
        """
        self._remove_stale_socket()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        # The file has its mode from the first: nobody can open it before.
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
        """Remove the file that a killed process left; never a file of another kind, nor one that is in use."""
        try:
            mode = self.path.lstat().st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise FileExistsError(errno.EEXIST, "there is a file of another kind", str(self.path))
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(str(self.path))
            except OSError:
                self.path.unlink()
                return
        raise OSError(errno.EADDRINUSE, "another process listens there", str(self.path))

    def close(self) -> None:
        """End all connections, and remove the socket's file."""
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
            # From the reader: a line beyond its limit.
            self.telemetry.record_fault("admin.bad_request", error=f"more than {MAX_LINE_BYTES} bytes")
            with suppress(OSError):
                _write_response(writer, {"error": f"a line holds {MAX_LINE_BYTES} bytes at most"})
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one line after the other until the connection ends."""
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                _write_response(writer, self._run_command(line))
                await writer.drain()

    def _run_command(self, line: bytes) -> dict[str, Any]:
        """Return the answer to one line."""
        try:
            request = msgspec.json.decode(line, type=CommandRequest)
        except msgspec.MsgspecError as error:
            self.telemetry.record_fault("admin.bad_request", error=str(error))
            return {"error": str(error)}
        command = self.commands.get(request.command)
        if command is None:
            self.telemetry.record_fault("admin.bad_request", error=f"unknown command {request.command!r}")
            return {"error": f"unknown command; there are {', '.join(sorted(self.commands))}"}
        try:
            response = command(request.argument) if request.argument else command()
        except CommandRejectedError as error:
            return {"error": str(error)}
        except Exception as error:  # a fault of a command must not end the process that owes answers
            self.telemetry.record_fault("admin.fault", error=repr(error), command=request.command)
            return {"error": "internal error; the sender's log tells more"}
        self.telemetry.log("admin", command=request.command)
        return response


def _write_response(writer: asyncio.StreamWriter, response: dict[str, Any]) -> None:
    writer.write(orjson.dumps(response, default=str) + b"\n")
