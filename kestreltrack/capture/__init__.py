"""Captures: everything that the decision module received and answered, in order, and what can be made of it.

`records.py` holds the format of a record and `blocks.py` that of a file.  `recorder.py` stands between the dispatcher
and the decision module; `writer.py` writes a ring of files from a thread.  `reader.py` reads one file, which may be
torn or damaged, and `cursor.py` all files of a capture.  `replay.py` repeats the decisions with the present decision
module, `what_if.py` with another version of it, `resimulate.py` plays the input against new decisions, and
`shrink.py` reduces it.  `pseudonyms.py` and `anonymise.py` replace identifiers by keyed hashes.  Design and format:
`docs/capture.md`.
"""
