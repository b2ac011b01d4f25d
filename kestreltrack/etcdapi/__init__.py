"""The messages and stubs of etcd's v3 API, generated from `rpc.proto` by `make proto`; for client and stand-in.

The sender imports this only where the operator's file names etcd as the source of the machine list.
"""

NO_LEADER = "etcdserver: no leader"
COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
BAD_TOKEN = "etcdserver: invalid auth token"


def prefix_end(prefix: bytes) -> bytes:
    """The first key behind all that begin with the prefix: etcd's `range_end` for it (a zero byte: no end)."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes([stem[-1] + 1]) if stem else b"\0"
