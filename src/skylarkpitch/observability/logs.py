"""Write logs as one line of key=value pairs for each event."""

import logging
import os
import sys
import time
from typing import Any

import structlog

from skylarkpitch import errors
from skylarkpitch.observability import line_budget

__all__ = ['NonBlockingHandler', 'configure']

# Rate limit of each event.
LINES_PER_S = 15.0
LINE_BURST = 60.0
MAX_LINE_BYTES = 4000


def _filter_record(record: logging.LogRecord) -> bool:
    if record.exc_info and isinstance(record.exc_info[1], errors.SkylarkError):
        # The message states the fault and the remedy; a traceback would add
        # nothing for an operator.
        record.exc_info = None
    # The library ``mode`` logs every start and stop of a service, at level
    # INFO and with this prefix.
    is_life_cycle = str(record.msg).startswith('[^')
    return not is_life_cycle or record.levelno > logging.INFO


def _normalise_event(
    _logger: Any, _method: str, event: dict[str, Any]
) -> dict[str, Any]:
    # Names of events contain no spaces; a text with spaces is the message of
    # a library.
    if ' ' in str(event.get('event', '')):
        event['message'] = event['event']
        event['event'] = 'library_message'
    return event


class NonBlockingHandler(logging.Handler):
    """Write lines to a file descriptor without blocking.

    A line is dropped while the descriptor's buffer is full. The next line
    that can be written is preceded by a line with the number dropped.
    """

    def __init__(self, *, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as dropped."""
        try:
            line = self.format(record).encode('utf-8', 'replace')
            if self.dropped:
                notice = (
                    f'level=warning event=lines_dropped n={self.dropped}\n'
                )
                os.write(self._fd, notice.encode())
                self.dropped = 0
            os.write(self._fd, line[:MAX_LINE_BYTES] + b'\n')
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            self.handleError(record)


class _RateLimit:
    """Drop lines that exceed the rate limit of their event, except errors.

    The next line of the event contains the number dropped as ``left_out``.
    """

    def __init__(self) -> None:
        self._budget = line_budget.LineBudget(
            per_s=LINES_PER_S, burst=LINE_BURST
        )

    def __call__(
        self, _logger: Any, method: str, event: dict[str, Any]
    ) -> dict[str, Any]:
        if method in ('error', 'exception', 'critical'):
            return event
        suppressed = self._budget.consume(
            str(event.get('event')), now_s=time.monotonic()
        )
        if suppressed is None:
            raise structlog.DropEvent
        if suppressed:
            event['left_out'] = suppressed
        return event


_SHARED_PROCESSORS = (
    structlog.contextvars.merge_contextvars,
    structlog.stdlib.add_log_level,
    structlog.stdlib.add_logger_name,
    structlog.processors.TimeStamper(fmt='iso', utc=True, key='at'),
    _normalise_event,
    structlog.processors.format_exc_info,
)


def configure(*, host: str, level: str, to_stdout: bool = False) -> None:
    """Write all logs of the process to standard error or standard output.

    On standard output the rate of lines is limited and writing never blocks,
    so that a slow reader of the output cannot stop the process.

    ``level`` is ``debug``, ``info``, ``warning`` or ``error``; every line
    contains ``host``.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if to_stdout:
        handler = NonBlockingHandler(fd=sys.stdout.fileno())
    handler.addFilter(_filter_record)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=list(_SHARED_PROCESSORS),
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
            *((_RateLimit(),) if to_stdout else ()),
            *_SHARED_PROCESSORS,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
