"""Build up the control state from the committed commands.

:class:`ControlState` is the state machine behind the replicated log. It is
deterministic: no clock, no randomness, and no dependence on the order of
sets or on what one member remembers and another does not.
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

HISTORY_LENGTH = 500
SNAPSHOT_FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One accepted command, as ``skylark config history`` shows it."""

    version: int
    at_s: float
    operator: str
    operation_id: str
    kind: str
    subject: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Snapshot:
    format: int
    version: int
    config_version: int
    floor_version: int
    rows: list[parts.Row]
    first_results: list[results.Row]
    history: list[Change]


class ControlState:
    """Configuration, keys, drains and leaving hosts, with one version.

    ``version`` grows by one with every accepted command. ``config_version``
    is the version of the last accepted push, against which operators make
    their changes.
    """

    def __init__(self) -> None:
        self.config_version = 0
        self.parts = parts.PartStore()
        self.history: collections.deque[Change] = collections.deque(
            maxlen=HISTORY_LENGTH
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
        """Return the upstreams that operators drain."""
        return frozenset(self._view.drains)

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Return the entry hosts that operators take away."""
        return frozenset(self._view.leaving_hosts)

    def site_config(self, site: str) -> deployment.SiteConfig:
        """Return the merged configuration of a site.

        Raises ``ValidationError`` while no valid configuration is there.
        """
        return self._view.site_config(site)

    def apply(self, index: int, command: bytes) -> commands.Result:
        """Apply a committed command and return its result.

        ``index`` is not part of the state: entries of the log that carry no
        command do not count. Bytes that are no command change nothing.
        """
        try:
            item = commands.decode(command)
        except errors.MessageError as error:
            return commands.Rejected(
                reason='command_malformed', message=str(error)
            )
        mark = hashlib.sha256(commands.fingerprint(item)).digest()[:16]
        first = self._first_results.find(
            item.operation_id, mark, at_s=item.at_s
        )
        if first is not None:
            return first
        result = self._decide(item)
        self._first_results.put(
            item.operation_id, mark, result, at_s=item.at_s
        )
        return result

    def snapshot(self) -> bytes:
        """Return the whole state."""
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

        Raises ``JournalError`` when the bytes are no snapshot of this
        format, and leaves the state as it was.
        """
        try:
            taken = msgspec.msgpack.decode(data, type=_Snapshot)
        except msgspec.DecodeError as error:
            raise errors.JournalError(
                f'snapshot of the control state is malformed ({error}); '
                'rejoin this member under a new identity'
            ) from error
        if taken.format != SNAPSHOT_FORMAT:
            raise errors.JournalError(
                f'snapshot of the control state has format {taken.format}, '
                f'not {SNAPSHOT_FORMAT}; run the release that wrote it'
            )
        self.config_version = taken.config_version
        self.parts = parts.PartStore()
        self.parts.merge(taken.rows)
        self.parts.floor_version = taken.floor_version
        self.parts.advance(taken.version)
        self._first_results.restore(taken.first_results)
        self.history = collections.deque(taken.history, maxlen=HISTORY_LENGTH)
        self._view = views.StateView()
        for key, value in self.parts.live():
            self._view.put(key, value)

    def check(self, command: commands.Command) -> commands.Result:
        """Return what :meth:`apply` would answer, changing nothing."""
        try:
            self._changes(command)
        except rules.RefusedError as error:
            return error.result
        return commands.Accepted(
            version=self.version, config_version=self.config_version
        )

    def _decide(self, item: commands.Command) -> commands.Result:
        try:
            changed, subject = self._changes(item)
        except rules.RefusedError as error:
            return error.result
        version = self.version + 1
        for key, value in changed.items():
            self.parts.put(key, version, value)
            self._view.put(key, value)
        self.parts.advance(version)
        if isinstance(item, commands.PushConfig | commands.PushOverlay):
            self.config_version = version
        self.history.append(
            Change(
                version=version,
                at_s=item.at_s,
                operator=item.operator,
                operation_id=item.operation_id,
                kind=type(item).__name__,
                subject=subject,
            )
        )
        return commands.Accepted(
            version=version, config_version=self.config_version
        )

    def _changes(
        self, item: commands.Command
    ) -> tuple[rules.PartChanges, str]:
        return rules.changes_of(
            item,
            view=self._view,
            store=self.parts,
            config_version=self.config_version,
        )
