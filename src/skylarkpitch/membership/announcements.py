"""Models of what upstreams send and get over HTTP."""

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
    """What an upstream says about itself, and whom it announced to last.

    ``previous_owner`` is the host to which it last sent an announcement
    with an echo, and ``previous_owner_age_s`` the time since it last tried;
    for a process that has sent none, its own age.
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
    """Say that an upstream wants nothing new."""

    name: str = pydantic.Field(pattern=_NAME)
    instance: str = pydantic.Field(pattern=_INSTANCE)


class AnnouncementResponse(_Model):
    """Tell an upstream who owns it and when to announce again.

    ``host`` is the host that answers. An empty ``owner`` means that the host
    owns it once the next announcement, due after ``announce_every_s``,
    brings ``echo`` back.
    ``announce_to`` names the base URL of the host to announce to instead.
    """

    host: str
    owner: str = ''
    announce_to: str | None = None
    lease_s: float
    announce_every_s: float
    echo: str = ''


def parse(model: type[_Model], document: Any) -> Any:
    """Return ``document`` as ``model``; raise ``ValidationError``."""
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        mistakes = '; '.join(daemon_settings.validation_lines(error))
        raise errors.ValidationError(
            f'{mistakes}. Correct each field and send it again'
        ) from error
