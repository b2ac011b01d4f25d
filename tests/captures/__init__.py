"""Past failures as captures; `scripts.py` makes them."""
