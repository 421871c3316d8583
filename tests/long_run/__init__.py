"""``python -m tests.long_run``: real node processes under load and under faults."""
