"""Responses to callers: forwarded ones, recorded ones and refusals."""

import asyncio

import aiohttp
from aiohttp import web
import multidict

from skylarkpitch import ports
from skylarkpitch.requests import exchange_results as results
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import refusals

__all__ = [
    'complete_response',
    'refusal_response',
    'replay_response',
    'stream_response',
]

_BODILESS_STATUSES = (204, 304)


def refusal_response(refusal: refusals.Refusal) -> web.Response:
    """Return the response for a refusal."""
    return web.Response(
        status=refusal.status, headers=refusal.headers(), body=refusal.body()
    )


def replay_response(recorded: ports.RecordedResponse) -> web.Response:
    """Return the response that repeats a recorded one."""
    headers = _without_length(recorded.headers)
    headers[header_rules.REPLAYED_HEADER] = '1'
    return web.Response(
        status=recorded.status, headers=headers, body=recorded.body
    )


def complete_response(
    upstream_response: results.UpstreamResponse,
    *,
    method: str,
    extra: dict[str, str],
) -> web.StreamResponse:
    """Return the response that forwards one which was read to its end."""
    if method == 'HEAD' or upstream_response.status in _BODILESS_STATUSES:
        headers = multidict.CIMultiDict(upstream_response.headers)
        headers.update(extra)
        return web.StreamResponse(
            status=upstream_response.status, headers=headers
        )
    headers = _without_length(upstream_response.headers)
    headers.update(extra)
    return web.Response(
        status=upstream_response.status,
        headers=headers,
        body=upstream_response.prefix,
    )


async def stream_response(
    request: web.BaseRequest,
    upstream_response: results.UpstreamResponse,
    *,
    extra: dict[str, str],
    write_timeout_s: float,
) -> tuple[web.StreamResponse, ports.ExchangeOutcome]:
    """Forward a response while it arrives, as fast as the client reads it.

    ``request`` is that of the client. If either connection fails, the
    connection to the client is aborted, so that an incomplete response is
    never taken for a complete one. Returns the response and the result of
    the exchange.
    """
    headers = multidict.CIMultiDict(upstream_response.headers)
    headers.update(extra)
    response = web.StreamResponse(
        status=upstream_response.status, headers=headers
    )
    result = ports.ExchangeOutcome.CANCELLED
    try:
        await response.prepare(request)
        await _write(response, upstream_response.prefix, write_timeout_s)
        async for chunk in upstream_response.rest:
            await _write(response, chunk, write_timeout_s)
        await response.write_eof()
        result = ports.ExchangeOutcome.ANSWERED
    except aiohttp.ClientError:
        result = ports.ExchangeOutcome.FAILED
    except (TimeoutError, ConnectionError):
        result = ports.ExchangeOutcome.CANCELLED
    finally:
        if result is not ports.ExchangeOutcome.ANSWERED:
            upstream_response.close()
            abort(request)
    return response, result


def abort(request: web.BaseRequest) -> None:
    """Abort the connection of a client."""
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
