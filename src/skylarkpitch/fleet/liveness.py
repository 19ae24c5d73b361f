"""Detect peers whose heartbeats have stopped."""

from collections.abc import Iterable
import dataclasses

__all__ = ['Liveness']

# A longer gap between two calls of Liveness.expired means that this process
# did not run. The control service calls it every 0.25 s.
STALL_S = 0.8


@dataclasses.dataclass(slots=True)
class _Contact:
    revision: tuple[int, int]
    last_contact_s: float


class Liveness:
    """Time and revision of the last contact of each of a set of peers.

    A peer expires when it has sent nothing for ``timeout_s``. Time during
    which this process did not run is not counted; such a stall is detected
    from the gap between two calls of :meth:`expired`.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._contacts: dict[str, _Contact] = {}
        self._last_check_s: float | None = None

    def record_contact(
        self, name: str, *, revision: tuple[int, int], now_s: float
    ) -> None:
        """Record a contact; ignore one of an older revision."""
        contact = self._contacts.get(name)
        if contact is None or revision >= contact.revision:
            self._contacts[name] = _Contact(revision, now_s)

    def is_stale(self, name: str, *, revision: tuple[int, int]) -> bool:
        """Return whether a newer revision of a peer was recorded."""
        contact = self._contacts.get(name)
        return contact is not None and revision < contact.revision

    def last_revision(self, name: str) -> tuple[int, int] | None:
        """Return the revision of the last contact, None without one."""
        contact = self._contacts.get(name)
        return None if contact is None else contact.revision

    def reset(self) -> None:
        """Discard all contacts, as when this process becomes leader."""
        self._contacts.clear()
        self._last_check_s = None

    def expired(self, names: Iterable[str], *, now_s: float) -> list[str]:
        """Return the given peers that have expired, sorted.

        The timeout of a peer without a contact starts at the first call
        that names it. Contacts of peers that are not named are discarded.
        """
        names = set(names)
        stalled_s = 0.0
        if self._last_check_s is not None:
            gap_s = now_s - self._last_check_s
            stalled_s = gap_s if gap_s > STALL_S else 0.0
        self._last_check_s = now_s
        for name in set(self._contacts) - names:
            del self._contacts[name]
        expired = []
        for name in sorted(names):
            contact = self._contacts.setdefault(
                name, _Contact((-1, -1), now_s)
            )
            contact.last_contact_s = min(
                now_s, contact.last_contact_s + stalled_s
            )
            if now_s - contact.last_contact_s > self._timeout_s:
                expired.append(name)
        return expired
