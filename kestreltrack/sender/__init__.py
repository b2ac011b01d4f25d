"""One sender: the life of a message (`core.py`), the desk to the module (`desk.py`), which parts the configuration
asks for (`assembly.py`, `directory.py`), the life of the process (`daemon.py`).
"""
