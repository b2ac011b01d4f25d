"""An endpoint list that is stored in etcd as keys under a prefix, which senders watch.

- `layout`: the format of keys and values
- `watch_state`: the state machine of the watch, without I/O; `watch_types` and `reconnection` belong to it
- `client`: connections and calls to the members of the cluster
- `source`: the endpoint source, which performs the steps of the state machine
- `registration`, `seed_lookup` and `member_count`: the registrations of senders, written and read
- `admin`: the operations of operators

Design, alternatives and measurements: `docs/etcd.md`.
"""
