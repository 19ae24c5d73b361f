"""Read the bodies of calls to a control host, within limits."""

import asyncio
import enum

from aiohttp import web

from skylarkpitch.forwarding import body_budget

__all__ = [
    'MAX_CONFIGURATION_BYTES',
    'MAX_REPORT_BYTES',
    'BodyProblem',
    'problem_text',
    'read',
]

# A configuration is stored with its document, in a command of at most twice
# this size.
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
MAX_REPORT_BYTES = 64 * 1024
BODY_TIMEOUT_S = 60.0


class BodyProblem(enum.IntEnum):
    """Why a body cannot be taken, as the status of the answer."""

    TOO_LARGE = 413
    MALFORMED = 400
    LATE = 408
    NO_MEMORY = 503


def problem_text(problem: BodyProblem, *, max_bytes: int) -> str:
    """Return what a caller should do about a body that was not taken."""
    return {
        BodyProblem.TOO_LARGE: f'this call takes at most {max_bytes} bytes',
        BodyProblem.MALFORMED: 'the body cannot be read; correct its framing',
        BodyProblem.LATE: f'send the whole body in {BODY_TIMEOUT_S:.0f} s',
        BodyProblem.NO_MEMORY: 'too many large calls at once; send it again',
    }[problem]


async def read(
    request: web.BaseRequest,
    *,
    max_bytes: int,
    bodies: body_budget.BodyBudget,
) -> bytes | BodyProblem:
    """Return the body of a call, or why it cannot be taken.

    The limit of the library does not apply: it is the same for all calls,
    and lower than a large configuration. While a body is read, it counts as
    held in ``bodies``.
    """
    body = _HeldBody(max_bytes=max_bytes, bodies=bodies)
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            problem = await body.receive(request)
        return b''.join(body.blocks) if problem is None else problem
    except TimeoutError:
        return BodyProblem.LATE
    except web.RequestPayloadError:
        return BodyProblem.MALFORMED
    finally:
        bodies.release(body.size_bytes)


class _HeldBody:
    """Body of one call, as far as it has been read."""

    def __init__(
        self, *, max_bytes: int, bodies: body_budget.BodyBudget
    ) -> None:
        self._max_bytes = max_bytes
        self._bodies = bodies
        self.blocks: list[bytearray] = []
        self.size_bytes = 0

    async def receive(self, request: web.BaseRequest) -> BodyProblem | None:
        """Read a body; return why it cannot be taken, otherwise None."""
        while chunk := await request.content.readany():
            problem = self._append(chunk)
            if problem is not None:
                return problem
        return None

    def _append(self, chunk: bytes) -> BodyProblem | None:
        size_bytes = self.size_bytes + len(chunk)
        if size_bytes > self._max_bytes:
            return BodyProblem.TOO_LARGE
        if not self._bodies.take(len(chunk), body_bytes=size_bytes):
            return BodyProblem.NO_MEMORY
        self.size_bytes = size_bytes
        body_budget.append_chunk(self.blocks, chunk)
        return None
