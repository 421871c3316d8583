"""A soak test of fleet nodes as real processes, with faults injected from outside.

``python -m tests.soak --seeds 50`` runs fifty seeds; ``SoakFleet.check`` lists what is
checked.
"""
