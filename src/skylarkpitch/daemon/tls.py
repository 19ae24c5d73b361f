"""Serve TLS to callers and take new certificates without a restart."""

from collections.abc import Callable
import ssl
from typing import Any

import mode
import structlog

from skylarkpitch import errors
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['CertificateReloader', 'context']

_log = structlog.get_logger(__name__)


def _load(
    context: ssl.SSLContext, settings: daemon_settings.TlsSettings
) -> None:
    context.load_cert_chain(settings.certificate_file, settings.key_file)


def context(settings: daemon_settings.TlsSettings) -> ssl.SSLContext:
    """Return the context for the callers' listener.

    Raises ``SettingsError`` when the files hold no matching pair.
    """
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        _load(made, settings)
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            f'tls: {settings.certificate_file} and {settings.key_file} are '
            f'not a certificate with its key ({error}); correct the paths'
        ) from error
    return made


def _stamps(settings: daemon_settings.TlsSettings) -> tuple[float, ...]:
    files = (settings.certificate_file, settings.key_file)
    return tuple(file.stat().st_mtime for file in files)


class CertificateReloader(mode.Service):
    """Load the certificate again whenever its files change."""

    def __init__(
        self,
        *,
        settings: daemon_settings.TlsSettings,
        context: ssl.SSLContext,
        load: Callable[..., None] = _load,
        **options: Any,
    ) -> None:
        self._settings = settings
        self._context = context
        self._load = load
        self._stamps = _stamps(settings)
        super().__init__(**options)

    def reload_if_changed(self) -> bool:
        """Load the files if they changed; tell whether they were loaded.

        A pair that cannot be loaded leaves the one in use as it is.
        """
        try:
            stamps = _stamps(self._settings)
            if stamps == self._stamps:
                return False
            self._load(self._context, self._settings)
        except (OSError, ssl.SSLError) as error:
            _log.error('certificate_not_reloaded', error=str(error))
            return False
        self._stamps = stamps
        _log.info('certificate_reloaded')
        return True

    @mode.Service.task
    async def _check_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.reload_check_s)
            self.reload_if_changed()
