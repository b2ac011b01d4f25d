"""Host of many instances of the decision module, which reads events and writes actions on the standard streams.

Run as ``python -m kestreltrack.simulator``.  Instances share only the numbered endpoint lists of the process.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from kestreltrack.config.settings import parse_settings
from kestreltrack.decision import EndpointEntry, Event
from kestreltrack.decision.policy import Policy
from kestreltrack.simulator import wire


class Instance:
    """One sender of the simulator: its policy, its load report fields and the events of the current batch."""

    def __init__(self, policy: Policy, report_fields: tuple[str, ...]) -> None:
        """Start with no events."""
        self.policy = policy
        self.report_fields = report_fields
        self.events: list[Event] = []


class Host:
    """Reads batches, steps the instances that have events, and writes one reply per batch."""

    def __init__(self, input_stream: TextIO, output_stream: TextIO) -> None:
        """Use these streams; nothing is read yet."""
        self.input_stream = input_stream
        self.output_stream = output_stream
        self.line_number = 0
        self.instances: dict[str, Instance] = {}
        self.endpoint_lists: dict[int, tuple[EndpointEntry, ...]] = {}

    def run(self) -> None:
        """Process batches until the input ends."""
        while (line := self._next_line()) is not None:
            if not line:
                continue
            message_name, fields = wire.parse_line(line)
            if message_name != "SYNC":
                raise wire.WireError(f"a batch begins with SYNC, not {message_name!r}")
            self._run_batch(wire.number_field("SYNC", fields, "timeMs"))

    def _next_line(self) -> str | None:
        line = self.input_stream.readline()
        if not line:
            return None
        self.line_number += 1
        return line.rstrip("\r\n")

    def _batch_lines(self) -> Iterator[str]:
        while True:
            line = self._next_line()
            if line is None:
                raise wire.WireError("the input ended inside a batch")
            if line == "EOB":
                return
            if line:
                yield line

    def _run_batch(self, now: float) -> None:
        replies: list[str] = []
        with_events: dict[str, None] = {}
        lines = self._batch_lines()
        for line in lines:
            message_name, fields = wire.parse_line(line)
            if message_name == "DEFINE_LIST":
                self._define_list(fields, lines)
                continue
            sender_id = wire.require_field(message_name, fields, "relayId")
            if message_name == "EXIT":
                # A killed instance loses the events of this batch and sends no reply to them.
                self.instances.pop(sender_id, None)
                with_events.pop(sender_id, None)
            elif message_name == "POWER_ON":
                with_events.pop(sender_id, None)
                self._start_instance(sender_id, fields, replies)
            elif (instance := self.instances.get(sender_id)) is not None:
                event = wire.parse_event(message_name, fields, self.endpoint_lists, instance.report_fields)
                if event is not None:
                    instance.events.append(event)
                    with_events[sender_id] = None
        for sender_id in with_events:
            self._step_instance(sender_id, now, replies)
        self.output_stream.write("".join(line + "\n" for line in replies) + "DONE\n")
        self.output_stream.flush()

    def _define_list(self, fields: wire.Fields, lines: Iterator[str]) -> None:
        list_number = int(wire.number_field("DEFINE_LIST", fields, "sheet"))
        entries = []
        for _ in range(int(wire.number_field("DEFINE_LIST", fields, "membersList"))):
            message_name, item_fields = wire.parse_line(next(lines, ""))
            if message_name != "ITEM":
                raise wire.WireError(f"a list holds ITEM lines, not {message_name!r}")
            entries.append(wire.parse_entry(item_fields))
        self.endpoint_lists[list_number] = tuple(entries)

    def _start_instance(self, sender_id: str, fields: wire.Fields, replies: list[str]) -> None:
        seed = int(wire.number_field("POWER_ON", fields, "rngSeed"))
        text = wire.require_field("POWER_ON", fields, "settings")
        self.instances.pop(sender_id, None)
        try:
            settings, report_fields = parse_settings(wire.parse_settings_text(text))
            self.instances[sender_id] = Instance(Policy(settings, seed), report_fields)
        except Exception as error:  # the protocol reports every failure of the decision code
            replies.append(format_crash(sender_id, error))

    def _step_instance(self, sender_id: str, now: float, replies: list[str]) -> None:
        instance = self.instances[sender_id]
        events, instance.events = instance.events, []
        try:
            replies.extend(
                wire.format_action(sender_id, action) for action in instance.policy.step(now, events)
            )
        except Exception as error:  # reported as above; the other instances continue
            del self.instances[sender_id]
            replies.append(format_crash(sender_id, error))


def format_crash(sender_id: str, error: Exception) -> str:
    """Return the line that reports a failed instance: exception type and message."""
    return f"CRASH relayId={sender_id} msg={type(error).__name__}: {' '.join(str(error).split())}"


def main() -> int:
    """Run the host on the standard streams and return the exit code.

    Malformed input ends it with one line on standard error and code 1.
    """
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except wire.WireError as error:
        print(f"line {host.line_number}: {error}", file=sys.stderr)
        return 1
    return 0
