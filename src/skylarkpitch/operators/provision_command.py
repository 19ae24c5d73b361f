"""Command that makes the settings and keys of every host."""

import pathlib

import click
import pydantic

from skylarkpitch import errors
from skylarkpitch.operators import output as outputs
from skylarkpitch.operators import provision as provisioning
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['provision', 'read_inventory']


def read_inventory(path: pathlib.Path) -> provisioning.Inventory:
    """Return the inventory in a JSON file; raises ``SettingsError``."""
    try:
        return provisioning.Inventory.model_validate_json(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error.strerror}); name the inventory'
        ) from error
    except pydantic.ValidationError as error:
        lines = '; '.join(daemon_settings.validation_lines(error))
        raise errors.SettingsError(
            f'{path}: {lines}. Correct each field and run the command again'
        ) from error


@click.command()
@click.option(
    '--inventory',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='Inventory of all hosts, in JSON.',
)
@click.option(
    '--folder',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='New folder for the settings and keys.',
)
@outputs.option
def provision(path: pathlib.Path, folder: pathlib.Path, output: str) -> None:
    """Make settings, CURVE keys and tokens for every host."""
    paths = provisioning.provision(read_inventory(path), folder)
    outputs.show(
        {name: str(made) for name, made in paths.items()},
        output,
        lambda made: outputs.table(('HOST', 'SETTINGS'), made.items()),
    )
