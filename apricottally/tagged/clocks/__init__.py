"""Times that other nodes state, in terms of this node's own clock.

Nodes have no common clock, and a message may lie unread for any time. A node
measures how far the clock of each neighbour can be ahead of its own (`bounds`,
`exchange`), and places what a neighbour says no later than it was true
(`asof`).
"""
