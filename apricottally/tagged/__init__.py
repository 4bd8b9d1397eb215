"""Balancing of flows whose packets name their backend server by a tag.

Both ends of a flow repeat a 4-byte tag that a node writes into the first
packet, so that any node can send on the packets of an open flow without
state. Answers go from the backend server straight to the client. Nodes share
occupancy, suspicion and the platform's records by datagrams.

Layers: `packets`, `messages` (wire), `events` to `reducer` (core, without
I/O, clock or unseeded randomness), `node` and what it opens (shell).
"""
