"""A cluster with all services of the fake; apart from the members, which the services depend on."""

from __future__ import annotations

import time
from collections.abc import Callable

from kestreltrack.testing.fakes.etcd.members import EtcdClusterBase
from kestreltrack.testing.fakes.etcd.services import services


class FakeEtcdCluster(EtcdClusterBase):
    """A cluster of one to five members over one history."""

    def __init__(
        self,
        members: int = 1,
        users: dict[str, str] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a cluster that does not listen before `start`.

        Args:
            members: How many members.
            users: Passwords by name; without users there is no authentication.
            clock: Returns seconds, for leases and tokens.
        """
        super().__init__(services, members, users, clock)
