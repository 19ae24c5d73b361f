"""Which configuration each entry host decides by, and what must hold.

Each version has a route and a key that no other version has, so that a
request on the route, or with the key, shows whether that version is in force.
"""

import collections
import dataclasses

__all__ = ['Answer', 'Versions']

# Bounds of the platform's pages: ConfigApply and Contact.
APPLY_S = 2.5
CONTACT_S = 3.0
SERVED = 200
REFUSED = {'route': 404, 'key': 401}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Answer of an entry host to a request that only ``version`` allows.

    ``asked`` is ``route`` or ``key``. ``life`` numbers the processes of the
    host.
    """

    host: str
    life: int
    asked: str
    version: int
    sent_s: float
    ended_s: float
    status: int


class Versions:
    """Versions sent and acknowledged, disturbances, and what was served."""

    def __init__(self) -> None:
        self.found: list[str] = []
        self.counts: collections.Counter = collections.Counter()
        self._sent_s: dict[int, float] = {}
        self._acknowledged_s: dict[int, float] = {}
        self._disturbing: collections.Counter = collections.Counter()
        self._calm_since_s: dict[str, float] = {}
        self._lives: collections.Counter = collections.Counter()
        self._served: dict[tuple[str, int], tuple[int, float]] = {}

    @property
    def newest(self) -> int:
        """Return the newest version that was acknowledged."""
        return max(self._acknowledged_s, default=0)

    def sent(self, version: int, *, now_s: float) -> None:
        """Record that a version is sent, for the first time or again."""
        self._sent_s.setdefault(version, now_s)

    def acknowledged(self, version: int, *, now_s: float) -> None:
        """Record an acknowledgement."""
        self._acknowledged_s.setdefault(version, now_s)

    def disturb(self, name: str) -> None:
        """Record that a fault of a host begins."""
        self._disturbing[name] += 1

    def calm(self, name: str, *, now_s: float) -> None:
        """Record that a fault of a host ends."""
        self._disturbing[name] -= 1
        self._calm_since_s[name] = now_s

    def started(self, name: str) -> None:
        """Record that a process of a host starts."""
        self._lives[name] += 1

    def life(self, name: str) -> int:
        """Return the number of processes of a host so far."""
        return self._lives[name]

    def last_served(self, name: str) -> int:
        """Return the newest version that a process has served."""
        return self._served.get((name, self._lives[name]), (0, 0.0))[0]

    def _is_in_touch(self, answer: Answer) -> bool:
        """Return whether nothing was disturbed for ``CONTACT_S``."""
        names = {
            name
            for name in (*self._disturbing, *self._calm_since_s)
            if name == answer.host or name.startswith('control')
        }
        return not any(
            self._disturbing[name] > 0
            or self._calm_since_s.get(name, float('-inf'))
            > answer.sent_s - CONTACT_S
            for name in names
        )

    def _binding(self, answer: Answer) -> int:
        """Return the version that must be in force when it was sent."""
        return max(
            (
                version
                for version, at_s in self._acknowledged_s.items()
                if at_s < answer.sent_s - APPLY_S
            ),
            default=0,
        )

    def _is_last_sent(self, answer: Answer) -> bool:
        """Return whether no newer version may be in force."""
        return not any(
            version > answer.version and at_s < answer.ended_s
            for version, at_s in self._sent_s.items()
        )

    def record(self, answer: Answer) -> None:
        """Check an answer against all that is known when it comes."""
        if answer.life != self._lives[answer.host]:
            return
        in_touch = self._is_in_touch(answer)
        self.counts['probes'] += 1
        self.counts['judged'] += in_touch and self._binding(answer) > 0
        if answer.status == SERVED:
            self._record_served(answer, in_touch=in_touch)
        elif answer.status == REFUSED[answer.asked]:
            self._record_refused(answer, in_touch=in_touch)

    def _record_served(self, answer: Answer, *, in_touch: bool) -> None:
        self.counts['served'] += 1
        binding = self._binding(answer)
        if in_touch and answer.version < binding:
            self._add(answer, f'served although {binding} binds')
        key = answer.host, answer.life
        version, ended_s = self._served.get(key, (0, 0.0))
        if answer.version < version and answer.sent_s > ended_s:
            self._add(answer, f'served after {version}')
        if answer.version > version:
            self._served[key] = answer.version, answer.ended_s

    def _record_refused(self, answer: Answer, *, in_touch: bool) -> None:
        self.counts['refused'] += 1
        if not self._is_last_sent(answer):
            return
        if in_touch and self._binding(answer) >= answer.version:
            self._add(answer, 'refused although it binds')
        version, ended_s = self._served.get(
            (answer.host, answer.life), (0, 0.0)
        )
        if version >= answer.version and answer.sent_s > ended_s:
            self._add(answer, 'refused after it was served')

    def _add(self, answer: Answer, what: str) -> None:
        self.found.append(
            f'{answer.host} (process {answer.life}): {answer.asked} of '
            f'version {answer.version} {what}; sent at {answer.sent_s:.3f}, '
            f'answered at {answer.ended_s:.3f}'
        )
