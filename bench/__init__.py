"""Benchmarks of the packet path, control protocols and load balancing."""
