"""Decide what a command changes, or why it is refused."""

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

MAX_NAME_LENGTH = 200
_SITE = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_KEY_ID = re.compile(r'[0-9a-zA-Z-]{1,64}')
_HEX = re.compile(r'[0-9a-f]{2,128}')

PartChanges = dict[parts.PartKey, bytes | None]


class RefusedError(Exception):
    """A command changes nothing; ``result`` is its answer."""

    def __init__(self, result: commands.Result) -> None:
        super().__init__(str(result))
        self.result = result


def changes_of(
    item: commands.Command,
    *,
    view: views.StateView,
    store: parts.PartStore,
    config_version: int,
) -> tuple[PartChanges, str]:
    """Return the parts that a command changes and the name of its subject.

    Removals come first, so that a section that changes its form is emptied
    before it is filled. Raises ``RefusedError``.
    """
    if isinstance(item, commands.PushConfig | commands.PushOverlay):
        if item.against_version != config_version:
            raise RefusedError(
                commands.Conflict(current_version=config_version)
            )
    try:
        return _CHANGES[type(item)](item, view, store)
    except errors.ValidationError as error:
        raise _refused('invalid', str(error)) from error


def _refused(reason: str, message: str) -> RefusedError:
    return RefusedError(commands.Rejected(reason=reason, message=message))


def _push_config(
    item: commands.PushConfig, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    base = documents.parse_object(item.base_json, source='base')
    overlays = {
        site: _overlay(site, text)
        for site, text in sorted(item.overlays_json.items())
    }
    _check_sites(base, overlays, _valid_overlays(base, view))
    _check_key_holders(base, view)
    wanted = parts.split(base, ('base',))
    for site, overlay in overlays.items():
        wanted |= parts.split(overlay, ('overlay', site))
    held = store.with_prefix(('base',)) | store.with_prefix(('overlay',))
    return _difference(held, wanted), f'base, {len(overlays)} overlays'


def _push_overlay(
    item: commands.PushOverlay, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    if not view.base:
        raise _refused('no_base', 'no base was pushed yet; push one first')
    prefix = ('overlay', item.site)
    wanted: dict[parts.PartKey, bytes] = {}
    overlay: dict[str, Any] = {}
    if item.overlay_json.strip() != 'null':
        overlay = _overlay(item.site, item.overlay_json)
        wanted = parts.split(overlay, prefix)
    deployment.validate_site(view.base, overlay, site=item.site)
    held = store.with_prefix(prefix)
    return _difference(held, wanted), item.site


def _issue_key(
    item: commands.IssueKey, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    if item.organisation not in view.base.get('organisations', {}):
        raise _refused(
            'organisation_unknown',
            f'organisation {item.organisation!r} is not in the base; add it '
            'there first',
        )
    if not _KEY_ID.fullmatch(item.key_id):
        raise _refused(
            'key_malformed',
            'key_id must be letters, digits and hyphens; make the key with '
            'skylark keys issue',
        )
    if not (_HEX.fullmatch(item.salt) and _HEX.fullmatch(item.secret_hash)):
        raise _refused(
            'key_malformed',
            'salt and secret_hash must be hex; make the key with skylark '
            'keys issue',
        )
    if ('key', item.key_id) in store:
        raise _refused(
            'key_exists',
            f'key {item.key_id!r} was issued before; make a new one',
        )
    record = caller_keys.KeyRecord(
        organisation=item.organisation,
        salt=item.salt,
        secret_hash=item.secret_hash,
        issued_at_s=item.at_s,
    )
    return {('key', item.key_id): views.encode_key(record)}, item.key_id


def _withdraw_key(
    item: commands.WithdrawKey, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    if item.key_id not in view.keys:
        raise _refused(
            'key_unknown',
            f'no valid key has the id {item.key_id!r}; list the keys to see '
            'whether it was withdrawn before',
        )
    return {('key', item.key_id): None}, item.key_id


def _set_drain(
    item: commands.SetDrain, view: views.StateView, store: parts.PartStore
) -> tuple[PartChanges, str]:
    _check_name(item.upstream, 'upstream')
    value = b'{}' if item.draining else None
    return {('drain', item.upstream): value}, item.upstream


def _set_leaving(
    item: commands.SetHostLeaving,
    view: views.StateView,
    store: parts.PartStore,
) -> tuple[PartChanges, str]:
    _check_name(item.host, 'host')
    value = b'{}' if item.leaving else None
    return {('leaving', item.host): value}, item.host


_CHANGES = {
    commands.PushConfig: _push_config,
    commands.PushOverlay: _push_overlay,
    commands.IssueKey: _issue_key,
    commands.WithdrawKey: _withdraw_key,
    commands.SetDrain: _set_drain,
    commands.SetHostLeaving: _set_leaving,
}


def _valid_overlays(base: dict[str, Any], view: views.StateView) -> set[bytes]:
    """Return the overlays that were checked with this very base before."""
    if not view.base or documents.canonical(base) != documents.canonical(
        view.base
    ):
        return set()
    return {documents.canonical(item) for item in view.overlays.values()}


def _check_sites(
    base: dict[str, Any],
    overlays: Mapping[str, dict[str, Any]],
    checked: set[bytes],
) -> None:
    """Validate every site; equal overlays are checked once."""
    if not overlays:
        deployment.validate_site(base, {}, site='base alone')
    for site, overlay in overlays.items():
        text = documents.canonical(overlay)
        if text not in checked:
            deployment.validate_site(base, overlay, site=site)
            checked.add(text)


def _check_key_holders(base: dict[str, Any], view: views.StateView) -> None:
    known = base.get('organisations', {})
    for organisation in sorted(view.keys.organisations()):
        if organisation not in known:
            raise errors.ValidationError(
                f'organisation {organisation!r} still has valid keys; '
                'withdraw them before taking it out of the base'
            )


def _check_name(name: str, what: str) -> None:
    if not 1 <= len(name) <= MAX_NAME_LENGTH:
        raise _refused(
            'name_malformed',
            f'{what} must have 1 to {MAX_NAME_LENGTH} characters; give its '
            'name as skylark status shows it',
        )


def _overlay(site: str, text: str) -> dict[str, Any]:
    if not _SITE.fullmatch(site):
        raise errors.ValidationError(
            f'site {site[:80]!r} is not a name; use lower-case letters, '
            'digits and hyphens'
        )
    return documents.parse_object(text, source=f'overlay of site {site!r}')


def _difference(
    held: Mapping[parts.PartKey, bytes], wanted: Mapping[parts.PartKey, bytes]
) -> PartChanges:
    changed: PartChanges = {key: None for key in held if key not in wanted}
    for key, value in wanted.items():
        if held.get(key) != value:
            changed[key] = value
    return changed
