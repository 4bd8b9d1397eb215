"""Metrics of a node in the Prometheus text format.

The Prometheus library is imported at the first scrape to keep startup fast.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged.httpresponder import HttpResponse
from apricottally.tagged.places.transitions import count_open_flows

if TYPE_CHECKING:
    from aioprometheus.collectors import Registry

    from apricottally.tagged.durations import Histogram
    from apricottally.tagged.state import NodeState


def render(state: NodeState, now: float) -> HttpResponse:
    """Return the HTTP response with all metrics of a node."""
    from aioprometheus.collectors import Gauge, Registry
    from aioprometheus.renderer import render as render_registry

    registry = Registry()
    _add_counters(state, registry)
    for name, histogram in _list_histograms(state):
        gauge = Gauge(
            f'apricottally_{name}_seconds_bucket',
            f'Count of {name} up to a duration.',
            registry=registry,
        )
        for bound, total in histogram.list_cumulative_counts():
            gauge.set({'le': bound}, total)
    for name, value in _list_gauges(state, now):
        gauge = Gauge(f'apricottally_{name}', f'{name}.', registry=registry)
        gauge.set({}, value)
    body, headers = render_registry(registry, [])
    return HttpResponse('200 OK', body, headers['Content-Type'])


def _add_counters(state: NodeState, registry: Registry) -> None:
    from aioprometheus.collectors import Counter

    counters: dict[str, Counter] = {}
    for (name, reason), count in state.counters.counts.items():
        if name not in counters:
            counters[name] = Counter(
                f'apricottally_{name}_total',
                f'Count of {name} by reason.',
                registry=registry,
            )
        counters[name].set({'reason': reason}, count)


def _list_histograms(state: NodeState) -> list[tuple[str, Histogram]]:
    durations = state.durations
    return [
        ('answer', durations.answer),
        ('platform_call', durations.platform_call),
        ('in_force', durations.in_force),
        ('choice_age', durations.choice_age),
        ('queue_wait', durations.queue_wait),
    ]


def _list_gauges(state: NodeState, now: float) -> list[tuple[str, float]]:
    alive = state.neighbours.list_alive(now)
    evacuated = state.catalog.evacuations.list_active()
    return [
        ('ready', int(state.ready)),
        ('configuration_version', state.configuration_version),
        ('epoch', state.catalog.revision.epoch),
        ('revision', state.catalog.revision.number),
        ('records_age_seconds', state.freshness.age_ms(now) / 1000),
        ('own_read_age_seconds', state.freshness.read_age_ms(now) / 1000),
        ('flows', len(state.flows.by_key)),
        ('waiting_flows', len(state.waiting.by_key)),
        ('neighbours', len(alive)),
        ('zones_with_sums', len(state.occupancy.other_zones.list_zones())),
        ('unreachable_backends', len(state.suspicion.list_unreachable(now))),
        ('evacuated_zones', len(evacuated)),
        ('flows_in_evacuated_zones', count_open_flows(state, evacuated)),
    ]
