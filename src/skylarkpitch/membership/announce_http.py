"""HTTP routes on which upstreams announce themselves and leave."""

from collections.abc import Callable
import hashlib
import hmac
from typing import Any
from typing import Protocol

from aiohttp import web
import structlog

from skylarkpitch import errors
from skylarkpitch.membership import announcements
from skylarkpitch.membership import terms as ownership_terms
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['AnnounceHttp', 'Membership']

PREFIX = '/skylark/v1/upstreams'
TOKEN_HEADER = 'Skylark-Announce-Token'
MAX_BODY_BYTES = 16_384

_log = structlog.get_logger(__name__)


class Membership(Protocol):
    """Interface of the service to which the routes pass requests."""

    async def handle_announcement(
        self, item: announcements.Announcement
    ) -> announcements.AnnouncementResponse | ownership_terms.Refusal:
        """Return the response to an authenticated announcement."""

    def handle_leave(self, *, name: str, instance: str) -> bool:
        """Send an upstream no new work; return whether this host owns it."""

    async def forward_leave(self, *, name: str, instance: str) -> None:
        """Forward a leave notice to the other hosts of the failure domain."""


class AnnounceHttp:
    """Authenticate and validate the requests of upstreams.

    A request must carry the deployment's announce token, whose SHA-256 is
    ``token_hash``; without a configured hash every request is refused.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        token_hash: str | None,
    ) -> None:
        self.counts = {'refused': 0, 'unauthenticated': 0}
        self._membership = membership
        self._site_config = site_config
        self._token_hash = token_hash

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that upstreams call."""
        return [
            web.post(f'{PREFIX}/announce', self._announce),
            web.post(f'{PREFIX}/leave', self._leave),
        ]

    async def _announce(self, request: web.Request) -> web.Response:
        item = await self._read(request, announcements.Announcement)
        if isinstance(item, web.Response):
            return item
        config = self._site_config()
        if not config:
            return self._refuse(
                503, 'state_stale', 'announce again in a second', 1.0
            )
        if item.service not in config.services:
            return self._refuse(
                400,
                'service_unknown',
                f'add service {item.service!r} to the base file or correct '
                'the announcement',
                5.0,
            )
        response = await self._membership.handle_announcement(item)
        if isinstance(response, ownership_terms.Refusal):
            return self._refuse(
                response.status,
                response.reason,
                response.remedy,
                response.retry_after_s,
            )
        return web.json_response(response.model_dump())

    async def _leave(self, request: web.Request) -> web.Response:
        item = await self._read(request, announcements.LeaveNotice)
        if isinstance(item, web.Response):
            return item
        owned = self._membership.handle_leave(
            name=item.name, instance=item.instance
        )
        if not owned:
            await self._membership.forward_leave(
                name=item.name, instance=item.instance
            )
        _log.info('upstream_left', upstream=item.name, owned=owned)
        return web.json_response({'left': True})

    async def _read(self, request: web.Request, model: type) -> Any:
        token = request.headers.get(TOKEN_HEADER, '').encode()
        expected = self._token_hash or ''
        token_hash = hashlib.sha256(token).hexdigest()
        if not expected or not hmac.compare_digest(token_hash, expected):
            self.counts['unauthenticated'] += 1
            return self._refuse(
                403,
                'announce_token_wrong',
                f'send the deployment token in {TOKEN_HEADER}, and set '
                'announce_token_hash to its sha256 in the settings',
                5.0,
            )
        try:
            if (request.content_length or MAX_BODY_BYTES) >= MAX_BODY_BYTES:
                raise errors.ValidationError(
                    f'send Content-Length, less than {MAX_BODY_BYTES} bytes'
                )
            return announcements.parse(model, await request.json())
        except (ValueError, RecursionError, errors.ValidationError) as error:
            return self._refuse(400, 'announcement_invalid', str(error), 5.0)

    def _refuse(
        self, status: int, reason: str, remedy: str, retry_after_s: float
    ) -> web.Response:
        self.counts['refused'] += 1
        _log.info('announcement_refused', reason=reason, status=status)
        return web.json_response(
            {
                'reason': reason,
                'remedy': remedy,
                'retry_after_s': retry_after_s,
            },
            status=status,
        )
