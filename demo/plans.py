"""Derives VMs, settings files and caller work from a deployment."""

from dataclasses import dataclass

from apricottally import addresses
from apricottally.events import LoadReport
from apricottally.model import Holding, Machine, MachineState, Workspace
from demo import network, toml
from demo.deployments import Deployment
from demo.network import AddressLayout
from standins.capacity import ServerConfig
from standins.workload import Work

# A draining backend accepts new flows for this long: a change reaches every
# balancer within 7 s, and the last new flows arrive within another 3 s.
DRAIN_GRACE_S = 10.0
# Number of balancers listed as seeds in each balancer's settings.
_SEED_COUNT = 2
_INITIAL_SHARE = 1.0
# Backend servers, by index, whose load reports are late, and by how much.
_REPORT_LAGS_S = {1: 3.0}
# Backend servers, by index, that always send the same false load report.
_FALSE_REPORTS = {2: LoadReport(0, 0, 'ready')}


@dataclass(frozen=True, slots=True)
class BackendPlan:
    """Settings of a simulated backend server, and its zone."""

    config: ServerConfig
    zone: str

    def to_machine(self, state: MachineState) -> Machine:
        """Return the backend server's entry in the platform's VM list."""
        config = self.config
        return Machine(
            config.service,
            self.zone,
            config.ip,
            state,
            config.slots,
            config.connections,
        )


def plan_backends(
    deployment: Deployment, layout: AddressLayout
) -> list[BackendPlan]:
    """Return the backend servers of all services, assigned to zones in turn."""
    ports = tuple(
        planned.template.port
        for planned in deployment.template_traffic.values()
        if planned.template.holds is Holding.slot
    )
    names = [
        (service, f'{service}-{index}')
        for service, count in deployment.services.items()
        for index in range(count)
    ]
    return [
        BackendPlan(
            ServerConfig(
                name=name,
                service=service,
                ip=layout.backend_ip(index),
                slot_ports=ports,
                drain_grace_s=DRAIN_GRACE_S,
                report_lag_s=_REPORT_LAGS_S.get(index, 0),
                lie=_FALSE_REPORTS.get(index),
            ),
            choose_zone(deployment, index),
        )
        for index, (service, name) in enumerate(names)
    ]


def plan_workloads(deployment: Deployment) -> tuple[Work, ...]:
    """Return one stream of work for each workspace and template."""
    return tuple(
        Work(
            name=f'{workspace}/{name}',
            target=f'{address}:{planned.template.port}',
            service=planned.template.service,
            kind=planned.traffic.kind,
            rate_per_s=planned.traffic.rate_per_s,
            feeds=planned.traffic.feeds,
            size=planned.traffic.size,
            work_ms=planned.traffic.work_ms,
        )
        for workspace, address in deployment.workspaces.items()
        for name, planned in deployment.template_traffic.items()
    )


def plan_workspaces(deployment: Deployment) -> dict[str, Workspace]:
    """Return the workspace records that operators publish, by name."""
    shares = dict.fromkeys(deployment.template_traffic, _INITIAL_SHARE)
    return {
        name: Workspace(address, shares)
        for name, address in deployment.workspaces.items()
    }


def plan_balancer(
    deployment: Deployment,
    layout: AddressLayout,
    index: int,
    state: MachineState,
) -> Machine:
    """Return a balancer's entry in the platform's VM list."""
    zone = choose_zone(deployment, index)
    return Machine('', zone, layout.balancer_ip(index), state)


def format_balancer_settings(
    deployment: Deployment,
    layout: AddressLayout,
    index: int,
) -> str:
    """Return the content of a balancer's settings file."""
    node = {
        'name': name_balancer(index),
        'zone': choose_zone(deployment, index),
        'ip': layout.balancer_ip(index),
        'packet_port': addresses.PACKET_PORT,
        'peer_port': addresses.PEER_PORT,
        'control_port': addresses.CONTROL_PORT,
        'monitoring_port': addresses.MONITORING_PORT,
        'gateway': network.format_gateway(layout),
        'seeds': [
            network.format_peer(layout.balancer_ip(seed))
            for seed in range(_SEED_COUNT)
        ],
    }
    platform = {'endpoint': network.format_endpoint(layout.platform_endpoint)}
    return toml.encode({'node': node, 'platform': platform})


def name_balancer(index: int) -> str:
    """Return the name of a balancer in the VM list and its settings."""
    return f'node-{index}'


def choose_zone(deployment: Deployment, index: int) -> str:
    """Return the zone of the balancer or backend server with this index."""
    return deployment.zones[index % len(deployment.zones)]
