"""Messages by which entry hosts lend each other room."""

from skylarkpitch.messages import codec

__all__ = ['TicketGrant', 'TicketRequest', 'TicketReturn']


@codec.message('steering.ticket_request')
class TicketRequest:
    """Ask for up to ``wanted`` tickets; 0 only asks for the slots."""

    service: str
    wanted: int


@codec.message('steering.ticket_grant')
class TicketGrant:
    """Hand out one-time tickets, each with a reserved slot behind it.

    ``expires_in_s`` counts from the moment at which the asking host sent
    its request. ``domain_slots`` counts the slots of the granting failure
    domain, by service.
    """

    tickets: tuple[str, ...]
    expires_in_s: float
    domain_slots: dict[str, int]


@codec.message('steering.ticket_return')
class TicketReturn:
    """Give back tickets that nobody will use."""

    tickets: tuple[str, ...]
