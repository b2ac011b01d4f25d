"""A fake cluster with all its services, in a module of its own because the services import the members."""

from __future__ import annotations

import time
from collections.abc import Callable

from kestreltrack.testing.fakes.etcd.members import EtcdClusterBase
from kestreltrack.testing.fakes.etcd.services import make_services


class FakeEtcdCluster(EtcdClusterBase):
    """A cluster of one to five members that share one history."""

    def __init__(
        self,
        members: int = 1,
        users: dict[str, str] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a cluster that starts listening in `start`.

        Args:
            members: The number of members.
            users: Passwords by name; without users authentication is disabled.
            clock: Returns the time in seconds, for leases and tokens.
        """
        super().__init__(make_services, members, users, clock)
