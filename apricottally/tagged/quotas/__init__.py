"""Limits of rates over all nodes of a zone, without messages of their own.

`permits` splits a rate into permits, `ring` says which node holds which permit,
and `membership` when a node knows enough of the zone to use those it holds.
"""
