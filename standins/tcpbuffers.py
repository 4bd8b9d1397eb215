"""Send and receive buffers of the userspace TCP, in sequence numbers.

Sequence numbers are 32-bit and compared modulo 2**32 (RFC 9293, 3.4).
"""

from dataclasses import dataclass

SEQUENCE_MASK = 0xFFFFFFFF
_HALF_SPACE = 1 << 31
# Without window scaling (RFC 7323) no more can be announced.
WINDOW_BYTES = 0xFFFF


def advance(seq: int, count: int) -> int:
    """Return the sequence number `count` after `seq`."""
    return (seq + count) & SEQUENCE_MASK


def distance(later: int, earlier: int) -> int:
    """Return `later - earlier`, negative if `later` comes first."""
    gap = (later - earlier) & SEQUENCE_MASK
    return gap - (1 << 32) if gap >= _HALF_SPACE else gap


@dataclass(frozen=True, slots=True)
class Chunk:
    """A stretch of the byte stream; a FIN takes one number after it."""

    seq: int
    payload: bytes
    fin: bool = False

    @property
    def length(self) -> int:
        """Sequence numbers that the chunk takes."""
        return len(self.payload) + self.fin


class SendBuffer:
    """Bytes to send: `acked` is SND.UNA and `sent` is SND.NXT.

    The receiver's window is taken to be constant, since both ends of the
    stand-ins consume what arrives at once.
    """

    __slots__ = ('_end', '_mss', '_pending', 'acked', 'closed', 'sent')

    def __init__(self, first: int, mss: int) -> None:
        self.acked = first
        self.sent = first
        self.closed = False
        self._mss = mss
        self._pending = bytearray()
        self._end = first

    @property
    def in_flight(self) -> int:
        """Sequence numbers sent and not acknowledged."""
        return distance(self.sent, self.acked)

    @property
    def finished(self) -> bool:
        """Whether everything, with the FIN, is acknowledged."""
        return self.closed and distance(self.acked, self._end) > 0

    def write(self, content: bytes) -> None:
        """Append to the stream."""
        if self.closed:
            raise ValueError('write after close')
        self._pending += content
        self._end = advance(self._end, len(content))

    def close(self) -> None:
        """End the stream with a FIN."""
        self.closed = True

    def take_new(self) -> list[Chunk]:
        """Return the chunks that the window allows; they count as sent."""
        chunks = []
        while self.in_flight < WINDOW_BYTES - self._mss:
            chunk = self._cut(self.in_flight)
            if not chunk.length:
                break
            self.sent = advance(self.sent, chunk.length)
            chunks.append(chunk)
        return chunks

    def oldest(self) -> Chunk | None:
        """Return the first unacknowledged chunk, to send it again."""
        return self._cut(0) if self.in_flight else None

    def acknowledge(self, ack: int) -> bool:
        """Forget what `ack` covers; tell whether it covers anything new."""
        count = distance(ack, self.acked)
        if not 0 < count <= self.in_flight:
            return False
        self.acked = ack
        del self._pending[:count]
        return True

    def _cut(self, offset: int) -> Chunk:
        first = advance(self.acked, offset)
        payload = bytes(self._pending[offset : offset + self._mss])
        is_last = advance(first, len(payload)) == self._end
        return Chunk(first, payload, fin=self.closed and is_last)


class ReceiveBuffer:
    """Bytes received: `next` is RCV.NXT; early chunks wait for the gap."""

    __slots__ = ('_early', '_ready', 'finished', 'next')

    def __init__(self, first: int) -> None:
        self.next = first
        self.finished = False
        self._early: dict[int, Chunk] = {}
        self._ready = bytearray()

    def is_acceptable(self, seq: int, length: int) -> bool:
        """Apply the window test of RFC 9293, 3.10.7.4."""
        first = distance(seq, self.next)
        if not length:
            return 0 <= first < WINDOW_BYTES
        last = first + length - 1
        return last >= 0 and first < WINDOW_BYTES

    def accept(self, chunk: Chunk) -> None:
        """Take a chunk in any order; what is already there is skipped."""
        kept = self._early.get(chunk.seq)
        if kept is None or kept.length < chunk.length:
            self._early[chunk.seq] = chunk
        more = True
        while more:
            more = self._take_one()

    def take(self) -> bytes:
        """Return the bytes that arrived in order since the last call."""
        content = bytes(self._ready)
        self._ready.clear()
        return content

    def _take_one(self) -> bool:
        """Append one early chunk that reaches `next`, if there is one."""
        for seq, chunk in self._early.items():
            known = distance(self.next, seq)
            if known >= 0:
                del self._early[seq]
                if known < chunk.length:
                    self._append(chunk, known)
                return True
        return False

    def _append(self, chunk: Chunk, known: int) -> None:
        if self.finished:
            return
        self._ready += chunk.payload[known:]
        self.next = advance(chunk.seq, chunk.length)
        self.finished = chunk.fin
