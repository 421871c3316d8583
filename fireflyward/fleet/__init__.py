"""A node of a fleet on the users' platform: ``python -m fireflyward.fleet``."""
