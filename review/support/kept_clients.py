"""Clients that send request after request on kept connections."""

import asyncio
import dataclasses
import time

from review.support import http
from review.support import outside
from review.support import record as records

DEADLINE_MS = 4000
# RULES.md, CONFIG: an answer is due half a second after the time-out.
LATE_S = 0.5
RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What clients saw of the requests that a sound server ran.

    ``lost`` counts those whose connection was closed without an answer,
    ``late`` those without one half a second after their deadline.
    """

    answered: int
    lost: int
    late: int


class KeptClients:
    """A number of clients that ask ``/sound/`` at one entry host."""

    def __init__(self, *, address: str, record: records.Record) -> None:
        self._address = address
        self._record = record
        self._answered = 0
        self._lost: list[str] = []
        self._late: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []

    def run(self, *, count: int, for_s: float) -> None:
        """Start the clients."""
        until_s = time.monotonic() + for_s
        self._tasks = [
            asyncio.create_task(self._run(until_s)) for _number in range(count)
        ]

    async def result(self, *, passed_on: outside.Server) -> Result:
        """Wait for the end; count what the server had begun to run."""
        await asyncio.gather(*self._tasks)
        ran = {name for _at_s, name in passed_on.ran}
        result = Result(
            answered=self._answered,
            lost=len(ran.intersection(self._lost)),
            late=len(ran.intersection(self._late)),
        )
        self._record.write('counted', **dataclasses.asdict(result))
        return result

    async def _run(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            try:
                async with asyncio.timeout(1):
                    reader, writer = await http.connect(self._address)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self._use(reader, writer, until_s=until_s)
            writer.close()

    async def _use(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        until_s: float,
    ) -> None:
        """Send requests while the connection can be kept."""
        while time.monotonic() < until_s:
            if not await self._ask(reader, writer):
                return

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request; return whether the connection can be kept."""
        name, data = outside.request(
            host='pans.example', path='/sound/1', deadline_ms=DEADLINE_MS
        )
        writer.write(data)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S):
                response = await http.read(reader)
        except TimeoutError:
            self._late.append(name)
            self._record.write('no_answer_in_time', request=name)
            return False
        except (OSError, EOFError) as error:
            self._lost.append(name)
            self._record.write(
                'closed_without_answer', request=name, why=repr(error)
            )
            return False
        self._record.write('answered', request=name, status=response.status)
        self._answered += 1
        if response.status != 200:
            await asyncio.sleep(RETRY_AFTER_S)
        return response.headers.get('connection') != 'close'


def start(
    *, address: str, record: records.Record, count: int, for_s: float
) -> KeptClients:
    """Start clients, for a time; return them."""
    clients = KeptClients(address=address, record=record)
    clients.run(count=count, for_s=for_s)
    return clients
