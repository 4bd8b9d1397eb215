"""Send and receive buffers of the userspace TCP.

Sequence numbers are 32-bit and compared modulo 2**32 (RFC 9293, 3.4).
"""

from dataclasses import dataclass

SEQUENCE_MASK = 0xFFFFFFFF
_HALF_SPACE = 1 << 31
# The largest window that can be announced without scaling (RFC 7323).
WINDOW_BYTES = 0xFFFF


def advance(seq: int, count: int) -> int:
    """Return `seq + count` modulo 2**32."""
    return (seq + count) & SEQUENCE_MASK


def distance(later: int, earlier: int) -> int:
    """Return `later - earlier`, negative if `later` precedes `earlier`."""
    gap = (later - earlier) & SEQUENCE_MASK
    return gap - (1 << 32) if gap >= _HALF_SPACE else gap


@dataclass(frozen=True, slots=True)
class Chunk:
    """A contiguous part of the byte stream, with the FIN if it ends there."""

    seq: int
    payload: bytes
    fin: bool = False

    @property
    def length(self) -> int:
        """Length in sequence numbers, of which a FIN occupies one."""
        return len(self.payload) + self.fin


class SendBuffer:
    """Bytes not yet acknowledged: `acked` is SND.UNA, `sent` is SND.NXT.

    The peer's window is assumed to be constant, since the users of this TCP
    read received bytes immediately.
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
        """Number of sequence numbers sent but not acknowledged."""
        return distance(self.sent, self.acked)

    @property
    def finished(self) -> bool:
        """Whether all bytes and the FIN are acknowledged."""
        return self.closed and distance(self.acked, self._end) > 0

    def write(self, content: bytes) -> None:
        """Append bytes; raises `ValueError` once closed."""
        if self.closed:
            raise ValueError('write after close')
        self._pending += content
        self._end = advance(self._end, len(content))

    def close(self) -> None:
        """End the stream with a FIN."""
        self.closed = True

    def take_unsent(self) -> list[Chunk]:
        """Return the unsent chunks that the window allows, marked as sent."""
        chunks = []
        while self.in_flight < WINDOW_BYTES - self._mss:
            chunk = self._build_chunk(self.in_flight)
            if not chunk.length:
                break
            self.sent = advance(self.sent, chunk.length)
            chunks.append(chunk)
        return chunks

    def oldest(self) -> Chunk | None:
        """Return the first unacknowledged chunk for retransmission."""
        return self._build_chunk(0) if self.in_flight else None

    def acknowledge(self, ack: int) -> bool:
        """Drop the bytes before `ack`; return whether SND.UNA advanced."""
        count = distance(ack, self.acked)
        if not 0 < count <= self.in_flight:
            return False
        self.acked = ack
        del self._pending[:count]
        return True

    def _build_chunk(self, offset: int) -> Chunk:
        first = advance(self.acked, offset)
        payload = bytes(self._pending[offset : offset + self._mss])
        is_last = advance(first, len(payload)) == self._end
        return Chunk(first, payload, fin=self.closed and is_last)


class ReceiveBuffer:
    """Received bytes: `next` is RCV.NXT.

    Chunks that arrive out of order are kept until the gap before them is
    filled.
    """

    __slots__ = ('_out_of_order', '_ready', 'finished', 'next')

    def __init__(self, first: int) -> None:
        self.next = first
        self.finished = False
        self._out_of_order: dict[int, Chunk] = {}
        self._ready = bytearray()

    def is_acceptable(self, seq: int, length: int) -> bool:
        """Apply the window test of RFC 9293, 3.10.7.4."""
        first = distance(seq, self.next)
        if not length:
            return 0 <= first < WINDOW_BYTES
        last = first + length - 1
        return last >= 0 and first < WINDOW_BYTES

    def accept(self, chunk: Chunk) -> None:
        """Add a chunk, in any order; bytes already received are skipped."""
        kept = self._out_of_order.get(chunk.seq)
        if kept is None or kept.length < chunk.length:
            self._out_of_order[chunk.seq] = chunk
        more = True
        while more:
            more = self._merge_one()

    def read(self) -> bytes:
        """Return the bytes that arrived in order since the last call."""
        content = bytes(self._ready)
        self._ready.clear()
        return content

    def _merge_one(self) -> bool:
        """Merge one out-of-order chunk that starts at or before `next`.

        Returns False if there is none.
        """
        for seq, chunk in self._out_of_order.items():
            overlap = distance(self.next, seq)
            if overlap >= 0:
                del self._out_of_order[seq]
                if overlap < chunk.length:
                    self._append(chunk, overlap)
                return True
        return False

    def _append(self, chunk: Chunk, overlap: int) -> None:
        if self.finished:
            return
        self._ready += chunk.payload[overlap:]
        self.next = advance(chunk.seq, chunk.length)
        self.finished = chunk.fin
