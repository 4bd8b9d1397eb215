"""Records and members for the measurements of the control protocols."""

import msgspec

from apricottally import model, swim
from apricottally.memberupdates import PendingUpdates
from standins.mesh import Mesh


def build_machine(number: int, state: str = 'live') -> bytes:
    """Return the record value of a backend server's VM."""
    machine = model.Machine(
        'desk',
        'a',
        f'10.{100 + number // 65536}.{number // 256 % 256}.{number % 256}',
        model.MachineState(state),
    )
    return msgspec.json.encode(machine)


def build_workspace(number: int) -> bytes:
    """Return the record value of a workspace with two templates."""
    workspace = model.Workspace(
        f'10.200.{number // 256 % 256}.{number % 256}',
        {'feed': 1, 'batch': 2},
    )
    recent = tuple(f'operator-{index:032x}' for index in range(8))
    return model.encode_document('operator-1', 'operator', workspace, recent)


def build_backends(service: str, count: int) -> bytes:
    """Return the record value of a service's numbered backends."""
    listed = tuple(
        model.Backend(
            number,
            f'vm-{service}-{number}',
            f'10.90.{number // 256}.{number % 256}',
            'a',
            2,
            2000,
            model.BackendState.active,
        )
        for number in range(count)
    )
    body = model.BackendSet(listed, count)
    return model.encode_document('operator-1', 'node', body)


def introduce_nodes(mesh: Mesh) -> None:
    """Make all nodes known to each other, as in a region in steady state.

    Member updates that are still to be sent are discarded.
    """
    mesh.run(0.2)
    states = mesh.list_states()
    members = tuple(state.members.own for state in states)
    for state in states:
        swim.apply_updates(state, mesh.timeline.now, members, disseminate=False)
        state.protocols.memberlist_sync.joined = True
        state.protocols.swim.pending_updates = PendingUpdates()
