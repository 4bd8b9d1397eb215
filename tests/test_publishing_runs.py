"""Seeded runs of operators who publish while the platform fails."""

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
from apricottally.publishing import Change as Publication
from apricottally.publishing import Outcome, publish
from standins.platform import Change, open_platform
from tests.asyncruns import LOOPBACK_ANY_PORT, iterate_sequentially, run

KEYS = [f'{model.WORKSPACE_PREFIX}{number}' for number in range(2)]
OPERATORS = 4
CHANGES = 80
LIMITS = ClientLimits(call_timeout_s=0.04)
RESOLVE_S = 0.4
# Longer than any late write, so that the last ones show in the history.
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


class Run:
    """What the operators were told, by operation id."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.told: dict[str, Outcome | type[PublishError]] = {}
        self.busy = OPERATORS

    async def operate(self, endpoint, operator: int) -> None:
        rng = random.Random(self.rng.random())
        async with open_client(endpoint, LIMITS) as client:
            async for number in iterate_sequentially(range(CHANGES)):
                op = f'{operator}-{number}'
                address = f'10.{operator}.{number}.1'
                body = Workspace(address, {'feed': 1})
                change = Publication(rng.choice(KEYS), body, op, op)
                try:
                    published = await publish(client, change, RESOLVE_S)
                except PublishError as error:
                    self.told[op] = type(error)
                else:
                    self.told[op] = published.outcome
        self.busy -= 1

    async def break_platform(self, platform) -> None:
        while self.busy:
            chosen = self.rng.sample(FAULTS, self.rng.choice((1, 2)))
            platform.change_faults(Change(**chosen[0] | chosen[-1]))
            await asyncio.sleep(self.rng.uniform(0.01, 0.15))
            platform.change_faults(HEALTHY)
            await asyncio.sleep(self.rng.uniform(0.01, 0.05))


def list_written(platform) -> list[str]:
    """Operation ids of all writes that took effect, in order."""
    events = platform.store.list_events(b'\0', b'\0', 1)
    return [
        msgspec.json.decode(event.kv.value, type=model.Document).op
        for event in events
    ]


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_operators_are_told_the_truth(seed) -> None:
    """Guards against a change that is lost, doubled or wrongly reported."""
    publishers = Run(seed)

    async def scenario() -> list[str]:
        async with open_platform(LOOPBACK_ANY_PORT) as platform:
            await asyncio.gather(
                publishers.break_platform(platform),
                *(
                    publishers.operate(platform.endpoint, operator)
                    for operator in range(OPERATORS)
                ),
            )
            await asyncio.sleep(SETTLE_S)
            return list_written(platform)

    written = run(scenario())
    told = publishers.told
    accepted = {op for op, end in told.items() if isinstance(end, Outcome)}
    unknown = {op for op, end in told.items() if end is OutcomeUnknownError}
    assert len(told) == OPERATORS * CHANGES
    assert len(set(written)) == len(written)
    assert accepted <= set(written)
    assert set(written) <= accepted | unknown
    ends = set(told.values())
    assert {Outcome.accepted, ConflictError} <= ends
