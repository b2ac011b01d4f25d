"""A capture of everything the decision module was told and asked, in true order, and what it answered.

`records.py` holds the form of a record, `blocks.py` that of a file, `writer.py` writes a ring of files from a thread,
`witness.py` stands between desk and module, `reader.py` reads files that may be torn or spoilt, `replay.py` drives a
module with them.  Design and format: `docs/capture.md`.
"""
