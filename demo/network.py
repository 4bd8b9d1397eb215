"""Loopback addresses of a run.

They derive from the process id of `python -m demo`, so that concurrent runs use
different addresses.
"""

from dataclasses import dataclass

from apricottally import addresses
from apricottally.addresses import Endpoint
from standins import fabric

PLATFORM_PORT = 2379
# Addresses reserved for each deployment within the last octet.
_HOSTS_PER_DEPLOYMENT = 120
_PLATFORM_HOST = 1
_FABRIC_HOST = 2
_CALLER_HOST = 3
_FIRST_BALANCER_HOST = 10
_FIRST_BACKEND_HOST = 30
# The second octet is 1 to 250: 127.0.Y.N is left to other programs.
_SECOND_OCTET_COUNT = 250


@dataclass(frozen=True, slots=True)
class AddressLayout:
    """Addresses of one deployment: `127.X.Y.N`, with N above `host_offset`."""

    network_prefix: str
    host_offset: int

    @property
    def platform_endpoint(self) -> Endpoint:
        """Endpoint of the simulated platform."""
        return self._host(_PLATFORM_HOST), PLATFORM_PORT

    @property
    def fabric_ip(self) -> str:
        """Address of the simulated fabric."""
        return self._host(_FABRIC_HOST)

    @property
    def caller_ip(self) -> str:
        """Outer (encapsulating) source address of the caller process."""
        return self._host(_CALLER_HOST)

    def balancer_ip(self, index: int) -> str:
        """Return the address of the balancer with this index."""
        return self._host(_FIRST_BALANCER_HOST + index)

    def backend_ip(self, index: int) -> str:
        """Return the address of the backend server with this index."""
        return self._host(_FIRST_BACKEND_HOST + index)

    def _host(self, number: int) -> str:
        return f'{self.network_prefix}.{self.host_offset + number}'


def make_layouts(pid: int, count: int) -> list[AddressLayout]:
    """Return one layout for each of `count` deployments."""
    second_octet = 1 + (pid >> 8) % _SECOND_OCTET_COUNT
    network_prefix = f'127.{second_octet}.{pid & 0xFF}'
    return [
        AddressLayout(network_prefix, index * _HOSTS_PER_DEPLOYMENT)
        for index in range(count)
    ]


def format_endpoint(endpoint: Endpoint) -> str:
    """Return an endpoint as `IP:PORT`."""
    ip, port = endpoint
    return f'{ip}:{port}'


def format_gateway(layout: AddressLayout) -> str:
    """Return the gateway endpoint to which balancers send callers' packets."""
    return format_endpoint((layout.fabric_ip, fabric.GATEWAY_PORT))


def format_peer(ip: str) -> str:
    """Return the endpoint at which a balancer receives peers' messages."""
    return format_endpoint((ip, addresses.PEER_PORT))
