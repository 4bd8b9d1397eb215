"""Routes compiled from records: service endpoints, backends and shards."""

from collections import defaultdict
from dataclasses import dataclass

from apricottally import addresses, model
from apricottally.addresses import Endpoint
from apricottally.errors import ModelError
from apricottally.model import Backend, BackendState, Template, Workspace
from apricottally.records import RecordStore
from apricottally.shards import (
    ANY_ZONE,
    SHARD_BACKENDS,
    Shard,
    count_shards,
    shard_index,
)

_NONE: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Service:
    """A service's backends by number, and its shards.

    `endpoints` maps a number to the backend's packet endpoint, for every
    backend that may still have open flows. `numbers_by_source` is its
    inverse, by address text. `version` is the record's. `moved` are
    addresses that another service has by now.
    """

    name: str
    version: int
    backends: dict[int, Backend]
    endpoints: dict[int, Endpoint]
    numbers_by_source: dict[str, int]
    shards: tuple[Shard, ...]
    shard_of: dict[int, Shard]
    moved: frozenset[str] = _NONE


@dataclass(frozen=True, slots=True)
class Route:
    """One service endpoint of a workspace."""

    workspace: str
    template_name: str
    template: Template
    share: float
    service: Service


@dataclass(frozen=True, slots=True)
class _Site:
    """A workspace as decoded from the record of `version`."""

    version: int
    name: str
    ip: int
    templates: dict[str, float]


class RouteTable:
    """Routes by endpoint: `(ip << 16) | port`, both as numbers.

    Decoded workspaces and built services are kept from one rebuild to the
    next while their records stand: decoding a region's takes 0.3 s.
    """

    __slots__ = ('_numbered', '_services', '_sites', 'routes', 'service_of_ip')

    def __init__(self) -> None:
        self.routes: dict[int, Route] = {}
        # The one service that each backend address belongs to.
        self.service_of_ip: dict[str, Service] = {}
        self._services: dict[str, Service] = {}
        # Those services that have a record.
        self._numbered: dict[str, Service] = {}
        self._sites: dict[str, _Site] = {}

    @property
    def services(self) -> dict[str, Service]:
        """The services by name."""
        return self._services

    def find(self, ip: int, port: int) -> Route | None:
        """Return the route of a service endpoint."""
        return self.routes.get(ip << 16 | port)

    def rebuild(self, store: RecordStore) -> None:
        """Compile all routes from the records held.

        A workspace that names an unknown template is routed for its other
        templates. Of two workspaces with one endpoint the older key wins.
        """
        self._rebuild_services(store)
        self._sites = _decode_sites(store, self._sites)
        templates = {
            record.key.removeprefix(model.TEMPLATE_PREFIX): body
            for record in store.list_prefix(model.TEMPLATE_PREFIX)
            if isinstance(body := _decode(record.key, record.value), Template)
        }
        routes: dict[int, Route] = {}
        for site in self._sites.values():
            self._add_workspace(routes, templates, site)
        self.routes = routes

    def _rebuild_services(self, store: RecordStore) -> None:
        numbered = _build_services(store, self._numbered)
        if numbered is not self._numbered:
            self._numbered = numbered
            self.service_of_ip = {
                ip: service
                for service in numbered.values()
                for ip in service.numbers_by_source
            }
        self._services = dict(numbered)

    def _add_workspace(
        self,
        routes: dict[int, Route],
        templates: dict[str, Template],
        site: _Site,
    ) -> None:
        for template_name, share in site.templates.items():
            template = templates.get(template_name)
            if template is None:
                continue
            service = self._services.get(template.service)
            if service is None:
                service = build_service(template.service, 0, ())
                self._services[template.service] = service
            route = Route(site.name, template_name, template, share, service)
            routes.setdefault(site.ip << 16 | template.port, route)


def build_service(
    name: str,
    version: int,
    backends: tuple[Backend, ...],
    moved: frozenset[str] = _NONE,
) -> Service:
    """Return the service with its shards, from its backends.

    `moved` are addresses that another service has by now.
    """
    present = [
        backend
        for backend in backends
        if backend.state is not BackendState.retired and backend.ip not in moved
    ]
    built, shard_of = _build_shards(name, present)
    return Service(
        name=name,
        version=version,
        backends={backend.number: backend for backend in backends},
        endpoints={
            backend.number: (backend.ip, addresses.PACKET_PORT)
            for backend in present
        },
        numbers_by_source={backend.ip: backend.number for backend in present},
        shards=built,
        shard_of=shard_of,
        moved=moved,
    )


def _build_services(
    store: RecordStore,
    former: dict[str, Service],
) -> dict[str, Service]:
    """Return the services by name, `former` itself if no record changed."""
    records = {
        record.key.removeprefix(model.BACKEND_PREFIX): record
        for record in store.list_prefix(model.BACKEND_PREFIX)
    }
    versions = {name: record.version for name, record in records.items()}
    if versions == {name: kept.version for name, kept in former.items()}:
        return former
    listed: dict[str, tuple[Backend, ...]] = {}
    for name, record in records.items():
        known = former.get(name)
        if known is not None and known.version == record.version:
            listed[name] = tuple(known.backends.values())
            continue
        body = _decode(record.key, record.value)
        if isinstance(body, model.BackendSet):
            listed[name] = body.backends
    claims = _claim_addresses(listed)
    return {
        name: _renew_service(
            former.get(name),
            name,
            versions[name],
            backends,
            claims,
        )
        for name, backends in listed.items()
    }


def _renew_service(
    former: Service | None,
    name: str,
    version: int,
    backends: tuple[Backend, ...],
    claims: dict[str, str],
) -> Service:
    """Return the former service if nothing that it was built from changed."""
    moved = frozenset(
        backend.ip
        for backend in backends
        if claims.get(backend.ip, name) != name
    )
    if former is not None and (former.version, former.moved) == (
        version,
        moved,
    ):
        return former
    return build_service(name, version, backends, moved)


def _decode_sites(
    store: RecordStore,
    former: dict[str, _Site],
) -> dict[str, _Site]:
    """Return the workspaces by key, in the order of keys."""
    sites = {}
    for record in store.list_prefix(model.WORKSPACE_PREFIX):
        known = former.get(record.key)
        if known is not None and known.version == record.version:
            sites[record.key] = known
            continue
        body = _decode(record.key, record.value)
        if isinstance(body, Workspace):
            sites[record.key] = _Site(
                record.version,
                record.key.removeprefix(model.WORKSPACE_PREFIX),
                addresses.parse_ip(body.address),
                body.templates,
            )
    return sites


def _claim_addresses(listed: dict[str, tuple[Backend, ...]]) -> dict[str, str]:
    """Return the service of each backend address.

    The platform may give the address of a VM that is gone to a VM of another
    service before the first record says so; the later change wins, so that no
    packet for the former service reaches the new one.
    """
    claims: dict[str, tuple[int, str]] = {}
    for name, backends in listed.items():
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
    is_small = len(present) <= SHARD_BACKENDS
    for backend in present:
        by_zone[ANY_ZONE if is_small else backend.zone].append(backend)
    built = []
    shard_of: dict[int, Shard] = {}
    for zone in sorted(by_zone):
        for shard, members in _split_zone(name, zone, by_zone[zone]):
            built.append(shard)
            shard_of.update((backend.number, shard) for backend in members)
    return tuple(built), shard_of


def _split_zone(
    name: str,
    zone: str,
    backends: list[Backend],
) -> list[tuple[Shard, list[Backend]]]:
    """Split the backends of one zone into shards."""
    count = count_shards(len(backends))
    parts: list[list[Backend]] = [[] for _ in range(count)]
    for backend in backends:
        parts[shard_index(backend.number, count)].append(backend)
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
    """Decode a value that the store has already checked."""
    if value is None:
        return None
    try:
        return model.decode_record(key, value)
    except ModelError:
        return None
