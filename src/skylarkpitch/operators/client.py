"""Call the operators' API from the command-line tool.

A call is tried on one control host after another until one that leads has
answered. A change keeps its operation id over all tries, so that it is taken
at most once.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any

import aiohttp

from skylarkpitch import errors

__all__ = ['ApiError', 'Client']

TRY_TIMEOUT_S = 8.0
PAUSE_S = 0.2
PASS_ON = (421, 503)
UNCERTAIN_STATUS = 504


class ApiError(errors.SkylarkError):
    """A control host refused a call."""

    def __init__(self, message: str, *, reason: str, status: int) -> None:
        super().__init__(message)
        self.reason = reason
        self.status = status


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempts:
    uncertain: bool = False
    last: str = 'no control host was reached'


class Client:
    """Reach the control hosts of one deployment."""

    def __init__(
        self,
        *,
        urls: tuple[str, ...],
        token: str,
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._urls = urls
        self._token = token
        self._timeout_s = timeout_s
        self._clock = clock

    def get(self, path: str) -> Any:
        """Return the JSON answer to a GET."""
        return asyncio.run(self._call('GET', path, None))

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """Return the JSON answer to a POST.

        Raises ``UncertainError`` when the answer was lost, so that the
        change may have been taken, and ``ApiError`` when it was refused.
        """
        return asyncio.run(self._call('POST', path, body))

    async def _call(self, method: str, path: str, body: Any) -> Any:
        deadline_s = self._clock() + self._timeout_s
        attempts = _Attempts()
        headers = {'Authorization': f'Bearer {self._token}'}
        async with aiohttp.ClientSession(headers=headers) as session:
            while self._clock() < deadline_s:
                answer = await self._try_each(
                    session, method, path, body, attempts, deadline_s
                )
                if answer is not None:
                    return answer
                await asyncio.sleep(PAUSE_S)
        self._give_up(method, body, attempts)

    async def _try_each(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: Any,
        attempts: _Attempts,
        deadline_s: float,
    ) -> Any:
        for url in self._urls:
            left_s = deadline_s - self._clock()
            answer = await self._try(
                session, method, url + path, body, attempts, left_s
            )
            if answer is not None:
                return answer
        return None

    async def _try(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        body: Any,
        attempts: _Attempts,
        left_s: float,
    ) -> Any:
        timeout = aiohttp.ClientTimeout(
            total=max(0.1, min(TRY_TIMEOUT_S, left_s))
        )
        try:
            async with session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                document = await response.json()
                return self._read(response.status, document, attempts)
        except aiohttp.ClientConnectorError as error:
            attempts.last = str(error)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            attempts.uncertain = True
            attempts.last = f'{type(error).__name__} from {url}'
        return None

    def _read(self, status: int, document: Any, attempts: _Attempts) -> Any:
        if status < 400:
            return document
        if status == UNCERTAIN_STATUS:
            attempts.uncertain = True
        if status in PASS_ON or status == UNCERTAIN_STATUS:
            attempts.last = document['message']
            return None
        raise ApiError(
            document['message'], reason=document['reason'], status=status
        )

    def _give_up(self, method: str, body: Any, attempts: _Attempts) -> None:
        if method == 'POST' and attempts.uncertain:
            operation_id = body.get('operation_id', '')
            raise errors.UncertainError(
                'no answer came within '
                f'{self._timeout_s:g} s ({attempts.last}), so the change may '
                'have been taken; to find out, run the same command again '
                f'with --operation-id {operation_id}: it is taken at most '
                'once'
            )
        raise ApiError(
            f'no control host answered within {self._timeout_s:g} s '
            f'({attempts.last}); nothing was changed. Check --control and '
            'that a majority of the control hosts runs',
            reason='unreachable',
            status=503,
        )
