"""The endpoint list kept in etcd, as a directory of keys that is watched.

`layout` holds the form of keys and values, `watch_state` every decision about how to follow them (no I/O),
`client` the connections, `source` the endpoint source, `registration` the senders' entries, and `admin` what
operators do.  Design, alternatives and measurements: `docs/etcd.md`.
"""
