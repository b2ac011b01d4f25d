"""The decision module's whole state as typed, versioned data: for checkpoints, and for a hand-over.

`state.py` holds the form, `policy.py` takes and restores it.  What survives a change of version stands in
`docs/capture.md`.
"""
