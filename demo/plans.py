"""What a deployment consists of: machines, settings files and work."""

from dataclasses import dataclass

from apricottally import addresses
from apricottally.events import LoadReport
from apricottally.model import Holding, Machine, MachineState, Workspace
from demo import layout as places
from demo import toml
from demo.deployments import Deployment
from demo.layout import Layout
from standins.capacity import ServerConfig
from standins.workload import Work

# A change reaches every balancer within 7 s, and new work ends within 3 s of
# that.
DRAIN_GRACE_S = 10.0
# Balancers that others ask first.
_SEEDS = 2
_SHARE = 1.0
# Running numbers of backends whose load reports are late, in seconds, or
# wrong.
_LAGGING = {1: 3.0}
_LYING = {2: LoadReport(0, 0, 'ready')}


@dataclass(frozen=True, slots=True)
class BackendPlan:
    """A backend server and its zone."""

    config: ServerConfig
    zone: str

    def machine(self, state: MachineState) -> Machine:
        """Return its entry of the VM list."""
        config = self.config
        return Machine(
            config.service,
            self.zone,
            config.ip,
            state,
            config.slots,
            config.connections,
        )


def plan_backends(deployment: Deployment, layout: Layout) -> list[BackendPlan]:
    """Return the backend servers of all services, spread over the zones."""
    ports = tuple(
        offer.template.port
        for offer in deployment.offers.values()
        if offer.template.holds is Holding.slot
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
                report_lag_s=_LAGGING.get(index, 0),
                lie=_LYING.get(index),
            ),
            choose_zone(deployment, index),
        )
        for index, (service, name) in enumerate(names)
    ]


def plan_works(deployment: Deployment) -> tuple[Work, ...]:
    """Return the work of every workspace on every template."""
    return tuple(
        Work(
            name=f'{workspace}/{name}',
            target=f'{address}:{offer.template.port}',
            service=offer.template.service,
            kind=offer.traffic.kind,
            rate_per_s=offer.traffic.rate_per_s,
            feeds=offer.traffic.feeds,
            size=offer.traffic.size,
            work_ms=offer.traffic.work_ms,
        )
        for workspace, address in deployment.workspaces.items()
        for name, offer in deployment.offers.items()
    )


def plan_workspaces(deployment: Deployment) -> dict[str, Workspace]:
    """Return what operators publish for each workspace."""
    shares = dict.fromkeys(deployment.offers, _SHARE)
    return {
        name: Workspace(address, shares)
        for name, address in deployment.workspaces.items()
    }


def plan_balancer(
    deployment: Deployment,
    layout: Layout,
    index: int,
    state: MachineState,
) -> Machine:
    """Return a balancer's entry of the VM list."""
    zone = choose_zone(deployment, index)
    return Machine('', zone, layout.balancer_ip(index), state)


def write_balancer_settings(
    deployment: Deployment,
    layout: Layout,
    index: int,
) -> str:
    """Return a balancer's settings file."""
    node = {
        'name': name_balancer(index),
        'zone': choose_zone(deployment, index),
        'ip': layout.balancer_ip(index),
        'packet_port': addresses.PACKET_PORT,
        'peer_port': addresses.PEER_PORT,
        'control_port': addresses.CONTROL_PORT,
        'monitoring_port': addresses.MONITORING_PORT,
        'gateway': places.gateway(layout),
        'seeds': [
            places.peer(layout.balancer_ip(seed)) for seed in range(_SEEDS)
        ],
    }
    platform = {'endpoint': places.format_endpoint(layout.platform)}
    return toml.encode({'node': node, 'platform': platform})


def name_balancer(index: int) -> str:
    """Return a balancer's name on the VM list."""
    return f'node-{index}'


def choose_zone(deployment: Deployment, index: int) -> str:
    """Return the zone of the machine with a running number."""
    return deployment.zones[index % len(deployment.zones)]
