"""Composition root of a sender: creates its components from the configuration, and applies reloaded settings.

This is the only module that depends on all components; `daemon.py` runs the process.  Optional components are
imported only when the configuration enables them.
"""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from kestreltrack.config.sender import (
    CLIENT_SOCKET_SHARE,
    ENDPOINT_SOCKET_SHARE,
    ConfigError,
    SenderConfig,
)
from kestreltrack.decision import Policy, Settings, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.endpoint_selection import fit_update
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.frontend.server import FrontendServer
from kestreltrack.journal import Journal, JournalFullError
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.memory import ByteBudget
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import Clock, Transport
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.discovery import ServiceDiscovery, uses_etcd
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.initial_list import ListOrigin, choose_initial_list, merge_updates
from kestreltrack.sender.journal_writes import try_write
from kestreltrack.sender.memory_log import MemoryLog
from kestreltrack.sender.takeover import Takeover
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.admin.command_socket import AdminSocket
    from kestreltrack.admin.http_listener import AdminListener
    from kestreltrack.config.operator import LoadedOperatorConfig
    from kestreltrack.sender.fleet import Fleet
    from kestreltrack.sender.operations import Operations
    from kestreltrack.sender.recording import RecordingController

# Idle connections are closed this long before the endpoint would close them.
IDLE_CLOSE_MARGIN_S = 0.5
# Descriptors that are not shared out: 17 for the event loop, files and listeners; the connections for discovery and
# notifications, and those that replace them after a change of address; the next journal file; one connection being
# accepted; and some that are being closed.
RESERVED_DESCRIPTORS = 28
# Lower bound on the number of shared sockets, however low the descriptor limit is.
MIN_SHARED_SOCKETS = 4
# How long the start waits for a pushed endpoint list: an agent that stays silent this long has none.
FIRST_LIST_TIMEOUT_S = 0.4


class Assembly:
    """The components of one sender process, and their lifecycle."""

    def __init__(
        self,
        config: SenderConfig,
        operator_config: LoadedOperatorConfig | None,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Create the components; only the journal, and a capture that is switched on, are opened.

        Args:
            config: The settings that the platform gives.
            operator_config: The operator's settings; `None` where there are none.
            clock: Returns the time in milliseconds.
            telemetry: Counts and logs.

        Raises:
            ConfigError: The settings cannot be used.
        """
        # Let go of once it has been applied, as a long list takes memory.
        self._initial_endpoints = config.initial_endpoints
        config = replace(config, initial_endpoints=None)
        self.config = _with_operator_admin_address(config, operator_config)
        # With the limits of the start, which a reload does not change.
        self._plan_memory = self.config.memory_plan
        self.operator_config = operator_config
        self.telemetry = telemetry
        self._clock = clock
        self._background_tasks: list[asyncio.Task[None]] = []
        self._discovery_tasks: list[asyncio.Task[None]] = []
        self.discovery = ServiceDiscovery(config, operator_config, clock, telemetry)
        self.journal = _open_journal(config, telemetry)
        self._memory_plan = config.memory_plan()
        self._shared_sockets = _shared_socket_count(config.sockets)
        self.pool = _build_connection_pool(
            config.settings, self._endpoint_connection_limit(), self._memory_plan.response_bytes, telemetry
        )
        self.notifier = HttpNotifier(config.discovery, telemetry)
        self.policy = Policy(config.settings, config.seed)
        self.core = self._build_core()
        self.fleet = self._build_fleet()
        self.recording = self._build_recording()
        self.command_socket = self._build_command_socket()
        self.core.retry_after.files = SharedRetryAfter(config.state, self.journal.slot)
        self.frontend = self._build_frontend()
        self.memory_log = MemoryLog(self._memory_plan, self.frontend, self.pool, self.journal, telemetry)
        self.operations = self._build_operations()
        self.admin_listener = self._build_admin_listener()
        updates = self.core.endpoint_updates
        updates.source = _source_name(config, operator_config)
        updates.max_endpoints = self._memory_plan.max_listed_endpoints
        updates.on_list_size = self._share_memory_with_list
        updates.request_complete_list = self.discovery.request_complete_list
        updates.busy_destinations = lambda: self.policy.active_destinations
        self.discovery.wanted_destinations = updates.wanted_destinations
        # After the operations: the replicated configuration is applied on top of their overrides.
        if self.fleet:
            self.fleet.enforce_agreed_config(self.core)

    # Components ----------------------------------------------------------------------------------

    def _build_core(self) -> Core:
        dispatcher = Dispatcher(self.policy, self._clock, self.telemetry)
        settings = self.config.settings
        endpoint_list = EndpointList()
        transport: Transport = HttpTransport(self.pool, self.telemetry)
        if any(kind.max_batch_size > 1 for kind in settings.kinds.values()):
            from kestreltrack.endpoints.batch import BatchTransport

            transport = BatchTransport(self.pool, self.telemetry)
            dispatcher.max_batch_size = _max_batch_size_by_endpoint(settings, endpoint_list)
        return Core(
            dispatcher, settings, self.journal, endpoint_list, transport, self.notifier, self.telemetry
        )

    def _build_fleet(self) -> Fleet | None:
        """Create the fleet components if the operator's settings give this sender a fleet address."""
        if self.operator_config is None or not self.operator_config.config.fleet.listen:
            return None
        from kestreltrack.sender.fleet import Fleet

        fleet = Fleet(
            self.operator_config.config.fleet,
            self.config.name,
            self.config.settings.sender_count,
            self.core.set_sender_count,
            self.policy,
            self.core.dispatcher.notify,
            self._clock,
            self.telemetry,
            self.config.state,
        )
        self.discovery.on_seeds_found = fleet.membership.set_discovered_seeds
        return fleet

    def _build_recording(self) -> RecordingController | None:
        """Create the capture controller, and start the capture if the operator's settings switch it on."""
        if self.operator_config is None:
            return None
        settings = self.operator_config.config
        if not (settings.capture.folder or settings.admin.socket):
            return None
        from kestreltrack.sender.recording import RecordingController

        recording = RecordingController(
            self.core.dispatcher, self.policy, settings.capture, self.config, self.telemetry
        )
        if settings.capture.autostart and settings.capture.folder:
            recording.start()
        return recording

    def _build_command_socket(self) -> AdminSocket | None:
        if self.recording is None or self.operator_config is None:
            return None
        path = self.operator_config.config.admin.socket
        if not path:
            return None
        from kestreltrack.admin.command_socket import AdminSocket

        commands = self.recording.commands()
        commands["counters"] = lambda: dict(self.telemetry.counters)
        if self.fleet:
            commands |= self.fleet.commands()
        return AdminSocket(Path(path), commands, self.telemetry)

    def _client_connection_limit(self) -> int:
        return min(int(self._shared_sockets * CLIENT_SOCKET_SHARE), self._memory_plan.client_connections)

    def _endpoint_connection_limit(self) -> int:
        return min(int(self._shared_sockets * ENDPOINT_SOCKET_SHARE), self._memory_plan.endpoint_connections)

    def _share_memory_with_list(self, listed_endpoints: int) -> None:
        """Divide the memory anew, because the endpoint list has this many endpoints now."""
        plan = self._plan_memory(listed_endpoints)
        if plan == self._memory_plan:
            return
        self._memory_plan = plan
        self.memory_log.plan = plan
        self.frontend.max_connections = self._client_connection_limit()
        self.frontend.request_memory.limit_bytes = plan.request_bytes
        self.pool.max_connections = self._endpoint_connection_limit()
        self.pool.budget.limit_bytes = plan.response_bytes

    def _build_frontend(self) -> FrontendServer:
        classes = self.config.settings.classes
        ordered_classes = frozenset(name for name, message_class in classes.items() if message_class.in_order)
        return FrontendServer(
            self.core,
            self._clock,
            ordered_classes,
            self._client_connection_limit(),
            self._memory_plan.request_bytes,
            self.telemetry,
        )

    def _build_operations(self) -> Operations | None:
        """Create the handlers of operator calls if the settings have an address for them."""
        if not self.config.admin_address:
            return None
        from kestreltrack.sender.operations import Operations

        def extra_metrics() -> list[str]:
            return self.memory_log.metrics() + (self.fleet.metrics() if self.fleet else [])

        return Operations(
            self.core, self.frontend, self.policy, self.config.state, self.telemetry, extra_metrics
        )

    def _build_admin_listener(self) -> AdminListener | None:
        if self.operations is None:
            return None
        from kestreltrack.admin.http_listener import AdminListener

        return AdminListener(self.operations, self.telemetry)

    # Start ---------------------------------------------------------------------------------------

    async def open_admin(self) -> None:
        """Open the HTTP listener for operator calls and the admin socket, each if it is configured.

        Raises:
            ConfigError: An address cannot be listened on.
        """
        if self.admin_listener:
            try:
                address = await self.admin_listener.open(self.config.admin_address)
            except OSError as error:
                raise ConfigError(
                    f"GW_ADMIN_ADDR: cannot listen on {self.config.admin_address}: {error}"
                ) from error
            self.telemetry.log("admin", listen=address)
        if self.command_socket:
            try:
                await self.command_socket.open()
            except OSError as error:
                raise ConfigError(f"admin.socket: {self.command_socket.path}: {error.strerror}") from error

    async def restore_endpoint_list(self) -> None:
        """Pass the last known endpoint list to the decision module, and start to follow the source.

        If lists are pushed, waits up to `FIRST_LIST_TIMEOUT_S` for the first one, so that a list that the agent
        already has is applied before the first attempt.
        """
        self._apply_known_endpoints()
        # Even without a known list the decision module has to run once: that is when it requests a poll.
        self.core.dispatcher.notify(TimerExpired(0))
        is_pushed = not self.config.settings.must_poll
        if is_pushed or uses_etcd(self.operator_config):
            # The decision module requests polls only if the settings make it poll.
            self.core.poll_now()
        self._start_background_task(self.core.follow_source(self.discovery.source))
        if is_pushed:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.core.endpoint_updates.list_received.wait(), FIRST_LIST_TIMEOUT_S)

    def _apply_known_endpoints(self) -> None:
        """Pass on the newest list that this sender was told, by whichever of its processes it was heard."""
        initial = choose_initial_list(
            None if uses_etcd(self.operator_config) and self.journal.endpoints else self._initial_endpoints,
            self.journal.endpoints,
            merge_updates(self.journal.take_endpoint_updates()),
        )
        self._initial_endpoints = None
        endpoint_list = self.core.endpoint_list
        if initial.update:
            fitting = fit_update(initial.update, endpoint_list, self._memory_plan.max_listed_endpoints)
            self.core.dispatcher.notify(endpoint_list.apply(fitting, cached=True))
            if initial.origin is not ListOrigin.JOURNAL:
                # Changes are recorded on top of it.
                try_write(self.telemetry, self.journal.record_endpoints, endpoint_list.snapshot())
        self._share_memory_with_list(len(endpoint_list))
        self.telemetry.log(
            "initial_list",
            origin=initial.origin.value,
            revision=endpoint_list.revision,
            count=len(endpoint_list),
        )

    def recover_messages(self) -> None:
        """Resume the messages that the previous process left outstanding."""
        # Before the first attempt: the other process of an upgrade may have received a Retry-After long ago.
        self.core.retry_after.receive()
        self.core.recover()

    def start_background_tasks(self) -> None:
        """Start the background tasks of all components."""
        self._start_background_task(self.pool.sweep_idle())
        self._start_background_task(self.memory_log.follow())
        takeover = Takeover(self.core, self.journal, self.telemetry)
        self._start_background_task(takeover.follow_other_processes())
        self._start_background_task(takeover.follow_shared_state())
        if self.operations:
            self._start_background_task(self.operations.follow_exclusions())
        if self.fleet:
            for coroutine in self.fleet.background_tasks():
                self._start_background_task(coroutine)
        self._start_discovery_tasks()

    def _start_background_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._background_tasks.append(asyncio.create_task(coroutine))

    def _start_discovery_tasks(self) -> None:
        self._discovery_tasks = [
            asyncio.create_task(coroutine)
            for coroutine in self.discovery.background_tasks(self.core.set_sender_count)
        ]

    # Service -------------------------------------------------------------------------------------

    def reload(self, config: SenderConfig, operator_config: LoadedOperatorConfig | None) -> None:
        """Apply the settings that can change at run time.

        Raises:
            ConfigError: The settings cannot be used; nothing has changed.
        """
        address_changed = config.discovery != self.config.discovery
        involves_etcd = uses_etcd(self.operator_config) or uses_etcd(operator_config)
        config = replace(config, initial_endpoints=None)
        self.discovery.reload(config, operator_config)
        self.config = config
        self.operator_config = operator_config
        self.core.endpoint_updates.source = _source_name(config, operator_config)
        if self.recording:
            self.recording.mark("reload")
        if address_changed:
            self.notifier.change_address(config.discovery)
        if address_changed or involves_etcd:
            self.core.poll_now()
        if involves_etcd:
            for task in self._discovery_tasks:
                task.cancel()
            self._start_discovery_tasks()

    def has_work_in_progress(self) -> bool:
        """Return whether a client request is open, a message is outstanding or an attempt is in flight."""
        return bool(self.frontend.has_open_requests() or self.journal.outstanding or not self.core.is_idle())

    # Stop ----------------------------------------------------------------------------------------

    def start_shutdown(self, deadline_ms: float) -> None:
        """Notify the decision module of the deadline for all attempts, and leave the fleet."""
        self.core.start_shutdown(deadline_ms)
        if self.fleet:
            self.fleet.close(self.journal.other_process_alive())

    async def close(self) -> None:
        """Abandon the outstanding messages, which stay in the journal, and close all components."""
        for task in (*self._background_tasks, *self._discovery_tasks):
            task.cancel()
        await self.core.abandon()
        # Before anything that takes time: SIGKILL may follow soon, and the next process waits for the journal slot.
        self.journal.close()
        # When cancelled, the discovery tasks remove this sender's registration.
        await asyncio.gather(*self._discovery_tasks, return_exceptions=True)
        self.discovery.close()
        if self.recording:
            self.recording.stop()
        if self.command_socket:
            self.command_socket.close()
        if self.admin_listener:
            self.admin_listener.close()


def _with_operator_admin_address(
    config: SenderConfig, operator_config: LoadedOperatorConfig | None
) -> SenderConfig:
    """Return `config` with the operator's admin address filled in if it has none of its own."""
    if config.admin_address or operator_config is None or not operator_config.config.admin.addr:
        return config
    return replace(config, admin_address=operator_config.config.admin.addr)


def _source_name(config: SenderConfig, operator_config: LoadedOperatorConfig | None) -> str:
    """Return the name of the source of the endpoint list, which tells whose revisions can be compared."""
    return "etcd" if uses_etcd(operator_config) else config.discovery


def _open_journal(config: SenderConfig, telemetry: Telemetry) -> Journal:
    try:
        return Journal(config.state, config.disk_bytes, telemetry)
    except (JournalFullError, OSError) as error:
        raise ConfigError(
            f"GW_STATE: {config.state}: {error}; expected a writable folder that no other sender uses"
        ) from error


def _shared_socket_count(configured_limit: int) -> int:
    """Return the number of sockets of which clients and endpoints each have a fraction.

    This is `configured_limit`, unless the descriptor limit of the process, less `RESERVED_DESCRIPTORS`, allows fewer.
    """
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptor_limit == resource.RLIM_INFINITY:
        return configured_limit
    available = (descriptor_limit - RESERVED_DESCRIPTORS) / (CLIENT_SOCKET_SHARE + ENDPOINT_SOCKET_SHARE)
    return max(MIN_SHARED_SOCKETS, min(configured_limit, int(available)))


def _build_connection_pool(
    settings: Settings, max_connections: int, response_bytes: int, telemetry: Telemetry
) -> ConnectionPool:
    keepalive_s = settings.keepalive_ms / 1000.0
    pool = ConnectionPool(
        max(keepalive_s / 2.0, keepalive_s - IDLE_CLOSE_MARGIN_S),
        settings.connect_timeout_ms / 1000.0,
        max_connections,
        telemetry,
    )
    pool.budget = ByteBudget(response_bytes)
    return pool


def _max_batch_size_by_endpoint(settings: Settings, endpoint_list: EndpointList) -> Callable[[str], int]:
    def max_batch_size(uid: str) -> int:
        kind = settings.kinds.get(endpoint_list.kind(uid))
        return kind.max_batch_size if kind else 1

    return max_batch_size
