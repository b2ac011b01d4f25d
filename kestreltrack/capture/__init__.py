"""Captures record all input and output of the decision module, in order, for replay and analysis.

`records.py` defines the format of a record and `blocks.py` that of a file.  `recorder.py` wraps the decision module
for the dispatcher; `writer.py` writes a bounded set of files from a thread.  `reader.py` reads one file, which may be
truncated or corrupt, and `cursor.py` all files of a capture.  `replay.py` repeats the decisions with the running
version of the decision module, `what_if.py` compares them with another version, `resimulate.py` simulates the
captured input against new decisions, and `shrink.py` reduces that input.  `pseudonyms.py` and `anonymise.py` replace
identifiers with keyed hashes.  Design and format: `docs/capture.md`.
"""
