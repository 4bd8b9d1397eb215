"""Publishing of documents by compare-and-swap, safe against lost responses.

Every write carries an operation id. If the response is lost, the key is read
back: the id in the document shows that the write took effect. A retry uses
the same id and the same expected version, so that the write takes effect at
most once.
"""

import asyncio
import enum
import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

from apricottally import model
from apricottally.errors import (
    ConflictError,
    ModelError,
    NotAcceptedError,
    OutcomeUnknownError,
    PlatformError,
)
from apricottally.model import Document
from apricottally.operatorfiles import Body
from apricottally.platformclient import PlatformClient, SwapOutcome

# Time to resolve a write without a response; after it, the outcome is reported
# as unknown.
RESOLVE_TIMEOUT_S = float(20)
_FIRST_BACKOFF_S = 0.1
# Longest pause between calls, as a fraction of the time to resolve.
_MAX_BACKOFF_FRACTION = 0.1
# Operation ids in a document: that of the last write and those before it.
_IDS_PER_DOCUMENT = model.MAX_RECENT_OPERATIONS + 1
_OPERATION_ID_BYTES = 8


class Outcome(enum.Enum):
    """Result of a publication that did not fail.

    `superseded`: accepted, but overwritten by a later write since then.
    `unchanged`: the key already had this content; nothing was written.
    `absent`: the key to delete did not exist.
    """

    accepted = 'accepted'
    superseded = 'superseded'
    unchanged = 'unchanged'
    deleted = 'deleted'
    absent = 'absent'


class Verdict(enum.Enum):
    """Result of comparing the key read back with the key before a write.

    `superseded`: the write took effect and was overwritten by a later one.
    `beaten`: the write did not take effect; another was applied instead.
    `untouched`: the key still has the version from before the write.
    `unclear`: the key does not show whether the write took effect.
    """

    accepted = 'accepted'
    superseded = 'superseded'
    beaten = 'beaten'
    untouched = 'untouched'
    unclear = 'unclear'


@dataclass(frozen=True, slots=True)
class StoredKey:
    """State of a key in the platform; `version` is 0 if it does not exist.

    `created_version` is the version at which the key was created and
    `write_count` the number of writes since then, the creation included.
    `document` is None if the key does not exist or its value is invalid.
    """

    version: int = 0
    created_version: int = 0
    write_count: int = 0
    document: Document | None = None

    @property
    def operations(self) -> tuple[str, ...]:
        """Operation ids in the document, newest first."""
        if self.document is None:
            return ()
        return self.document.op, *self.document.recent

    @property
    def author(self) -> str:
        """Author of the last write."""
        return self.document.author if self.document else 'unknown'


@dataclass(frozen=True, slots=True)
class Change:
    """Change requested by an operator; `body` None deletes the key.

    `expected` is the version that the operator's change is based on; None
    accepts any current version.
    """

    key: str
    body: Body | None
    author: str
    op: str
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Publication:
    """Result of a publication that did not fail.

    `version` is 0 if it is unknown, for example after a later write.
    `former_version` is the version of the key before the publication.
    """

    key: str
    op: str
    outcome: Outcome
    version: int
    former_version: int


WriteCall: TypeAlias = Callable[[], Awaitable[SwapOutcome]]
VerdictFunction: TypeAlias = Callable[[StoredKey, bool], Verdict]


def generate_operation_id() -> str:
    """Return a new operation id."""
    return secrets.token_hex(_OPERATION_ID_BYTES)


async def read_stored(client: PlatformClient, key: str) -> StoredKey:
    """Read the state of a key; raises `PlatformError`."""
    entry = await client.read_entry(key)
    if entry is None:
        return StoredKey()
    try:
        document = model.decode_document(entry.value)
    except ModelError:
        document = None
    return StoredKey(
        entry.mod_revision,
        entry.create_revision,
        entry.version,
        document,
    )


async def publish(
    client: PlatformClient,
    change: Change,
    resolve_s: float = RESOLVE_TIMEOUT_S,
) -> Publication:
    """Write or delete a key and determine whether the change took effect.

    Raises `NotAcceptedError`, `ConflictError` and `OutcomeUnknownError`.
    """
    try:
        base = await read_stored(client, change.key)
    except PlatformError as error:
        raise NotAcceptedError(
            f'{change.key} was not accepted: the platform cannot be read '
            f'({error}). Nothing was written, and nodes keep their current '
            'configuration. Run the command again when the platform is '
            'reachable.',
        ) from error
    finished = _finish_without_write(change, base)
    if finished is not None:
        return finished
    writer = _Writer(client, change, base, resolve_s)
    return await writer.run()


def classify_write(base: StoredKey, found: StoredKey, op: str) -> Verdict:
    """Determine from the key read back whether a write took effect.

    `base` is the key before the write, `found` the key read back, and `op`
    the operation id of the write.
    """
    if found.operations[:1] == (op,):
        return Verdict.accepted
    if op in found.operations:
        return Verdict.superseded
    if found.version == base.version:
        return Verdict.untouched
    if found.created_version != base.created_version and base.version:
        # The key was deleted meanwhile, perhaps after this write: the deleted
        # document may have contained the id.
        return Verdict.unclear
    if found.write_count - base.write_count > _IDS_PER_DOCUMENT:
        return Verdict.unclear
    return Verdict.beaten


def classify_deletion(base: StoredKey, found: StoredKey) -> Verdict:
    """Determine from the key read back whether a deletion took effect.

    `base` is the key before the deletion, `found` the key read back.
    """
    if not found.version:
        return Verdict.accepted
    if found.version == base.version:
        return Verdict.untouched
    if found.created_version == base.created_version:
        return Verdict.beaten
    return Verdict.unclear


class _Writer:
    """Writes one change and retries until its outcome is known."""

    def __init__(
        self,
        client: PlatformClient,
        change: Change,
        base: StoredKey,
        resolve_s: float,
    ) -> None:
        self._client = client
        self._change = change
        self._base = base
        self._resolve_s = resolve_s
        # Whether a write without a response may have taken effect.
        self._may_be_applied = False
        # Whether the key must be read back before the next write.
        self._must_read_back = False
        self._reason = 'no answer in time'

    async def run(self) -> Publication:
        try:
            async with asyncio.timeout(self._resolve_s):
                return await self._write_until_known()
        except TimeoutError:
            raise self._build_unknown_error() from None
        except asyncio.CancelledError:
            # The error tells the operator the operation id, which is needed to
            # resolve the interrupted write later.
            self._reason = 'interrupted'
            raise self._build_unknown_error() from None

    async def _write_until_known(self) -> Publication:
        max_backoff_s = self._resolve_s * _MAX_BACKOFF_FRACTION
        backoff_s = min(_FIRST_BACKOFF_S, max_backoff_s)
        while True:
            try:
                publication = await self._write_once()
            except PlatformError as error:
                self._handle_failed_call(error)
                publication = None
            if publication is not None:
                return publication
            await asyncio.sleep(random.uniform(0, backoff_s))
            backoff_s = min(2 * backoff_s, max_backoff_s)

    async def _write_once(self) -> Publication | None:
        """Write the change; if it was not stored, read the key back.

        Returns None while the outcome is unknown and a retry is safe.
        """
        if not self._must_read_back:
            outcome = await self._swap()
            if outcome.outcome == 'stored':
                return self._build_publication(outcome.version)
            if outcome.outcome == 'unknown':
                self._may_be_applied = True
                self._reason = outcome.reason
            self._must_read_back = True
        found = await read_stored(self._client, self._change.key)
        self._must_read_back = False
        return self._resolve(found)

    async def _swap(self) -> SwapOutcome:
        change = self._change
        version = self._base.version
        if change.body is None:
            return await self._client.remove(change.key, version)
        recent = self._base.operations[: model.MAX_RECENT_OPERATIONS]
        document = model.encode_document(
            change.op,
            change.author,
            change.body,
            recent,
        )
        return await self._client.swap(change.key, version, document)

    def _handle_failed_call(self, error: PlatformError) -> None:
        """Store the reason of a failed call; raise if nothing was written."""
        self._reason = str(error)
        if not self._may_be_applied:
            raise NotAcceptedError(
                f'{self._change.key} was not accepted: {error}. Nothing was '
                'written. Run the command again when the platform is '
                'reachable.',
            ) from error

    def _resolve(self, found: StoredKey) -> Publication | None:
        verdict = self._classify(found)
        if verdict is Verdict.accepted:
            return self._build_publication(found.version)
        if verdict is Verdict.superseded:
            return self._build_publication(0, Outcome.superseded)
        if verdict is Verdict.untouched:
            return None
        if verdict is Verdict.unclear and self._may_be_applied:
            raise self._build_unknown_error()
        raise _build_conflict_error(self._change, self._base.version, found)

    def _classify(self, found: StoredKey) -> Verdict:
        if self._change.body is None:
            return classify_deletion(self._base, found)
        return classify_write(self._base, found, self._change.op)

    def _build_publication(
        self,
        version: int,
        outcome: Outcome = Outcome.accepted,
    ) -> Publication:
        if self._change.body is None:
            outcome = Outcome.deleted
        return Publication(
            self._change.key,
            self._change.op,
            outcome,
            version,
            self._base.version,
        )

    def _build_unknown_error(self) -> OutcomeUnknownError:
        change = self._change
        repeat_options = (
            f'--operation {change.op} --expect {self._base.version}'
        )
        if change.body is None:
            repeat_options = f'--expect {self._base.version}'
        return OutcomeUnknownError(
            f'The outcome for {change.key} is unknown: the response to the '
            f'write was lost ({self._reason}), and reading the key back did '
            'not show whether the write took effect. When the platform is '
            'reachable, run the same command with '
            f'{repeat_options}: it resolves the outcome and does not write '
            'twice.',
        )


def _finish_without_write(
    change: Change,
    base: StoredKey,
) -> Publication | None:
    """Return the result if no write is needed; raises `ConflictError`."""
    outcome = _find_earlier_outcome(change, base)
    if outcome is None and change.expected not in {None, base.version}:
        raise _build_conflict_error(change, change.expected or 0, base)
    if outcome is None and _has_body(base, change.body):
        outcome = Outcome.unchanged
    if outcome is None:
        return None
    version = 0 if outcome is Outcome.superseded else base.version
    return Publication(change.key, change.op, outcome, version, base.version)


def _find_earlier_outcome(change: Change, base: StoredKey) -> Outcome | None:
    """Return the outcome if an earlier run already made this change."""
    if base.operations[:1] == (change.op,):
        return Outcome.accepted
    if change.op in base.operations:
        return Outcome.superseded
    if change.body is None and not base.version:
        # An expected version means that this run repeats a deletion that
        # took effect.
        return Outcome.deleted if change.expected else Outcome.absent
    return None


def _has_body(base: StoredKey, body: Body | None) -> bool:
    if base.document is None or body is None:
        return False
    try:
        return model.decode_json(base.document.body, type(body)) == body
    except ModelError:
        return False


def _build_conflict_error(
    change: Change,
    version: int,
    found: StoredKey,
) -> ConflictError:
    if found.version:
        current_state = (
            f'it is now at version {found.version}, by {found.author}'
        )
    else:
        current_state = 'it does not exist now'
    return ConflictError(
        f'{change.key} was not accepted: your change is based on version '
        f'{version}, and {current_state}. Your change was not written. '
        f'Inspect the key with `show` or `diff`, merge the other change, and '
        f'run the command again with --expect {found.version}.',
    )
