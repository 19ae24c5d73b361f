"""Options and helpers that the commands of the tool share."""

import dataclasses
import getpass
import os
import pathlib
import uuid

import click

from skylarkpitch import errors
from skylarkpitch.operators import client as clients

__all__ = ['Context', 'new_operation_id', 'operation_option', 'pass_context']

operation_option = click.option(
    '--operation-id',
    default=None,
    help='Id of the change; pass it again to repeat the change safely.',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """Addresses of the control hosts and the operator token for them.

    ``timeout_s`` limits each call, in seconds.
    """

    urls: tuple[str, ...]
    token_file: pathlib.Path | None
    timeout_s: float

    def client(self) -> clients.Client:
        """Return a client for the control hosts.

        Raises ``SettingsError`` if addresses or token are missing.
        """
        if not self.urls:
            raise errors.SettingsError(
                'no control host is given; pass --control URL or set '
                'SKYLARK_CONTROL'
            )
        return clients.Client(
            urls=self.urls, token=self._token(), timeout_s=self.timeout_s
        )

    def _token(self) -> str:
        if self.token_file is None:
            raise errors.SettingsError(
                'no operator token is given; pass --token-file FILE or set '
                'SKYLARK_TOKEN_FILE'
            )
        try:
            return self.token_file.read_text().strip()
        except OSError as error:
            raise errors.SettingsError(
                f'token file {self.token_file} cannot be read '
                f'({error.strerror}); pass a readable file'
            ) from error

    def change_body(self, operation_id: str | None, **fields: object) -> dict:
        """Return the request body of a change by the current operator.

        A new operation id is used if ``operation_id`` is None.
        """
        return {
            'operation_id': operation_id or new_operation_id(),
            'operator': _operator(),
            **fields,
        }


def new_operation_id() -> str:
    """Return a random operation id."""
    return uuid.uuid4().hex


def _operator() -> str:
    try:
        return os.environ.get('SKYLARK_OPERATOR') or getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


pass_context = click.make_pass_decorator(Context)
