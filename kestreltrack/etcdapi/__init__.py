"""Messages and stubs of etcd's v3 API, generated from `rpc.proto` by `make proto`; shared by the client and the fake.

A sender imports this package only if the operator's file selects etcd as the source of the endpoint list.
"""

# Messages of errors that etcd returns.
NO_LEADER = "etcdserver: no leader"
COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE_REVISION = "etcdserver: mvcc: required revision is a future revision"
INVALID_AUTH_TOKEN = "etcdserver: invalid auth token"


def prefix_end(prefix: bytes) -> bytes:
    """Return etcd's `range_end` for a prefix: the first key after all with the prefix, or a zero byte for no end."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"
