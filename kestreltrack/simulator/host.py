"""Hosts many instances of the decision module on the wire: standard input to standard output.

Run as ``python -m kestreltrack.simulator``.  Instances share nothing but the process's numbered lists.
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
    """One relay of the simulator: its policy, its report fields and the events of the current batch."""

    def __init__(self, policy: Policy, report_fields: tuple[str, ...]) -> None:
        """Start with an empty batch."""
        self.policy = policy
        self.report_fields = report_fields
        self.events: list[Event] = []


class Host:
    """Reads batches, steps the instances that have events, writes one reply a batch."""

    def __init__(self, input_stream: TextIO, output_stream: TextIO) -> None:
        """Bind the two streams."""
        self.input_stream = input_stream
        self.output_stream = output_stream
        self.line_number = 0
        self.instances: dict[str, Instance] = {}
        self.endpoint_lists: dict[int, tuple[EndpointEntry, ...]] = {}

    def run(self) -> None:
        """Answer batches until the input ends."""
        while (line := self._next_line()) is not None:
            if not line:
                continue
            name, fields = wire.parse_line(line)
            if name != "SYNC":
                raise wire.WireError(f"a batch begins with SYNC, not {name!r}")
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
        touched: dict[str, None] = {}
        body = self._batch_lines()
        for line in body:
            name, fields = wire.parse_line(line)
            if name == "DEFINE_LIST":
                self._define_list(fields, body)
                continue
            relay = wire.require_field(name, fields, "relayId")
            if name == "EXIT":
                # Killed outright: what it was told in this batch, and what it would answer, is void.
                self.instances.pop(relay, None)
                touched.pop(relay, None)
            elif name == "POWER_ON":
                touched.pop(relay, None)
                self._start_instance(relay, fields, replies)
            elif (instance := self.instances.get(relay)) is not None:
                event = wire.parse_event(name, fields, self.endpoint_lists, instance.report_fields)
                if event is not None:
                    instance.events.append(event)
                    touched[relay] = None
        for relay in touched:
            self._step_instance(relay, now, replies)
        self.output_stream.write("".join(line + "\n" for line in replies) + "DONE\n")
        self.output_stream.flush()

    def _define_list(self, fields: wire.Fields, body: Iterator[str]) -> None:
        sheet = int(wire.number_field("DEFINE_LIST", fields, "sheet"))
        entries = []
        for _ in range(int(wire.number_field("DEFINE_LIST", fields, "membersList"))):
            name, item = wire.parse_line(next(body, ""))
            if name != "ITEM":
                raise wire.WireError(f"a list holds ITEM lines, not {name!r}")
            entries.append(wire.parse_entry(item))
        self.endpoint_lists[sheet] = tuple(entries)

    def _start_instance(self, sender_id: str, fields: wire.Fields, replies: list[str]) -> None:
        seed = int(wire.number_field("POWER_ON", fields, "rngSeed"))
        text = wire.require_field("POWER_ON", fields, "settings")
        self.instances.pop(sender_id, None)
        try:
            built, reports = parse_settings(wire.parse_settings_text(text))
            self.instances[sender_id] = Instance(Policy(built, seed), reports)
        except Exception as bad:  # the wire wants any failure of the decision code named, whatever it is
            replies.append(format_crash(sender_id, bad))

    def _step_instance(self, sender_id: str, now: float, replies: list[str]) -> None:
        instance = self.instances[sender_id]
        events, instance.events = instance.events, []
        try:
            replies.extend(wire.format_action(sender_id, act) for act in instance.policy.step(now, events))
        except Exception as bad:  # as above: named, for this instance alone
            del self.instances[sender_id]
            replies.append(format_crash(sender_id, bad))


def format_crash(sender_id: str, error: Exception) -> str:
    """The wire's crash action: type and message on one line."""
    return f"CRASH relayId={sender_id} msg={type(error).__name__}: {' '.join(str(error).split())}"


def main() -> int:
    """Run the host on the standard streams; malformed input ends it with one plain line."""
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except wire.WireError as bad:
        print(f"line {host.line_number}: {bad}", file=sys.stderr)
        return 1
    return 0
