"""The capture of one sender: on or off, cut, asked about.  Imported only where the operator's settings ask for it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from kestreltrack.admin.server import Refused
from kestreltrack.capture.names import BadKey, Names, key_of
from kestreltrack.capture.witness import Witness
from kestreltrack.capture.writer import Writer
from kestreltrack.config.node import ConfigError, NodeConfig
from kestreltrack.config.operator import CaptureTable
from kestreltrack.decision import Policy
from kestreltrack.sender.desk import Desk
from kestreltrack.telemetry import Telemetry


class Capturing:
    """Puts a witness between desk and module, and takes it away again."""

    def __init__(
        self, desk: Desk, policy: Policy, table: CaptureTable, config: NodeConfig, telemetry: Telemetry
    ) -> None:
        """Off; raises `ConfigError` where the folder is the one that the platform counts."""
        self._desk, self._policy, self._table = desk, policy, table
        self._name, self._telemetry = config.name, telemetry
        self._witness: Witness | None = None
        try:
            self._names = Names(key_of(Path(table.key_file))) if table.key_file else None
        except BadKey as bad:
            raise ConfigError(f"capture.key_file: {bad}") from None
        folder = Path(table.folder).resolve()
        if table.folder and folder.is_relative_to(config.state.resolve()):
            raise ConfigError(f"capture.folder: {folder} lies in GW_STATE, which the platform limits")

    def commands(self) -> dict[str, Any]:
        """For the admin socket."""
        return {
            "capture.start": self.start,
            "capture.stop": self.stop,
            "capture.cut": self.cut,
            "capture.status": self.status,
        }

    def start(self) -> dict[str, Any]:
        """Begin, from the module's state at the next decision."""
        if not self._table.folder:
            raise Refused("capture.folder is not set")
        if self._witness is None:
            writer = Writer(
                Path(self._table.folder),
                int(self._table.most_mb * 1e6),
                self._table.most_age_s,
                lambda text: self._telemetry.trouble("capture.not_written", error=text),
            )
            self._witness = Witness(
                self._policy,
                writer,
                self._telemetry,
                self._name,
                self._table.whole,
                int(self._table.file_mb * 1e6),
                self._names,
            )
            self._desk.decider = self._witness
        return self.status()

    def stop(self) -> dict[str, Any]:
        """Write what there is, and end."""
        if self._witness is not None:
            witness, self._witness = self._witness, None
            self._desk.decider = self._policy
            witness.close(self._desk.clock())
        return self.status()

    def cut(self) -> dict[str, Any]:
        """Have a fresh file begin at the next decision."""
        if self._witness is None:
            raise Refused("there is no capture")
        self._witness.cut()
        return self.status()

    def status(self) -> dict[str, Any]:
        """What is going on."""
        folder = Path(self._table.folder) if self._table.folder else None
        sizes = [file.stat().st_size for file in folder.glob("capture-*.ktc")] if folder else []
        counters = self._telemetry.counters
        return {
            "on": self._witness is not None,
            "folder": str(folder) if folder else None,
            "records": self._witness.records() if self._witness else 0,
            "hashed": self._names is not None,
            "broken": self._witness.writer.broken if self._witness else False,
            "files": len(sizes),
            "bytes": sum(sizes),
            "lost_blocks": counters["capture.lost_blocks"],
            "not_written": counters["capture.not_written"],
        }

    def mark(self, what: str) -> None:
        """Note what happened beside the module."""
        if self._witness is not None:
            self._witness.mark(self._desk.clock(), what)
