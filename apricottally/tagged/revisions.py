"""Revisions of the platform's records, ordered across restorations."""

from __future__ import annotations

import msgspec

from apricottally.fields import Number


class Revision(
    msgspec.Struct, frozen=True, order=True, array_like=True, gc=False
):
    """Position of a change in the history of the platform.

    `epoch` counts how often the platform was restored from an older copy: it
    then gives out again the numbers of the changes that it lost. Revisions are
    ordered by epoch, then by number.
    """

    epoch: Number
    number: Number


# Revision of a node without records; lower than any other.
NO_REVISION = Revision(0, 0)
