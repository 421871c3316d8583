"""Stand-ins and processes for the scripts of the second review."""
