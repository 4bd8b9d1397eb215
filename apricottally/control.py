"""State of the control protocols between nodes and with the platform."""

from dataclasses import dataclass, field

from apricottally.dissemination import Spread
from apricottally.memberlist import MemberList
from apricottally.members import Member
from apricottally.numbering import Numbering
from apricottally.repair import Repair
from apricottally.swim import Swim, fingerprint
from apricottally.transfer import Transfers
from apricottally.watch import Watch


@dataclass(slots=True)
class Control:
    """One table for each protocol."""

    swim: Swim
    memberlist: MemberList = field(default_factory=MemberList)
    watch: Watch = field(default_factory=Watch)
    spread: Spread = field(default_factory=Spread)
    repair: Repair = field(default_factory=Repair)
    transfers: Transfers = field(default_factory=Transfers)
    numbering: Numbering = field(default_factory=Numbering)


def create_control(own: Member) -> Control:
    """Return the tables of a node that knows only itself."""
    return Control(Swim(digest=fingerprint(own)))
