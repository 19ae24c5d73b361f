"""Create the entry role of a process of a fleet."""

from skylarkpitch.daemon import fleet
from skylarkpitch.forwarding import service

__all__ = ['factory']


def factory(settings: service.ForwardingSettings) -> fleet.RoleFactory:
    """Return the function that creates the entry role of a process."""
    return lambda context: service.ForwardingRole(
        settings=settings,
        peers=context.peers,
        seeds=context.seeds,
        resources=context.resources,
        rng=context.rng,
    )
