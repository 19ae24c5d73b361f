"""Messages with which entry hosts exchange tickets for slots."""

from skylarkpitch.messages import codec

__all__ = [
    'FlowDemand',
    'TicketResponse',
    'TicketOffer',
    'TicketRequest',
    'TicketReturn',
]

# Organisation, request class, weight, and number of queued calls.
FlowDemand = tuple[str, str, float, int]


@codec.message('steering.ticket_request')
class TicketRequest:
    """Request for up to ``wanted`` tickets, or with 0 for slot counts only.

    ``flows`` lists the calls that are queued at the sender. The receiver
    queues them too, until the next request replaces them. Tickets that become
    available for them later are sent in a :class:`TicketOffer` with the same
    ``number``.
    """

    service: str
    wanted: int
    number: int = 0
    flows: tuple[FlowDemand, ...] = ()


@codec.message('steering.ticket_grant')
class TicketResponse:
    """Response with one-time tickets, for each of which a slot is reserved.

    ``expires_in_s`` counts from the time at which the request was sent.
    ``domain_slots`` is the number of slots in the responding host's failure
    domain, by service.
    """

    tickets: tuple[str, ...]
    expires_in_s: float
    domain_slots: dict[str, int]


@codec.message('steering.ticket_offer')
class TicketOffer:
    """Tickets for calls of a host that were queued at the issuer.

    ``expires_in_s`` counts from the time at which request ``number`` was
    sent.
    """

    service: str
    number: int
    tickets: tuple[str, ...]
    expires_in_s: float


@codec.message('steering.ticket_return')
class TicketReturn:
    """Return of tickets that will not be used."""

    tickets: tuple[str, ...]
