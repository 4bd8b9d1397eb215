"""Leases of the platform stand-in: their keys are deleted with them."""

from dataclasses import dataclass

from standins.platformstore import Store, StoreError


class LeaseError(StoreError):
    """A lease that does not exist, or whose id is already in use."""


@dataclass(slots=True)
class Lease:
    """A lease; `deadline` is in monotonic seconds, `ttl` in seconds."""

    ttl: int
    deadline: float


class Leases:
    """Leases by id; `now` is in monotonic seconds."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._leases: dict[int, Lease] = {}
        self._last_id = 0

    def grant(self, now: float, ttl: int, lease_id: int = 0) -> int:
        """Grant a lease and return its id; id 0 requests a new one."""
        if lease_id in self._leases:
            raise LeaseError('etcdserver: lease already exists')
        while not lease_id or lease_id in self._leases:
            self._last_id += 1
            lease_id = self._last_id
        self._leases[lease_id] = Lease(ttl, now + ttl)
        return lease_id

    def check(self, lease_id: int) -> None:
        """Raise `LeaseError` unless the lease exists; id 0 means no lease."""
        if lease_id and lease_id not in self._leases:
            raise LeaseError('etcdserver: requested lease not found')

    def keep_alive(self, now: float, lease_id: int) -> int:
        """Renew a lease and return its `ttl`, 0 if it does not exist."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.deadline = now + lease.ttl
        return lease.ttl

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys; raises `LeaseError`."""
        self.check(lease_id)
        self._leases.pop(lease_id)
        for entry in self._store.list_range(b'\0', b'\0'):
            if entry.lease == lease_id:
                self._store.delete_range(entry.key, b'')
        self._store.commit()

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time."""
        overdue = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.deadline <= now
        ]
        for lease_id in overdue:
            self.revoke(lease_id)
