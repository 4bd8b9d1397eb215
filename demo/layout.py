"""Loopback addresses of a run, from the launcher's process id."""

from dataclasses import dataclass

from apricottally import addresses
from apricottally.addresses import Endpoint
from standins import fabric

PLATFORM_PORT = 2379
# Hosts kept for each deployment within the last octet.
_HOSTS = 120
_PLATFORM_HOST = 1
_FABRIC_HOST = 2
_CALLER_HOST = 3
_FIRST_BALANCER = 10
_FIRST_BACKEND = 30
# 127.0.Y.0 is left to other programs.
_SECOND_OCTETS = 250


@dataclass(frozen=True, slots=True)
class Layout:
    """Addresses of one deployment: `127.X.Y.N`, N above `offset`."""

    net: str
    offset: int

    @property
    def platform(self) -> Endpoint:
        """Where the platform stand-in listens."""
        return self._host(_PLATFORM_HOST), PLATFORM_PORT

    @property
    def fabric_ip(self) -> str:
        """Address of the fabric."""
        return self._host(_FABRIC_HOST)

    @property
    def caller_ip(self) -> str:
        """Outer address of the caller process."""
        return self._host(_CALLER_HOST)

    def balancer_ip(self, index: int) -> str:
        """Return the address of a balancer."""
        return self._host(_FIRST_BALANCER + index)

    def backend_ip(self, index: int) -> str:
        """Return the address of a backend server."""
        return self._host(_FIRST_BACKEND + index)

    def _host(self, number: int) -> str:
        return f'{self.net}.{self.offset + number}'


def make_layouts(pid: int, count: int) -> list[Layout]:
    """Return the layouts of a run's deployments."""
    second = 1 + (pid >> 8) % _SECOND_OCTETS
    net = f'127.{second}.{pid & 0xFF}'
    return [Layout(net, index * _HOSTS) for index in range(count)]


def format_endpoint(endpoint: Endpoint) -> str:
    """Return `IP:PORT`."""
    ip, port = endpoint
    return f'{ip}:{port}'


def gateway(layout: Layout) -> str:
    """Return where balancers send packets for callers."""
    return format_endpoint((layout.fabric_ip, fabric.GATEWAY_PORT))


def peer(ip: str) -> str:
    """Return the peer endpoint of a balancer."""
    return format_endpoint((ip, addresses.PEER_PORT))
