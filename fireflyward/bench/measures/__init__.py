"""The measurements: each module defines one as ``BENCH`` (see ``Bench``)."""
