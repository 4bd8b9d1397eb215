"""A TCP proxy on loopback between a node and the store that injects faults.

While a direction is paused, its bytes are retained. They are forwarded
afterwards, as TCP does after a network partition.
"""

import asyncio

_CHUNK_BYTES = 65_536
DIRECTIONS = ('requests', 'answers')


class StoreProxy:
    """Proxy of one node; delays data by `delay_s` in each direction."""

    def __init__(self, store_endpoint: tuple[str, int]) -> None:
        self.delay_s: float = 0
        # Requests of the node that have been forwarded.
        self.requests = 0
        self._store_endpoint = store_endpoint
        self._unpaused = {name: asyncio.Event() for name in DIRECTIONS}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.restore()

    async def open(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._forward_connection, ip, port
        )

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.restore()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections and discard data not yet forwarded."""
        for writer in self._writers:
            writer.transport.abort()

    def pause(self, direction: str) -> None:
        """Stop forwarding in one direction until `restore` is called."""
        self._unpaused[direction].clear()

    def restore(self) -> None:
        """Remove the delay and resume both directions."""
        self.delay_s = 0
        for unpaused in self._unpaused.values():
            unpaused.set()

    async def _forward_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            store_reader, store_writer = await asyncio.open_connection(
                *self._store_endpoint
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, store_writer}
        self._writers |= both
        requests = self._forward_data(reader, store_writer, 'requests')
        answers = self._forward_data(store_reader, writer, 'answers')
        await asyncio.gather(requests, answers)
        self._writers -= both

    async def _forward_data(self, reader, writer, direction: str) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                self.requests += direction == 'requests'
                await asyncio.sleep(self.delay_s)
                await self._unpaused[direction].wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
