"""The two example deployments that the demonstration runs."""

from dataclasses import dataclass

from apricottally.model import Holding, Template, Urgency
from standins.protocol import Kind


@dataclass(frozen=True, slots=True)
class Traffic:
    """Flows that callers open to one template of each workspace.

    Flows start at an average of `rate_per_s`. If `kind` is `feed`, at most
    `feeds` of them are open at once. `size` is the answer's length in bytes,
    `work_ms` the time that a backend takes for a request.
    """

    kind: Kind
    rate_per_s: float
    feeds: int = 0
    size: int = 0
    work_ms: int = 0


@dataclass(frozen=True, slots=True)
class TemplateTraffic:
    """A template and the traffic that callers send to it."""

    template: Template
    traffic: Traffic


@dataclass(frozen=True, slots=True)
class Deployment:
    """Zones, services, templates and workspaces of one installation.

    `services` maps a service to its number of backend servers; a backend of
    the first service drains during the run. `template_traffic` is keyed by
    template name. `workspaces` maps a name to its address. The run publishes
    a new version of the template `changed_template`.
    """

    name: str
    zones: tuple[str, ...]
    services: dict[str, int]
    template_traffic: dict[str, TemplateTraffic]
    workspaces: dict[str, str]
    changed_template: str


ETIKETTVERKET = Deployment(
    name='Etikettverket Norrsken AB',
    zones=('sv-a', 'sv-b', 'sv-c'),
    services={'etikett-core': 7, 'proof-store': 3},
    template_traffic={
        'label-feed': TemplateTraffic(
            Template('etikett-core', Urgency.normal, 4101, Holding.connection),
            Traffic(Kind.feed, rate_per_s=20, feeds=15),
        ),
        'label-batch': TemplateTraffic(
            Template('etikett-core', Urgency.urgent, 4102, Holding.slot),
            Traffic(Kind.submission, rate_per_s=40, size=400, work_ms=30),
        ),
        'proof-sheet': TemplateTraffic(
            Template('proof-store', Urgency.background, 4103, Holding.slot),
            Traffic(Kind.download, rate_per_s=10, size=40_000, work_ms=40),
        ),
    },
    workspaces={
        'bjork-balm': '10.20.0.1',
        'fjall-balm': '10.20.0.2',
        'tundra-balm': '10.20.0.3',
    },
    changed_template='label-batch',
)

LIANFENG = Deployment(
    name='Lianfeng Lens Hire Alliance',
    zones=('taipei-a', 'taipei-b', 'taichung-a', 'taichung-b'),
    services={'booking-desk': 7, 'catalogue': 4},
    template_traffic={
        'availability': TemplateTraffic(
            Template('booking-desk', Urgency.normal, 4201, Holding.connection),
            Traffic(Kind.feed, rate_per_s=20, feeds=12),
        ),
        'lens-hold': TemplateTraffic(
            Template('booking-desk', Urgency.urgent, 4202, Holding.slot),
            Traffic(Kind.hold, rate_per_s=30, size=200, work_ms=30),
        ),
        'spec-sheet': TemplateTraffic(
            Template('catalogue', Urgency.background, 4203, Holding.slot),
            Traffic(Kind.download, rate_per_s=10, size=60_000, work_ms=40),
        ),
    },
    workspaces={
        'ximen-optics': '10.30.0.1',
        'harbour-cameras': '10.30.0.2',
        'fengjia-lenses': '10.30.0.3',
        'lakeside-rental': '10.30.0.4',
    },
    changed_template='lens-hold',
)

DEPLOYMENTS = (ETIKETTVERKET, LIANFENG)
