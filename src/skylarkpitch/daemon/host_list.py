"""Build the directory of hosts that a settings file lists."""

from skylarkpitch.peers import directory
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['from_settings']


def _host_port(address: daemon_settings.Address | None) -> str | None:
    return None if address is None else address.host_port


def from_settings(
    settings: daemon_settings.DaemonSettings, *, public_key: str
) -> directory.Directory:
    """Return the directory of the hosts that a settings file lists.

    ``public_key`` is that of this process, in Z85.
    """
    local_host_entry = directory.Host(
        name=settings.host,
        region=settings.region,
        failure_domain=settings.failure_domain,
        roles=settings.roles,
        peers_address=settings.peers_address.host_port,
        callers_address=_host_port(settings.callers_address),
        relay_address=_host_port(settings.relay_address),
        public_key=public_key,
    )
    peers = [
        directory.Host(
            name=peer.host,
            region=peer.region,
            failure_domain=peer.failure_domain,
            roles=peer.roles,
            peers_address=peer.peers.host_port,
            callers_address=_host_port(peer.callers),
            relay_address=_host_port(peer.relay),
            public_key=peer.public_key,
        )
        for peer in settings.peers
        if peer.host != settings.host
    ]
    return directory.Directory(
        local_host=settings.host, hosts=[local_host_entry, *peers]
    )
