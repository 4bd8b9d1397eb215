"""Settings of the daemon: a TOML file, fully validated before use."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import msgspec

from apricottally import addresses
from apricottally.addresses import Endpoint
from apricottally.errors import SettingsError
from apricottally.tomltables import Fault, read_fields, read_table

# Exit status of the daemon if its settings are invalid.
INVALID_SETTINGS_STATUS = 2

LOG_LEVELS = ('debug', 'info', 'warning', 'error')

_BYTE = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_PORT = (
    '([1-5]?[0-9]{1,4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])'
)
_IP = rf'{_BYTE}(\.{_BYTE}){{3}}'

Name: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r'\A[A-Za-z0-9.-]{1,63}\Z',
        description='1 to 63 letters, digits, "." or "-"',
    ),
]
UdpPort: TypeAlias = Annotated[
    int,
    msgspec.Meta(
        ge=1, le=addresses.MAX_PORT, description='UDP port, 1 to 65535'
    ),
]
TcpPort: TypeAlias = Annotated[
    int,
    msgspec.Meta(
        ge=1, le=addresses.MAX_PORT, description='TCP port, 1 to 65535'
    ),
]
IpText: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=rf'\A{_IP}\Z', description='IPv4 address'),
]
EndpointText: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf'\A{_IP}:(?!0){_PORT}\Z',
        description='"IP:PORT", IPv4 address and port 1 to 65535',
    ),
]
Level: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf'\A({"|".join(LOG_LEVELS)})\Z',
        description=', '.join(LOG_LEVELS),
    ),
]


class NodeTable(msgspec.Struct, frozen=True):
    """The table `[node]` with the types of the file."""

    name: Name
    zone: Name
    ip: IpText
    gateway: EndpointText
    packet_port: UdpPort = addresses.PACKET_PORT
    peer_port: UdpPort = addresses.PEER_PORT
    control_port: TcpPort = addresses.CONTROL_PORT
    monitoring_port: TcpPort = addresses.MONITORING_PORT
    seeds: tuple[EndpointText, ...] = ()


class PlatformTable(msgspec.Struct, frozen=True):
    """The table `[platform]` with the types of the file."""

    endpoint: EndpointText


class LogTable(msgspec.Struct, frozen=True):
    """The table `[log]` with the types of the file."""

    level: Level = 'info'


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity, listening ports and peers of a node."""

    name: str
    zone: str
    ip: str
    packet_port: int
    peer_port: int
    control_port: int
    monitoring_port: int
    gateway: Endpoint
    seeds: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Endpoint of the platform's key-value service."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Lowest level that is logged, one of `LOG_LEVELS`."""

    level: str


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of the daemon, with endpoints parsed."""

    node: NodeSettings
    platform: PlatformSettings
    log: LogSettings


class FileTable(msgspec.Struct, frozen=True):
    """The tables of the settings file."""

    node: NodeTable
    platform: PlatformTable
    log: LogTable


# Valid placeholders for faulty fields, so that the other fields can be
# checked.
SAMPLE = FileTable(
    NodeTable('sample', 'sample', '192.0.2.1', '192.0.2.2:6080'),
    PlatformTable('192.0.2.3:2379'),
    LogTable(),
)


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises an `ExceptionGroup` with one `SettingsError` for each fault.
    """
    table, faults = read_table(path)
    if not faults:
        tables, faults = _read_tables(table)
    if faults:
        errors = [SettingsError(each.path, each.problem) for each in faults]
        raise ExceptionGroup(f'settings file {path}', errors)
    return _build_settings(tables)


def _read_tables(
    table: dict[str, Any],
) -> tuple[FileTable, list[Fault]]:
    known = ('node', 'platform', 'log')
    faults = [
        Fault(key, f'unknown table; known: {", ".join(known)}')
        for key in table
        if key not in known
    ]
    node, node_faults = read_fields(SAMPLE.node, table.get('node', {}), 'node')
    platform, platform_faults = read_fields(
        SAMPLE.platform,
        table.get('platform', {}),
        'platform',
    )
    log, log_faults = read_fields(SAMPLE.log, table.get('log', {}), 'log')
    faults += node_faults + platform_faults + log_faults
    tables = FileTable(node, platform, log)
    return tables, faults + _check_ports(tables)


def _check_ports(tables: FileTable) -> list[Fault]:
    """Return a fault for each port that is assigned twice."""
    node = tables.node
    faults = []
    if node.packet_port == node.peer_port:
        problem = 'same UDP port as node.packet_port; allowed: any other port'
        faults.append(Fault('node.peer_port', problem))
    if node.control_port == node.monitoring_port:
        problem = 'same TCP port as node.control_port; allowed: any other port'
        faults.append(Fault('node.monitoring_port', problem))
    return faults


def _build_settings(tables: FileTable) -> Settings:
    fields = msgspec.structs.asdict(tables.node)
    fields['gateway'] = addresses.parse_endpoint(tables.node.gateway)
    fields['seeds'] = tuple(map(addresses.parse_endpoint, tables.node.seeds))
    return Settings(
        node=NodeSettings(**fields),
        platform=PlatformSettings(
            addresses.parse_endpoint(tables.platform.endpoint)
        ),
        log=LogSettings(tables.log.level),
    )
