"""Build the requests to upstreams and the responses to callers."""

import asyncio
from collections.abc import Callable

from aiohttp import web
import multidict

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.requests import headers as header_rules

__all__ = ['refusal_response', 'relay_response', 'upstream_request']

MS_PER_S = 1000
# A larger body is written in parts of this size, so that the connection does
# not hold a second copy of it.
WRITE_BYTES = 64 * 1024

Finish = Callable[[web.StreamResponse], web.StreamResponse]


def upstream_request(
    call: calls.Call,
    upstream: model.Upstream,
    *,
    names: header_names.HeaderNames,
    now_s: float,
) -> senders.UpstreamRequest:
    """Return the request of a call as it is sent to an upstream.

    Hop-by-hop headers and the caller's API key are left out. The deadline,
    the expected upstream and the organisation are set.
    """
    replaced = {
        names.deadline_ms.lower(),
        names.api_key.lower(),
        names.organisation.lower(),
        names.expected_upstream.lower(),
        header_rules.CONTENT_LENGTH.lower(),
    }
    pairs = [
        pair
        for pair in header_rules.end_to_end(call.request.headers)
        if pair[0].lower() not in replaced
    ]
    pairs.append(('Host', call.request.headers.get('Host', '')))
    left_ms = max(1, int((call.deadline_s - now_s) * MS_PER_S))
    pairs.append((names.deadline_ms, str(left_ms)))
    pairs.append((names.expected_upstream, upstream.upstream_id))
    if call.organisation is not None:
        pairs.append((names.organisation, call.organisation.name))
    return senders.UpstreamRequest(
        method=call.request.method,
        target=call.target,
        headers=tuple(pairs),
        body=call.body,
        request_id=call.request_id,
    )


def refusal_response(
    refusal: refusals.Refusal, *, names: header_names.HeaderNames
) -> web.Response:
    """Return the response for a refusal."""
    headers = {'Content-Type': 'application/json'}
    if refusal.retry_after_s is not None:
        headers[names.retry_after] = f'{refusal.retry_after_s:.3f}'
    return web.Response(
        status=refusal.status, headers=headers, body=refusal.body()
    )


async def relay_response(
    request: web.BaseRequest,
    upstream_response: senders.UpstreamResponse,
    *,
    finish: Finish,
    left_s: float,
) -> web.StreamResponse:
    """Relay the response of an upstream to the caller.

    ``finish`` is called with the response before its head is written. A body
    that is not buffered completely is streamed, for at most ``left_s``; one
    that is has no limit here, since it is ready.
    """
    headers = multidict.CIMultiDict(upstream_response.headers)
    body = upstream_response.body
    is_complete = upstream_response.rest is None
    if is_complete:
        headers.popall(header_rules.CONTENT_LENGTH, None)
        if len(body) <= WRITE_BYTES:
            return finish(
                web.Response(
                    status=upstream_response.status, headers=headers, body=body
                )
            )
    response = finish(
        web.StreamResponse(status=upstream_response.status, headers=headers)
    )
    if is_complete:
        response.content_length = len(body)
    try:
        async with asyncio.timeout(None if is_complete else left_s):
            await _stream(request, response, upstream_response)
    except BaseException:
        # Abort the connection, so that the caller cannot take an incomplete
        # body for a complete one.
        upstream_response.close()
        if request.transport is not None:
            request.transport.abort()
        raise
    return response


async def _stream(
    request: web.BaseRequest,
    response: web.StreamResponse,
    upstream_response: senders.UpstreamResponse,
) -> None:
    await response.prepare(request)
    body = memoryview(upstream_response.body)
    for start in range(0, len(body), WRITE_BYTES):
        await response.write(body[start : start + WRITE_BYTES])
    if upstream_response.rest is not None:
        async for chunk in upstream_response.rest:
            await response.write(chunk)
    await response.write_eof()
