"""Which backend serves a flow whose SYN went to several.

The losing backend may send its SYN-ACK again for seconds, and the client then
sends that backend's tag. The node that saw the flow open knows better; it tells
the nodes to which the flow may move.
"""
