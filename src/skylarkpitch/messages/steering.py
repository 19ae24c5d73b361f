"""Messages by which entry hosts lend each other room."""

from skylarkpitch.messages import codec

__all__ = [
    'FlowDemand',
    'TicketResponse',
    'TicketOffer',
    'TicketRequest',
    'TicketReturn',
]

# Organisation, request class, weight, and how many of its calls wait.
FlowDemand = tuple[str, str, float, int]


@codec.message('steering.ticket_request')
class TicketRequest:
    """Ask for up to ``wanted`` tickets; 0 only asks for the slots.

    ``flows`` tells a host of the own failure domain which calls wait. They
    take their turn in its queue until the next request, and what comes free
    for them is sent in a :class:`TicketOffer` under the same ``number``.
    """

    service: str
    wanted: int
    number: int = 0
    flows: tuple[FlowDemand, ...] = ()


@codec.message('steering.ticket_grant')
class TicketResponse:
    """Hand out one-time tickets, each with a reserved slot behind it.

    ``expires_in_s`` counts from the moment at which the asking host sent
    its request. ``domain_slots`` counts the slots of the granting failure
    domain, by service.
    """

    tickets: tuple[str, ...]
    expires_in_s: float
    domain_slots: dict[str, int]


@codec.message('steering.ticket_offer')
class TicketOffer:
    """Hand out tickets for calls that have waited in the lender's queue.

    ``expires_in_s`` counts from the sending of request ``number``.
    """

    service: str
    number: int
    tickets: tuple[str, ...]
    expires_in_s: float


@codec.message('steering.ticket_return')
class TicketReturn:
    """Give back tickets that nobody will use."""

    tickets: tuple[str, ...]
