"""Users and simple tokens of the fake etcd (https://etcd.io/docs/v3.5/learning/design-auth-v3/)."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from grpclib import Status

from kestreltrack.etcdapi import INVALID_AUTH_TOKEN
from kestreltrack.testing.fakes.etcd.store import rpc_error


@dataclass(slots=True)
class AuthState:
    """The users and their tokens; without users authentication is disabled.

    Attributes:
        users: Passwords by name.
        tokens: The expiry of each token, in seconds of the cluster's clock.
        ttl_s: The lifetime of a token.
    """

    users: dict[str, str] = field(default_factory=dict)
    tokens: dict[str, float] = field(default_factory=dict)
    ttl_s: float = 300.0

    def authenticate(self, name: str, password: str, revision: int, now: float) -> str:
        """Issue a token for a user.

        Raises:
            GRPCError: If authentication is disabled, or the name or the password is wrong.
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
            GRPCError: If authentication is enabled and the token is missing, unknown or expired.
        """
        if not self.users:
            return
        if token is None:
            raise rpc_error(Status.INVALID_ARGUMENT, "user name is empty")
        if self.tokens.get(token, 0.0) <= now:
            raise rpc_error(Status.UNAUTHENTICATED, INVALID_AUTH_TOKEN)
