"""A small deployment for long runs: zones, backends, workspaces and load."""

from dataclasses import dataclass

from apricottally.model import Holding, Template, Urgency, Workspace
from standins.capacity import ServerConfig
from standins.protocol import Kind
from standins.workload import Work

CALLER_IP = '10.200.0.1'
FLOOD_IP = '10.200.0.2'
# Number of nodes in each availability zone.
NODES_PER_ZONE = {'sv-a': 3, 'sv-b': 3, 'sv-c': 2}
FEED_PORT = 4101
BATCH_PORT = 4102
SHEET_PORT = 4103

TEMPLATES = {
    'label-feed': Template(
        'etikett-core',
        Urgency.normal,
        FEED_PORT,
        Holding.connection,
    ),
    'label-batch': Template(
        'etikett-core',
        Urgency.urgent,
        BATCH_PORT,
        Holding.slot,
    ),
    'proof-sheet': Template(
        'proof-store',
        Urgency.background,
        SHEET_PORT,
        Holding.slot,
    ),
}
WORKSPACES = {
    name: Workspace(address, dict.fromkeys(TEMPLATES, float(1)))
    for name, address in (
        ('bjork-balm', '10.20.0.1'),
        ('fjall-balm', '10.20.0.2'),
    )
}


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """The settings of a backend server, and its zone."""

    config: ServerConfig
    zone: str


def _build_backend_specs() -> tuple[BackendSpec, ...]:
    counts = {'etikett-core': 7, 'proof-store': 3}
    names = [
        (service, f'{service}-{index}')
        for service, count in counts.items()
        for index in range(count)
    ]
    zones = sorted(NODES_PER_ZONE)
    return tuple(
        BackendSpec(
            ServerConfig(
                name=name,
                service=service,
                ip=f'10.100.0.{index + 1}',
                slot_ports=(BATCH_PORT, SHEET_PORT),
                drain_grace_s=10,
            ),
            zones[index % len(zones)],
        )
        for index, (service, name) in enumerate(names)
    )


BACKEND_SPECS = _build_backend_specs()


def list_steady_work() -> tuple[Work, ...]:
    """Return the streams that run all the time, for all workspaces."""
    works = []
    for name, workspace in WORKSPACES.items():
        address = workspace.address
        works += [
            Work(
                f'{name}/feed',
                f'{address}:{FEED_PORT}',
                'etikett-core',
                Kind.feed,
                rate_per_s=2,
                feeds=4,
                interval_ms=1000,
            ),
            Work(
                f'{name}/batch',
                f'{address}:{BATCH_PORT}',
                'etikett-core',
                Kind.submission,
                rate_per_s=4,
                size=300,
                work_ms=30,
            ),
            Work(
                f'{name}/sheet',
                f'{address}:{SHEET_PORT}',
                'proof-store',
                Kind.download,
                rate_per_s=1,
                size=4000,
                work_ms=40,
            ),
        ]
    return tuple(works)


def list_flood_work() -> tuple[Work, ...]:
    """Return a flood of proof sheets at ten times the steady rate."""
    address = WORKSPACES['fjall-balm'].address
    return (
        Work(
            'flood/sheet',
            f'{address}:{SHEET_PORT}',
            'proof-store',
            Kind.download,
            rate_per_s=20,
            size=4000,
            work_ms=300,
        ),
    )
