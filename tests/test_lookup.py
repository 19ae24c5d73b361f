"""Test look-up answers and the table of client blocks."""

import asyncio
import ipaddress
import json
import random

from aiohttp import test_utils
from aiohttp import web
import pytest

from skylarkpitch import errors
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import lookup
from skylarkpitch.steering import lookup_answers
from skylarkpitch.steering import lookup_blocks
from tests.stand_ins import fake_peers

CONFIG = deployment.validate_site(
    {
        'services': {'desk': {'routes': [{'prefix': '/'}]}},
        'organisations': {},
        'regions': {'r1': {'failure_domains': {'d1': {}, 'd2': {}}}},
        'policy': {'lookup_hosts': 2},
    },
    {},
    site='x',
)
HOSTS = [
    fake_peers.host(f'{domain}-{number}', region=region, failure_domain=domain)
    for region, domain in (('r1', 'd1'), ('r1', 'd2'), ('r2', 'd3'))
    for number in (1, 2, 3)
]


def directory():
    return fake_peers.FakeNetwork(hosts=HOSTS).join('d1-1').directory


class Lookup:
    """Look-up service with inputs that a test can change."""

    def __init__(self, blocks=None):
        self.now_s = 0.0
        self.leaving = frozenset()
        self.capacity = {}
        self.config = CONFIG
        self.service = lookup.LookupService(
            directory=directory(),
            site_config=lambda: self.config,
            is_leaving=lambda: self.leaving,
            capacity=lambda: self.capacity,
            clock=lambda: self.now_s,
            id_prefix=lambda: 'r1.abc.',
            blocks=blocks,
        )

    def look_up(self, client_ip='10.0.0.1', service='desk'):
        self.now_s += 1
        return self.service.answer(service, client_ip)


def make_answers(**inputs):
    answers = lookup_answers.Answers(
        hosts=HOSTS, local_host=HOSTS[0], scheme='http'
    )
    update(answers, **inputs)
    return answers


def update(answers, *, leaving=(), capacity=None):
    answers.update(
        services=('desk',),
        lifetime_s=5.0,
        length=2,
        leaving=frozenset(leaving),
        capacity=capacity or {},
    )


def selected_hosts(answers, domain='d1'):
    """Return the names of hosts in the answers of a domain."""
    names = set()
    for variant in range(lookup_blocks.VARIANTS):
        ranked = answers._ranked(domain)
        names |= {name for name, _ in answers._select(ranked, variant)}
    return names


def test_answer_fields():
    answer = json.loads(Lookup().look_up())
    assert answer['service'] == 'desk'
    assert answer['lifetime_s'] == CONFIG.policy.lookup_lifetime_s
    assert answer['operation_id_prefix'] == 'r1.abc.'
    assert len(answer['hosts']) == 2
    assert answer['hosts'][0] == {
        'url': 'http://127.0.0.1:2',
        'weight': 1000,
    }


@pytest.mark.parametrize(
    ('leaving', 'capacity', 'expected'),
    [
        ((), {}, {'d1-1', 'd1-2', 'd1-3'}),
        (('d1-1',), {}, {'d1-2', 'd1-3'}),
        ((), {'d1-1': 0.0}, {'d1-2', 'd1-3'}),
        (
            ('d1-1', 'd1-2'),
            {'d2-1': 0.0},
            {'d1-3', 'd2-2', 'd2-3'},
        ),
        (
            ('d1-1', 'd1-2', 'd1-3', 'd2-1', 'd2-2'),
            {'d3-1': 0.0, 'd3-2': 0.0},
            {'d2-3', 'd3-3'},
        ),
    ],
)
def test_nearest_hosts_are_selected(leaving, capacity, expected):
    assert (
        selected_hosts(make_answers(leaving=leaving, capacity=capacity))
        == expected
    )


def test_without_capacity_all_hosts_that_stay_are_selected():
    capacity = {host.name: 0.0 for host in HOSTS}
    answers = make_answers(leaving=('d1-1',), capacity=capacity)
    assert selected_hosts(answers) == {'d1-2', 'd1-3'}


def test_lookup_without_hosts_is_refused():
    lookup_case = Lookup()
    lookup_case.leaving = frozenset(host.name for host in HOSTS)
    assert lookup_case.look_up() == sentinels.Absent('no_hosts', 'desk')


def test_answer_of_a_block_is_unaffected_by_a_remote_capacity():
    lookup_case = Lookup()
    first = {
        f'10.0.{n}.7': lookup_case.look_up(f'10.0.{n}.7') for n in range(64)
    }
    lookup_case.capacity = {'d3-1': 0.5}
    for address, answer in first.items():
        assert lookup_case.look_up(address) == answer
    assert lookup_case.look_up('10.0.1.200') == first['10.0.1.7']
    assert len(set(first.values())) == 1


def test_only_affected_domains_are_recomputed():
    answers = make_answers()
    for domain in ('d1', 'd2', 'd3'):
        answers.find('desk', domain, 0)
    before = answers.recomputed
    update(answers)
    assert answers.recomputed == before
    update(answers, leaving=('d3-1',))
    assert answers.recomputed == before + 1


@pytest.mark.parametrize(
    ('service', 'client', 'reason'),
    [
        ('other', '10.0.0.1', 'service_unknown'),
        ('desk', 'nowhere', 'client_malformed'),
        ('desk', '10.0.0.1.1', 'client_malformed'),
    ],
)
def test_invalid_lookups_are_refused(service, client, reason):
    assert Lookup().look_up(client, service).reason == reason


def test_lookup_without_configuration_is_refused():
    lookup_case = Lookup()
    lookup_case.config = sentinels.Absent('state_stale')
    assert lookup_case.look_up().reason == 'state_stale'


async def request_over_http(query):
    app = web.Application()
    app.add_routes(Lookup().service.routes())
    server = test_utils.TestServer(app)
    async with test_utils.TestClient(server) as client:
        answer = await client.get(f'{lookup.PATH}{query}')
        return answer.status, answer.headers, await answer.json()


@pytest.mark.parametrize(
    ('query', 'status', 'reason'),
    [
        ('?service=desk', 200, None),
        ('?service=desk&client=10.0.0.1', 200, None),
        ('?service=desk&client=x', 400, 'client_malformed'),
        ('?service=other', 404, 'service_unknown'),
        ('', 400, 'service_missing'),
    ],
)
def test_answers_over_http(query, status, reason):
    found_status, headers, body = asyncio.run(request_over_http(query))
    assert (found_status, body.get('reason')) == (status, reason)
    expected = 'no-store' if reason else 'max-age=5'
    assert headers['Cache-Control'] == expected


BLOCKS = {
    '10.0.0.0/8': 'd1',
    '10.1.0.0/16': 'd2',
    '10.1.2.0/24': 'd3',
    '192.0.2.0/24': 'd2',
    '2001:db8::/32': 'd3',
    '2001:db8:1::/48': 'd1',
}


@pytest.mark.parametrize(
    ('address', 'domain'),
    [
        ('9.255.255.255', None),
        ('10.0.0.0', 'd1'),
        ('10.1.0.0', 'd2'),
        ('10.1.2.255', 'd3'),
        ('10.1.3.0', 'd2'),
        ('10.2.0.0', 'd1'),
        ('11.0.0.0', None),
        ('192.0.2.9', 'd2'),
        ('255.255.255.255', None),
        ('2001:db8::1', 'd3'),
        ('2001:db8:1::1', 'd1'),
        ('2001:db8:2::1', 'd3'),
        ('::1', None),
    ],
)
def test_longest_prefix_match(address, domain):
    table = lookup_blocks.BlockTable()
    table.fill(BLOCKS.items())
    assert table.find(address).failure_domain == domain


@pytest.mark.parametrize('seed', range(5))
def test_incremental_changes_match_a_linear_search(seed):
    rng = random.Random(seed)
    table = lookup_blocks.BlockTable()
    expected = {}
    for _ in range(300):
        length = rng.choice((0, 8, 12, 16, 24, 32))
        start = rng.getrandbits(6) << 26 | rng.getrandbits(3) << 8
        block = ipaddress.ip_network(
            (start >> (32 - length) << (32 - length), length)
        )
        if rng.random() < 0.4:
            assert table.remove(str(block)) == (block in expected)
            expected.pop(block, None)
        else:
            domain = rng.choice('abcd')
            table.assign(str(block), domain)
            expected[block] = domain
        address = ipaddress.ip_address(
            rng.getrandbits(6) << 26 | rng.getrandbits(12)
        )
        containing = [b for b in expected if address in b]
        longest = max(containing, key=lambda b: b.prefixlen, default=None)
        assert table.find(str(address)).failure_domain == expected.get(longest)
    assert len(table) == len(expected)


@pytest.mark.parametrize(
    'text', ['', '[]', '{"10.0.0.1/8": "d1"}', '{"2001:db8::/80": "d1"}']
)
def test_invalid_table_error_names_the_remedy(tmp_path, text):
    path = tmp_path / 'blocks.json'
    path.write_text(text)
    with pytest.raises(errors.SettingsError, match='write|give'):
        lookup_blocks.load(path)
