"""Fault soak: runs the real program in processes and injects faults.

Each node is a separate process with its own loopback address. Clients,
backends and the store are simulated in the process of the soak. A run checks
what clients and backends observe, and prints its seed and each violation.
"""
