"""State of the control protocols between nodes and with the platform."""

from dataclasses import dataclass, field

from apricottally.chunktransfer import ChunkTransfers
from apricottally.dissemination import DisseminationState
from apricottally.memberlist import MemberListSync
from apricottally.members import Member
from apricottally.numbering import NumberingState
from apricottally.repair import RepairState
from apricottally.swim import SwimState, hash_member
from apricottally.watcherrole import WatcherState


@dataclass(slots=True)
class Control:
    """One table for each protocol."""

    swim: SwimState
    memberlist: MemberListSync = field(default_factory=MemberListSync)
    watch: WatcherState = field(default_factory=WatcherState)
    spread: DisseminationState = field(default_factory=DisseminationState)
    repair: RepairState = field(default_factory=RepairState)
    transfers: ChunkTransfers = field(default_factory=ChunkTransfers)
    numbering: NumberingState = field(default_factory=NumberingState)


def create_control(own: Member) -> Control:
    """Return the tables of a node that knows only itself."""
    return Control(SwimState(digest=hash_member(own)))
