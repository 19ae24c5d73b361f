"""Write answers and refusals to callers."""

import asyncio

import aiohttp
from aiohttp import web
import multidict

from skylarkpitch import ports
from skylarkpitch.requests import exchange_results as results
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import refusals

__all__ = ['refuse', 'replay', 'stream', 'whole']

_BODILESS_STATUSES = (204, 304)


def refuse(refusal: refusals.Refusal) -> web.Response:
    """Return the response that states a refusal."""
    return web.Response(
        status=refusal.status, headers=refusal.headers(), body=refusal.body()
    )


def replay(recorded: ports.RecordedResponse) -> web.Response:
    """Return the response that repeats a recorded answer."""
    headers = _without_length(recorded.headers)
    headers[header_rules.REPLAYED_HEADER] = '1'
    return web.Response(
        status=recorded.status, headers=headers, body=recorded.body
    )


def whole(
    answer: results.Answer, *, method: str, extra: dict[str, str]
) -> web.StreamResponse:
    """Return the response that passes on an answer at hand."""
    if method == 'HEAD' or answer.status in _BODILESS_STATUSES:
        headers = multidict.CIMultiDict(answer.headers)
        headers.update(extra)
        return web.StreamResponse(status=answer.status, headers=headers)
    headers = _without_length(answer.headers)
    headers.update(extra)
    return web.Response(
        status=answer.status, headers=headers, body=answer.head
    )


async def stream(
    request: web.BaseRequest,
    answer: results.Answer,
    *,
    extra: dict[str, str],
    write_timeout_s: float,
) -> tuple[web.StreamResponse, ports.ExchangeOutcome]:
    """Pass on an answer as it arrives, at the pace of the reader.

    When either end breaks off, the connection to the reader is aborted, so
    that a part never looks whole.
    """
    headers = multidict.CIMultiDict(answer.headers)
    headers.update(extra)
    response = web.StreamResponse(status=answer.status, headers=headers)
    result = ports.ExchangeOutcome.CANCELLED
    try:
        await response.prepare(request)
        await _write(response, answer.head, write_timeout_s)
        async for chunk in answer.rest:
            await _write(response, chunk, write_timeout_s)
        await response.write_eof()
        result = ports.ExchangeOutcome.ANSWERED
    except aiohttp.ClientError:
        result = ports.ExchangeOutcome.FAILED
    except (TimeoutError, ConnectionError):
        result = ports.ExchangeOutcome.CANCELLED
    finally:
        if result is not ports.ExchangeOutcome.ANSWERED:
            answer.close()
            abort(request)
    return response, result


def abort(request: web.BaseRequest) -> None:
    """Break off the connection to a caller."""
    if request.transport is not None:
        request.transport.abort()


async def _write(
    response: web.StreamResponse, chunk: bytes, timeout_s: float
) -> None:
    async with asyncio.timeout(timeout_s):
        await response.write(chunk)


def _without_length(
    pairs: header_rules.HeaderPairs,
) -> multidict.CIMultiDict[str]:
    headers = multidict.CIMultiDict(pairs)
    headers.popall(header_rules.CONTENT_LENGTH, None)
    return headers
