"""Fake of the etcd v3 API over gRPC.

`store.py` holds the key-value history, `auth.py` users and tokens, `members.py` the members with their faults,
`services.py` and `watches.py` the gRPC services and `cluster.py` a complete cluster.  `process.py` runs a cluster in
a separate process, where faults are injected by commands on standard input.
"""
