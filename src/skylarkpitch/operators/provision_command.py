"""Command that generates the settings and keys of all hosts."""

import pathlib

import click
import pydantic

from skylarkpitch import errors
from skylarkpitch.operators import output as outputs
from skylarkpitch.operators import provision as provisioning
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['provision', 'read_inventory']


def read_inventory(path: pathlib.Path) -> provisioning.Inventory:
    """Return the inventory in a JSON file.

    Raises ``SettingsError`` if the file cannot be read or is not valid.
    """
    try:
        return provisioning.Inventory.model_validate_json(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error.strerror}); pass the path of the '
            'inventory file'
        ) from error
    except pydantic.ValidationError as error:
        problems = '; '.join(daemon_settings.validation_lines(error))
        raise errors.SettingsError(
            f'{path}: {problems}. Correct each field and run the command again'
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
    """Generate settings, CURVE keys and tokens for all hosts."""
    paths = provisioning.provision(read_inventory(path), folder)
    outputs.show(
        {name: str(settings) for name, settings in paths.items()},
        output,
        lambda result: outputs.table(('HOST', 'SETTINGS'), result.items()),
    )
