"""docs/CAPACITY.md, worked out from slopes that are measured here."""
