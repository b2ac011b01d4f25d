"""The decision module's whole state as typed, versioned data: for checkpoints, and for a hand-over.

`state.py` holds the form, `codec.py` takes and restores it, `stored_forms.py` holds the forms of events, actions and
settings. What survives a change of version stands in `docs/capture.md`.
"""
