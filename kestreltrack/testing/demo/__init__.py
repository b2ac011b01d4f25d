"""`kestreltrack demo`: one real sender among fakes.

`environment.py` starts the sender and the fakes, `script.py` injects the faults and checks the result, and
`display.py` shows both.
"""
