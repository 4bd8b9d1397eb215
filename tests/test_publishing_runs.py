"""Seeded runs of concurrent operators that publish during platform faults."""

import asyncio
import random

import msgspec
import pytest

from apricottally import model
from apricottally.errors import (
    ConflictError,
    OutcomeUnknownError,
    PublishError,
)
from apricottally.model import Workspace
from apricottally.platformcalls import ClientLimits
from apricottally.platformclient import open_platform as open_client
from apricottally.publishing import Change as ConfigChange
from apricottally.publishing import Outcome, publish
from standins.platform import Change, open_platform
from tests.asyncruns import LOOPBACK_ANY_PORT, iterate_sequentially, run

KEYS = [f'{model.WORKSPACE_PREFIX}{number}' for number in range(2)]
OPERATORS = 4
CHANGES = 80
LIMITS = ClientLimits(call_timeout_s=0.04)
RESOLVE_S = 0.4
# Longer than any delayed write, so that the history includes the last ones.
SETTLE_S = 0.3

FAULTS = [
    {'lose_answers': 2, 'loss': 'reset'},
    {'lose_answers': 2, 'loss': 'hang'},
    {'delay_s': 0.02},
    {'delay_s': 0.05},
    {'late_s': 0.03},
    {'late_s': 0.1},
    {'outage': 'refuse'},
    {'outage': 'hang'},
]
HEALTHY = Change(outage='none', delay_s=0, late_s=0, lose_answers=0)


class PublishingRun:
    """Concurrent operators; `reported` has each outcome by operation id."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.reported: dict[str, Outcome | type[PublishError]] = {}
        self.busy = OPERATORS

    async def publish_changes(self, endpoint, operator: int) -> None:
        rng = random.Random(self.rng.random())
        async with open_client(endpoint, LIMITS) as client:
            async for number in iterate_sequentially(range(CHANGES)):
                op = f'{operator}-{number}'
                address = f'10.{operator}.{number}.1'
                body = Workspace(address, {'feed': 1})
                change = ConfigChange(rng.choice(KEYS), body, op, op)
                try:
                    published = await publish(client, change, RESOLVE_S)
                except PublishError as error:
                    self.reported[op] = type(error)
                else:
                    self.reported[op] = published.outcome
        self.busy -= 1

    async def break_platform(self, platform) -> None:
        while self.busy:
            chosen = self.rng.sample(FAULTS, self.rng.choice((1, 2)))
            platform.change_faults(Change(**chosen[0] | chosen[-1]))
            await asyncio.sleep(self.rng.uniform(0.01, 0.15))
            platform.change_faults(HEALTHY)
            await asyncio.sleep(self.rng.uniform(0.01, 0.05))


def list_written(platform) -> list[str]:
    """Return the operation ids of all writes that took effect, in order."""
    events = platform.store.list_events(b'\0', b'\0', 1)
    return [
        msgspec.json.decode(event.kv.value, type=model.Document).op
        for event in events
    ]


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_reported_outcomes_match_writes(seed) -> None:
    """Outcomes reported to operators match the writes that took effect.

    Guards against a change that is lost, written twice or wrongly reported
    when responses are lost or writes take effect late.
    """
    publishers = PublishingRun(seed)

    async def scenario() -> list[str]:
        async with open_platform(LOOPBACK_ANY_PORT) as platform:
            await asyncio.gather(
                publishers.break_platform(platform),
                *(
                    publishers.publish_changes(platform.endpoint, operator)
                    for operator in range(OPERATORS)
                ),
            )
            await asyncio.sleep(SETTLE_S)
            return list_written(platform)

    written = run(scenario())
    reported = publishers.reported
    accepted = {op for op, end in reported.items() if isinstance(end, Outcome)}
    unknown = {op for op, end in reported.items() if end is OutcomeUnknownError}
    assert len(reported) == OPERATORS * CHANGES
    assert len(set(written)) == len(written)
    assert accepted <= set(written)
    assert set(written) <= accepted | unknown
    outcomes = set(reported.values())
    assert {Outcome.accepted, ConflictError} <= outcomes
