"""`kestreltrack demo`: one real sender among stand-ins (`world.py`), its story and its rules (`story.py`), and the
view of it (`show.py`).
"""
