"""Snapshots: the complete state of the decision module as typed, versioned data.

Checkpoints of a capture hold them, and a state can be transferred with them.  `state.py` defines the stored types,
`codec.py` takes and restores snapshots, and `stored_forms.py` defines the stored types of events, actions and
settings.  `docs/capture.md` says which data can be read across versions.
"""
