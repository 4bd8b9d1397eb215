"""IPv4 addresses as numbers and as text, and sockets' endpoints."""

import ipaddress
from typing import TypeAlias

# Address text and port, as sockets take them.
Endpoint: TypeAlias = tuple[str, int]

# Ports that each node listens on by default.
PACKET_PORT = 6080
PEER_PORT = 6081
CONTROL_PORT = 6082
MONITORING_PORT = 6083
# Port on which backend servers report their load.
LOAD_PORT = 6084


def parse_ip(text: str) -> int:
    """Return an IPv4 address as a number; raises `ValueError`."""
    return int(ipaddress.IPv4Address(text))


def format_ip(number: int) -> str:
    """Return the dotted text of an IPv4 address."""
    return str(ipaddress.IPv4Address(number))
