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


def _version_text(answer: dict[str, Any]) -> str:
    return f'accepted as version {answer["version"]}'


@click.group()
def upstreams() -> None:
    """List and drain upstreams."""


def _upstream_rows(answer: dict[str, Any]) -> list[dict[str, Any]]:
    rows = [
        {**upstream, 'failure_domain': host['failure_domain']}
        for host in answer['hosts']
        for upstream in host['status'].get('upstreams', ())
    ]
    return sorted(rows, key=lambda row: (row['service'], row['name']))


@upstreams.command('list')
@outputs.option
@contexts.pass_context
def list_upstreams(context: contexts.Context, output: str) -> None:
    """List every upstream with its owner and its slots."""
    answer = context.client().get('/operators/v1/hosts')
    outputs.show(
        {'upstreams': _upstream_rows(answer)},
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
    """Give UPSTREAM no new work; what it runs goes on."""
    client = context.client()
    if not (undo or unseen):
        _check_announced(client, upstream)
    answer = client.post(
        '/operators/v1/upstreams/drain',
        context.change_body(
            operation_id, upstream=upstream, draining=not undo
        ),
    )
    outputs.show(answer, output, _version_text)


@click.group()
def hosts() -> None:
    """List, stop and provision the hosts of the system."""


@hosts.command('list')
@outputs.option
@contexts.pass_context
def list_hosts(context: contexts.Context, output: str) -> None:
    """List the entry hosts with their life cycle and version."""
    answer = context.client().get('/operators/v1/hosts')
    outputs.show(
        answer,
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
    """Stop HOST in a planned way: callers are led away first."""
    answer = context.client().post(
        '/operators/v1/hosts/stop',
        context.change_body(operation_id, host=host, leaving=not undo),
    )
    outputs.show(answer, output, _version_text)


@click.group()
def members() -> None:
    """Show and change the members of the replicated log."""


def _members_text(answer: dict[str, Any]) -> str:
    return (
        f'{answer["member"]}: {answer["role"]} in term {answer["term"]}, '
        f'leader {answer["leader"] or "unknown"}, committed '
        f'{answer["commit_index"]}\n'
        f'voters: {", ".join(answer["voters"])}\n'
        f'learners: {", ".join(answer["learners"]) or "none"}'
    )


@members.command('show')
@outputs.option
@contexts.pass_context
def show_members(context: contexts.Context, output: str) -> None:
    """Show voters, learners and leader as one control host sees them."""
    answer = context.client().get('/operators/v1/members')
    outputs.show(answer, output, _members_text)


@members.command()
@click.argument('host')
@outputs.option
@contexts.pass_context
def add(context: contexts.Context, host: str, output: str) -> None:
    """Add HOST as a learner; it votes once it has caught up."""
    answer = context.client().post(
        '/operators/v1/members', {'host': host, 'remove': False}
    )
    outputs.show(answer, output, _members_text)


@members.command()
@click.argument('host')
@outputs.option
@contexts.pass_context
def remove(context: contexts.Context, host: str, output: str) -> None:
    """Remove HOST from the members."""
    answer = context.client().post(
        '/operators/v1/members', {'host': host, 'remove': True}
    )
    outputs.show(answer, output, _members_text)


async def _ask_entry(url: str, service: str) -> Any:
    timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.get(
            f'{url}/skylark/v1/lookup', params={'service': service}
        ) as response:
            return await response.json()


@click.command()
@click.argument('service')
@click.option('--entry', required=True, help='URL of any entry host.')
@outputs.option
def lookup(service: str, entry: str, output: str) -> None:
    """Ask an entry host which hosts to use for SERVICE."""
    try:
        answer = asyncio.run(_ask_entry(entry.rstrip('/'), service))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise errors.ValidationError(
            f'{entry} gave no look-up answer ({type(error).__name__}); name '
            'the callers address of a serving entry host'
        ) from error
    if 'hosts' not in answer:
        raise errors.ValidationError(f'{answer["message"]}')
    outputs.show(
        answer,
        output,
        lambda item: outputs.table(
            ('URL', 'WEIGHT'),
            [(host['url'], host['weight']) for host in item['hosts']],
        ),
    )
