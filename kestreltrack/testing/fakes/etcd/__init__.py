"""A fake of etcd's v3 API over real gRPC.

`store.py` has the key-value history, `auth.py` users and tokens, `members.py` the members with their faults,
`services.py` and `watches.py` the gRPC services, `cluster.py` all of it together, and `process.py` runs a cluster as
a process of its own, with faults by commands on standard input.
"""
