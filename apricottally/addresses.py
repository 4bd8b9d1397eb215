"""Conversions between IPv4 addresses, endpoints and their text forms."""

import ipaddress
from typing import TypeAlias

# Dotted address and port, as the socket API takes them.
Endpoint: TypeAlias = tuple[str, int]

# Ports that each node listens on by default.
PACKET_PORT = 6080
PEER_PORT = 6081
CONTROL_PORT = 6082
MONITORING_PORT = 6083
# Port on which backend servers report their load.
LOAD_PORT = 6084
MAX_PORT = 65535


def parse_ip(text: str) -> int:
    """Return a dotted IPv4 address as an integer; raises `ValueError`."""
    return int(ipaddress.IPv4Address(text))


def format_ip(number: int) -> str:
    """Return the dotted text of an IPv4 address given as an integer."""
    return str(ipaddress.IPv4Address(number))


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint written as `IP:PORT`; raises `ValueError`."""
    ip, _, port_text = text.rpartition(':')
    parse_ip(ip)
    return ip, parse_port(port_text)


def parse_port(text: str) -> int:
    """Parse a port in ASCII digits; raises `ValueError`."""
    is_number = text.isascii() and text.isdecimal()
    if not is_number or not 0 < int(text) <= MAX_PORT:
        raise ValueError(f'`{text}` is not a port')
    return int(text)


def format_endpoint(endpoint: Endpoint) -> str:
    """Return an endpoint as `IP:PORT`."""
    return f'{endpoint[0]}:{endpoint[1]}'
