"""State machine that applies the committed commands of the replicated log.

:class:`ControlState` is deterministic: it uses no clock and no randomness,
and it does not depend on the order of sets or on data that only some members
have.
"""

import collections
import dataclasses
import hashlib

import msgspec

from skylarkpitch.config import commands
from skylarkpitch.config import keys as caller_keys
from skylarkpitch.config import parts
from skylarkpitch.config import results
from skylarkpitch.config import rules
from skylarkpitch.config import view as views
from skylarkpitch import errors
from skylarkpitch.settings import deployment

__all__ = ['Change', 'ControlState']

MAX_HISTORY_CHANGES = 500
SNAPSHOT_FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Accepted command, as displayed by ``skylark config history``."""

    version: int
    at_s: float
    operator: str
    operation_id: str
    kind: str
    subject: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Snapshot:
    """Encoded form of the whole state."""

    format: int
    version: int
    config_version: int
    floor_version: int
    rows: list[parts.Row]
    first_results: list[results.Row]
    history: list[Change]


class ControlState:
    """Configuration, keys, drains and leaving hosts, with one version.

    ``version`` increases by one with every accepted command.
    ``config_version`` is the version of the last accepted push. A push must
    name it, which detects concurrent changes by operators.
    """

    def __init__(self) -> None:
        self.config_version = 0
        self.parts = parts.PartStore()
        self.history: collections.deque[Change] = collections.deque(
            maxlen=MAX_HISTORY_CHANGES
        )
        self._view = views.StateView()
        self._first_results = results.FirstResults()

    @property
    def version(self) -> int:
        """Return the number of commands accepted so far."""
        return self.parts.version

    @property
    def base(self) -> dict:
        """Return the base document; do not change it."""
        return self._view.base

    @property
    def overlays(self) -> dict[str, dict]:
        """Return the overlay documents by site; do not change them."""
        return self._view.overlays

    @property
    def keys(self) -> dict[str, caller_keys.KeyRecord]:
        """Return the records of the valid keys by key id."""
        return self._view.keys.records()

    @property
    def drains(self) -> frozenset[str]:
        """Return the upstreams that operators are draining."""
        return frozenset(self._view.drains)

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Return the entry hosts that operators have requested to leave."""
        return frozenset(self._view.leaving_hosts)

    def site_config(self, site: str) -> deployment.SiteConfig:
        """Return the merged configuration of a site.

        Raises ``ValidationError`` if there is no valid configuration.
        """
        return self._view.site_config(site)

    def apply(self, index: int, command: bytes) -> commands.Result:
        """Apply a committed command and return its result.

        ``index`` does not affect the state, since log entries without a
        command do not increase the version. Bytes that do not decode to a
        command change nothing and return ``Rejected``.
        """
        try:
            decoded = commands.decode(command)
        except errors.MessageError as error:
            return commands.Rejected(
                reason='command_malformed', message=str(error)
            )
        digest = hashlib.sha256(commands.fingerprint(decoded)).digest()[:16]
        first_result = self._first_results.find(
            decoded.operation_id, digest, at_s=decoded.at_s
        )
        if first_result is not None:
            return first_result
        result = self._execute(decoded)
        self._first_results.put(
            decoded.operation_id, digest, result, at_s=decoded.at_s
        )
        return result

    def snapshot(self) -> bytes:
        """Return the whole state in encoded form."""
        return msgspec.msgpack.encode(
            _Snapshot(
                format=SNAPSHOT_FORMAT,
                version=self.version,
                config_version=self.config_version,
                floor_version=self.parts.floor_version,
                rows=list(self.parts.rows()),
                first_results=self._first_results.rows(),
                history=list(self.history),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises ``JournalError`` without changing the state if the bytes are
        not a snapshot of this format.
        """
        try:
            snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        except msgspec.DecodeError as error:
            raise errors.JournalError(
                f'snapshot of the control state is malformed ({error}); '
                'rejoin this member under a new identity'
            ) from error
        if snapshot.format != SNAPSHOT_FORMAT:
            raise errors.JournalError(
                f'snapshot of the control state has format {snapshot.format}, '
                f'not {SNAPSHOT_FORMAT}; run the release that wrote it'
            )
        self.config_version = snapshot.config_version
        self.parts = parts.PartStore()
        self.parts.merge(snapshot.rows)
        self.parts.floor_version = snapshot.floor_version
        self.parts.advance(snapshot.version)
        self._first_results.restore(snapshot.first_results)
        self.history = collections.deque(
            snapshot.history, maxlen=MAX_HISTORY_CHANGES
        )
        self._view = views.StateView()
        for key, value in self.parts.live():
            self._view.put(key, value)

    def check(self, command: commands.Command) -> commands.Result:
        """Return the result that :meth:`apply` would return; change nothing.

        An accepted result has the current version, not the next one.
        """
        try:
            self._changes(command)
        except rules.RefusedError as error:
            return error.result
        return commands.Accepted(
            version=self.version, config_version=self.config_version
        )

    def _execute(self, command: commands.Command) -> commands.Result:
        try:
            changed, subject = self._changes(command)
        except rules.RefusedError as error:
            return error.result
        version = self.version + 1
        for key, value in changed.items():
            self.parts.put(key, version, value)
            self._view.put(key, value)
        self.parts.advance(version)
        if isinstance(command, commands.PushConfig | commands.PushOverlay):
            self.config_version = version
        self.history.append(
            Change(
                version=version,
                at_s=command.at_s,
                operator=command.operator,
                operation_id=command.operation_id,
                kind=type(command).__name__,
                subject=subject,
            )
        )
        return commands.Accepted(
            version=version, config_version=self.config_version
        )

    def _changes(
        self, command: commands.Command
    ) -> tuple[rules.PartChanges, str]:
        return rules.changes_of(
            command,
            view=self._view,
            store=self.parts,
            config_version=self.config_version,
        )
