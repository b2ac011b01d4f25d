"""`kestreltrack demo`: a real sender process with fakes of the systems around it.

`environment.py` starts the sender and the fakes, `script.py` injects faults and checks the result, and `display.py`
runs the demo and shows its progress and result.
"""
