"""Route table compiled from records: endpoints, backends and shards."""

from collections import defaultdict
from dataclasses import dataclass

from apricottally import addresses, model
from apricottally.addresses import Endpoint
from apricottally.errors import ModelError
from apricottally.model import Backend, BackendState, Template, Workspace
from apricottally.records import RecordStore
from apricottally.shards import (
    ANY_ZONE,
    BACKENDS_PER_SHARD,
    Shard,
    compute_shard_index,
    count_shards,
)

_NO_IPS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Service:
    """A service's backends by number, and its shards.

    `endpoints` maps a number to the backend's packet endpoint, for every
    backend that may still have open flows. `numbers_by_source` maps its
    dotted address back to the number. `version` is the version of the
    service's record. `reassigned_ips` are addresses in the record that now
    belong to another service.
    """

    name: str
    version: int
    backends: dict[int, Backend]
    endpoints: dict[int, Endpoint]
    numbers_by_source: dict[str, int]
    shards: tuple[Shard, ...]
    shard_by_number: dict[int, Shard]
    reassigned_ips: frozenset[str] = _NO_IPS


@dataclass(frozen=True, slots=True)
class Route:
    """One service endpoint of a workspace, as made from a template.

    `share` is the workspace's weight in the service's queues.
    """

    workspace: str
    template_name: str
    template: Template
    share: float
    service: Service


@dataclass(frozen=True, slots=True)
class _DecodedWorkspace:
    """A workspace decoded from its record.

    `version` is the record's version. `templates` maps names of templates to
    the workspace's share of each.
    """

    version: int
    name: str
    ip: int
    templates: dict[str, float]


class RouteTable:
    """Routes by endpoint: `(ip << 16) | port`, both as integers.

    Decoded workspaces and built services are reused by later rebuilds until
    their records change: decoding those of a whole region takes 0.3 s.
    """

    __slots__ = (
        '_recorded_services',
        '_services',
        '_workspaces',
        'routes',
        'service_of_ip',
    )

    def __init__(self) -> None:
        self.routes: dict[int, Route] = {}
        # Service by backend address; each address belongs to one service.
        self.service_of_ip: dict[str, Service] = {}
        self._services: dict[str, Service] = {}
        # The services that have a record; `_services` also has those that
        # only templates name.
        self._recorded_services: dict[str, Service] = {}
        self._workspaces: dict[str, _DecodedWorkspace] = {}

    @property
    def services(self) -> dict[str, Service]:
        """The services by name."""
        return self._services

    def find(self, ip: int, port: int) -> Route | None:
        """Return the route of a service endpoint."""
        return self.routes.get(ip << 16 | port)

    def rebuild(self, store: RecordStore) -> None:
        """Compile all routes from the records in the store.

        A template without a record is skipped; the workspace's other templates
        are still routed. Of two workspaces with the same endpoint, the one with
        the lower record key gets it.
        """
        self._rebuild_services(store)
        self._workspaces = _decode_workspaces(store, self._workspaces)
        templates = {
            record.key.removeprefix(model.TEMPLATE_PREFIX): body
            for record in store.list_prefix(model.TEMPLATE_PREFIX)
            if isinstance(body := _decode(record.key, record.value), Template)
        }
        routes: dict[int, Route] = {}
        for workspace in self._workspaces.values():
            self._add_workspace(routes, templates, workspace)
        self.routes = routes

    def _rebuild_services(self, store: RecordStore) -> None:
        recorded = _build_services(store, self._recorded_services)
        if recorded is not self._recorded_services:
            self._recorded_services = recorded
            self.service_of_ip = {
                ip: service
                for service in recorded.values()
                for ip in service.numbers_by_source
            }
        self._services = dict(recorded)

    def _add_workspace(
        self,
        routes: dict[int, Route],
        templates: dict[str, Template],
        workspace: _DecodedWorkspace,
    ) -> None:
        for template_name, share in workspace.templates.items():
            template = templates.get(template_name)
            if template is None:
                continue
            service = self._services.get(template.service)
            if service is None:
                service = build_service(template.service, 0, ())
                self._services[template.service] = service
            route = Route(
                workspace.name, template_name, template, share, service
            )
            routes.setdefault(workspace.ip << 16 | template.port, route)


def build_service(
    name: str,
    version: int,
    backends: tuple[Backend, ...],
    reassigned_ips: frozenset[str] = _NO_IPS,
) -> Service:
    """Build a service and its shards from its backends.

    `reassigned_ips` are addresses that now belong to another service.
    """
    present = [
        backend
        for backend in backends
        if backend.state is not BackendState.retired
        and backend.ip not in reassigned_ips
    ]
    shards, shard_by_number = _build_shards(name, present)
    return Service(
        name=name,
        version=version,
        backends={backend.number: backend for backend in backends},
        endpoints={
            backend.number: (backend.ip, addresses.PACKET_PORT)
            for backend in present
        },
        numbers_by_source={backend.ip: backend.number for backend in present},
        shards=shards,
        shard_by_number=shard_by_number,
        reassigned_ips=reassigned_ips,
    )


def _build_services(
    store: RecordStore,
    previous: dict[str, Service],
) -> dict[str, Service]:
    """Return the services by name, `previous` itself if no record changed."""
    records = {
        record.key.removeprefix(model.BACKEND_PREFIX): record
        for record in store.list_prefix(model.BACKEND_PREFIX)
    }
    versions = {name: record.version for name, record in records.items()}
    if versions == {
        name: service.version for name, service in previous.items()
    }:
        return previous
    backends_by_service: dict[str, tuple[Backend, ...]] = {}
    for name, record in records.items():
        known = previous.get(name)
        if known is not None and known.version == record.version:
            backends_by_service[name] = tuple(known.backends.values())
            continue
        body = _decode(record.key, record.value)
        if isinstance(body, model.BackendSet):
            backends_by_service[name] = body.backends
    claims = _claim_addresses(backends_by_service)
    return {
        name: _reuse_or_build_service(
            previous.get(name),
            name,
            versions[name],
            backends,
            claims,
        )
        for name, backends in backends_by_service.items()
    }


def _reuse_or_build_service(
    previous: Service | None,
    name: str,
    version: int,
    backends: tuple[Backend, ...],
    claims: dict[str, str],
) -> Service:
    """Build a service, or return the previous one if its input is the same."""
    reassigned_ips = frozenset(
        backend.ip
        for backend in backends
        if claims.get(backend.ip, name) != name
    )
    if previous is not None and (previous.version, previous.reassigned_ips) == (
        version,
        reassigned_ips,
    ):
        return previous
    return build_service(name, version, backends, reassigned_ips)


def _decode_workspaces(
    store: RecordStore,
    previous: dict[str, _DecodedWorkspace],
) -> dict[str, _DecodedWorkspace]:
    """Return the workspaces by record key, in the order of the store."""
    workspaces = {}
    for record in store.list_prefix(model.WORKSPACE_PREFIX):
        known = previous.get(record.key)
        if known is not None and known.version == record.version:
            workspaces[record.key] = known
            continue
        body = _decode(record.key, record.value)
        if isinstance(body, Workspace):
            workspaces[record.key] = _DecodedWorkspace(
                record.version,
                record.key.removeprefix(model.WORKSPACE_PREFIX),
                addresses.parse_ip(body.address),
                body.templates,
            )
    return workspaces


def _claim_addresses(
    backends_by_service: dict[str, tuple[Backend, ...]],
) -> dict[str, str]:
    """Return the name of the service that each backend address belongs to.

    The platform may give the address of a deleted VM to a VM of another
    service while the record of the first service still lists it. The service
    with the later change gets the address, so that no packet for the first
    service reaches the second one.
    """
    claims: dict[str, tuple[int, str]] = {}
    for name, backends in backends_by_service.items():
        for backend in backends:
            if backend.state is BackendState.retired:
                continue
            claim = (backend.changed_s, name)
            claims[backend.ip] = max(claim, claims.get(backend.ip, claim))
    return {ip: name for ip, (_, name) in claims.items()}


def _build_shards(
    name: str,
    present: list[Backend],
) -> tuple[tuple[Shard, ...], dict[int, Shard]]:
    by_zone: defaultdict[str, list[Backend]] = defaultdict(list)
    is_small = len(present) <= BACKENDS_PER_SHARD
    for backend in present:
        by_zone[ANY_ZONE if is_small else backend.zone].append(backend)
    shards = []
    shard_by_number: dict[int, Shard] = {}
    for zone in sorted(by_zone):
        for shard, members in _split_zone(name, zone, by_zone[zone]):
            shards.append(shard)
            shard_by_number.update(
                (backend.number, shard) for backend in members
            )
    return tuple(shards), shard_by_number


def _split_zone(
    name: str,
    zone: str,
    backends: list[Backend],
) -> list[tuple[Shard, list[Backend]]]:
    """Split a zone's backends into shards; return each with its backends."""
    count = count_shards(len(backends))
    parts: list[list[Backend]] = [[] for _ in range(count)]
    for backend in backends:
        parts[compute_shard_index(backend.number, count)].append(backend)
    split = []
    for index, part in enumerate(parts):
        active = [
            backend for backend in part if backend.state is BackendState.active
        ]
        shard = Shard(
            name=f'{name}/{zone}/{index}',
            service=name,
            zone=zone,
            numbers=tuple(sorted(backend.number for backend in active)),
            weight=sum(backend.slots for backend in active),
        )
        split.append((shard, part))
    return split


def _decode(key: str, value: bytes | None) -> object:
    """Decode a value that the store has already checked, None if deleted."""
    if value is None:
        return None
    try:
        return model.decode_record(key, value)
    except ModelError:
        return None
