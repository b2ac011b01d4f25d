"""Builds the parts that the configuration asks for, and gives settings that were read again to those they concern.

The one place that knows all parts; `daemon.py` holds the life of the process.
"""

from __future__ import annotations

import asyncio
import resource
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from kestreltrack.config.node import ConfigError, NodeConfig
from kestreltrack.decision import Policy
from kestreltrack.decision.api import TimerDue
from kestreltrack.journal import Journal, JournalFull
from kestreltrack.journal.waits import SharedWaits
from kestreltrack.machinelist import MachineList
from kestreltrack.nodes.claims import NodeTransport
from kestreltrack.nodes.pool import Pool
from kestreltrack.notices import HttpNotices
from kestreltrack.ports import Clock
from kestreltrack.sender.core import Core
from kestreltrack.sender.desk import Desk
from kestreltrack.sender.directory import Directory, follows_etcd
from kestreltrack.sender.succession import Succession
from kestreltrack.submitters.front import Front
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.admin.listener import AdminListener
    from kestreltrack.admin.server import AdminSocket
    from kestreltrack.config.operator import Loaded
    from kestreltrack.sender.capturing import Capturing
    from kestreltrack.sender.fleet import Fleet
    from kestreltrack.sender.operations import Operations

RETIRE_S = 0.5  # idle connections go so long before the node would close them
SUBMITTER_SHARE = 0.45  # of the descriptors; submitters' requests need a third
NODE_SHARE = 0.25
# Descriptors for all else: 17 of the loop, files and listeners, discovery, notices and their successors at a move,
# the journal's next file, one being accepted, and some that are being closed.
RESERVE, LEAST_SHARED = 28, 4
FIRST_LIST_S = 0.4  # a start waits so long for an agent's list: one that is silent has none to tell


def _sockets(limit: int) -> int:
    """How many the shares are of: the settings' limit, or what this process's own leaves beside the reserve."""
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if own == resource.RLIM_INFINITY:
        return limit
    return max(LEAST_SHARED, min(limit, int((own - RESERVE) / (SUBMITTER_SHARE + NODE_SHARE))))


class Assembly:
    """All parts of one sender."""

    def __init__(self, config: NodeConfig, loaded: Loaded | None, clock: Clock, telemetry: Telemetry) -> None:
        """Build them; nothing is opened but the journal.  Raises `ConfigError`."""
        self.config, self.loaded, self.telemetry = config, loaded, telemetry
        settings = config.settings
        self.directory = Directory(config, loaded, clock, telemetry)
        try:
            self.journal = Journal(config.state, config.disk_bytes, telemetry)
        except (JournalFull, OSError) as bad:
            raise ConfigError(
                f"GW_STATE: {config.state}: {bad}; it needs a folder of its own to write to"
            ) from bad
        keep_s, sockets = settings.keepalive_ms / 1000.0, _sockets(config.sockets)
        self.pool = Pool(
            max(keep_s / 2.0, keep_s - RETIRE_S),
            settings.connect_ms / 1000.0,
            int(sockets * NODE_SHARE),
            telemetry,
        )
        self.notices = HttpNotices(config.discovery, telemetry)
        policy = self.policy = Policy(settings, config.seed)
        desk = Desk(policy, clock, telemetry)
        self.capturing: Capturing | None = None
        self.admin: AdminSocket | None = None
        self.fleet: Fleet | None = None
        machines, transport = MachineList(), NodeTransport(self.pool, telemetry)
        if any(kind.batch > 1 for kind in settings.kinds.values()):  # else not even imported
            from kestreltrack.nodes.batch import BatchTransport

            transport = BatchTransport(self.pool, telemetry)
            desk.batch = lambda uid: kind.batch if (kind := settings.kinds.get(machines.kind(uid))) else 1
        self.core = Core(desk, settings, self.journal, machines, transport, self.notices, telemetry)
        if loaded is not None and loaded.operator.fleet.listen:
            self.fleet = self._join(loaded, clock)
            self.directory.acquaint = self.fleet.membership.add_seeds
        if loaded is not None and (loaded.operator.capture.folder or loaded.operator.admin.socket):
            self._watch(desk, policy, loaded)
        self.core.waits = SharedWaits(config.state, self.journal.slot)
        ordered = frozenset(name for name, cls in settings.classes.items() if cls.in_order)
        self.front = Front(
            self.core, clock, ordered, int(sockets * SUBMITTER_SHARE), config.memory_bytes, telemetry
        )
        self.operations: Operations | None = None
        self.listener: AdminListener | None = None
        if not config.admin and loaded is not None and loaded.operator.admin.addr:
            self.config = config = replace(config, admin=loaded.operator.admin.addr)
        if config.admin:  # else not even imported: a sender without operators' calls pays nothing for them
            from kestreltrack.admin.listener import AdminListener
            from kestreltrack.sender.operations import Operations

            figures = self.fleet.figures if self.fleet else list[str]
            self.operations = Operations(self.core, self.front, policy, config.state, telemetry, figures)
            self.listener = AdminListener(self.operations, telemetry)
        if self.fleet:
            self.fleet.rule(self.core)  # after the operators' calls have put their mask there
        self._helpers = list[asyncio.Task[None]]()
        self._of_directory = list[asyncio.Task[None]]()

    def _join(self, loaded: Loaded, clock: Clock) -> Fleet:
        """What this sender does with others; not even imported where it has no address for that."""
        from kestreltrack.sender.fleet import Fleet

        relays, table = self.config.settings.relays, loaded.operator.fleet
        desk = self.core.desk
        return Fleet(
            table,
            self.config.name,
            relays,
            self.core.share,
            self.policy,
            desk.tell,
            clock,
            self.telemetry,
            self.config.state,
        )

    def _watch(self, desk: Desk, policy: Policy, loaded: Loaded) -> None:
        """What the operator wants to see of a running sender."""
        from kestreltrack.admin.server import AdminSocket
        from kestreltrack.sender.capturing import Capturing

        self.capturing = Capturing(desk, policy, loaded.operator.capture, self.config, self.telemetry)
        if loaded.operator.capture.on and loaded.operator.capture.folder:
            self.capturing.start()
        if loaded.operator.admin.socket:
            commands = {**self.capturing.commands(), "counters": lambda: dict(self.telemetry.counters)}
            commands |= self.fleet.commands() if self.fleet else {}
            self.admin = AdminSocket(Path(loaded.operator.admin.socket), commands, self.telemetry)

    async def open_admin(self) -> None:
        """Listen for the operators' calls and on the admin socket, where asked for; raises `ConfigError`."""
        if self.listener:
            try:
                address = await self.listener.open(self.config.admin)
            except OSError as bad:
                raise ConfigError(f"GW_ADMIN_ADDR: cannot listen on {self.config.admin}: {bad}") from bad
            self.telemetry.log("admin", listen=address)
        if self.admin:
            try:
                await self.admin.open()
            except OSError as bad:
                raise ConfigError(f"admin.socket: {self.admin.path}: {bad.strerror}") from bad

    async def recall(self) -> None:
        """Tell the module of the list as last held, and follow its source from now on.

        A pushed list is waited for a moment: what the agent has counts as told before the first claim.
        """
        kept = self.journal.machines
        # Revisions of two sources do not compare: what the journal kept is what this sender last followed.
        known = (self.config.known, kept) if not (follows_etcd(self.loaded) and kept) else (kept,)
        for update in known:
            if update and update.rev >= self.core.machines.rev:
                self.core.desk.tell(self.core.machines.apply(update, remembered=True))
        # A first step even where no list is known: the module asks for one there.
        self.core.desk.tell(TimerDue(0))
        pushed = not self.config.settings.must_ask
        if pushed or follows_etcd(self.loaded):
            self.core.ask()  # the module asks only where the platform's directory wants that
        self._helpers.append(asyncio.create_task(self.core.follow(self.directory.switch)))
        if pushed:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.core.listed.wait(), FIRST_LIST_S)

    def recover(self) -> None:
        """Begin again the lives that the last process left."""
        self.core.hear_waits()  # before the first claim: the other process may have been told a wait long ago
        self.core.recover()

    def begin(self) -> None:
        """Start what runs beside the messages."""
        self._helpers.append(asyncio.create_task(self.pool.sweep()))
        succession = Succession(self.core, self.journal, self.telemetry)
        if self.journal.others:
            self._helpers.append(asyncio.create_task(succession.adopt()))
        self._helpers.append(asyncio.create_task(succession.hear_waits()))
        if self.operations:
            self._helpers.append(asyncio.create_task(self.operations.watch()))
        if self.fleet:
            self._helpers += [asyncio.create_task(helper) for helper in self.fleet.helpers()]
        self._begin_directory()

    def _begin_directory(self) -> None:
        self._of_directory = [
            asyncio.create_task(helper) for helper in self.directory.helpers(self.core.share)
        ]

    def reload(self, config: NodeConfig, loaded: Loaded | None) -> None:
        """Take over what can change while the sender runs; raises `ConfigError` before anything has."""
        moved = config.discovery != self.config.discovery
        sources = follows_etcd(self.loaded), follows_etcd(loaded)
        self.directory.reload(config, loaded)
        self.config, self.loaded = config, loaded
        if self.capturing:
            self.capturing.mark("reload")
        if moved:
            self.notices.move(config.discovery)
        if moved or any(sources):
            self.core.ask()
        if any(sources):
            for task in self._of_directory:
                task.cancel()
            self._begin_directory()

    def stopping(self, ends: float) -> None:
        """SIGTERM: the module is told by when claims have to end, the fleet that this one goes."""
        self.core.stopping(ends)
        if self.fleet:
            self.fleet.close(self.journal.followed())

    async def end(self) -> None:
        """Leave all lives where they are, close the journal."""
        for helper in (*self._helpers, *self._of_directory):
            helper.cancel()
        await self.core.abandon()
        self.journal.close()  # first of all that takes time: SIGKILL is near, and a successor waits for the slot
        for helper in self._of_directory:  # they say farewell
            with suppress(asyncio.CancelledError, Exception):
                await helper
        self.directory.close()
        if self.capturing:
            self.capturing.stop()
        if self.admin:
            self.admin.close()
        if self.listener:
            self.listener.close()
