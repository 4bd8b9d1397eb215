"""Errors of each layer; a layer turns those from below into its own."""


class ApricottallyError(Exception):
    """Base of every error raised by this package."""


class WireError(ApricottallyError):
    """A datagram or packet that is refused; `reason` is a counter label."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ModelError(ApricottallyError):
    """A value of the operators' input that is not allowed.

    `path` is the key path within the document, such as `templates.feed.port`.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class InvariantError(ApricottallyError):
    """A broken invariant; raised only where the driver asks for strictness."""


class SettingsError(ApricottallyError):
    """A fault in the settings file; `path` is the key path."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class SocketError(ApricottallyError):
    """A socket that cannot be opened; `endpoint` is its address and port."""

    def __init__(self, endpoint: tuple[str, int], problem: str) -> None:
        super().__init__(f'{endpoint[0]}:{endpoint[1]}: {problem}')
        self.endpoint = endpoint
        self.problem = problem


class PlatformError(ApricottallyError):
    """The platform's service did not answer, or refused the call."""


class CompactedError(PlatformError):
    """The platform no longer keeps the revision that was asked for."""


class PullError(ApricottallyError):
    """A neighbour did not give its records."""


class PublishError(ApricottallyError):
    """A publication that was not accepted, or whose outcome is unknown."""


class NotAcceptedError(PublishError):
    """The platform did not take the change; nothing was written."""


class ConflictError(PublishError):
    """The key was changed by another operator; nothing was written."""


class OutcomeUnknownError(PublishError):
    """The change may or may not have been accepted."""


class ControlError(ApricottallyError):
    """A node's control service did not answer, or refused the call."""
