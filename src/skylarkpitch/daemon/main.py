"""Run ``skylarkd``: one daemon with the roles that its settings list."""

import os
import pathlib
import random
import signal
import sys
from typing import Any

import click
import mode
import structlog

from skylarkpitch.daemon import control
from skylarkpitch.daemon import entry
from skylarkpitch.daemon import host_list
from skylarkpitch.daemon import keys
from skylarkpitch.daemon import runner
from skylarkpitch import errors
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.observability import logs
from skylarkpitch.peers import network
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['Daemon', 'main']

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
BYTES_PER_MB = 1024 * 1024

_log = structlog.get_logger(__name__)


class Daemon(runner.Process):
    """Run the peer transport and the roles of one process."""

    def __init__(
        self,
        *,
        settings: daemon_settings.DaemonSettings,
        secret_key: str,
        rng: random.Random,
        **options: Any,
    ) -> None:
        self._settings = settings
        self.malformed = 0
        self._peers = network.PeerNetwork(
            directory=host_list.from_settings(
                settings, public_key=keys.public_key_of(secret_key)
            ),
            secret_key=secret_key,
            on_malformed=self._count_malformed,
        )
        resources = connection_limits.resources_of(
            memory_bytes=settings.limits.memory_mb * BYTES_PER_MB,
            max_descriptors=settings.limits.max_descriptors,
        )
        self._roles: list[mode.Service] = []
        if 'control' in settings.roles:
            self._roles.append(
                control.ControlRole(
                    settings=settings,
                    peers=self._peers,
                    resources=resources,
                    rng=rng,
                )
            )
        if 'entry' in settings.roles:
            self._roles.append(
                entry.EntryRole(
                    settings=settings,
                    peers=self._peers,
                    resources=resources,
                    rng=rng,
                    stop_process=_stop_process,
                )
            )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the transport, then the roles."""
        return [self._peers, *self._roles]

    async def on_started(self) -> None:
        """Log that every service has started."""
        _log.info(
            'daemon_started',
            roles=','.join(self._settings.roles),
            failure_domain=self._settings.failure_domain,
            process=os.getpid(),
        )

    def _count_malformed(self) -> None:
        self.malformed += 1


def _stop_process() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


def _load(path: pathlib.Path) -> tuple[daemon_settings.DaemonSettings, str]:
    settings = daemon_settings.load(path)
    return settings, keys.load_secret_key(settings.secret_key_file)


def run(settings: daemon_settings.DaemonSettings, secret_key: str) -> None:
    """Run the daemon until a signal stops it.

    Raises the ``SkylarkError`` of a service that could not start.
    """
    logs.configure(host=settings.host, level=settings.log_level)
    runner.run(
        lambda: Daemon(
            settings=settings,
            secret_key=secret_key,
            rng=random.SystemRandom(),
        )
    )


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='Settings file of this host, in JSON.',
)
@click.option(
    '--check', is_flag=True, help='Validate the settings file, then exit.'
)
def main(path: pathlib.Path, check: bool) -> None:
    """Run one host of skylarkpitch.

    SIGTERM starts a planned stop: callers move to other hosts first. Exit
    status: 0 after a planned stop, 1 if a service failed, 2 if the settings
    are invalid.
    """
    try:
        settings, secret_key = _load(path)
        if check:
            click.echo(f'{path}: valid, roles {", ".join(settings.roles)}')
            return
        run(settings, secret_key)
    except errors.SkylarkError as error:
        click.echo(f'skylarkd: {error}', err=True)
        is_settings_error = isinstance(error, errors.SettingsError)
        sys.exit(EXIT_BAD_SETTINGS if is_settings_error else EXIT_FAILED)
