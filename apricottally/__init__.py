"""apricottally: a layer-4 load balancer whose packets carry the backend number.

Layers, lowest first: wire codecs; the core (events, reducer, effects), which
does no I/O; the I/O layer (sockets, platform client, monitoring); and the
composition root (`daemon`).
"""
