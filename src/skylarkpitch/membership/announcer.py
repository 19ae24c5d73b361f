"""Decide to which entry host an upstream announces itself next.

This is the upstream's half of the ownership protocol: one host at a time,
and the echo of the newest answer only. A program that announces an upstream
keeps one :class:`Announcer`, sends what it says, and hands it each answer.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

__all__ = ['ATTEMPT_TIMEOUT_S', 'Announcer', 'Attempt']

# A host asks the others of its domain before it answers.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
ATTEMPTS_PER_HOST = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One announcement: the base URL to send it to and the claim in it."""

    url: str
    previous_owner: str | None
    previous_owner_age_s: float
    echo: str


class Announcer:
    """Hold what an upstream must remember between announcements."""

    def __init__(self, *, urls: Sequence[str], now_s: float) -> None:
        self._urls = list(urls)
        self._position = 0
        self._echo = ''
        self._echo_owner: str | None = None
        self._previous_owner: str | None = None
        self._previous_s = now_s
        self._failures = 0
        self.next_attempt_s = now_s

    @property
    def url(self) -> str:
        """Return the base URL of the host being announced to."""
        return self._urls[self._position]

    def start_attempt(self, *, now_s: float) -> Attempt:
        """Return the announcement to send now."""
        if self._echo:
            self._previous_owner = self._echo_owner
            self._previous_s = now_s
        self.next_attempt_s = now_s + RETRY_DELAY_S
        return Attempt(
            url=self.url,
            previous_owner=self._previous_owner,
            previous_owner_age_s=now_s - self._previous_s,
            echo=self._echo,
        )

    def record_response(self, answer: dict[str, Any], *, now_s: float) -> None:
        """Take an answer with status 200."""
        self._failures = 0
        self.next_attempt_s = now_s + answer['announce_every_s']
        self._echo = answer['echo']
        self._echo_owner = answer['host']
        if answer['announce_to']:
            self._change_host(answer['announce_to'])

    def record_refusal(self, retry_after_s: float, *, now_s: float) -> None:
        """Take a refusal; the same host is asked again."""
        self._failures = 0
        self._echo = ''
        self.next_attempt_s = now_s + retry_after_s

    def record_failure(self, *, now_s: float) -> None:
        """Take it that no answer came; another host follows soon."""
        self._failures += 1
        self.next_attempt_s = now_s + RETRY_DELAY_S
        if self._failures >= ATTEMPTS_PER_HOST:
            following = (self._position + 1) % len(self._urls)
            self._change_host(self._urls[following])

    def _change_host(self, url: str) -> None:
        if url not in self._urls:
            self._urls.append(url)
        if url != self.url:
            self._echo = ''
        self._position = self._urls.index(url)
        self._failures = 0
