"""One module for each measurement; each has a ``BENCH`` (see ``Bench``)."""
