"""Stand-in of the platform's operator, as the pages describe it."""

import asyncio
import json
import random

from support_2 import http
from support_2 import record as records

__all__ = ['Operator', 'post']

TIMEOUT_S = 1.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
FINAL_STATUSES = (400, 409, 412, 413, 422)


async def post(
    address: str, call: str, of: str = '', body: bytes = b''
) -> http.Message | None:
    """Send one call to one node; None stands for no response in a second."""
    target = f'/rpc?call={call}' + (f'&of={of}' if of else '')
    headers = {'Host': address}
    if body:
        headers['Content-Type'] = 'application/json'
    data = http.request_bytes('POST', target, headers, body)
    return await http.request(address, data, timeout_s=TIMEOUT_S)


class Operator:
    """Sends orders, and the same again, until one node acknowledges them.

    It moves on to another node after a failure, a 5xx, a 408 or 429, or a
    second without a response.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        record: records.Record,
        rng: random.Random,
    ) -> None:
        self._addresses = addresses
        self._record = record
        self._rng = rng

    async def order(
        self,
        call: str,
        of: str = '',
        body: bytes = b'',
        *,
        first: str | None = None,
        timeout_s: float = 20.0,
    ) -> http.Message | None:
        """Return the final response of an order, None if there is none.

        ``first`` is the node that is picked first, else one at random.
        """
        others = [item for item in self._addresses if item != first]
        self._rng.shuffle(others)
        nodes = ([first] if first else []) + others
        pause_s = FIRST_PAUSE_S
        deadline_s = self._record.now_s() + timeout_s
        number = 0
        while self._record.now_s() < deadline_s:
            node = nodes[number % len(nodes)]
            number += 1
            response = await self._send(node, call, of, body)
            if response is not None and (
                response.status == 200 or response.status in FINAL_STATUSES
            ):
                return response
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        return None

    async def _send(
        self, node: str, call: str, of: str, body: bytes
    ) -> http.Message | None:
        self._record.add('order_sent', call=call, of=of, node=node)
        response = await post(node, call, of, body)
        self._record.add(
            'order_answered',
            call=call,
            of=of,
            node=node,
            status=None if response is None else response.status,
        )
        return response

    async def put(
        self, configuration: dict[str, object], **options: object
    ) -> http.Message | None:
        """Send a configuration until it is acknowledged or refused."""
        body = json.dumps(configuration).encode()
        return await self.order('config.put', '', body, **options)
