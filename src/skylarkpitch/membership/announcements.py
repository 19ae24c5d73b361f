"""Models of the documents that upstreams send and receive over HTTP."""

from typing import Any

import pydantic

from skylarkpitch import errors
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['Announcement', 'AnnouncementResponse', 'LeaveNotice', 'parse']

MAX_SLOTS = 100_000
_NAME = r'^[a-z0-9][a-z0-9-]{0,62}$'
_INSTANCE = r'^[A-Za-z0-9._-]{1,64}$'


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Announcement(_Model):
    """State that an upstream reports, and the host it announced to last.

    ``previous_owner`` is the host to which the upstream last sent an
    announcement with an echo, and ``previous_owner_age_s`` the time since that
    attempt. Without a previous owner the age is that of the upstream's
    process. ``connections`` limits the open connections that the upstream
    accepts. ``load_percent`` is its load from all sources. ``echo`` repeats
    the echo of the newest response.
    """

    name: str = pydantic.Field(pattern=_NAME)
    service: str = pydantic.Field(pattern=_NAME)
    url: str = pydantic.Field(
        pattern=r'^https?://[A-Za-z0-9.:\[\]-]+$', max_length=200
    )
    slots: int = pydantic.Field(ge=1, le=MAX_SLOTS)
    connections: int = pydantic.Field(ge=1, le=MAX_SLOTS)
    instance: str = pydantic.Field(pattern=_INSTANCE)
    load_percent: float = pydantic.Field(default=0.0, ge=0, le=10_000)
    healthy: bool = True
    previous_owner: str | None = None
    previous_owner_age_s: float = pydantic.Field(default=0.0, ge=0)
    echo: str = pydantic.Field(default='', max_length=64)


class LeaveNotice(_Model):
    """Notice that a process of an upstream accepts no new work."""

    name: str = pydantic.Field(pattern=_NAME)
    instance: str = pydantic.Field(pattern=_INSTANCE)


class AnnouncementResponse(_Model):
    """Response that names the owner and the time of the next announcement.

    ``host`` is the host that sends the response. An empty ``owner`` means that
    this host becomes the owner once the next announcement, due after
    ``announce_every_s``, returns ``echo``. ``announce_to`` is the base URL of
    another host to announce to from now on, or None. ``lease_s`` is the time
    after which another host may own the upstream without asking this one.
    """

    host: str
    owner: str = ''
    announce_to: str | None = None
    lease_s: float
    announce_every_s: float
    echo: str = ''


def parse(model: type[_Model], document: Any) -> Any:
    """Return ``document`` validated as ``model``.

    Raises ``ValidationError`` that lists each invalid field.
    """
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        problems = '; '.join(daemon_settings.validation_lines(error))
        raise errors.ValidationError(
            f'{problems}. Correct each field and send it again'
        ) from error
