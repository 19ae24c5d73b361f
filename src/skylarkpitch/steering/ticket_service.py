"""Handle the ticket requests of other entry hosts."""

from collections.abc import Callable

import structlog

from skylarkpitch import errors
from skylarkpitch.membership import service as membership_service
from skylarkpitch.messages import steering as messages
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import network
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import demand as demands
from skylarkpitch.steering import fair_queue
from skylarkpitch.steering import ticket_issuer

__all__ = ['TicketService']

_log = structlog.get_logger(__name__)


class TicketService:
    """Issue tickets at once, or when queued calls are next in turn.

    Calls queued at hosts of the local failure domain share the fair queue of
    this host. Hosts of other failure domains get only slots for which no
    call of the local domain is queued.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        membership: membership_service.UpstreamMembership,
        issuer: ticket_issuer.TicketIssuer,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        queue_of: Callable[[str], fair_queue.FairQueue],
        clock: Callable[[], float],
    ) -> None:
        self.cap_breaches = 0
        self._peers = peers
        self._membership = membership
        self._issuer = issuer
        self._site_config = site_config
        self._queue_of = queue_of
        self._clock = clock
        self._demands: dict[tuple[str, bool], demands.Demand] = {}
        self._other_domain_queues: dict[str, fair_queue.FairQueue] = {}

    def expire(self) -> None:
        """Remove the demand of hosts that have not renewed it."""
        for demand in self._demands.values():
            demand.expire(now_s=self._clock())

    async def handle_request(
        self, sender: str, message: messages.TicketRequest
    ) -> messages.TicketResponse | None:
        """Issue tickets that are available now and queue the other calls.

        Returns None, so that the sender gets no response, while there is no
        configuration or for an unknown sender.
        """
        config = self._site_config()
        host = self._peers.directory.get(sender)
        if not config or host is None:
            return None
        if message.service not in config.services:
            return self._response((), config)
        now_s = self._clock()
        tickets = self._issue_now(message, host, config, now_s)
        self._enqueue_demand(message, host)
        return self._response(tickets, config)

    def _response(
        self, tickets: tuple[str, ...], config: deployment.SiteConfig
    ) -> messages.TicketResponse:
        return messages.TicketResponse(
            tickets=tickets,
            expires_in_s=config.policy.credit_lease_s,
            domain_slots=self._membership.domain_slots(),
        )

    def _issue_now(
        self,
        message: messages.TicketRequest,
        host: directories.Host,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> tuple[str, ...]:
        if message.wanted < 1 or len(self._queue_of(message.service)):
            return ()
        return self._issue(
            message.service, host, message.wanted, config, now_s
        )

    def _issue(
        self,
        service: str,
        host: directories.Host,
        wanted: int,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> tuple[str, ...]:
        try:
            return self._issuer.issue(
                service,
                client=ticket_issuer.RequestingHost(
                    name=host.name,
                    region=host.region,
                    failure_domain=host.failure_domain,
                ),
                wanted=wanted,
                config=config,
                now_s=now_s,
            )
        except errors.InvariantError as error:
            self.cap_breaches += 1
            _log.error('cap_breach', error=str(error))
            return ()

    def offer_to_other_domains(
        self, service: str, config: deployment.SiteConfig
    ) -> None:
        """Send tickets for the queued calls of other failure domains.

        Called only when the queue of the local failure domain is empty.
        """
        queue = self._other_domain_queues.get(service)
        while queue is not None and len(queue):
            if not queue.serve(lambda call: self.offer(service, call, config)):
                return

    def _enqueue_demand(
        self,
        message: messages.TicketRequest,
        host: directories.Host,
    ) -> None:
        service = message.service
        if (
            not self._membership.pool.upstreams_of(service)
            or not self._issuer.is_issuing
        ):
            return
        local_domain = self._peers.directory.own.failure_domain
        is_same_domain = host.failure_domain == local_domain
        if is_same_domain:
            queue = self._queue_of(service)
        else:
            queue = self._other_domain_queues.setdefault(
                service, fair_queue.FairQueue()
            )
        demand = self._demands.setdefault(
            (service, is_same_domain), demands.Demand(queue=queue)
        )
        demand.replace(
            host.name,
            flows=message.flows,
            number=message.number,
            now_s=self._clock(),
        )

    def offer(
        self,
        service: str,
        call: demands.RemoteCall,
        config: deployment.SiteConfig,
    ) -> bool:
        """Send a ticket for a remote call; return whether one was issued."""
        host = self._peers.directory.get(call.client)
        tickets = self._issue(service, host, 1, config, self._clock())
        if not tickets:
            return False
        sent = self._peers.send(
            call.client,
            messages.TicketOffer(
                service=service,
                number=call.number,
                tickets=tickets,
                expires_in_s=config.policy.credit_lease_s,
            ),
        )
        if not sent:
            self._issuer.accept_returned(tickets, client=call.client)
        return True
