"""Stand-in of clients: each attempt goes over a new connection."""

import itertools

from support_2 import http
from support_2 import record as records

__all__ = ['Client']


class Client:
    """Sends requests to one front machine and records the answers."""

    def __init__(
        self, *, address: str, host: str, record: records.Record
    ) -> None:
        self._address = address
        self._host = host
        self._record = record
        self._numbers = itertools.count(1)

    async def send(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
        pause_s: float = 0.0,
    ) -> http.Message | None:
        """Send one request; return its response, or None.

        With ``pause_s`` the second half of the body is sent so much later.
        """
        attempt = f'{next(self._numbers):016x}'
        data = http.request_bytes(
            method,
            target,
            {
                'Host': self._host,
                'Attempt-Id': attempt,
                'Deadline-Ms': str(deadline_ms),
                **(headers or {}),
            },
            body,
        )
        size = len(data) - len(body) // 2 if pause_s else len(data)
        self._record.add(
            'sent', attempt=attempt, target=target, pause_s=pause_s
        )
        response = await http.request(
            self._address,
            data[:size],
            timeout_s=deadline_ms / 1000,
            rest=data[size:],
            pause_s=pause_s,
        )
        self._record.add(
            'answered',
            attempt=attempt,
            target=target,
            status=None if response is None else response.status,
            body='' if response is None else response.body.decode()[:80],
        )
        return response
