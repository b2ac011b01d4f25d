"""A cluster that serves all of the stand-in's services; apart from its members, on which the services rest."""

from __future__ import annotations

import time
from collections.abc import Callable

from kestreltrack.testing.fakes.etcd.members import EtcdClusterBase
from kestreltrack.testing.fakes.etcd.services import services


class FakeEtcdCluster(EtcdClusterBase):
    """One to five members over one history."""

    def __init__(
        self,
        members: int = 1,
        users: dict[str, str] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Nothing listens before `start`; `clock` gives seconds, for leases and tokens."""
        super().__init__(services, members, users, clock)
