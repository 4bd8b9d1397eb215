"""Operators' writes: compare-and-swap, and lost answers read back.

Every write carries an operation id. If the answer is lost, the key is read
back: the id in the document shows that the write took effect. The write is
repeated only with the same id and against the same version, so it takes
effect at most once.
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

# Time for resolving a lost answer before the outcome is reported as unknown.
RESOLVE_S = float(20)
_FIRST_PAUSE_S = 0.1
# Longest pause between calls, as a part of the time for resolving.
_MAX_PAUSE_PART = 0.1
# Ids that a document shows: that of its last write and the recent ones.
_SHOWN_OPERATIONS = model.MAX_RECENT_OPERATIONS + 1
_OPERATION_BYTES = 8


class Outcome(enum.Enum):
    """How a publication ended, if it did not fail.

    `superseded`: accepted, and overwritten by a later write since.
    `absent`: there was nothing to delete.
    """

    accepted = 'accepted'
    superseded = 'superseded'
    unchanged = 'unchanged'
    deleted = 'deleted'
    absent = 'absent'


class Verdict(enum.Enum):
    """What reading back says about a write."""

    accepted = 'accepted'
    superseded = 'superseded'
    beaten = 'beaten'
    untouched = 'untouched'
    unclear = 'unclear'


@dataclass(frozen=True, slots=True)
class Stored:
    """A key as it stands in the platform; `version` 0: it does not exist.

    `created` is the version that created it, `writes` how often it was
    written since. `document` is None if there is none that can be decoded.
    """

    version: int = 0
    created: int = 0
    writes: int = 0
    document: Document | None = None

    @property
    def operations(self) -> tuple[str, ...]:
        """Operation ids that the document shows, newest first."""
        if self.document is None:
            return ()
        return self.document.op, *self.document.recent

    @property
    def author(self) -> str:
        """Who wrote it last."""
        return self.document.author if self.document else 'unknown'


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator asks for; `body` None deletes the key.

    `expected` is the version that the operator started from, None for
    whichever is there.
    """

    key: str
    body: Body | None
    author: str
    op: str
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Publication:
    """A publication that did not fail; `version` 0 if it is not known."""

    key: str
    op: str
    outcome: Outcome
    version: int
    former_version: int


Write: TypeAlias = Callable[[], Awaitable[SwapOutcome]]
Judge: TypeAlias = Callable[[Stored, bool], Verdict]


def make_operation() -> str:
    """Return a new operation id."""
    return secrets.token_hex(_OPERATION_BYTES)


async def read_stored(client: PlatformClient, key: str) -> Stored:
    """Read a key with its document; raises `PlatformError`."""
    entry = await client.read_entry(key)
    if entry is None:
        return Stored()
    try:
        document = model.decode_document(entry.value)
    except ModelError:
        document = None
    return Stored(
        entry.mod_revision,
        entry.create_revision,
        entry.version,
        document,
    )


async def publish(
    client: PlatformClient,
    change: Change,
    resolve_s: float = RESOLVE_S,
) -> Publication:
    """Write or delete a key, and find out whether it took effect.

    Raises `NotAcceptedError`, `ConflictError` and `OutcomeUnknownError`.
    """
    try:
        base = await read_stored(client, change.key)
    except PlatformError as error:
        raise NotAcceptedError(
            f'{change.key} was not accepted: the platform cannot be read '
            f'({error}). Nothing was written, and nodes go on with the '
            'configuration they have. Run the command again when the '
            'platform answers.',
        ) from error
    early = _conclude_early(change, base)
    if early is not None:
        return early
    writer = _Writer(client, change, base, resolve_s)
    return await writer.run()


def judge_write(base: Stored, found: Stored, op: str) -> Verdict:
    """Judge a write with id `op` against `base` by the key read back."""
    if found.operations[:1] == (op,):
        return Verdict.accepted
    if op in found.operations:
        return Verdict.superseded
    if found.version == base.version:
        return Verdict.untouched
    if found.created != base.created and base.version:
        # Deleted since; the deleted document may have held the id.
        return Verdict.unclear
    if found.writes - base.writes > _SHOWN_OPERATIONS:
        return Verdict.unclear
    return Verdict.beaten


def judge_removal(base: Stored, found: Stored) -> Verdict:
    """Judge a deletion of `base` by the key read back."""
    if not found.version:
        return Verdict.accepted
    if found.version == base.version:
        return Verdict.untouched
    if found.created == base.created:
        return Verdict.beaten
    return Verdict.unclear


class _Writer:
    """One publication, from the first write to a known outcome."""

    def __init__(
        self,
        client: PlatformClient,
        change: Change,
        base: Stored,
        resolve_s: float,
    ) -> None:
        self._client = client
        self._change = change
        self._base = base
        self._resolve_s = resolve_s
        # Whether a write may have taken effect without an answer.
        self._in_doubt = False
        # Whether the key has to be read before the next write.
        self._has_to_read = False
        self._reason = 'no answer in time'

    async def run(self) -> Publication:
        try:
            async with asyncio.timeout(self._resolve_s):
                return await self._write_until_known()
        except TimeoutError:
            raise self._explain_unknown() from None
        except asyncio.CancelledError:
            # The operator has to know the operation id of a write under way.
            self._reason = 'interrupted'
            raise self._explain_unknown() from None

    async def _write_until_known(self) -> Publication:
        max_pause_s = self._resolve_s * _MAX_PAUSE_PART
        pause_s = min(_FIRST_PAUSE_S, max_pause_s)
        while True:
            try:
                done = await self._write_once()
            except PlatformError as error:
                self._note(error)
                done = None
            if done is not None:
                return done
            await asyncio.sleep(random.uniform(0, pause_s))
            pause_s = min(2 * pause_s, max_pause_s)

    async def _write_once(self) -> Publication | None:
        """Write and, unless stored, read back; None: not known yet."""
        if not self._has_to_read:
            outcome = await self._swap()
            if outcome.outcome == 'stored':
                return self._conclude(outcome.version)
            if outcome.outcome == 'unknown':
                self._in_doubt = True
                self._reason = outcome.reason
            self._has_to_read = True
        found = await read_stored(self._client, self._change.key)
        self._has_to_read = False
        return self._weigh(found)

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

    def _note(self, error: PlatformError) -> None:
        """Keep the reason of a failed call; fail if nothing was written."""
        self._reason = str(error)
        if not self._in_doubt:
            raise NotAcceptedError(
                f'{self._change.key} was not accepted: {error}. Nothing was '
                'written. Run the command again when the platform answers.',
            ) from error

    def _weigh(self, found: Stored) -> Publication | None:
        verdict = self._judge(found)
        if verdict is Verdict.accepted:
            return self._conclude(found.version)
        if verdict is Verdict.superseded:
            return self._conclude(0, Outcome.superseded)
        if verdict is Verdict.untouched:
            return None
        if verdict is Verdict.unclear and self._in_doubt:
            raise self._explain_unknown()
        raise _explain_conflict(self._change, self._base.version, found)

    def _judge(self, found: Stored) -> Verdict:
        if self._change.body is None:
            return judge_removal(self._base, found)
        return judge_write(self._base, found, self._change.op)

    def _conclude(
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

    def _explain_unknown(self) -> OutcomeUnknownError:
        change = self._change
        repeat = f'--operation {change.op} --expect {self._base.version}'
        if change.body is None:
            repeat = f'--expect {self._base.version}'
        return OutcomeUnknownError(
            f'The outcome for {change.key} is unknown: the answer to the '
            f'write was lost ({self._reason}), and reading back did not show '
            'whether it took effect. When the platform answers, run the same '
            f'command with {repeat}: it finds out, and does not write twice.',
        )


def _conclude_early(change: Change, base: Stored) -> Publication | None:
    """Return the publication if nothing has to be written."""
    outcome = _find_early_outcome(change, base)
    if outcome is None and change.expected not in {None, base.version}:
        raise _explain_conflict(change, change.expected or 0, base)
    if outcome is None and _holds_body(base, change.body):
        outcome = Outcome.unchanged
    if outcome is None:
        return None
    version = 0 if outcome is Outcome.superseded else base.version
    return Publication(change.key, change.op, outcome, version, base.version)


def _find_early_outcome(change: Change, base: Stored) -> Outcome | None:
    """Return the outcome if this operation was carried out before."""
    if base.operations[:1] == (change.op,):
        return Outcome.accepted
    if change.op in base.operations:
        return Outcome.superseded
    if change.body is None and not base.version:
        # With a version to start from, this is the repeat of a deletion.
        return Outcome.deleted if change.expected else Outcome.absent
    return None


def _holds_body(base: Stored, body: Body | None) -> bool:
    if base.document is None or body is None:
        return False
    try:
        return model.decode_json(base.document.body, type(body)) == body
    except ModelError:
        return False


def _explain_conflict(
    change: Change,
    version: int,
    found: Stored,
) -> ConflictError:
    if found.version:
        now = f'it is now at version {found.version}, by {found.author}'
    else:
        now = 'it does not exist now'
    return ConflictError(
        f'{change.key} was not accepted: you started from version {version}, '
        f'and {now}. Nothing of yours was written. Look at it with `show` or '
        f'`diff`, take the other change in, and run the command again with '
        f'--expect {found.version}.',
    )
