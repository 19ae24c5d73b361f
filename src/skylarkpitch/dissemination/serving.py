"""Decide what a host may serve from its copy of the state."""

import structlog

from skylarkpitch.config import keys as caller_keys
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import replica as replicas
from skylarkpitch import errors
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['ServingState']

DEFAULT_DRIFT_FRACTION = 0.01

_log = structlog.get_logger(__name__)


class ServingState:
    """Configuration in force on a host, and the authentication of keys.

    Nothing is served before the state is proven current at a time after the
    process started: any state that an earlier process on this host can have
    served is older than that. ``allow_cut_off`` lifts this for a host that
    loaded the newest state of its failure domain while cut off from control.
    """

    def __init__(
        self, *, replica: replicas.Replica, site: str, started_at_s: float
    ) -> None:
        self._replica = replica
        self._site = site
        self._started_at_s = started_at_s
        self._config: deployment.SiteConfig | None = None
        self._is_cut_off = False
        self._is_confirmed = False
        self._is_behind = False
        self.applied_version = 0
        self.config_errors = 0

    @property
    def keys(self) -> caller_keys.KeyRing:
        """Return the valid keys."""
        return self._replica.view.keys

    @property
    def drift(self) -> float:
        """Return the largest deviation of a clock, as a fraction."""
        if self._config is None:
            return DEFAULT_DRIFT_FRACTION
        return self._config.policy.clock_drift_percent / 100

    @property
    def is_confirmed(self) -> bool:
        """Return whether the state was proven current since the start."""
        return self._is_confirmed

    @property
    def is_stale(self) -> bool:
        """Return whether the host serves a state loaded while cut off."""
        return self._is_cut_off

    def allow_cut_off(self) -> bool:
        """Serve the loaded state if its policy allows it.

        Returns whether it does.
        """
        config = self._config
        self._is_cut_off = config is not None and config.policy.cut_off_serving
        return self._is_cut_off

    def update(self, kinds: frozenset[str]) -> None:
        """Put the parts of these kinds in force.

        A configuration that this release can't read leaves the previous one
        and the applied version unchanged. Raises ``InvariantError`` when the
        version of the state is lower than the applied one.
        """
        version = self._replica.version
        if version < self.applied_version:
            raise errors.InvariantError(
                f'applied version {self.applied_version} would go back to '
                f'{version}; report this as a defect'
            )
        if self._is_behind or kinds & {'base', 'overlay'}:
            self._is_behind = not self._rebuild(version)
        if not self._is_behind:
            self.applied_version = version

    def confirm(self) -> None:
        """Confirm the state if its proof is from after the process started."""
        if self._replica.proven_at_s >= self._started_at_s:
            self._is_confirmed = True
            self._is_cut_off = False

    def site_config(self) -> deployment.SiteConfig | sentinels.Absent:
        """Return the configuration, or ``Absent('state_stale')``."""
        if self._config is None:
            return sentinels.Absent('state_stale', 'no configuration yet')
        if not self.is_confirmed and not self._is_cut_off:
            return sentinels.Absent('state_stale', 'not confirmed since start')
        return self._config

    def authenticate(
        self, key: str | None, *, now_s: float
    ) -> ports.Caller | sentinels.Absent:
        """Return the caller whose key this is.

        ``Absent`` reasons: ``key_missing``, ``key_malformed``,
        ``key_unknown``, ``state_stale``, and ``key_lease_expired`` when the
        newest proof is older than the lease of the key's organisation.
        """
        if not key:
            return sentinels.Absent('key_missing')
        config = self.site_config()
        if isinstance(config, sentinels.Absent):
            return config
        organisation = self.keys.organisation_of(key)
        if isinstance(organisation, sentinels.Absent):
            return self._refuse(organisation, config, now_s)
        settings = config.organisations.get(organisation)
        if settings is None:
            return sentinels.Absent('key_unknown')
        lease_s = settings.key_lease_s or config.policy.key_lease_s
        if not self._is_leased(lease_s, now_s):
            return sentinels.Absent('key_lease_expired')
        return ports.Caller(organisation=organisation, weight=settings.weight)

    def _refuse(
        self,
        absent: sentinels.Absent,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> sentinels.Absent:
        """Return the refusal of a key that the copy of the state doesn't have.

        A key that was issued after the newest proof is unknown here. With an
        expired lease an unknown key is therefore reported as
        ``key_lease_expired``.
        """
        unknown = absent.reason == 'key_unknown'
        if unknown and not self._is_leased(config.policy.key_lease_s, now_s):
            return sentinels.Absent('key_lease_expired')
        return absent

    def _is_leased(self, lease_s: float, now_s: float) -> bool:
        return now_s < freshness.serves_until_s(
            proven_at_s=self._replica.proven_at_s,
            lease_s=lease_s,
            drift=self.drift,
        )

    def _rebuild(self, version: int) -> bool:
        if not self._replica.view.base:
            return True
        try:
            self._config = self._replica.view.site_config(self._site)
        except errors.ValidationError as error:
            self.config_errors += 1
            _log.error('config_not_applied', version=version, error=str(error))
            return False
        return True
