"""A fake of the platform's metadata store: lists and watches by HTTP/1.1."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from apricottally.tagged.revisions import Revision
from tests.asyncruns import iterate_sequentially

PAGE_SIZE = 3


@dataclass
class Item:
    key: str
    value: bytes | None
    rev: int

    def to_json(self) -> dict:
        if self.value is None:
            return {'key': self.key, 'rev': self.rev, 'deleted': True}
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'rev': self.rev,
            'created': self.rev,
            'lease': 0,
        }


@dataclass(frozen=True)
class StoreCopy:
    """A copy of the store to restore it from."""

    revision: int
    items: dict[str, Item]
    history: list[Item]


@dataclass
class FakeStore:
    """HTTP server with keys and values; `mode` selects its responses.

    `good`: correct responses. Digits: this HTTP status. `silent`: no response
    for 60 s. `reset`: the connection is closed. `garbage`: status 200 with an
    invalid body. `no_such_history`: status 410 to watches. `history` contains
    all changes, `requested_targets` the targets of all requests answered.
    `epoch` is 1 more than the number of restorations; `epochs_per_list` are
    added to it at each page of a list. The bodies of responses are sent in
    `parts`, with a pause of `pause_s` after each.
    """

    items: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    epoch: int | str = 1
    epochs_per_list: int = 0
    parts: int = 1
    pause_s: float = 0
    revision: int = 5
    mode: str = 'good'
    requested_targets: list[str] = field(default_factory=list)
    endpoint: tuple[str, int] = ('', 0)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def latest(self) -> Revision:
        return Revision(self.epoch, self.revision)

    def take_copy(self) -> 'StoreCopy':
        return StoreCopy(self.revision, dict(self.items), list(self.history))

    def restore(self, older: 'StoreCopy') -> None:
        """Go back to an older copy, in a new epoch."""
        self.epoch += 1
        self.revision = older.revision
        self.items = dict(older.items)
        self.history = list(older.history)

    def put(self, key: str, value: bytes | dict | None) -> None:
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.revision += 1
        item = Item(key, value, self.revision)
        self.history.append(item)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.changed.set()
        self.changed = asyncio.Event()

    def put_server(self, name: str, sequence: int = 1, **changes) -> None:
        defaults = {
            'service': 'core',
            'address': '127.0.0.1:9',
            'zone': 'a',
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq-no': sequence,
            'born': 17,
        }
        self.put(f'servers/{name}', defaults | changes)

    def count_records(self, name: str) -> int:
        """Return the number in a backend's record, 0 if it has none.

        What another writer has put there is no record of the backend: it lacks
        the start.
        """
        item = self.items.get(f'servers/{name}')
        if item is None or item.value is None:
            return 0
        try:
            record = json.loads(item.value)
        except (ValueError, RecursionError):
            return 0
        is_own = isinstance(record, dict) and 'born' in record
        return record['seq-no'] if is_own else 0

    def put_config(self, version: int, routes: list[dict]) -> None:
        self.put(
            'op/config',
            {
                'version': version,
                'routes': routes,
                'services': [],
                'limits': {'idle-timeout-ms': 15000},
            },
        )

    async def answer(self, target: str) -> tuple[int, bytes]:
        self.requested_targets.append(target)
        if self.mode.isdigit():
            return int(self.mode), b'{}'
        if self.mode == 'garbage':
            return 200, b'{"at": "x"}'
        parts = urlsplit(target)
        found = parse_qs(parts.query, errors='surrogatepass')
        query = {name: values[0] for name, values in found.items()}
        if parts.path == '/api/kv-range':
            if self.epochs_per_list:
                self.epoch += self.epochs_per_list
            return 200, self._list(query)
        return await self._watch(query)

    def _list(self, query: dict[str, str]) -> bytes:
        keys = sorted(key for key in self.items if key > query.get('after', ''))
        page = [self.items[key].to_json() for key in keys[:PAGE_SIZE]]
        return json.dumps(
            {
                'items': page,
                'truncated': len(keys) > PAGE_SIZE,
                'at': self.revision,
            }
        ).encode()

    async def _watch(self, query: dict[str, str]) -> tuple[int, bytes]:
        if self.mode == 'no_such_history':
            return 410, b'{}'
        after = int(query['after'])
        if after > self.revision:
            return 410, b'{}'
        wait_s = int(query['wait-ms']) / 1000
        if self.revision <= after:
            changed = self.changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        events = [item.to_json() for item in self.history if item.rev > after]
        body = {'events': events, 'at': self.revision}
        return 200, json.dumps(body).encode()

    async def _send(self, writer, body: bytes) -> None:
        size = -(-len(body) // self.parts)
        async for start in iterate_sequentially(range(0, len(body), size)):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(self.pause_s)

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ')[1].decode()
                if self.mode == 'silent':
                    await asyncio.sleep(60)
                if self.mode == 'reset':
                    return
                status, body = await self.answer(target)
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: %s\r\nContent-Length: %d\r\n\r\n'
                    % (status, str(self.epoch).encode(), len(body))
                )
                await self._send(writer, body)
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()


@asynccontextmanager
async def open_fake_store() -> AsyncIterator[FakeStore]:
    store = FakeStore()
    server = await asyncio.start_server(store.serve, '127.0.0.1', 0)
    store.endpoint = server.sockets[0].getsockname()
    try:
        yield store
    finally:
        server.close()
