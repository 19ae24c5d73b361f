"""Write logs as one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog

from skylarkpitch import errors

__all__ = ['configure']


def _is_worth_a_line(record: logging.LogRecord) -> bool:
    if record.exc_info and isinstance(record.exc_info[1], errors.SkylarkError):
        # Its message names the remedy; the stack tells an operator nothing.
        record.exc_info = None
    # The service library tells each start and stop of each part.
    is_life_cycle = str(record.msg).startswith('[^')
    return not is_life_cycle or record.levelno > logging.INFO


def _name_event(
    _logger: Any, _method: str, event: dict[str, Any]
) -> dict[str, Any]:
    # Messages of libraries are sentences; an event is one word.
    if ' ' in str(event.get('event', '')):
        event['message'] = event['event']
        event['event'] = 'library_message'
    return event


_SHARED = (
    structlog.contextvars.merge_contextvars,
    structlog.stdlib.add_log_level,
    structlog.stdlib.add_logger_name,
    structlog.processors.TimeStamper(fmt='iso', utc=True, key='at'),
    _name_event,
    structlog.processors.format_exc_info,
)


def configure(*, host: str, level: str, to_stdout: bool = False) -> None:
    """Send all logs of the process to standard error, or output.

    ``level`` is ``debug``, ``info``, ``warning`` or ``error``; ``host``
    stands on every line.
    """
    handler = logging.StreamHandler(sys.stdout if to_stdout else sys.stderr)
    handler.addFilter(_is_worth_a_line)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=list(_SHARED),
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.LogfmtRenderer(
                    key_order=['at', 'level', 'event'],
                    drop_missing=True,
                ),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger('mode').setLevel(logging.WARNING)
    structlog.configure(
        processors=[
            structlog.stdlib.filter_by_level,
            *_SHARED,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
