"""Explicit-state model check of the handshake; not part of the package."""
