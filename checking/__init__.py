"""Explicit-state check of the handshake; not part of the shipped package."""
