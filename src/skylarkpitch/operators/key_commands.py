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

    The key is made here; control hosts get only its salted hash.
    """
    made = key_texts.new_key(secrets.token_bytes)
    answer = context.client().post(
        '/operators/v1/keys',
        context.change_body(
            operation_id,
            key_id=made.key_id,
            organisation=organisation,
            salt=made.salt,
            secret_hash=made.secret_hash,
        ),
    )
    answer.update(key=made.text, key_id=made.key_id, organisation=organisation)
    outputs.show(
        answer, output, lambda item: f'{item["key_id"]}  {item["key"]}'
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
    """Withdraw the key with KEY_ID everywhere."""
    client = context.client()
    answer = client.post(
        '/operators/v1/keys/withdraw',
        context.change_body(operation_id, key_id=key_id),
    )
    query = {'version': answer['version']}
    if answer['organisation'] is not None:
        query['organisation'] = answer['organisation']
    answer['unconfirmed'] = client.get(
        f'/operators/v1/keys/unconfirmed?{parse.urlencode(query)}'
    )['unconfirmed']
    outputs.show(answer, output, _withdrawn_text)


def _withdrawn_text(answer: dict[str, Any]) -> str:
    text = f'withdrawn in version {answer["version"]}'
    if not answer['unconfirmed']:
        return f'{text}, confirmed everywhere'
    rows = outputs.table(
        ('NOT YET CONFIRMED BY', 'HOSTS', 'LEASE LEFT S'),
        [
            (
                domain['failure_domain'],
                ', '.join(domain['hosts']),
                domain['lease_left_s'],
            )
            for domain in answer['unconfirmed']
        ],
    )
    return (
        f'{text}; refused within the key lease at the latest where it is '
        f'not yet confirmed:\n{rows}'
    )


@keys.command('list')
@outputs.option
@contexts.pass_context
def list_keys(context: contexts.Context, output: str) -> None:
    """List the ids of valid keys."""
    answer = context.client().get('/operators/v1/keys')
    outputs.show(
        answer,
        output,
        lambda item: outputs.table(
            ('KEY ID', 'ORGANISATION'),
            [(key['key_id'], key['organisation']) for key in item['keys']],
        ),
    )
