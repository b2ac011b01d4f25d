"""The command line of `kestreltrack`: `app.py` holds the application, each other module one command or command group.

Exit codes: 0 success, 1 a check or a call to another system failed, 2 a usage or configuration error, 130 Ctrl-C.
"""
