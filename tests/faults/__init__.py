"""A fault soak: the real program as processes, with faults from outside.

Clients, backends and the store are stand-ins in the driver's process; the
nodes are processes of their own on loopback addresses. The run checks what
clients and backends see, and prints its seed when a promise is broken.
"""
