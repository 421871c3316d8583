"""A soak of fleet nodes as real processes, with faults from outside them.

``python -m tests.soak --seeds 50`` plays fifty seeds; see ``_soak`` for what is
checked.
"""
