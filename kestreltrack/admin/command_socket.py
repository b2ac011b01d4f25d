"""Serves the admin socket.  Input is bounded in length, time and number of connections; a fault ends no sender.

→ {"command": "capture.status"}          with "argument" for a command that takes one
← {"on": true, …}          or   ← {"error": "…"}
"""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import orjson

from kestreltrack.telemetry import Telemetry

MAX_LINE_BYTES = 4096
MAX_CONNECTIONS = 8
IDLE_TIMEOUT_S = 30.0

Command = Callable[..., dict[str, Any]]


class CommandRequest(msgspec.Struct, forbid_unknown_fields=True):
    """One line."""

    command: str
    argument: str = ""


class CommandRejectedError(Exception):
    """The command cannot be carried out now; the text goes to who asked."""


class AdminSocket:
    """A Unix socket that only its owner may open."""

    def __init__(self, path: Path, commands: Mapping[str, Command], telemetry: Telemetry) -> None:
        """Nothing is opened before `open`."""
        self.path, self.commands, self.telemetry = path, commands, telemetry
        self._server: asyncio.Server | None = None
        self._connections = set[asyncio.StreamWriter]()

    async def open(self) -> None:
        """Listen; raises `OSError`, also where another process listens there."""
        self._remove_stale_socket()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        before = os.umask(0o177)  # nobody may slip in before the mode is set
        try:
            listener.bind(str(self.path))
        except OSError:
            listener.close()
            raise
        finally:
            os.umask(before)
        self._server = await asyncio.start_unix_server(
            self._serve_connection, sock=listener, limit=MAX_LINE_BYTES
        )

    def _remove_stale_socket(self) -> None:
        """Take away what a killed process left; never a file of another kind, nor one that is in use."""
        try:
            if not stat.S_ISSOCK(self.path.lstat().st_mode):
                raise FileExistsError(17, "there is a file of another kind", str(self.path))
        except FileNotFoundError:
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(str(self.path))
            except OSError:
                self.path.unlink()
                return
        raise OSError(98, "another process listens there", str(self.path))

    def close(self) -> None:
        """End all, and take the socket away."""
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
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    line = await reader.readline()
                    if not line.endswith(b"\n"):
                        return
                    writer.write(orjson.dumps(self._run_command(line), default=str) + b"\n")
                    await writer.drain()
        except (OSError, TimeoutError):
            pass
        except ValueError:  # a line without end
            self.telemetry.record_fault("admin.bad_request", error=f"more than {MAX_LINE_BYTES} bytes")
            with suppress(OSError):
                writer.write(orjson.dumps({"error": f"a line holds {MAX_LINE_BYTES} bytes at most"}) + b"\n")
        finally:
            self._connections.discard(writer)
            writer.close()

    def _run_command(self, line: bytes) -> dict[str, Any]:
        try:
            order = msgspec.json.decode(line, type=CommandRequest)
        except msgspec.MsgspecError as bad:
            self.telemetry.record_fault("admin.bad_request", error=str(bad))
            return {"error": str(bad)}
        command = self.commands.get(order.command)
        if command is None:
            self.telemetry.record_fault("admin.bad_request", error=f"unknown command {order.command!r}")
            return {"error": f"unknown command; there are {', '.join(sorted(self.commands))}"}
        try:
            answer = command(order.argument) if order.argument else command()
        except CommandRejectedError as bad:
            return {"error": str(bad)}
        except Exception as bad:  # a fault of a command must not end the process that owes answers
            self.telemetry.record_fault("admin.fault", error=repr(bad), command=order.command)
            return {"error": "internal error; the sender's log tells more"}
        self.telemetry.log("admin", command=order.command)
        return answer
