"""Simple load-balancing policies that apricottally is compared with."""

import random
from collections.abc import Callable, Sequence

import xxhash

from bench.simulation import Environment, FakeBackend, NodeCpu, Request

ChooseBackend = Callable[[Sequence[FakeBackend], Request], FakeBackend]
REPORT_PERIOD_S = 2.0


def choose_by_hash(
    backends: Sequence[FakeBackend],
    request: Request,
) -> FakeBackend:
    """Choose by the request number's hash modulo the number of backends."""
    key = request.number.to_bytes(8, 'big')
    return backends[xxhash.xxh3_64_intdigest(key) % len(backends)]


def choose_round_robin(
    backends: Sequence[FakeBackend],
    request: Request,
) -> FakeBackend:
    """Choose the backends in turn, by the request's number."""
    return backends[request.number % len(backends)]


def choose_least_outstanding(
    backends: Sequence[FakeBackend],
    request: Request,
) -> FakeBackend:
    """Choose the backend with the fewest running and queued requests."""
    return min(
        backends,
        key=lambda backend: backend.busy + len(backend.waiting),
    )


class DirectBalancer:
    """Forwards each request at once, without queue, priorities or limits.

    A client sends a request that is reset again, up to `max_attempts` times
    in all. Each try is a new choice of a backend.
    """

    def __init__(
        self, env: Environment, choose: ChooseBackend, max_attempts: int = 1
    ) -> None:
        self._env = env
        self._choose = choose
        self._max_attempts = max_attempts
        self._nodes = [NodeCpu(env.clock) for _ in env.deployment.zones]

    def offer(self, request: Request) -> None:
        """Send a request to a random node, whose CPU forwards it."""
        node = self._env.rng.choice(self._nodes)
        latency = self._env.deployment.caller_latency_s
        self._env.clock.after(latency, node.submit, self._forward, request)

    def _forward(self, request: Request) -> float:
        self._send_attempt(request, 1)
        return self._env.costs.syn_s

    def _send_attempt(self, request: Request, attempt: int) -> None:
        template = self._env.templates[request.template]
        backends = self._env.backends[template.service]
        backend = self._choose(backends, request)
        answer = _Attempt(self, request, attempt)
        delay = self._env.deployment.latency_s + self._env.costs.syn_s
        self._env.clock.after(
            delay,
            backend.offer,
            request.run_s,
            answer.notify,
        )

    def handle_reply(self, request: Request, event: str, attempt: int) -> None:
        """Record the start of the request, or send a reset one again.

        Each reply also takes CPU time on a random node.
        """
        node = self._env.rng.choice(self._nodes)
        node.submit(_return_cost, self._env.costs.other_s)
        deployment = self._env.deployment
        latency = deployment.latency_s + deployment.caller_latency_s
        if event == 'accepted':
            request.started = self._env.clock.now + latency
        elif event == 'shed' and attempt < self._max_attempts:
            self._send_attempt(request, attempt + 1)


def _return_cost(seconds: float) -> float:
    return seconds


class _Attempt:
    """One attempt at a request: passes on the backend's replies."""

    def __init__(
        self, balancer: DirectBalancer, request: Request, attempt: int
    ):
        self._balancer = balancer
        self._request = request
        self._attempt = attempt

    def notify(self, event: str) -> None:
        """Handle `accepted`, `shed` or `done` from the backend."""
        self._balancer.handle_reply(self._request, event, self._attempt)


class LeastReported:
    """Chooses the backend that reports the fewest busy slots."""

    def __init__(self, env: Environment, rng: random.Random) -> None:
        self._env = env
        self._rng = rng
        self._reported: dict[str, int] = {}
        self._poll()

    def choose(
        self,
        backends: Sequence[FakeBackend],
        request: Request,
    ) -> FakeBackend:
        """Choose the least busy by the last reports, at random on a tie."""
        return min(
            backends,
            key=lambda backend: (
                self._reported.get(backend.spec.ip, 0),
                self._rng.random(),
            ),
        )

    def _poll(self) -> None:
        for backends in self._env.backends.values():
            for backend in backends:
                self._reported[backend.spec.ip] = self._env.report_busy(
                    backend.spec.number,
                    backend.busy + len(backend.waiting),
                )
        self._env.clock.after(REPORT_PERIOD_S, self._poll)


BASELINES: dict[str, ChooseBackend] = {
    'plain hash': choose_by_hash,
    'round robin': choose_round_robin,
    'no limits': choose_least_outstanding,
}
