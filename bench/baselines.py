"""Simple policies that the core is measured beside."""

import random
from collections.abc import Callable, Sequence

import xxhash

from bench.fakes import FakeBackend, FakeNode, Request, World

Choose = Callable[[Sequence[FakeBackend], Request], FakeBackend]
# Tries of a client that repeats what is shed.
TRIES = 3
REPORT_S = 2.0


def choose_by_hash(
    backends: Sequence[FakeBackend],
    request: Request,
) -> FakeBackend:
    """Choose by the hash of the request's number, modulo the backends."""
    key = request.number.to_bytes(8, 'big')
    return backends[xxhash.xxh3_64_intdigest(key) % len(backends)]


def choose_in_turn(
    backends: Sequence[FakeBackend],
    request: Request,
) -> FakeBackend:
    """Choose one backend after the other."""
    return backends[request.number % len(backends)]


def choose_least(
    backends: Sequence[FakeBackend],
    request: Request,
) -> FakeBackend:
    """Choose the backend with the least outstanding requests."""
    return min(
        backends,
        key=lambda backend: backend.busy + len(backend.waiting),
    )


class Baseline:
    """Sends each request on at once: no queue, classes or limits.

    A client repeats a shed request up to `tries` times in all.
    """

    def __init__(self, world: World, choose: Choose, tries: int = 1) -> None:
        self._world = world
        self._choose = choose
        self._tries = tries
        self._nodes = [FakeNode(world.clock) for _ in world.deployment.zones]

    def offer(self, request: Request) -> None:
        """Send a request to a backend, through a node's CPU."""
        node = self._world.rng.choice(self._nodes)
        latency = self._world.deployment.caller_latency_s
        self._world.clock.after(latency, node.submit, self._pass_on, request)

    def _pass_on(self, request: Request) -> float:
        self._ask(request, 1)
        return self._world.costs.syn_s

    def _ask(self, request: Request, tries: int) -> None:
        template = self._world.templates[request.template]
        backends = self._world.backends[template.service]
        backend = self._choose(backends, request)
        answer = _Answer(self, request, tries)
        delay = self._world.deployment.latency_s + self._world.costs.syn_s
        self._world.clock.after(
            delay,
            backend.offer,
            request.run_s,
            answer.tell,
        )

    def take_answer(self, request: Request, event: str, tries: int) -> None:
        """Note a start, or try again; a reply takes CPU as well."""
        node = self._world.rng.choice(self._nodes)
        node.submit(_cost, self._world.costs.other_s)
        deployment = self._world.deployment
        latency = deployment.latency_s + deployment.caller_latency_s
        if event == 'accepted':
            request.started = self._world.clock.now + latency
        elif event == 'shed' and tries < self._tries:
            self._ask(request, tries + 1)


def _cost(seconds: float) -> float:
    return seconds


class _Answer:
    """A backend's answers to one try of a request."""

    def __init__(self, balancer: Baseline, request: Request, tries: int):
        self._balancer = balancer
        self._request = request
        self._tries = tries

    def tell(self, event: str) -> None:
        """Take an event at the backend."""
        self._balancer.take_answer(self._request, event, self._tries)


class ByReport:
    """Chooses the backend that reports the fewest busy slots."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._reported: dict[str, int] = {}
        self._poll()

    def choose(
        self,
        backends: Sequence[FakeBackend],
        request: Request,
    ) -> FakeBackend:
        """Choose by the last reports, at random among equals."""
        return min(
            backends,
            key=lambda backend: (
                self._reported.get(backend.spec.ip, 0),
                self._rng.random(),
            ),
        )

    def _poll(self) -> None:
        for backends in self._world.backends.values():
            for backend in backends:
                self._reported[backend.spec.ip] = self._world.report(
                    backend.spec.number,
                    backend.busy + len(backend.waiting),
                )
        self._world.clock.after(REPORT_S, self._poll)


BASELINES: dict[str, Choose] = {
    'plain hash': choose_by_hash,
    'round robin': choose_in_turn,
    'no limits': choose_least,
}
