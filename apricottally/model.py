"""Records stored at the platform: types, decoding and validation.

Values are JSON documents. Those under `/apricottally/` have an envelope with
the id of the operation that wrote them. A writer that got no answer reads the
document back and looks for its operation id.
"""

import enum
from typing import Any, TypeVar, cast

import msgspec

from apricottally import addresses, decoding
from apricottally.errors import DecodingError, ModelError
from apricottally.packet import MAX_BACKENDS

ROOT_PREFIX = '/apricottally/'
TEMPLATE_PREFIX = '/apricottally/templates/'
WORKSPACE_PREFIX = '/apricottally/workspaces/'
BACKEND_PREFIX = '/apricottally/backends/'
MACHINE_PREFIX = '/vms/'
KEY_PREFIXES = (
    TEMPLATE_PREFIX,
    WORKSPACE_PREFIX,
    BACKEND_PREFIX,
    MACHINE_PREFIX,
)

MAX_VALUE_BYTES = 1_000_000
# Number of former operation ids kept in a document, so that a writer finds its
# own even after later writes.
MAX_RECENT_OPERATIONS = 8


class Urgency(enum.Enum):
    """Priority class of a template's flows, most urgent first."""

    urgent = 'urgent'
    normal = 'normal'
    background = 'background'


class Holding(enum.Enum):
    """Capacity that an open flow of a template uses at its backend."""

    slot = 'slot'
    connection = 'connection'


class BackendState(enum.Enum):
    """State of a backend server in its service.

    Retired backends are no longer on the VM list; their numbers stay reserved.
    """

    active = 'active'
    draining = 'draining'
    retired = 'retired'


class MachineState(enum.Enum):
    """State of a VM on the platform's list."""

    live = 'live'
    leaving = 'leaving'


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Defines the service that flows go to and how they are admitted.

    `port` is the service port at every workspace's address. `holds` is the
    kind of capacity that a flow uses. A SYN waits at most `max_wait_ms`. A
    flow's slot counts as free after `max_run_ms`, even if the flow is open.
    `queue_limit` is the maximum number of waiting SYNs per workspace.
    """

    service: str
    urgency: Urgency
    port: int
    holds: Holding
    max_wait_ms: int = 500
    max_run_ms: int = 30_000
    queue_limit: int = 64


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer: its service address and its templates.

    `templates` maps a template's name to the workspace's weight in the fair
    queueing of that template's flows.
    """

    address: str
    templates: dict[str, float]


class Backend(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One backend server of a service.

    `number` identifies the backend in the TCP timestamps of its flows.
    `changed_s` is the Unix time of the last change of `state`.
    """

    number: int
    name: str
    ip: str
    zone: str
    slots: int
    connections: int
    state: BackendState
    changed_s: int = 0


class BackendSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The numbered backend servers of a service.

    `next_number` is where the search for a free number starts.
    """

    backends: tuple[Backend, ...]
    next_number: int = 0


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A VM on the platform's list.

    `service` is the service of a backend server, and empty for a balancer.
    """

    service: str
    zone: str
    ip: str
    state: MachineState
    slots: int = 2
    connections: int = 2000


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The envelope of a value written by operators or watchers.

    `op` is the operation id of the last write; `recent` are the ids of former
    writes, newest first.
    """

    op: str
    author: str
    body: msgspec.Raw
    recent: tuple[str, ...] = ()


Body = TypeVar('Body')

_BODIES: dict[str, type] = {
    TEMPLATE_PREFIX: Template,
    WORKSPACE_PREFIX: Workspace,
    BACKEND_PREFIX: BackendSet,
}


def decode_document(value: bytes) -> Document:
    """Decode a value's envelope; raises `ModelError`."""
    if len(value) > MAX_VALUE_BYTES:
        raise ModelError('value', f'more than {MAX_VALUE_BYTES} bytes')
    return decode_json(value, Document)


def decode_json(value: bytes | msgspec.Raw, body: type[Body]) -> Body:
    """Decode a JSON body; raises `ModelError` with the key path."""
    try:
        return decoding.decode_json(value, body)
    except DecodingError as error:
        problem, _, path = str(error).partition(' - at ')
        raise ModelError(path.strip('`') or '$', problem) from error


def decode_record(
    key: str,
    value: bytes,
) -> Template | Workspace | BackendSet | Machine:
    """Decode and check the value of a key; raises `ModelError`."""
    if key.startswith(MACHINE_PREFIX):
        machine = decode_json(value, Machine)
        _check_ip('ip', machine.ip)
        return machine
    for prefix, body in _BODIES.items():
        if key.startswith(prefix):
            raw = decode_document(value).body
            decoded: Any = decode_json(raw, body)
            faults = list_faults(decoded)
            if faults:
                raise faults[0]
            return cast(Template | Workspace | BackendSet, decoded)
    raise ModelError(key, 'not a key of this system')


def list_faults(body: object) -> list[ModelError]:
    """Return the faults of a decoded body that decoding cannot detect."""
    if isinstance(body, Template):
        return _list_template_faults(body)
    if isinstance(body, Workspace):
        return _list_workspace_faults(body)
    if isinstance(body, BackendSet):
        return _list_backend_faults(body)
    return []


def encode_document(
    op: str,
    author: str,
    body: Template | Workspace | BackendSet,
    recent: tuple[str, ...] = (),
) -> bytes:
    """Encode a value with its envelope."""
    raw = msgspec.Raw(msgspec.json.encode(body))
    document = Document(op, author, raw, recent[:MAX_RECENT_OPERATIONS])
    return msgspec.json.encode(document)


def encode_json(body: Machine | BackendSet) -> bytes:
    """Encode a body without an envelope."""
    return msgspec.json.encode(body)


def _list_template_faults(template: Template) -> list[ModelError]:
    faults = []
    if not template.service:
        faults.append(ModelError('service', 'must not be empty'))
    if not 0 < template.port < 65536:
        faults.append(ModelError('port', 'must be 1 to 65535'))
    if not 0 < template.max_wait_ms <= 60_000:
        faults.append(ModelError('max_wait_ms', 'must be 1 to 60000 ms'))
    if not 0 < template.max_run_ms <= 86_400_000:
        faults.append(ModelError('max_run_ms', 'must be 1 to 86400000 ms'))
    if not 0 < template.queue_limit <= 10_000:
        faults.append(ModelError('queue_limit', 'must be 1 to 10000'))
    return faults


def _list_workspace_faults(workspace: Workspace) -> list[ModelError]:
    faults = []
    try:
        _check_ip('address', workspace.address)
    except ModelError as error:
        faults.append(error)
    if not workspace.templates:
        faults.append(ModelError('templates', 'must name a template'))
    for name, share in workspace.templates.items():
        if not 0 < share <= 1000:
            path = f'templates.{name}'
            faults.append(ModelError(path, 'must be above 0, at most 1000'))
    return faults


def _list_backend_faults(body: BackendSet) -> list[ModelError]:
    faults = []
    numbers = [backend.number for backend in body.backends]
    if len(set(numbers)) != len(numbers):
        faults.append(ModelError('backends', 'a number is used twice'))
    for index, backend in enumerate(body.backends):
        path = f'backends[{index}]'
        if not 0 <= backend.number < MAX_BACKENDS:
            faults.append(
                ModelError(
                    f'{path}.number', f'must be 0 to {MAX_BACKENDS - 1}'
                ),
            )
        try:
            _check_ip(f'{path}.ip', backend.ip)
        except ModelError as error:
            faults.append(error)
    return faults


def _check_ip(path: str, text: str) -> None:
    try:
        addresses.parse_ip(text)
    except ValueError as error:
        raise ModelError(path, 'must be an IPv4 address') from error
