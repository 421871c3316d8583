"""Real node processes under load and faults: ``python -m tests.long_run``."""
