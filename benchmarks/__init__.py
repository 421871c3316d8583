"""Measurements that run several real processes; ``make bench`` starts them.

They are outside the ``fireflyward`` package because they start processes, which the
product itself never does.
"""
