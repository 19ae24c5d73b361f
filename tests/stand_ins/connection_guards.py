"""Guards of connections, and memory, with the default limits."""

from skylarkpitch.forwarding import body_budget
from skylarkpitch.listening import guard as guards
from skylarkpitch.listening import limits

__all__ = ['bodies', 'guard', 'resources']

MAX_CONNECTIONS = 1000


def resources():
    """Return the resources of a process with the default memory."""
    return limits.resources_of(memory_bytes=limits.DEFAULT_MEMORY_BYTES)


def bodies():
    """Return a budget of bodies within these."""
    return body_budget.BodyBudget(pool=resources().pool)


def guard(*, pool=None, max_connections=MAX_CONNECTIONS, **options):
    """Return a guard of connections; the options are limits."""
    return guards.ConnectionGuard(
        name='test',
        max_connections=max_connections,
        pool=pool or resources().pool,
        limits=limits.ConnectionLimits(**options),
    )
