"""apricottally: a layer-4 load balancer whose open flows carry their backend.

Layers, lowest first: wire codecs, core (events, reducer, effects), shell
(sockets, platform client, monitoring) and one composition root (`daemon`).
"""
