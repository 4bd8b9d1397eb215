"""Membership of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import Effect
from apricottally.events import Ticked

if TYPE_CHECKING:
    from apricottally.state import NodeState


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Send heartbeats."""
    return []
