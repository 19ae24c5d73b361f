"""Call the operators' HTTP API from the command-line tool.

A call is sent to one control host after another until one completes or
refuses it. Each attempt of a change has the same operation id, so that the
change is applied at most once.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any

import aiohttp

from skylarkpitch import errors

__all__ = ['VALID_STATUSES', 'ApiError', 'Client']

ATTEMPT_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.2
TRY_NEXT_HOST_STATUSES = (421, 503)
UNCERTAIN_STATUS = 504
SUCCESS_STATUSES = range(200, 300)
ERROR_STATUSES = range(400, 600)
VALID_STATUSES = range(200, 600)


class ApiError(errors.SkylarkError):
    """A control host refused a call."""

    def __init__(self, message: str, *, reason: str, status: int) -> None:
        super().__init__(message)
        self.reason = reason
        self.status = status


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempts:
    """State of the failed attempts of one call.

    ``may_be_applied`` is true if one of them may have applied the change.
    """

    may_be_applied: bool = False
    last_error: str = 'no control host was reached'


class Client:
    """Client of the control hosts of one deployment.

    A call is repeated for at most ``timeout_s`` seconds.
    """

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
        """Return the JSON document that a GET returns.

        Raises ``ApiError`` if the call was refused or no control host
        completed it.
        """
        return asyncio.run(self._call('GET', path, None))

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """Return the JSON document that a POST returns.

        Raises ``UncertainError`` if the response was lost, so that the
        change may have been applied, and ``ApiError`` if the call was
        refused or no control host completed it.
        """
        return asyncio.run(self._call('POST', path, body))

    async def _call(self, method: str, path: str, body: Any) -> Any:
        deadline_s = self._clock() + self._timeout_s
        attempts = _Attempts()
        headers = {'Authorization': f'Bearer {self._token}'}
        async with aiohttp.ClientSession(headers=headers) as session:
            while self._clock() < deadline_s:
                result = await self._attempt_each_host(
                    session, method, path, body, attempts, deadline_s
                )
                if result is not None:
                    return result
                await asyncio.sleep(RETRY_DELAY_S)
        self._raise_failure(method, body, attempts)

    async def _attempt_each_host(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: Any,
        attempts: _Attempts,
        deadline_s: float,
    ) -> Any:
        for url in self._urls:
            remaining_s = deadline_s - self._clock()
            result = await self._attempt(
                session, method, url + path, body, attempts, remaining_s
            )
            if result is not None:
                return result
        return None

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        body: Any,
        attempts: _Attempts,
        remaining_s: float,
    ) -> Any:
        timeout = aiohttp.ClientTimeout(
            total=max(0.1, min(ATTEMPT_TIMEOUT_S, remaining_s))
        )
        try:
            async with session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                document = await response.json()
                return self._parse_response(
                    response.status, document, attempts
                )
        except aiohttp.ClientConnectorError as error:
            attempts.last_error = str(error)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            attempts.may_be_applied = True
            attempts.last_error = f'{type(error).__name__} from {url}'
        return None

    def _parse_response(
        self, status: int, document: Any, attempts: _Attempts
    ) -> Any:
        if status in SUCCESS_STATUSES:
            return document
        if status not in ERROR_STATUSES:
            raise ValueError(f'a control host answered {status}')
        if status == UNCERTAIN_STATUS:
            attempts.may_be_applied = True
        if status in TRY_NEXT_HOST_STATUSES or status == UNCERTAIN_STATUS:
            attempts.last_error = document['message']
            return None
        raise ApiError(
            document['message'], reason=document['reason'], status=status
        )

    def _raise_failure(
        self, method: str, body: Any, attempts: _Attempts
    ) -> None:
        if method == 'POST' and attempts.may_be_applied:
            operation_id = body.get('operation_id', '')
            raise errors.UncertainError(
                'no control host confirmed the change within '
                f'{self._timeout_s:g} s ({attempts.last_error}), so it may '
                'have been applied; to find out, run the same command again '
                f'with --operation-id {operation_id}: it is applied at most '
                'once'
            )
        raise ApiError(
            f'no control host completed the call within {self._timeout_s:g} s '
            f'({attempts.last_error}); nothing was changed. Check --control '
            'and that a majority of the control hosts is running',
            reason='unreachable',
            status=503,
        )
