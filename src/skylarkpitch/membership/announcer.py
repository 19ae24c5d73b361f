"""Client side of the ownership protocol, for programs that are upstreams.

An upstream announces itself to one entry host at a time and returns the echo
of the newest response only. A program creates one :class:`Announcer` for each
upstream, sends the announcements that it returns, and records the outcome of
each.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

__all__ = ['ATTEMPT_TIMEOUT_S', 'Announcer', 'Attempt']

# A host queries the other hosts of its failure domain before it responds.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
ATTEMPTS_PER_HOST = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One announcement to send.

    ``url`` is the base URL of the host to send it to. The other fields are
    those of :class:`announcements.Announcement` with the same names.
    """

    url: str
    previous_owner: str | None
    previous_owner_age_s: float
    echo: str


class Announcer:
    """Protocol state of an upstream between two announcements.

    ``urls`` are the base URLs of the entry hosts. ``next_attempt_s`` is the
    time at which the next announcement is due. All times are in seconds of one
    monotonic clock.
    """

    def __init__(self, *, urls: Sequence[str], now_s: float) -> None:
        self._urls = list(urls)
        self._position = 0
        self._echo = ''
        self._echo_owner: str | None = None
        self._previous_owner: str | None = None
        self._previous_attempt_s = now_s
        self._failures = 0
        self.next_attempt_s = now_s

    @property
    def url(self) -> str:
        """Return the base URL of the host that is announced to now."""
        return self._urls[self._position]

    def start_attempt(self, *, now_s: float) -> Attempt:
        """Return the announcement to send now.

        Until an outcome is recorded the next attempt is due after
        ``RETRY_DELAY_S``.
        """
        if self._echo:
            self._previous_owner = self._echo_owner
            self._previous_attempt_s = now_s
        self.next_attempt_s = now_s + RETRY_DELAY_S
        return Attempt(
            url=self.url,
            previous_owner=self._previous_owner,
            previous_owner_age_s=now_s - self._previous_attempt_s,
            echo=self._echo,
        )

    def record_response(
        self, response: dict[str, Any], *, now_s: float
    ) -> None:
        """Record a response with status 200."""
        self._failures = 0
        self.next_attempt_s = now_s + response['announce_every_s']
        self._echo = response['echo']
        self._echo_owner = response['host']
        if response['announce_to']:
            self._change_host(response['announce_to'])

    def record_refusal(self, retry_after_s: float, *, now_s: float) -> None:
        """Record a refusal.

        The same host receives the next announcement after ``retry_after_s``.
        """
        self._failures = 0
        self._echo = ''
        self.next_attempt_s = now_s + retry_after_s

    def record_failure(self, *, now_s: float) -> None:
        """Record that no response arrived.

        After ``ATTEMPTS_PER_HOST`` failures in a row the next host receives
        the following announcement.
        """
        self._failures += 1
        self.next_attempt_s = now_s + RETRY_DELAY_S
        if self._failures >= ATTEMPTS_PER_HOST:
            next_position = (self._position + 1) % len(self._urls)
            self._change_host(self._urls[next_position])

    def _change_host(self, url: str) -> None:
        if url not in self._urls:
            self._urls.append(url)
        if url != self.url:
            self._echo = ''
        self._position = self._urls.index(url)
        self._failures = 0
