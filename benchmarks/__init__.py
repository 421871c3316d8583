"""Measurements over several real processes; ``make bench`` runs them.

They stand outside the package because they start processes, which the product
itself never does.
"""
