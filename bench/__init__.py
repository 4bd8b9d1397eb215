"""Measurements of the packet path, control cost and policies."""
