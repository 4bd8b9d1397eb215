"""Model of one flow's TCP handshake through the balancer.

The parties are one caller, two owners (nodes that each consider themselves
owner of the flow's shard) and two backends. Packets are real and are built by
the product's code (see `wire`). A packet that has been sent may arrive at any
later time, any number of times or never: this covers unlimited loss,
duplication and reordering. An owner may choose any backend, refuse, retry and
time out at any time: this covers every combination of membership views. An
owner that lost its entry is covered by the other owner, which has none.

Bounds: the caller sends one SYN, there are two owners, each entry tries at
most `MAX_ATTEMPTS` backends, and each backend accepts at most
`MAX_INCARNATIONS` connections.

| transition | modelled code or rule |
| --- | --- |
| `_send_syn`, `_refuse` | `admission.receive_syn`, `admission.refuse` |
| `_retry_or_refuse` | `admission`'s retry after a timeout or a shed SYN |
| owner forwards a SYN-ACK | `admission.receive_syn_ack` |
| owner forwards a reset | `admission.receive_refusal`: a backend shed a SYN |
| `_deliver_to_node` | `forwarding.receive_packet`, which is executed |
| caller, backend | their kernels' TCP: RFC 9293 and RFC 5961 |
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from checking import wire

MAX_ATTEMPTS = 2
MAX_INCARNATIONS = 2
OWNER_COUNT = 2


class SynCancel(enum.Enum):
    """How an owner cancels the SYN at a backend on which it gives up.

    `none` sends nothing. `exact` sends a reset whose sequence number is the
    one after the SYN. `in_window` sends a reset with a later sequence number
    in the window, which an established connection ignores (RFC 5961).
    """

    none = 'none'
    exact = 'exact'
    in_window = 'in_window'


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the design; the check breaks each of them on purpose.

    - `strip_syn_payload`: owners send the SYN on without its payload.
    - `route_by_number`: data goes only to the backend whose number it carries.
    - `refuse_only_syn`: nodes send refusals only in answer to a SYN.
    - `gone_is_unknown`: the reset that a node sends when the backend is gone
      leaves open whether the request ran; it is not a refusal.
    - `cancel`: how an owner cancels a SYN that it has sent to a backend.
    """

    strip_syn_payload: bool = True
    route_by_number: bool = True
    refuse_only_syn: bool = True
    gone_is_unknown: bool = True
    cancel: SynCancel = SynCancel.none


class Destination(enum.IntEnum):
    """Where a packet goes; for a backend, its index is added to `backend`."""

    owner = 0
    caller = 1
    node = 2
    backend = 3


class Message(NamedTuple):
    """A packet in transit; `inner` is the IP packet without encapsulation.

    `source` is the index of the backend that sent the packet, or -1 for any
    other sender. `refusal` is true for a reset by which the sender states
    that the request was not run.
    """

    destination: int
    inner: bytes
    source: int = -1
    refusal: bool = False


class Phase(enum.IntEnum):
    """State of a TCP connection at the caller or a backend.

    `waiting` is SYN-SENT at the caller and LISTEN at a backend.
    """

    waiting = 0
    half_open = 1
    established = 2
    # A payload has advanced the sequence number that the backend expects.
    busy = 3
    ended = 4


class Caller(NamedTuple):
    """The caller; `expected_seq` is the peer's next sequence number.

    `received_refusal` says that a reset told the caller "not run".
    """

    phase: Phase = Phase.waiting
    expected_seq: int = 0
    received_refusal: bool = False


class Entry(NamedTuple):
    """An owner's entry for the flow.

    `backend` is the backend that got the SYN last, and `attempts` the number
    of backends that got it so far.
    """

    backend: int
    attempts: int
    syn_ack_forwarded: bool


class Owner(NamedTuple):
    """A node that is the owner of the flow's shard in its own view."""

    entry: Entry | None = None


class Backend(NamedTuple):
    """A backend server.

    `incarnation` counts the connections that it has accepted, and
    `received_payload` says whether a payload has reached it on any of them.
    """

    phase: Phase = Phase.waiting
    incarnation: int = 0
    received_payload: bool = False


class State(NamedTuple):
    """The state of all parties, and every packet sent so far.

    `ended_by_syn_reset` says that a reset meant for a SYN (a refusal or a
    cancellation) ended an established flow.
    """

    caller: Caller
    owners: tuple[Owner, ...]
    backends: tuple[Backend, ...]
    sent: frozenset[Message]
    ended_by_syn_reset: bool = False


Transition: TypeAlias = tuple[str, State]

SYN = Message(Destination.owner, wire.SYN_WITH_PAYLOAD)
START = State(
    Caller(),
    (Owner(),) * OWNER_COUNT,
    (Backend(),) * wire.BACKEND_COUNT,
    frozenset((SYN,)),
)


def find_violations(state: State) -> Iterator[str]:
    """Yield the names of the properties that a state violates."""
    payload_count = sum(backend.received_payload for backend in state.backends)
    if payload_count > 1:
        yield 'one_backend_gets_payload'
    if state.caller.received_refusal and payload_count:
        yield 'refused_means_not_run'
    if state.ended_by_syn_reset:
        yield 'syn_reset_ends_no_flow'


def find_landmarks(state: State) -> Iterator[str]:
    """Yield the names of situations that the exploration has to reach."""
    backends = state.backends
    if all(backend.phase is Phase.half_open for backend in backends):
        yield 'two_half_open'
    for index, backend in enumerate(backends):
        if backend.received_payload:
            yield f'served_{index}'
        if backend.incarnation > 1:
            yield 'accepted_again'
    if state.caller.received_refusal:
        yield 'refused'
    if state.caller.phase is Phase.ended and not state.caller.received_refusal:
        yield 'reset'
    entries = [owner.entry for owner in state.owners]
    if all(
        entry is not None and entry.attempts == MAX_ATTEMPTS
        for entry in entries
    ):
        yield 'both_owners_retried'


class Model:
    """The transitions that the given rules allow."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules

    def list_transitions(self, state: State) -> Iterator[Transition]:
        """Yield the transitions from a state.

        Transitions that only send packets are taken first, all of them as
        one. This hides no violation, since a packet in transit prevents no
        other transition and may still never arrive.
        """
        transitions = list(self._list_single_transitions(state))
        send_only = [
            (name, successor.sent)
            for name, successor in transitions
            if successor.sent != state.sent
            and successor._replace(sent=state.sent) == state
        ]
        if send_only:
            names = ', '.join(sorted({name for name, _ in send_only}))
            sent = state.sent.union(*(packets for _, packets in send_only))
            yield names, state._replace(sent=sent)
        else:
            yield from transitions

    def _list_single_transitions(self, state: State) -> Iterator[Transition]:
        for message in state.sent:
            yield from self._deliver(state, message)
        yield from self._time_out(state)

    def _deliver(self, state: State, message: Message) -> Iterator[Transition]:
        if message.destination == Destination.owner:
            for index in range(OWNER_COUNT):
                yield from self._deliver_to_owner(state, index, message)
        elif message.destination == Destination.caller:
            yield from self._deliver_to_caller(state, message)
        elif message.destination == Destination.node:
            yield from self._deliver_to_node(state, message)
        else:
            yield from self._deliver_to_backend(state, message)

    def _time_out(self, state: State) -> Iterator[Transition]:
        for index, owner in enumerate(state.owners):
            if owner.entry is not None and not owner.entry.syn_ack_forwarded:
                yield from self._retry_or_refuse(state, index, owner.entry)
        for index, backend in enumerate(state.backends):
            if backend.phase is Phase.half_open:
                timed_out = backend._replace(phase=Phase.waiting)
                yield (
                    f'backend {index} times out',
                    _set_backend(state, index, timed_out),
                )

    def _deliver_to_owner(
        self,
        state: State,
        index: int,
        message: Message,
    ) -> Iterator[Transition]:
        if message.source >= 0:
            yield from self._deliver_reply_to_owner(state, index, message)
        elif state.owners[index].entry is None:
            for backend in range(wire.BACKEND_COUNT):
                entry = Entry(backend, 1, syn_ack_forwarded=False)
                yield (
                    f'owner {index} sends the SYN to backend {backend}',
                    self._send_syn(state, index, entry),
                )
            yield f'owner {index} refuses', self._refuse(state, index)

    def _deliver_reply_to_owner(
        self,
        state: State,
        index: int,
        message: Message,
    ) -> Iterator[Transition]:
        owner = state.owners[index]
        entry = owner.entry
        is_current = entry is not None and entry.backend == message.source
        if wire.is_reset(message.inner):
            if entry is not None and is_current and not entry.syn_ack_forwarded:
                yield from self._retry_or_refuse(state, index, entry)
            else:
                forwarded_reset = Message(
                    Destination.caller, message.inner, refusal=True
                )
                yield (
                    f'owner {index} forwards a reset',
                    _send(state, forwarded_reset),
                )
        elif entry is not None and is_current:
            inner = wire.add_backend_number(message.inner, message.source)
            successor = _set_owner(
                state,
                index,
                owner._replace(entry=entry._replace(syn_ack_forwarded=True)),
            )
            yield (
                f'owner {index} forwards the SYN-ACK of {message.source}',
                _send(successor, Message(Destination.caller, inner)),
            )

    def _retry_or_refuse(
        self,
        state: State,
        index: int,
        entry: Entry,
    ) -> Iterator[Transition]:
        """Retry on the other backend, or refuse the flow."""
        cancelled = self._cancel(state, entry.backend)
        if entry.attempts < MAX_ATTEMPTS:
            other = Entry(
                1 - entry.backend, entry.attempts + 1, syn_ack_forwarded=False
            )
            yield (
                f'owner {index} retries on backend {other.backend}',
                self._send_syn(cancelled, index, other),
            )
        yield f'owner {index} refuses', self._refuse(cancelled, index)

    def _cancel(self, state: State, backend: int) -> State:
        if self._rules.cancel is SynCancel.none:
            return state
        reset = wire.cancel_syn(exact=self._rules.cancel is SynCancel.exact)
        return _send(state, Message(Destination.backend + backend, reset))

    def _send_syn(self, state: State, index: int, entry: Entry) -> State:
        inner = wire.SYN_WITH_PAYLOAD
        if self._rules.strip_syn_payload:
            inner = wire.strip_syn()
        owner = state.owners[index]._replace(entry=entry)
        updated = _set_owner(state, index, owner)
        return _send(
            updated, Message(Destination.backend + entry.backend, inner)
        )

    def _refuse(self, state: State, index: int) -> State:
        owner = state.owners[index]._replace(entry=None)
        refusal = Message(Destination.caller, wire.refuse_syn(), refusal=True)
        return _send(_set_owner(state, index, owner), refusal)

    def _deliver_to_node(
        self, state: State, message: Message
    ) -> Iterator[Transition]:
        """Forward or answer a caller's packet at a node with any view."""
        inner = message.inner
        chosen, forwarded = wire.forward_to_backend(inner)
        backends: tuple[int, ...] = (chosen,)
        if not self._rules.route_by_number:
            backends = tuple(range(wire.BACKEND_COUNT))
        for backend in backends:
            yield (
                f'data reaches backend {backend}',
                _receive_data(state, backend, forwarded),
            )
        gone = Message(
            Destination.caller,
            wire.answer_for_retired_backend(inner),
            refusal=not self._rules.gone_is_unknown,
        )
        yield 'a node considers the backend gone', _send(state, gone)
        if not self._rules.refuse_only_syn:
            refusal = wire.refuse_data(inner)
            yield (
                'a node refuses data',
                _send(
                    state, Message(Destination.caller, refusal, refusal=True)
                ),
            )

    def _deliver_to_caller(
        self, state: State, message: Message
    ) -> Iterator[Transition]:
        caller = state.caller
        segment = wire.parse(message.inner)
        if wire.is_reset(message.inner):
            if _accepts_reset(caller, segment.seq, segment.ack):
                yield 'caller is reset', _reset_caller(state, message)
        elif caller.phase is Phase.waiting:
            final_ack, request = wire.complete_handshake(message.inner)
            connected = Caller(Phase.established, segment.seq + 1)
            yield (
                'caller is established',
                _send(
                    state._replace(caller=connected),
                    Message(Destination.node, final_ack),
                    Message(Destination.node, request),
                ),
            )

    def _deliver_to_backend(
        self, state: State, message: Message
    ) -> Iterator[Transition]:
        index = message.destination - Destination.backend
        backend = state.backends[index]
        if wire.is_reset(message.inner):
            yield from _receive_syn_cancel(state, index, message.inner)
        elif backend.phase is Phase.waiting:
            shed = Message(Destination.owner, wire.shed_syn(), index)
            yield f'backend {index} sheds', _send(state, shed)
            if backend.incarnation < MAX_INCARNATIONS:
                yield (
                    f'backend {index} accepts',
                    _accept(state, index, message.inner),
                )


def _accept(state: State, index: int, inner: bytes) -> State:
    backend = state.backends[index]
    segment = wire.parse(inner)
    incarnation = backend.incarnation + 1
    half_open = Backend(
        Phase.half_open,
        incarnation,
        received_payload=backend.received_payload
        or segment.payload < segment.end,
    )
    reply = wire.build_syn_ack(index, incarnation)
    successor = _set_backend(state, index, half_open)
    return _send(successor, Message(Destination.owner, reply, index))


def _receive_data(state: State, index: int, inner: bytes) -> State:
    backend = state.backends[index]
    segment = wire.parse(inner)
    has_payload = segment.payload < segment.end
    received_payload = backend.received_payload or has_payload
    expected_ack = wire.compute_isn(index, backend.incarnation) + 1
    if backend.phase is Phase.waiting or segment.ack != expected_ack:
        reset = Message(
            Destination.caller, wire.reset_unknown_connection(inner)
        )
        updated = backend._replace(received_payload=received_payload)
        return _send(_set_backend(state, index, updated), reset)
    phase = max(
        backend.phase,
        Phase.busy if has_payload else Phase.established,
    )
    successor = Backend(phase, backend.incarnation, received_payload)
    return _set_backend(state, index, successor)


def _receive_syn_cancel(
    state: State,
    index: int,
    inner: bytes,
) -> Iterator[Transition]:
    """Apply a reset that cancels a SYN, according to RFC 5961.

    A half-open connection accepts any sequence number in the window, an
    established one only the exact number.
    """
    backend = state.backends[index]
    exact = wire.parse(inner).seq == wire.SEQUENCE_AFTER_SYN
    accepted = backend.phase is Phase.half_open or (
        exact and backend.phase is Phase.established
    )
    if not accepted:
        return
    expected_ack = wire.compute_isn(index, backend.incarnation) + 1
    in_use = (
        state.caller.phase is Phase.established
        and state.caller.expected_seq == expected_ack
    )
    closed = backend._replace(phase=Phase.waiting)
    successor = _set_backend(state, index, closed)
    yield (
        f'backend {index} is cancelled',
        successor._replace(ended_by_syn_reset=in_use),
    )


def _accepts_reset(caller: Caller, seq: int, ack: int) -> bool:
    """Tell whether a caller accepts a reset (RFC 9293, RFC 5961)."""
    if caller.phase is Phase.waiting:
        return ack == wire.SEQUENCE_AFTER_SYN
    return caller.phase is Phase.established and seq == caller.expected_seq


def _reset_caller(state: State, message: Message) -> State:
    established = state.caller.phase is Phase.established
    ended = Caller(Phase.ended, 0, received_refusal=message.refusal)
    return state._replace(
        caller=ended,
        ended_by_syn_reset=established and message.refusal,
    )


def _send(state: State, *messages: Message) -> State:
    return state._replace(sent=state.sent.union(messages))


def _set_owner(state: State, index: int, owner: Owner) -> State:
    """Set an owner's state.

    Owners are interchangeable: sorting them merges states that differ only
    in their order.
    """
    owners = list(state.owners)
    owners[index] = owner
    owners.sort(key=lambda each: each.entry or ())
    return state._replace(owners=tuple(owners))


def _set_backend(state: State, index: int, backend: Backend) -> State:
    backends = list(state.backends)
    backends[index] = backend
    return state._replace(backends=tuple(backends))
