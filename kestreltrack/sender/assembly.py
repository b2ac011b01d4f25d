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

from kestreltrack.config.sender import ConfigError, SenderConfig
from kestreltrack.decision import Policy, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.frontend.server import FrontendServer
from kestreltrack.journal import Journal, JournalFullError
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import Clock
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.discovery import ServiceDiscovery, uses_etcd
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.takeover import Takeover
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.admin.command_socket import AdminSocket
    from kestreltrack.admin.http_listener import AdminListener
    from kestreltrack.config.operator import LoadedOperatorConfig
    from kestreltrack.sender.fleet import Fleet
    from kestreltrack.sender.operations import Operations
    from kestreltrack.sender.recording import RecordingController

IDLE_CLOSE_MARGIN_S = 0.5  # idle connections go so long before the node would close them
CLIENT_SOCKET_SHARE = 0.45  # of the descriptors; submitters' requests need a third
ENDPOINT_SOCKET_SHARE = 0.25
# Descriptors for all else: 17 of the loop, files and listeners, discovery, notices and their successors at a move,
# the journal's next file, one being accepted, and some that are being closed.
RESERVED_DESCRIPTORS, MIN_SHARED_SOCKETS = 28, 4
FIRST_LIST_TIMEOUT_S = 0.4  # a start waits so long for an agent's list: one that is silent has none to tell


def _shared_socket_count(limit: int) -> int:
    """How many the shares are of: the settings' limit, or what this process's own leaves beside the reserve."""
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if own == resource.RLIM_INFINITY:
        return limit
    return max(
        MIN_SHARED_SOCKETS,
        min(limit, int((own - RESERVED_DESCRIPTORS) / (CLIENT_SOCKET_SHARE + ENDPOINT_SOCKET_SHARE))),
    )


class Assembly:
    """All parts of one sender."""

    def __init__(
        self,
        config: SenderConfig,
        operator_config: LoadedOperatorConfig | None,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Build them; nothing is opened but the journal.  Raises `ConfigError`."""
        self.config, self.operator_config, self.telemetry = config, operator_config, telemetry
        settings = config.settings
        self.discovery = ServiceDiscovery(config, operator_config, clock, telemetry)
        try:
            self.journal = Journal(config.state, config.disk_bytes, telemetry)
        except (JournalFullError, OSError) as bad:
            raise ConfigError(
                f"GW_STATE: {config.state}: {bad}; it needs a folder of its own to write to"
            ) from bad
        keep_s, sockets = settings.keepalive_ms / 1000.0, _shared_socket_count(config.sockets)
        self.pool = ConnectionPool(
            max(keep_s / 2.0, keep_s - IDLE_CLOSE_MARGIN_S),
            settings.connect_timeout_ms / 1000.0,
            int(sockets * ENDPOINT_SOCKET_SHARE),
            telemetry,
        )
        self.notifier = HttpNotifier(config.discovery, telemetry)
        policy = self.policy = Policy(settings, config.seed)
        desk = Dispatcher(policy, clock, telemetry)
        self.recording: RecordingController | None = None
        self.command_socket: AdminSocket | None = None
        self.fleet: Fleet | None = None
        machines, transport = EndpointList(), HttpTransport(self.pool, telemetry)
        if any(kind.max_batch_size > 1 for kind in settings.kinds.values()):  # else not even imported
            from kestreltrack.endpoints.batch import BatchTransport

            transport = BatchTransport(self.pool, telemetry)
            desk.max_batch_size = lambda uid: (
                kind.max_batch_size if (kind := settings.kinds.get(machines.kind(uid))) else 1
            )
        self.core = Core(desk, settings, self.journal, machines, transport, self.notifier, telemetry)
        if operator_config is not None and operator_config.config.fleet.listen:
            self.fleet = self._build_fleet(operator_config, clock)
            self.discovery.on_seeds_found = self.fleet.membership.set_discovered_seeds
        if operator_config is not None and (
            operator_config.config.capture.folder or operator_config.config.admin.socket
        ):
            self._build_recording(desk, policy, operator_config)
        self.core.retry_after.files = SharedRetryAfter(config.state, self.journal.slot)
        ordered = frozenset(name for name, cls in settings.classes.items() if cls.in_order)
        self.frontend = FrontendServer(
            self.core, clock, ordered, int(sockets * CLIENT_SOCKET_SHARE), config.memory_bytes, telemetry
        )
        self.operations: Operations | None = None
        self.admin_listener: AdminListener | None = None
        if not config.admin_address and operator_config is not None and operator_config.config.admin.addr:
            self.config = config = replace(config, admin_address=operator_config.config.admin.addr)
        if (
            config.admin_address
        ):  # else not even imported: a sender without operators' calls pays nothing for them
            from kestreltrack.admin.http_listener import AdminListener
            from kestreltrack.sender.operations import Operations

            figures = self.fleet.metrics if self.fleet else list[str]
            self.operations = Operations(self.core, self.frontend, policy, config.state, telemetry, figures)
            self.admin_listener = AdminListener(self.operations, telemetry)
        if self.fleet:
            self.fleet.enforce_agreed_config(
                self.core
            )  # after the operators' calls have put their mask there
        self._background_tasks = list[asyncio.Task[None]]()
        self._discovery_tasks = list[asyncio.Task[None]]()

    def _build_fleet(self, operator_config: LoadedOperatorConfig, clock: Clock) -> Fleet:
        """What this sender does with others; not even imported where it has no address for that."""
        from kestreltrack.sender.fleet import Fleet

        relays, table = self.config.settings.sender_count, operator_config.config.fleet
        desk = self.core.dispatcher
        return Fleet(
            table,
            self.config.name,
            relays,
            self.core.set_sender_count,
            self.policy,
            desk.notify,
            clock,
            self.telemetry,
            self.config.state,
        )

    def _build_recording(
        self, dispatcher: Dispatcher, policy: Policy, operator_config: LoadedOperatorConfig
    ) -> None:
        """What the operator wants to see of a running sender."""
        from kestreltrack.admin.command_socket import AdminSocket
        from kestreltrack.sender.recording import RecordingController

        self.recording = RecordingController(
            dispatcher, policy, operator_config.config.capture, self.config, self.telemetry
        )
        if operator_config.config.capture.on and operator_config.config.capture.folder:
            self.recording.start()
        if operator_config.config.admin.socket:
            commands = {**self.recording.commands(), "counters": lambda: dict(self.telemetry.counters)}
            commands |= self.fleet.commands() if self.fleet else {}
            self.command_socket = AdminSocket(
                Path(operator_config.config.admin.socket), commands, self.telemetry
            )

    async def open_admin(self) -> None:
        """Listen for the operators' calls and on the admin socket, where asked for; raises `ConfigError`."""
        if self.admin_listener:
            try:
                address = await self.admin_listener.open(self.config.admin_address)
            except OSError as bad:
                raise ConfigError(
                    f"GW_ADMIN_ADDR: cannot listen on {self.config.admin_address}: {bad}"
                ) from bad
            self.telemetry.log("admin", listen=address)
        if self.command_socket:
            try:
                await self.command_socket.open()
            except OSError as bad:
                raise ConfigError(f"admin.socket: {self.command_socket.path}: {bad.strerror}") from bad

    async def restore_endpoint_list(self) -> None:
        """Tell the module of the list as last held, and follow its source from now on.

        A pushed list is waited for a moment: what the agent has counts as told before the first claim.
        """
        kept = self.journal.endpoints
        # Revisions of two sources do not compare: what the journal kept is what this sender last followed.
        known = (
            (self.config.initial_endpoints, kept)
            if not (uses_etcd(self.operator_config) and kept)
            else (kept,)
        )
        for update in known:
            if update and update.revision >= self.core.endpoint_list.revision:
                self.core.dispatcher.notify(self.core.endpoint_list.apply(update, cached=True))
        # A first step even where no list is known: the module asks for one there.
        self.core.dispatcher.notify(TimerExpired(0))
        pushed = not self.config.settings.must_poll
        if pushed or uses_etcd(self.operator_config):
            self.core.poll_now()  # the module asks only where the platform's directory wants that
        self._background_tasks.append(asyncio.create_task(self.core.follow_source(self.discovery.source)))
        if pushed:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.core.endpoint_updates.list_received.wait(), FIRST_LIST_TIMEOUT_S)

    def recover_messages(self) -> None:
        """Begin again the lives that the last process left."""
        # Before the first attempt: the other process may have received a Retry-After long ago.
        self.core.retry_after.receive()
        self.core.recover()

    def start_background_tasks(self) -> None:
        """Start what runs beside the messages."""
        self._background_tasks.append(asyncio.create_task(self.pool.sweep_idle()))
        succession = Takeover(self.core, self.journal, self.telemetry)
        if self.journal.other_slots:
            self._background_tasks.append(asyncio.create_task(succession.take_over()))
        self._background_tasks.append(asyncio.create_task(succession.follow_shared_retry_after()))
        if self.operations:
            self._background_tasks.append(asyncio.create_task(self.operations.follow_exclusions()))
        if self.fleet:
            self._background_tasks += [
                asyncio.create_task(helper) for helper in self.fleet.background_tasks()
            ]
        self._start_discovery()

    def _start_discovery(self) -> None:
        self._discovery_tasks = [
            asyncio.create_task(helper)
            for helper in self.discovery.background_tasks(self.core.set_sender_count)
        ]

    def reload(self, config: SenderConfig, operator_config: LoadedOperatorConfig | None) -> None:
        """Take over what can change while the sender runs; raises `ConfigError` before anything has."""
        moved = config.discovery != self.config.discovery
        sources = uses_etcd(self.operator_config), uses_etcd(operator_config)
        self.discovery.reload(config, operator_config)
        self.config, self.operator_config = config, operator_config
        if self.recording:
            self.recording.mark("reload")
        if moved:
            self.notifier.change_address(config.discovery)
        if moved or any(sources):
            self.core.poll_now()
        if any(sources):
            for task in self._discovery_tasks:
                task.cancel()
            self._start_discovery()

    def start_shutdown(self, deadline: float) -> None:
        """SIGTERM: the module is told by when claims have to end, the fleet that this one goes."""
        self.core.start_shutdown(deadline)
        if self.fleet:
            self.fleet.close(self.journal.other_process_alive())

    async def close(self) -> None:
        """Leave all lives where they are, close the journal."""
        for helper in (*self._background_tasks, *self._discovery_tasks):
            helper.cancel()
        await self.core.abandon()
        self.journal.close()  # first of all that takes time: SIGKILL is near, and a successor waits for the slot
        for helper in self._discovery_tasks:  # they say farewell
            with suppress(asyncio.CancelledError, Exception):
                await helper
        self.discovery.close()
        if self.recording:
            self.recording.stop()
        if self.command_socket:
            self.command_socket.close()
        if self.admin_listener:
            self.admin_listener.close()
