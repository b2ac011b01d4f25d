"""Users and tokens of the fake (etcd's simple tokens: https://etcd.io/docs/v3.5/learning/design-auth-v3/)."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from grpclib import Status

from kestreltrack.etcdapi import INVALID_AUTH_TOKEN
from kestreltrack.testing.fakes.etcd.store import rpc_error


@dataclass(slots=True)
class AuthState:
    """The users, and the tokens that they were given; without users there is no authentication.

    Attributes:
        users: Passwords by name.
        tokens: When each token expires, by the cluster's clock in seconds.
        ttl_s: How long a token is valid.
    """

    users: dict[str, str] = field(default_factory=dict)
    tokens: dict[str, float] = field(default_factory=dict)
    ttl_s: float = 300.0

    def authenticate(self, name: str, password: str, revision: int, now: float) -> str:
        """Return a new token for a user.

        Raises:
            GRPCError: Where authentication is off, or the name or the password is wrong.
        """
        if not self.users:
            raise rpc_error(Status.FAILED_PRECONDITION, "authentication is not enabled")
        if self.users.get(name) != password:
            raise rpc_error(Status.INVALID_ARGUMENT, "authentication failed, invalid user ID or password")
        token = f"{secrets.token_hex(8)}.{revision}"
        self.tokens[token] = now + self.ttl_s
        return token

    def check_token(self, token: str | None, now: float) -> None:
        """Check the token of a call.

        Raises:
            GRPCError: Where there are users, and the token is missing, unknown or expired.
        """
        if not self.users:
            return
        if token is None:
            raise rpc_error(Status.INVALID_ARGUMENT, "user name is empty")
        if self.tokens.get(token, 0.0) <= now:
            raise rpc_error(Status.UNAUTHENTICATED, INVALID_AUTH_TOKEN)
