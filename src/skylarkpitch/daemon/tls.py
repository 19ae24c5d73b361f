"""Create the TLS context for callers and reload changed certificates."""

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
    """Return the TLS context of the callers' listener.

    Raises ``SettingsError`` if the files contain no certificate with its
    private key.
    """
    tls_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    tls_context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        _load(tls_context, settings)
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            f'tls: {settings.certificate_file} and {settings.key_file} are '
            f'not a certificate and its key ({error}); correct the paths'
        ) from error
    return tls_context


def _modified_at_s(settings: daemon_settings.TlsSettings) -> tuple[float, ...]:
    files = (settings.certificate_file, settings.key_file)
    return tuple(file.stat().st_mtime for file in files)


class CertificateReloader(mode.Service):
    """Reload the certificate and its key when their files change."""

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
        self._modified_at_s = _modified_at_s(settings)
        super().__init__(**options)

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; return whether this succeeded.

        If they cannot be loaded, the certificate in use stays and the next
        check tries again.
        """
        try:
            modified_at_s = _modified_at_s(self._settings)
            if modified_at_s == self._modified_at_s:
                return False
            self._load(self._context, self._settings)
        except (OSError, ssl.SSLError) as error:
            _log.error('certificate_not_reloaded', error=str(error))
            return False
        self._modified_at_s = modified_at_s
        _log.info('certificate_reloaded')
        return True

    @mode.Service.task
    async def _check_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.reload_check_s)
            self.reload_if_changed()
