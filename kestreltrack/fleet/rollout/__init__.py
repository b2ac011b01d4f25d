"""Changes of the claim map in stages, adopted only with the votes of members and staff (docs/agreed.md)."""
