"""Validate commands and compute the parts that they change."""

from collections.abc import Mapping
import re
from typing import Any

from skylarkpitch.config import commands
from skylarkpitch.config import documents
from skylarkpitch.config import keys as caller_keys
from skylarkpitch.config import parts
from skylarkpitch.config import view as views
from skylarkpitch import errors
from skylarkpitch.settings import deployment

__all__ = ['PartChanges', 'RefusedError', 'changes_of']

MAX_NAME_CHARACTERS = 200
_SITE = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_KEY_ID = re.compile(r'[0-9a-zA-Z-]{1,64}')
_HEX = re.compile(r'[0-9a-f]{2,128}')

PartChanges = dict[parts.PartKey, bytes | None]


class RefusedError(Exception):
    """The command changes nothing; ``result`` states why."""

    def __init__(self, result: commands.Result) -> None:
        super().__init__(str(result))
        self.result = result


def changes_of(
    command: commands.Command,
    *,
    view: views.StateView,
    store: parts.PartStore,
    config_version: int,
) -> tuple[PartChanges, str]:
    """Return the parts that a command changes and a label of its subject.

    A changed part of None is removed. Removals precede other changes, so
    that a section that changes between an object and another value is
    emptied before it is filled. Raises ``RefusedError``.
    """
    if isinstance(command, commands.PushConfig | commands.PushOverlay):
        if command.against_version != config_version:
            raise RefusedError(
                commands.Conflict(current_version=config_version)
            )
    try:
        return _HANDLERS[type(command)](command, view, store)
    except errors.ValidationError as error:
        raise _refusal('invalid', str(error)) from error


def _refusal(reason: str, message: str) -> RefusedError:
    return RefusedError(commands.Rejected(reason=reason, message=message))


def _push_config(
    command: commands.PushConfig, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    base = documents.parse_object(command.base_json, source='base')
    overlays = {
        site: _parse_overlay(site, text)
        for site, text in sorted(command.overlays_json.items())
    }
    _check_sites(base, overlays, _validated_overlays(base, view))
    _check_organisations_with_keys(base, view)
    new = parts.split(base, ('base',))
    for site, overlay in overlays.items():
        new |= parts.split(overlay, ('overlay', site))
    current = store.with_prefix(('base',)) | store.with_prefix(('overlay',))
    return _changed_parts(current, new), f'base, {len(overlays)} overlays'


def _push_overlay(
    command: commands.PushOverlay,
    view: views.StateView,
    store: parts.PartStore,
) -> tuple[PartChanges, str]:
    if not view.base:
        raise _refusal('no_base', 'no base was pushed yet; push one first')
    prefix = ('overlay', command.site)
    new: dict[parts.PartKey, bytes] = {}
    overlay: dict[str, Any] = {}
    if command.overlay_json.strip() != 'null':
        overlay = _parse_overlay(command.site, command.overlay_json)
        new = parts.split(overlay, prefix)
    deployment.validate_site(view.base, overlay, site=command.site)
    current = store.with_prefix(prefix)
    return _changed_parts(current, new), command.site


def _issue_key(
    command: commands.IssueKey, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    if command.organisation not in view.base.get('organisations', {}):
        raise _refusal(
            'organisation_unknown',
            f'organisation {command.organisation!r} is not in the base; add '
            'it there first',
        )
    if not _KEY_ID.fullmatch(command.key_id):
        raise _refusal(
            'key_malformed',
            'key_id must be letters, digits and hyphens; make the key with '
            'skylark keys issue',
        )
    if not (
        _HEX.fullmatch(command.salt) and _HEX.fullmatch(command.secret_hash)
    ):
        raise _refusal(
            'key_malformed',
            'salt and secret_hash must be hex; make the key with skylark '
            'keys issue',
        )
    if ('key', command.key_id) in store:
        raise _refusal(
            'key_exists',
            f'key {command.key_id!r} was issued before; make a new one',
        )
    record = caller_keys.KeyRecord(
        organisation=command.organisation,
        salt=command.salt,
        secret_hash=command.secret_hash,
        issued_at_s=command.at_s,
    )
    return {('key', command.key_id): views.encode_key(record)}, command.key_id


def _withdraw_key(
    command: commands.WithdrawKey,
    view: views.StateView,
    store: parts.PartStore,
) -> tuple[PartChanges, str]:
    if command.key_id not in view.keys:
        raise _refusal(
            'key_unknown',
            f'no valid key has the id {command.key_id!r}; list the keys to '
            'see whether it was withdrawn before',
        )
    return {('key', command.key_id): None}, command.key_id


def _set_drain(
    command: commands.SetDrain, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    _check_name(command.upstream, 'upstream')
    value = b'{}' if command.draining else None
    return {('drain', command.upstream): value}, command.upstream


def _set_leaving(
    command: commands.SetHostLeaving,
    view: views.StateView,
    store: parts.PartStore,
) -> tuple[PartChanges, str]:
    _check_name(command.host, 'host')
    value = b'{}' if command.leaving else None
    return {('leaving', command.host): value}, command.host


_HANDLERS = {
    commands.PushConfig: _push_config,
    commands.PushOverlay: _push_overlay,
    commands.IssueKey: _issue_key,
    commands.WithdrawKey: _withdraw_key,
    commands.SetDrain: _set_drain,
    commands.SetHostLeaving: _set_leaving,
}


def _validated_overlays(
    base: dict[str, Any], view: views.StateView
) -> set[bytes]:
    """Return the current overlays if ``base`` is unchanged, else none.

    These were validated with this base before.
    """
    if not view.base or documents.canonical(base) != documents.canonical(
        view.base
    ):
        return set()
    return {documents.canonical(overlay) for overlay in view.overlays.values()}


def _check_sites(
    base: dict[str, Any],
    overlays: Mapping[str, dict[str, Any]],
    checked: set[bytes],
) -> None:
    """Validate every site; skip overlays that equal a checked one.

    Adds the overlays to ``checked``. Raises ``ValidationError``.
    """
    if not overlays:
        deployment.validate_site(base, {}, site='base alone')
    for site, overlay in overlays.items():
        text = documents.canonical(overlay)
        if text not in checked:
            deployment.validate_site(base, overlay, site=site)
            checked.add(text)


def _check_organisations_with_keys(
    base: dict[str, Any], view: views.StateView
) -> None:
    organisations = base.get('organisations', {})
    for organisation in sorted(view.keys.organisations()):
        if organisation not in organisations:
            raise errors.ValidationError(
                f'organisation {organisation!r} still has valid keys; '
                'withdraw them before taking it out of the base'
            )


def _check_name(name: str, description: str) -> None:
    if not 1 <= len(name) <= MAX_NAME_CHARACTERS:
        raise _refusal(
            'name_malformed',
            f'{description} must have 1 to {MAX_NAME_CHARACTERS} characters; '
            'give its name as skylark status shows it',
        )


def _parse_overlay(site: str, text: str) -> dict[str, Any]:
    if not _SITE.fullmatch(site):
        raise errors.ValidationError(
            f'site {site[:80]!r} is not a name; use lower-case letters, '
            'digits and hyphens'
        )
    return documents.parse_object(text, source=f'overlay of site {site!r}')


def _changed_parts(
    current: Mapping[parts.PartKey, bytes],
    new: Mapping[parts.PartKey, bytes],
) -> PartChanges:
    changed: PartChanges = {key: None for key in current if key not in new}
    for key, value in new.items():
        if current.get(key) != value:
            changed[key] = value
    return changed
