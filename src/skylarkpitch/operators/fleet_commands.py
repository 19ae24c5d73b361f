"""Commands about upstreams, hosts, members and look-ups."""

import asyncio
from typing import Any

import aiohttp
import click

from skylarkpitch import errors
from skylarkpitch.operators import client as clients
from skylarkpitch.operators import context as contexts
from skylarkpitch.operators import output as outputs

__all__ = ['hosts', 'lookup', 'members', 'upstreams']

LOOKUP_TIMEOUT_S = 5.0


def _version_text(result: dict[str, Any]) -> str:
    return f'accepted as version {result["version"]}'


@click.group()
def upstreams() -> None:
    """List and drain upstreams."""


def _upstream_rows(result: dict[str, Any]) -> list[dict[str, Any]]:
    rows = [
        {**upstream, 'failure_domain': host['failure_domain']}
        for host in result['hosts']
        for upstream in host['status'].get('upstreams', ())
    ]
    return sorted(rows, key=lambda row: (row['service'], row['name']))


@upstreams.command('list')
@outputs.option
@contexts.pass_context
def list_upstreams(context: contexts.Context, output: str) -> None:
    """List every upstream with its owner and its slots."""
    result = context.client().get('/operators/v1/hosts')
    outputs.show(
        {'upstreams': _upstream_rows(result)},
        output,
        lambda item: outputs.table(
            ('UPSTREAM', 'SERVICE', 'STATE', 'USED', 'SLOTS', 'OWNER'),
            [
                (
                    row['name'],
                    row['service'],
                    row['state'],
                    row['used'],
                    row['slots'],
                    row['owner'],
                )
                for row in item['upstreams']
            ],
        ),
    )


def _check_announced(client: clients.Client, upstream: str) -> None:
    rows = _upstream_rows(client.get('/operators/v1/hosts'))
    if upstream not in {row['name'] for row in rows}:
        raise errors.ValidationError(
            f'no upstream called {upstream!r} has announced itself; see '
            'skylark upstreams list, or pass --unseen to drain it anyway'
        )


@upstreams.command()
@click.argument('upstream')
@click.option('--undo', is_flag=True, help='End the drain.')
@click.option(
    '--unseen',
    is_flag=True,
    help='Drain a name that no upstream has announced.',
)
@contexts.operation_option
@outputs.option
@contexts.pass_context
def drain(
    context: contexts.Context,
    upstream: str,
    undo: bool,
    unseen: bool,
    operation_id: str | None,
    output: str,
) -> None:
    """Send no new requests to UPSTREAM; running ones continue."""
    client = context.client()
    if not (undo or unseen):
        _check_announced(client, upstream)
    result = client.post(
        '/operators/v1/upstreams/drain',
        context.change_body(
            operation_id, upstream=upstream, draining=not undo
        ),
    )
    outputs.show(result, output, _version_text)


@click.group()
def hosts() -> None:
    """List, stop and provision the hosts of the system."""


@hosts.command('list')
@outputs.option
@contexts.pass_context
def list_hosts(context: contexts.Context, output: str) -> None:
    """List the entry hosts with life cycle state and version."""
    result = context.client().get('/operators/v1/hosts')
    outputs.show(
        result,
        output,
        lambda item: outputs.table(
            ('HOST', 'FAILURE DOMAIN', 'LIFE CYCLE', 'VERSION', 'AGE S'),
            [
                (
                    host['host'],
                    host['failure_domain'],
                    host['life_cycle'],
                    host['applied_version'],
                    host['age_s'],
                )
                for host in item['hosts']
            ],
        ),
    )


@hosts.command()
@click.argument('host')
@click.option('--undo', is_flag=True, help='Let the host serve again.')
@contexts.operation_option
@outputs.option
@contexts.pass_context
def stop(
    context: contexts.Context,
    host: str,
    undo: bool,
    operation_id: str | None,
    output: str,
) -> None:
    """Stop HOST as planned: callers move to other hosts first."""
    result = context.client().post(
        '/operators/v1/hosts/stop',
        context.change_body(operation_id, host=host, leaving=not undo),
    )
    outputs.show(result, output, _version_text)


@click.group()
def members() -> None:
    """Show and change the members of the replicated log."""


def _members_text(result: dict[str, Any]) -> str:
    return (
        f'{result["member"]}: {result["role"]} in term {result["term"]}, '
        f'leader {result["leader"] or "unknown"}, committed '
        f'{result["commit_index"]}\n'
        f'voters: {", ".join(result["voters"])}\n'
        f'learners: {", ".join(result["learners"]) or "none"}'
    )


@members.command('show')
@outputs.option
@contexts.pass_context
def show_members(context: contexts.Context, output: str) -> None:
    """Show voters, learners and leader as one control host reports them."""
    result = context.client().get('/operators/v1/members')
    outputs.show(result, output, _members_text)


@members.command()
@click.argument('host')
@outputs.option
@contexts.pass_context
def add(context: contexts.Context, host: str, output: str) -> None:
    """Add HOST as a learner; it becomes a voter once it has caught up."""
    result = context.client().post(
        '/operators/v1/members', {'host': host, 'remove': False}
    )
    outputs.show(result, output, _members_text)


@members.command()
@click.argument('host')
@outputs.option
@contexts.pass_context
def remove(context: contexts.Context, host: str, output: str) -> None:
    """Remove HOST from the members."""
    result = context.client().post(
        '/operators/v1/members', {'host': host, 'remove': True}
    )
    outputs.show(result, output, _members_text)


async def _request_lookup(url: str, service: str) -> Any:
    timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.get(
            f'{url}/skylark/v1/lookup', params={'service': service}
        ) as response:
            if response.status not in clients.VALID_STATUSES:
                raise ValueError(f'the status is {response.status}')
            return await response.json()


@click.command()
@click.argument('service')
@click.option('--entry', required=True, help='URL of any entry host.')
@outputs.option
def lookup(service: str, entry: str, output: str) -> None:
    """Show the hosts that an entry host returns for SERVICE."""
    try:
        result = asyncio.run(_request_lookup(entry.rstrip('/'), service))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise errors.ValidationError(
            f'{entry} returned no look-up result ({type(error).__name__}); '
            'pass the callers address of a serving entry host'
        ) from error
    if 'hosts' not in result:
        raise errors.ValidationError(f'{result["message"]}')
    outputs.show(
        result,
        output,
        lambda item: outputs.table(
            ('URL', 'WEIGHT'),
            [(host['url'], host['weight']) for host in item['hosts']],
        ),
    )
