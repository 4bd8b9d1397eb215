"""Fuzzing of everything that decodes bytes from outside.

A decoder returns a value or raises its own error. `FUZZ_CASES` is the number of
cases for each decoder; the cases are the same in each run.
"""

import json
import os
from contextlib import suppress

import pytest
from fleetnode import records, values
from fleetnode.configurations import decode_configuration
from fleetnode.packets import Codec
from fleetnode.servers import decode_backend
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from apricottally import gue, loglines, messages, model
from apricottally.errors import DecodingError, ModelError, WireError
from apricottally.loadpoller import parse_answer
from apricottally.members import Member
from apricottally.tagged import messages as tagged
from apricottally.tagged import snapshots
from apricottally.tagged.records import BackendChange
from tests.taggednode import build_backend, rev
from tests.test_fleetnode import SERVER, SYN, encode
from tests.test_tagged_load import build_heartbeat

CASES = int(os.environ.get('FUZZ_CASES', '150'))
CHANGE = BackendChange('i-00000001', rev(9), build_backend(1))
ROUTE = {
    'name': 'r',
    'host': '198.18.0.1',
    'prefix': '/8443/',
    'kind': 'safe',
    'split': [{'service': 'x', 'weight': 90}],
    'allowed-regions': ['north'],
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'x', 'cold-start-s': 8, 'cold-per-s': 2.5}],
    'limits': {'idle-timeout-ms': 15000},
}
ITEM = {'key': 'servers/i-9', 'rev': 8, 'value': encode(SERVER)}
PAGE = {'at': 9, 'items': [ITEM, {'key': 'k', 'rev': 9}], 'truncated': False}
CHANGES = {'at': 9, 'events': [ITEM, {'key': 'k', 'rev': 9, 'deleted': True}]}
MACHINE = model.Machine('desk', 'a', '10.0.0.1', model.MachineState.live)


class NoError(Exception):
    """Stands for the errors of a decoder that raises none."""


def to_json(value) -> bytes:
    return json.dumps(value).encode()


def decode_and_read(raw: bytes):
    """Decode a page and each item in it."""
    return records.decode_items(records.decode_page(raw).items, 1)


def decode_entry(raw: bytes):
    return values.decode_value(raw.decode('latin-1'), dict)


def decode_server(raw: bytes):
    return decode_backend('i-9', raw.decode('latin-1'))


def decode_config(raw: bytes):
    return decode_configuration(raw.decode('latin-1'))


def decode_machine(raw: bytes):
    return model.decode_record(f'{model.MACHINE_PREFIX}x', raw)


def decode_value_of_backend(raw: bytes):
    """Decode JSON as the value of a backend's key."""
    text = values.base64.b64encode(raw).decode()
    return decode_backend('i-9', text)


def decode_value_of_configuration(raw: bytes):
    return decode_configuration(values.base64.b64encode(raw).decode())


MEMBER = Member('n1', 'a', '10.0.0.1', 6080, 6081)
VIEW = messages.View(1, 2, 3, ready=True)
# The decoder, its errors, and valid payloads that are changed.
DECODERS = {
    'page': (decode_and_read, DecodingError, [to_json(PAGE)]),
    'changes': (records.decode_changes, DecodingError, [to_json(CHANGES)]),
    'value': (decode_entry, DecodingError, [encode(SERVER).encode()]),
    'backend': (decode_server, DecodingError, [encode(SERVER).encode()]),
    'backend_json': (decode_value_of_backend, DecodingError, [to_json(SERVER)]),
    'configuration': (
        decode_config,
        DecodingError,
        [encode(CONFIGURATION).encode()],
    ),
    'configuration_json': (
        decode_value_of_configuration,
        DecodingError,
        [to_json(CONFIGURATION)],
    ),
    'packet': (Codec(1).parse, NoError, [SYN, SYN + b'data']),
    'peer': (
        tagged.decode,
        WireError,
        [
            tagged.encode(build_heartbeat(1, [tagged.Load(1, 2, 3)])),
            tagged.encode(tagged.Delta('n', rev(1), rev(2), 0, (CHANGE,))),
            tagged.encode(tagged.ClockRequest(1, 2)),
            tagged.encode(tagged.ClockReply(1, 2, 'n', 3, 4)),
        ],
    ),
    'snapshot': (
        tagged.decode_snapshot,
        WireError,
        [tagged.encode(tagged.Snapshot(rev(2), 0, True, (CHANGE,)))],
    ),
    'compressed': (
        snapshots.decompress,
        (WireError, snapshots.zlib.error),
        [snapshots.zlib.compress(bytes(500))],
    ),
    'peer_of_etcd': (
        messages.decode,
        WireError,
        [messages.encode(messages.Ping(1, MEMBER, VIEW))],
    ),
    'gue': (gue.decode, WireError, [gue.PLAIN_HEADER + SYN]),
    'record': (decode_machine, ModelError, [model.encode_json(MACHINE)]),
    'load': (
        parse_answer,
        NoError,
        [b'HTTP/1.1 200 OK\r\n\r\n{"busy":1,"slots":2}'],
    ),
    'log_line': (
        loglines.parse_line,
        NoError,
        [b'{"time":1,"node":"n","event":"e","age_ms":4}'],
    ),
}
# Parts that are hard on decoders.
FRAGMENTS = (
    b'',
    b'\xff',
    b'\x00',
    json.dumps(chr(0xD800))[1:-1].encode(),
    b'1e999',
    b'-1',
    b'9' * 30,
    b'null',
    b'{}',
    b'"',
    b'[' * 1200,
    b'\x91' * 1200,
    b'{"a":' * 1200,
    b'\xcf' + b'\xff' * 8,
    b'\xd3\x80' + b'\x00' * 7,
    b'\xcb\x7f\xf8' + b'\x00' * 6,
)


@st.composite
def mutate(draw, samples) -> bytes:
    """Return a payload with up to four parts replaced."""
    payload = draw(st.sampled_from(samples))
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(payload)))
        end = draw(st.integers(start, min(len(payload), start + 12)))
        part = draw(
            st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=8))
        )
        payload = payload[:start] + part + payload[end:]
    return payload


@pytest.mark.parametrize('name', DECODERS)
def test_any_payload(name) -> None:
    """Guards against an error that a caller of the decoder does not expect."""
    decode, errors, samples = DECODERS[name]
    for sample in samples:
        decode(sample)

    @settings(
        max_examples=CASES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(mutate(samples))
    def check(payload) -> None:
        with suppress(errors):
            decode(payload)

    check()
