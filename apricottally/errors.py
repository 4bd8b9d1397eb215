"""Errors of each layer; a layer converts errors of lower layers."""


class ApricottallyError(Exception):
    """Base of every error raised by this package."""


class WireError(ApricottallyError):
    """A datagram or packet is invalid; `reason` labels a counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class DecodingError(ApricottallyError):
    """A payload cannot be decoded; `reason` labels a counter."""

    def __init__(self, reason: str, problem: str) -> None:
        super().__init__(problem)
        self.reason = reason


class ModelError(ApricottallyError):
    """A value in an operator's document is not allowed.

    `path` is the key path within the document, such as `templates.feed.port`.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class InvariantError(ApricottallyError):
    """An invariant is violated; raised only if the configuration is strict."""


class SettingsError(ApricottallyError):
    """A setting is missing or invalid; `path` is its key path."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class SocketError(ApricottallyError):
    """A socket cannot be opened; `endpoint` is its address and port."""

    def __init__(self, endpoint: tuple[str, int], problem: str) -> None:
        super().__init__(f'{endpoint[0]}:{endpoint[1]}: {problem}')
        self.endpoint = endpoint
        self.problem = problem


class PlatformError(ApricottallyError):
    """The platform's key-value service did not answer or rejected a call."""


class CompactedError(PlatformError):
    """The platform has compacted the requested revision."""


class PullError(ApricottallyError):
    """A neighbour node did not return its records."""


class PublishError(ApricottallyError):
    """A change was not published, or its outcome is unknown."""


class NotAcceptedError(PublishError):
    """The platform rejected the change; nothing was written."""


class ConflictError(PublishError):
    """Another operator changed the key; nothing was written."""


class OutcomeUnknownError(PublishError):
    """The change may or may not have been written."""


class ControlError(ApricottallyError):
    """A node's control service did not answer or rejected a call."""
