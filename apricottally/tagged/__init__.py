"""Load balancing of flows whose packets carry the tag of their backend server.

A node writes a 4-byte tag into the first packet of a flow, and both ends
repeat the tag in later packets. Any node can therefore forward packets of an
open flow without per-flow state. Replies go from the backend server directly
to the client. Nodes exchange backend load, reports of unreachable backends
and the platform's records in UDP datagrams.

Layers: `packets` and `messages` define the wire formats; `events`, `effects`,
`state`, `reducer` and the handlers it calls form the core, which has no I/O,
clock or unseeded randomness; `node` runs the core with sockets and timers.
"""
