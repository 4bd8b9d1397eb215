"""Errors of the demonstration."""


class DemoError(Exception):
    """A part of the demonstration did not start, end or answer."""
