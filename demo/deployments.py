"""The two users' deployments as the demonstration runs them."""

from dataclasses import dataclass

from apricottally.model import Holding, Template, Urgency
from standins.protocol import Kind


@dataclass(frozen=True, slots=True)
class Traffic:
    """What callers do at each workspace's endpoint of a template.

    Flows start `rate_per_s` times a second on average; of feeds, `feeds` are
    kept open.
    """

    kind: Kind
    rate_per_s: float
    feeds: int = 0
    size: int = 0
    work_ms: int = 0


@dataclass(frozen=True, slots=True)
class Offer:
    """A template and the traffic on it."""

    template: Template
    traffic: Traffic


@dataclass(frozen=True, slots=True)
class Deployment:
    """One user's zones, services, templates and workspaces.

    `services` maps a service to its number of backend servers; the first one
    has a backend that drains. `workspaces` maps a name to its address.
    `changed` is the template that is published again.
    """

    name: str
    zones: tuple[str, ...]
    services: dict[str, int]
    offers: dict[str, Offer]
    workspaces: dict[str, str]
    changed: str


ETIKETTVERKET = Deployment(
    name='Etikettverket Norrsken AB',
    zones=('sv-a', 'sv-b', 'sv-c'),
    services={'etikett-core': 7, 'proof-store': 3},
    offers={
        'label-feed': Offer(
            Template('etikett-core', Urgency.normal, 4101, Holding.connection),
            Traffic(Kind.feed, rate_per_s=20, feeds=15),
        ),
        'label-batch': Offer(
            Template('etikett-core', Urgency.urgent, 4102, Holding.slot),
            Traffic(Kind.submission, rate_per_s=40, size=400, work_ms=30),
        ),
        'proof-sheet': Offer(
            Template('proof-store', Urgency.background, 4103, Holding.slot),
            Traffic(Kind.download, rate_per_s=10, size=40_000, work_ms=40),
        ),
    },
    workspaces={
        'bjork-balm': '10.20.0.1',
        'fjall-balm': '10.20.0.2',
        'tundra-balm': '10.20.0.3',
    },
    changed='label-batch',
)

LIANFENG = Deployment(
    name='Lianfeng Lens Hire Alliance',
    zones=('taipei-a', 'taipei-b', 'taichung-a', 'taichung-b'),
    services={'booking-desk': 7, 'catalogue': 4},
    offers={
        'availability': Offer(
            Template('booking-desk', Urgency.normal, 4201, Holding.connection),
            Traffic(Kind.feed, rate_per_s=20, feeds=12),
        ),
        'lens-hold': Offer(
            Template('booking-desk', Urgency.urgent, 4202, Holding.slot),
            Traffic(Kind.hold, rate_per_s=30, size=200, work_ms=30),
        ),
        'spec-sheet': Offer(
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
    changed='lens-hold',
)

DEPLOYMENTS = (ETIKETTVERKET, LIANFENG)
