"""Commands that issue, withdraw and list keys."""

import secrets
from typing import Any
from urllib import parse

import click

from skylarkpitch.config import keys as key_texts
from skylarkpitch.operators import context as contexts
from skylarkpitch.operators import output as outputs

__all__ = ['keys']


@click.group()
def keys() -> None:
    """Issue, withdraw and list the keys of organisations."""


@keys.command()
@click.argument('organisation')
@contexts.operation_option
@outputs.option
@contexts.pass_context
def issue(
    context: contexts.Context,
    organisation: str,
    operation_id: str | None,
    output: str,
) -> None:
    """Issue a key to ORGANISATION and print it once.

    The key is generated locally; control hosts receive only its salted
    hash.
    """
    new_key = key_texts.new_key(secrets.token_bytes)
    result = context.client().post(
        '/operators/v1/keys',
        context.change_body(
            operation_id,
            key_id=new_key.key_id,
            organisation=organisation,
            salt=new_key.salt,
            secret_hash=new_key.secret_hash,
        ),
    )
    result.update(
        key=new_key.text, key_id=new_key.key_id, organisation=organisation
    )
    outputs.show(
        result, output, lambda item: f'{item["key_id"]}  {item["key"]}'
    )


@keys.command()
@click.argument('key_id')
@contexts.operation_option
@outputs.option
@contexts.pass_context
def withdraw(
    context: contexts.Context,
    key_id: str,
    operation_id: str | None,
    output: str,
) -> None:
    """Withdraw the key with KEY_ID on all hosts."""
    client = context.client()
    result = client.post(
        '/operators/v1/keys/withdraw',
        context.change_body(operation_id, key_id=key_id),
    )
    query = {'version': result['version']}
    if result['organisation'] is not None:
        query['organisation'] = result['organisation']
    result['unconfirmed'] = client.get(
        f'/operators/v1/keys/unconfirmed?{parse.urlencode(query)}'
    )['unconfirmed']
    outputs.show(result, output, _withdrawn_text)


def _withdrawn_text(result: dict[str, Any]) -> str:
    text = f'withdrawn in version {result["version"]}'
    if not result['unconfirmed']:
        return f'{text}, confirmed everywhere'
    rows = outputs.table(
        ('NOT YET CONFIRMED BY', 'HOSTS', 'LEASE LEFT S'),
        [
            (
                domain['failure_domain'],
                ', '.join(domain['hosts']),
                domain['lease_left_s'],
            )
            for domain in result['unconfirmed']
        ],
    )
    return (
        f'{text}; hosts that have not yet confirmed it refuse the key when '
        f'the key lease ends, at the latest:\n{rows}'
    )


@keys.command('list')
@outputs.option
@contexts.pass_context
def list_keys(context: contexts.Context, output: str) -> None:
    """List the ids of valid keys."""
    result = context.client().get('/operators/v1/keys')
    outputs.show(
        result,
        output,
        lambda item: outputs.table(
            ('KEY ID', 'ORGANISATION'),
            [(key['key_id'], key['organisation']) for key in item['keys']],
        ),
    )
