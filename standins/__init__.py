"""Test doubles for the systems around a node; not part of the package.

They replace callers, backend servers, the platform and the network between
them.
"""
