"""Measures slopes of costs and writes docs/CAPACITY.md from them."""
