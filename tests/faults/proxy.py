"""A TCP proxy on loopback between a node and the store, with faults.

Bytes held up by a cut go on when it ends, as they do behind a partition.
"""

import asyncio

_CHUNK_BYTES = 65_536
DIRECTIONS = ('requests', 'answers')


class Link:
    """One node's way to the store; `delay_s` is added in each direction."""

    def __init__(self, dest: tuple[str, int]) -> None:
        self.delay_s: float = 0
        self._dest = dest
        self._passing = {name: asyncio.Event() for name in DIRECTIONS}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.mend()

    async def open(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._carry, ip, port)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.mend()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections, without the bytes that are on the way."""
        for writer in self._writers:
            writer.transport.abort()

    def cut(self, direction: str) -> None:
        """Hold up one direction."""
        self._passing[direction].clear()

    def mend(self) -> None:
        self.delay_s = 0
        for passing in self._passing.values():
            passing.set()

    async def _carry(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._dest)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        requests = self._pump(reader, far_writer, 'requests')
        answers = self._pump(far_reader, writer, 'answers')
        await asyncio.gather(requests, answers)
        self._writers -= both

    async def _pump(self, reader, writer, direction: str) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                await self._passing[direction].wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
