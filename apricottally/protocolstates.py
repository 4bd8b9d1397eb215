"""States of the protocols between nodes and with the platform."""

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
class ProtocolStates:
    """The state of each protocol."""

    swim: SwimState
    memberlist_sync: MemberListSync = field(default_factory=MemberListSync)
    watch: WatcherState = field(default_factory=WatcherState)
    dissemination: DisseminationState = field(
        default_factory=DisseminationState
    )
    repair: RepairState = field(default_factory=RepairState)
    transfers: ChunkTransfers = field(default_factory=ChunkTransfers)
    numbering: NumberingState = field(default_factory=NumberingState)


def create_protocol_states(own: Member) -> ProtocolStates:
    """Return the initial states of a node that knows no other member."""
    return ProtocolStates(SwimState(digest=hash_member(own)))
