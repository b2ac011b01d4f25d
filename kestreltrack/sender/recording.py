"""Starts and stops the capture of a running sender; imported only if the operator's settings enable it."""

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

BYTES_PER_MB = 1e6


class RecordingController:
    """Inserts a recorder between the dispatcher and the decision module, and removes it again."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        policy: Policy,
        table: CaptureTable,
        config: SenderConfig,
        telemetry: Telemetry,
    ) -> None:
        """Prepare a capture without starting it.

        Args:
            dispatcher: The dispatcher whose calls of the decision module are recorded.
            policy: The decision module.
            table: The operator's settings for captures.
            config: The settings that the platform gives.
            telemetry: Counts and logs.

        Raises:
            ConfigError: The key file cannot be used, or the capture folder is inside the state folder, whose size the
                platform limits.
        """
        self._dispatcher = dispatcher
        self._policy = policy
        self._table = table
        self._name = config.name
        self._telemetry = telemetry
        self._recorder: Recorder | None = None
        self._pseudonyms = _read_pseudonyms(table.key_file)
        folder = Path(table.folder).resolve()
        if table.folder and folder.is_relative_to(config.state.resolve()):
            raise ConfigError(f"capture.folder: {folder} is inside GW_STATE, whose size the platform limits")

    def commands(self) -> dict[str, Any]:
        """Return the handlers of the admin socket commands by command name."""
        return {
            "capture.start": self.start,
            "capture.stop": self.stop,
            "capture.cut": self.start_new_file,
            "capture.status": self.status,
        }

    def start(self) -> dict[str, Any]:
        """Start recording, unless it has started, and return the status.

        The capture begins with the state of the decision module at its next event or decision.

        Raises:
            CommandRejectedError: The settings name no folder.
        """
        if not self._table.folder:
            raise CommandRejectedError("capture.folder is not set")
        if self._recorder is None:
            self._recorder = self._build_recorder()
            self._dispatcher.decider = self._recorder
        return self.status()

    def _build_recorder(self) -> Recorder:
        writer = Writer(
            Path(self._table.folder),
            int(self._table.max_total_mb * BYTES_PER_MB),
            self._table.max_age_s,
            lambda text: self._telemetry.record_fault("capture.write_failed", error=text),
        )
        return Recorder(
            self._policy,
            writer,
            self._telemetry,
            self._name,
            self._table.full_actions,
            int(self._table.max_file_mb * BYTES_PER_MB),
            self._pseudonyms,
        )

    def stop(self) -> dict[str, Any]:
        """Stop recording, write the remaining records, and return the status."""
        if self._recorder is not None:
            recorder = self._recorder
            self._recorder = None
            self._dispatcher.decider = self._policy
            recorder.close(self._dispatcher.clock())
        return self.status()

    def start_new_file(self) -> dict[str, Any]:
        """Start a new file at the next decision, and return the status.

        Raises:
            CommandRejectedError: No capture is running.
        """
        if self._recorder is None:
            raise CommandRejectedError("no capture is running")
        self._recorder.start_new_file()
        return self.status()

    def status(self) -> dict[str, Any]:
        """Return whether a capture is running, its folder, and its counts and sizes."""
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
        """Record an event that is not visible to the decision module."""
        if self._recorder is not None:
            self._recorder.mark(self._dispatcher.clock(), label)


def _read_pseudonyms(key_file: str) -> Pseudonyms | None:
    if not key_file:
        return None
    try:
        return Pseudonyms(read_key_file(Path(key_file)))
    except InvalidKeyError as error:
        raise ConfigError(f"capture.key_file: {error}") from None
