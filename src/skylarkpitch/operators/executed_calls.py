"""Execute the control request of an HTTP call for its caller."""

from aiohttp import web
import structlog

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.requests import caller_connection

__all__ = ['execute']

_ORDERS = (commands.SetDomainDrain, control_requests.Leave)

_log = structlog.get_logger(__name__)


async def execute(
    control_service: control_services.ControlService,
    request: web.BaseRequest,
    control_request: control_requests.ControlRequest,
) -> control_requests.Outcome:
    """Execute a control request that an HTTP call asks for.

    The caller waits until it closes its connection.
    """
    if isinstance(control_request, _ORDERS):
        _log.info(
            'order_read',
            order=control_requests.describe(control_request),
            caller=request.remote,
            has_caller_left=caller_connection.has_left(request),
        )
    return await control_service.execute(
        control_request,
        has_caller_left=lambda: caller_connection.has_left(request),
    )
