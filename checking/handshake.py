"""Model of one flow's handshake: a caller, two owners and two backends.

Packets are real and made by the product's code (see `wire`). A packet once
sent may arrive at any later time, any number of times or never, which covers
loss, duplication and reordering without a bound. Owners choose any backend,
refuse, retry and time out at any time, which covers every pair of views; an
owner that forgot its entry is the other one, which has none. Bounds: one SYN
of the caller, two owners, `TRIES` backends asked for one entry, and
`INCARNATIONS` connections accepted by each backend.

| transition | stands for |
| --- | --- |
| `ask`, `refuse` | `admission.receive_syn`, `admission.refuse` |
| `retry` | a retry of `admission` after a timeout or a shed SYN |
| `pass` | `admission.receive_syn_ack` |
| `shed` | a backend's reset of a SYN, passed by `admission.receive_close` |
| `data`, `gone` | `forwarding.receive_packet`, run as it is |
| caller, backend | RFC 9293 and RFC 5961 of their kernels |
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from checking import wire

TRIES = 2
INCARNATIONS = 2
OWNERS = 2


class Cancel(enum.Enum):
    """How an owner cancels the SYN at a backend that it gives up.

    `exact` is a reset with the sequence after the SYN, `in_window` one with a
    later sequence, which an established connection does not take.
    """

    none = 'none'
    exact = 'exact'
    in_window = 'in_window'


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the design; each can be broken on purpose."""

    strip_syn_payload: bool = True
    route_by_number: bool = True
    refuse_only_syn: bool = True
    gone_is_unknown: bool = True
    cancel: Cancel = Cancel.none


class Place(enum.IntEnum):
    """Where a packet goes; a backend's place is `backend` and its index."""

    owner = 0
    caller = 1
    node = 2
    backend = 3


class Message(NamedTuple):
    """A packet on its way.

    `source` is the backend that sent it, -1 for another party. `refusal`
    says that the sender means "not run".
    """

    place: int
    inner: bytes
    source: int = -1
    refusal: bool = False


class Phase(enum.IntEnum):
    """State of a TCP connection at the caller or a backend."""

    waiting = 0
    half_open = 1
    established = 2
    # A backend's connection whose sequence a payload has moved on.
    busy = 3
    ended = 4


class Caller(NamedTuple):
    """`expected` is the next sequence of its peer."""

    phase: Phase = Phase.waiting
    expected: int = 0
    told_refused: bool = False


class Entry(NamedTuple):
    """An owner's entry: the backend asked, how many were, SYN-ACK passed."""

    backend: int
    tries: int
    passed: bool


class Owner(NamedTuple):
    """An owner of the flow's shard, in its own view."""

    entry: Entry | None = None


class Backend(NamedTuple):
    """A backend server; `served` says that a payload has ever arrived."""

    phase: Phase = Phase.waiting
    incarnation: int = 0
    served: bool = False


class State(NamedTuple):
    """All parties, and every packet sent so far.

    `ended_by_syn_reset` says that a reset of a SYN ended an established flow.
    """

    caller: Caller
    owners: tuple[Owner, ...]
    backends: tuple[Backend, ...]
    sent: frozenset[Message]
    ended_by_syn_reset: bool = False


Step: TypeAlias = tuple[str, State]

SYN = Message(Place.owner, wire.SYN_PACKET)
START = State(
    Caller(),
    (Owner(),) * OWNERS,
    (Backend(),) * wire.BACKENDS,
    frozenset((SYN,)),
)


def find_violations(state: State) -> Iterator[str]:
    """Yield the properties that a state breaks."""
    served = sum(backend.served for backend in state.backends)
    if served > 1:
        yield 'one_backend_gets_payload'
    if state.caller.told_refused and served:
        yield 'refused_means_not_run'
    if state.ended_by_syn_reset:
        yield 'syn_reset_ends_no_flow'


def find_landmarks(state: State) -> Iterator[str]:
    """Yield names of situations that the exploration must pass."""
    backends = state.backends
    if all(backend.phase is Phase.half_open for backend in backends):
        yield 'two_half_open'
    for index, backend in enumerate(backends):
        if backend.served:
            yield f'served_{index}'
        if backend.incarnation > 1:
            yield 'accepted_again'
    if state.caller.told_refused:
        yield 'refused'
    if state.caller.phase is Phase.ended and not state.caller.told_refused:
        yield 'reset'
    entries = [owner.entry for owner in state.owners]
    if all(entry is not None and entry.tries == TRIES for entry in entries):
        yield 'both_owners_retried'


class Model:
    """The transitions under some rules."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules

    def list_steps(self, state: State) -> Iterator[Step]:
        """Yield the steps to follow.

        A packet on its way prevents nothing, so steps that only send are taken
        at once and together; this loses no violation, since the packet may
        still never arrive.
        """
        steps = list(self._list_all(state))
        sending = [
            (name, following.sent)
            for name, following in steps
            if following.sent != state.sent
            and following._replace(sent=state.sent) == state
        ]
        if sending:
            names = ', '.join(sorted({name for name, _ in sending}))
            sent = state.sent.union(*(packets for _, packets in sending))
            yield names, state._replace(sent=sent)
        else:
            yield from steps

    def _list_all(self, state: State) -> Iterator[Step]:
        for message in state.sent:
            yield from self._deliver(state, message)
        yield from self._time_out(state)

    def _deliver(self, state: State, message: Message) -> Iterator[Step]:
        if message.place == Place.owner:
            for index in range(OWNERS):
                yield from self._reach_owner(state, index, message)
        elif message.place == Place.caller:
            yield from self._reach_caller(state, message)
        elif message.place == Place.node:
            yield from self._reach_node(state, message)
        else:
            yield from self._reach_backend(state, message)

    def _time_out(self, state: State) -> Iterator[Step]:
        for index, owner in enumerate(state.owners):
            if owner.entry is not None and not owner.entry.passed:
                yield from self._give_up(state, index, owner.entry)
        for index, backend in enumerate(state.backends):
            if backend.phase is Phase.half_open:
                lapsed = backend._replace(phase=Phase.waiting)
                yield f'{index} lapses', _set_backend(state, index, lapsed)

    def _reach_owner(
        self,
        state: State,
        index: int,
        message: Message,
    ) -> Iterator[Step]:
        if message.source >= 0:
            yield from self._reply_reaches_owner(state, index, message)
        elif state.owners[index].entry is None:
            for backend in range(wire.BACKENDS):
                entry = Entry(backend, 1, passed=False)
                yield (
                    f'owner {index} asks {backend}',
                    self._ask(state, index, entry),
                )
            yield f'owner {index} refuses', self._refuse(state, index)

    def _reply_reaches_owner(
        self,
        state: State,
        index: int,
        message: Message,
    ) -> Iterator[Step]:
        owner = state.owners[index]
        entry = owner.entry
        chosen = entry is not None and entry.backend == message.source
        if wire.is_reset(message.inner):
            if entry is not None and chosen and not entry.passed:
                yield from self._give_up(state, index, entry)
            else:
                passed = Message(Place.caller, message.inner, refusal=True)
                yield f'owner {index} passes a reset', _send(state, passed)
        elif entry is not None and chosen:
            inner = wire.number_syn_ack(message.inner, message.source)
            following = _set_owner(
                state,
                index,
                owner._replace(entry=entry._replace(passed=True)),
            )
            yield (
                f'owner {index} passes the SYN-ACK of {message.source}',
                _send(following, Message(Place.caller, inner)),
            )

    def _give_up(
        self,
        state: State,
        index: int,
        entry: Entry,
    ) -> Iterator[Step]:
        """Retry on the other backend, or refuse."""
        cancelled = self._cancel(state, entry.backend)
        if entry.tries < TRIES:
            other = Entry(1 - entry.backend, entry.tries + 1, passed=False)
            yield (
                f'owner {index} retries on {other.backend}',
                self._ask(cancelled, index, other),
            )
        yield f'owner {index} refuses', self._refuse(cancelled, index)

    def _cancel(self, state: State, backend: int) -> State:
        if self._rules.cancel is Cancel.none:
            return state
        reset = wire.cancel_syn(exact=self._rules.cancel is Cancel.exact)
        return _send(state, Message(Place.backend + backend, reset))

    def _ask(self, state: State, index: int, entry: Entry) -> State:
        inner = wire.SYN_PACKET
        if self._rules.strip_syn_payload:
            inner = wire.strip_syn()
        owner = state.owners[index]._replace(entry=entry)
        asked = _set_owner(state, index, owner)
        return _send(asked, Message(Place.backend + entry.backend, inner))

    def _refuse(self, state: State, index: int) -> State:
        owner = state.owners[index]._replace(entry=None)
        refusal = Message(Place.caller, wire.refuse_syn(), refusal=True)
        return _send(_set_owner(state, index, owner), refusal)

    def _reach_node(self, state: State, message: Message) -> Iterator[Step]:
        """Route a caller's packet, at a node of any view."""
        inner = message.inner
        chosen, forwarded = wire.route(inner)
        backends: tuple[int, ...] = (chosen,)
        if not self._rules.route_by_number:
            backends = tuple(range(wire.BACKENDS))
        for backend in backends:
            yield (
                f'data reaches {backend}',
                _receive_data(state, backend, forwarded),
            )
        gone = Message(
            Place.caller,
            wire.answer_retired(inner),
            refusal=not self._rules.gone_is_unknown,
        )
        yield 'a node takes the backend for gone', _send(state, gone)
        if not self._rules.refuse_only_syn:
            refusal = wire.refuse_data(inner)
            yield (
                'a node refuses data',
                _send(state, Message(Place.caller, refusal, refusal=True)),
            )

    def _reach_caller(self, state: State, message: Message) -> Iterator[Step]:
        caller = state.caller
        segment = wire.parse(message.inner)
        if wire.is_reset(message.inner):
            if _takes_reset(caller, segment.seq, segment.ack):
                yield 'caller is reset', _reset_caller(state, message)
        elif caller.phase is Phase.waiting:
            last, request = wire.answer_syn_ack(message.inner)
            open_caller = Caller(Phase.established, segment.seq + 1)
            yield (
                'caller is established',
                _send(
                    state._replace(caller=open_caller),
                    Message(Place.node, last),
                    Message(Place.node, request),
                ),
            )

    def _reach_backend(self, state: State, message: Message) -> Iterator[Step]:
        index = message.place - Place.backend
        backend = state.backends[index]
        if wire.is_reset(message.inner):
            yield from _receive_cancel(state, index, message.inner)
        elif backend.phase is Phase.waiting:
            shed = Message(Place.owner, wire.shed_syn(), index)
            yield f'{index} sheds', _send(state, shed)
            if backend.incarnation < INCARNATIONS:
                yield f'{index} accepts', _accept(state, index, message.inner)


def _accept(state: State, index: int, inner: bytes) -> State:
    backend = state.backends[index]
    segment = wire.parse(inner)
    incarnation = backend.incarnation + 1
    half_open = Backend(
        Phase.half_open,
        incarnation,
        served=backend.served or segment.payload < segment.end,
    )
    reply = wire.build_syn_ack(index, incarnation)
    following = _set_backend(state, index, half_open)
    return _send(following, Message(Place.owner, reply, index))


def _receive_data(state: State, index: int, inner: bytes) -> State:
    backend = state.backends[index]
    segment = wire.parse(inner)
    has_payload = segment.payload < segment.end
    served = backend.served or has_payload
    expected = wire.find_isn(index, backend.incarnation) + 1
    if backend.phase is Phase.waiting or segment.ack != expected:
        reset = Message(Place.caller, wire.reset_unknown(inner))
        arrived = backend._replace(served=served)
        return _send(_set_backend(state, index, arrived), reset)
    phase = max(
        backend.phase,
        Phase.busy if has_payload else Phase.established,
    )
    following = Backend(phase, backend.incarnation, served)
    return _set_backend(state, index, following)


def _receive_cancel(
    state: State,
    index: int,
    inner: bytes,
) -> Iterator[Step]:
    """Take a reset as RFC 5961 says; half-open ones take any in window."""
    backend = state.backends[index]
    exact = wire.parse(inner).seq == wire.FIRST_SEQUENCE
    taken = backend.phase is Phase.half_open or (
        exact and backend.phase is Phase.established
    )
    if not taken:
        return
    expected = wire.find_isn(index, backend.incarnation) + 1
    in_use = (
        state.caller.phase is Phase.established
        and state.caller.expected == expected
    )
    closed = backend._replace(phase=Phase.waiting)
    following = _set_backend(state, index, closed)
    yield f'{index} is cancelled', following._replace(ended_by_syn_reset=in_use)


def _takes_reset(caller: Caller, seq: int, ack: int) -> bool:
    """Tell whether a caller takes a reset (RFC 9293, RFC 5961)."""
    if caller.phase is Phase.waiting:
        return ack == wire.FIRST_SEQUENCE
    return caller.phase is Phase.established and seq == caller.expected


def _reset_caller(state: State, message: Message) -> State:
    established = state.caller.phase is Phase.established
    ended = Caller(Phase.ended, 0, told_refused=message.refusal)
    return state._replace(
        caller=ended,
        ended_by_syn_reset=established and message.refusal,
    )


def _send(state: State, *messages: Message) -> State:
    return state._replace(sent=state.sent.union(messages))


def _set_owner(state: State, index: int, owner: Owner) -> State:
    """Set an owner; they are alike, so their order is of no account."""
    owners = list(state.owners)
    owners[index] = owner
    owners.sort(key=lambda held: held.entry or ())
    return state._replace(owners=tuple(owners))


def _set_backend(state: State, index: int, backend: Backend) -> State:
    backends = list(state.backends)
    backends[index] = backend
    return state._replace(backends=tuple(backends))
