"""Errors of the demonstration."""


class DemoError(Exception):
    """A process did not start, answer or finish as the run requires."""
