"""Membership and slot allocation of several hosts over fake peers."""

import random

from skylarkpitch.membership import announcements
from skylarkpitch.membership import service as membership_service
from skylarkpitch.settings import deployment
from skylarkpitch.steering import slot_allocator
from tests.stand_ins import fake_peers

BASE = {
    'services': {
        'desk': {
            'routes': [{'prefix': '/desk'}],
            'deadline_s': 5,
            'ramp_s': 0,
        }
    },
    'organisations': {},
    'regions': {
        'r1': {'failure_domains': {'d1': {}, 'd2': {}}},
        'r2': {'failure_domains': {'d3': {}}},
    },
    'links': [{'between': ['r1', 'r2'], 'mbit_per_s': 80, 'one_way_ms': 5}],
}


class Clock:
    """Clock that only a test advances."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def config(overlay=None, **sections):
    """Return the configuration of a site with some sections replaced."""
    base = deployment.merge_patch(BASE, sections)
    return deployment.validate_site(base, overlay or {}, site='s')


class Hosts:
    """Services of every host; none of them is started."""

    def __init__(self, *, hosts, site=None):
        self.clock = Clock()
        self.site = site or config()
        self.drains = frozenset()
        self.network = fake_peers.FakeNetwork(hosts=hosts)
        self.peers = {}
        self.membership = {}
        self.allocators = {}
        for host in hosts:
            self.start(host.name)

    def start(self, name):
        """Create the services of a host without state."""
        self.peers[name] = self.network.join(name)
        membership = membership_service.UpstreamMembership(
            peers=self.peers[name],
            site_config=lambda: self.site,
            drains=lambda: self.drains,
            announce_token_hash=None,
            clock=self.clock,
            rng=random.Random(name),
        )
        self.membership[name] = membership
        self.allocators[name] = slot_allocator.FleetSlotAllocator(
            peers=self.peers[name],
            membership=membership,
            site_config=lambda: self.site,
            clock=self.clock,
            rng=random.Random(name),
        )

    async def hello(self):
        """Exchange hellos among the hosts of each failure domain."""
        for membership in self.membership.values():
            await membership.send_hellos()

    async def announce(self, host, *, name='u1', slots=2, **fields):
        """Send one announcement and return the response or the refusal."""
        membership = self.membership[host]
        item = announcements.Announcement(
            name=name,
            service=fields.pop('service', 'desk'),
            url=fields.pop('url', f'http://127.0.0.1:{len(name)}0{name[-1]}'),
            slots=slots,
            connections=fields.pop('connections', 100),
            instance=fields.pop('instance', 'i1'),
            **fields,
        )
        return await membership._manager.handle_announcement(
            item, membership._terms(item.service)
        )

    async def own(self, host, *, name='u1', **fields):
        """Announce an upstream until the host owns it."""
        fields.setdefault('previous_owner_age_s', 1000.0)
        first = await self.announce(host, name=name, **fields)
        fields['echo'] = first.echo
        return await self.announce(host, name=name, **fields)

    def tick(self, seconds=0.0):
        """Advance the clock and run the periodic work of every host."""
        self.clock.now_s += seconds
        for membership in self.membership.values():
            membership._manager.tick(terms=membership._terms(None))


__all__ = ['Clock', 'Hosts', 'config']
