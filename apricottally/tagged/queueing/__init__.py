"""The queue of SYNs that wait at a node until a backend has room.

`waiting` has the queue and `admission` the decisions. A flow's place depends on
the priority of its route, its latency target, its caller and its age. The
parts of the queue are pure data structures: time comes from the caller.
"""
