"""Run a process of a fleet that listens for peers behind a link proxy."""

import dataclasses
import pathlib

import click

from skylarkpitch.daemon import fleet
from skylarkpitch.daemon import fleet_main
from skylarkpitch.settings import fleet as files

__all__ = ['main']


@click.command()
@click.argument('path', type=click.Path(path_type=pathlib.Path))
@click.argument('own_peers_port', type=int)
def main(path: pathlib.Path, own_peers_port: int) -> None:
    """Run the process of a settings file on another peers port.

    Others still connect to the ``peers_port`` of the file.
    """
    settings = dataclasses.replace(
        fleet_main.settings_of(files.load(path)),
        own_peers_port=own_peers_port,
    )
    fleet.run(settings, on_reload=lambda: None)


if __name__ == '__main__':
    main()
