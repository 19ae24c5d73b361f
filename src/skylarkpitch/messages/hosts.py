"""Messages about the life cycle of entry hosts."""

from skylarkpitch.messages import codec

__all__ = ['HostHeartbeat']


@codec.message('hosts.beat')
class HostHeartbeat:
    """Heartbeat of an entry host; ``room`` counts its free slots."""

    life_cycle: str
    room: float = 0.0
