"""The capture of one sender: on or off, cut, asked about.  Imported only where the operator's settings ask for it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from kestreltrack.admin.command_socket import CommandRejectedError
from kestreltrack.capture.pseudonyms import InvalidKeyError, Pseudonyms, read_key_file
from kestreltrack.capture.recorder import Recorder
from kestreltrack.capture.writer import Writer
from kestreltrack.config.operator_tables import CaptureTable
from kestreltrack.config.sender import ConfigError, SenderConfig
from kestreltrack.decision import Policy
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.telemetry import Telemetry


class RecordingController:
    """Puts a witness between desk and module, and takes it away again."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        policy: Policy,
        table: CaptureTable,
        config: SenderConfig,
        telemetry: Telemetry,
    ) -> None:
        """Off; raises `ConfigError` where the folder is the one that the platform counts."""
        self._dispatcher, self._policy, self._table = dispatcher, policy, table
        self._name, self._telemetry = config.name, telemetry
        self._recorder: Recorder | None = None
        try:
            self._pseudonyms = Pseudonyms(read_key_file(Path(table.key_file))) if table.key_file else None
        except InvalidKeyError as bad:
            raise ConfigError(f"capture.key_file: {bad}") from None
        folder = Path(table.folder).resolve()
        if table.folder and folder.is_relative_to(config.state.resolve()):
            raise ConfigError(f"capture.folder: {folder} lies in GW_STATE, which the platform limits")

    def commands(self) -> dict[str, Any]:
        """For the admin socket."""
        return {
            "capture.start": self.start,
            "capture.stop": self.stop,
            "capture.cut": self.start_new_file,
            "capture.status": self.status,
        }

    def start(self) -> dict[str, Any]:
        """Begin, from the module's state at the next decision."""
        if not self._table.folder:
            raise CommandRejectedError("capture.folder is not set")
        if self._recorder is None:
            writer = Writer(
                Path(self._table.folder),
                int(self._table.most_mb * 1e6),
                self._table.most_age_s,
                lambda text: self._telemetry.record_fault("capture.write_failed", error=text),
            )
            self._recorder = Recorder(
                self._policy,
                writer,
                self._telemetry,
                self._name,
                self._table.whole,
                int(self._table.file_mb * 1e6),
                self._pseudonyms,
            )
            self._dispatcher.decider = self._recorder
        return self.status()

    def stop(self) -> dict[str, Any]:
        """Write what there is, and end."""
        if self._recorder is not None:
            witness, self._recorder = self._recorder, None
            self._dispatcher.decider = self._policy
            witness.close(self._dispatcher.clock())
        return self.status()

    def start_new_file(self) -> dict[str, Any]:
        """Have a fresh file begin at the next decision."""
        if self._recorder is None:
            raise CommandRejectedError("there is no capture")
        self._recorder.start_new_file()
        return self.status()

    def status(self) -> dict[str, Any]:
        """What is going on."""
        folder = Path(self._table.folder) if self._table.folder else None
        sizes = [file.stat().st_size for file in folder.glob("capture-*.ktc")] if folder else []
        counters = self._telemetry.counters
        return {
            "on": self._recorder is not None,
            "folder": str(folder) if folder else None,
            "records": self._recorder.record_count() if self._recorder else 0,
            "hashed": self._pseudonyms is not None,
            "broken": self._recorder.writer.needs_new_file if self._recorder else False,
            "files": len(sizes),
            "bytes": sum(sizes),
            "lost_blocks": counters["capture.lost_blocks"],
            "not_written": counters["capture.write_failed"],
        }

    def mark(self, label: str) -> None:
        """Note what happened beside the module."""
        if self._recorder is not None:
            self._recorder.mark(self._dispatcher.clock(), label)
