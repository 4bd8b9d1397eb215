"""A stand-in of the platform's metadata store (PROTOCOL.md).

It serves lists and watches, all that the balancer calls. Each node may be given
a port of its own, so that one node can be cut off from the store.
"""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 50


class Store:
    """Keys and their history; `put` and `delete` return the new revision."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 5
        self.changed = asyncio.Event()
        # Ports whose calls get no answer and whose new connections hang.
        self.silent_ports: set[int] = set()
        self.calls: dict[int, int] = {}
        self._servers: list[asyncio.Server] = []

    def put(self, key: str, value: bytes | dict) -> int:
        raw = json.dumps(value).encode() if isinstance(value, dict) else value
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'rev': self.revision,
            'created': self.items.get(key, {}).get('created', self.revision),
            'lease': 0,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def delete(self, key: str) -> int:
        self.revision += 1
        self.items.pop(key, None)
        self._record({'key': key, 'rev': self.revision, 'deleted': True})
        return self.revision

    def _record(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def listen(self, ip: str) -> int:
        """Serve on another port; return it."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self) -> None:
        for server in self._servers:
            server.close()

    async def _serve(self, reader, writer) -> None:
        port = writer.get_extra_info('sockname')[1]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ')[1].decode()
                if port in self.silent_ports:
                    return await self._hang(reader)
                self.calls[port] = self.calls.get(port, 0) + 1
                await asyncio.sleep(0.004)
                status, body = await self._answer(target)
                if port in self.silent_ports:
                    return await self._hang(reader)
                raw = json.dumps(body).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: 1\r\nContent-Length: %d\r\n\r\n%s'
                    % (status, len(raw), raw)
                )
                await writer.drain()
        except (OSError, EOFError):
            return
        finally:
            writer.close()

    async def _hang(self, reader) -> None:
        """Answer nothing more on this connection, as behind a cut."""
        while await reader.read(65536):
            pass

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        prefix = query.get('prefix', '')
        if parts.path == '/api/kv-range':
            return 200, self._list(prefix, query.get('after', ''))
        if parts.path == '/api/kv-watch':
            wait_s = int(query['wait-ms']) / 1000
            return 200, await self._watch(prefix, int(query['after']), wait_s)
        if parts.path == '/api/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'at': self.revision}
            return 200, {**item, 'at': self.revision}
        return 404, {}

    def _list(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'truncated': len(keys) > PAGE_ITEMS,
            'at': self.revision,
        }

    def _events(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self.history
            if event['rev'] > after and event['key'].startswith(prefix)
        ]

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            events = self._events(prefix, after)
            left = ends_at - loop.time()
            if events or left <= 0:
                return {'events': events, 'at': self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
