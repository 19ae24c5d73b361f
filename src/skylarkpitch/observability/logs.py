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

LINES_PER_S = 15.0
LINES_BURST = 60.0
MAX_LINE_BYTES = 4000


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


class NonBlockingHandler(logging.Handler):
    """Write lines to a file descriptor without ever waiting for it.

    A line that the reader has no room for is dropped; the next one that is
    written follows a line with the number dropped.
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
                told = f'level=warning event=lines_dropped n={self.dropped}\n'
                os.write(self._fd, told.encode())
                self.dropped = 0
            os.write(self._fd, line[:MAX_LINE_BYTES] + b'\n')
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            self.handleError(record)


class _Bound:
    """Leave out what is over an event's budget, but no error."""

    def __init__(self) -> None:
        self._budget = line_budget.LineBudget(
            per_s=LINES_PER_S, burst=LINES_BURST
        )

    def __call__(
        self, _logger: Any, method: str, event: dict[str, Any]
    ) -> dict[str, Any]:
        if method in ('error', 'exception', 'critical'):
            return event
        left_out = self._budget.consume(
            str(event.get('event')), now_s=time.monotonic()
        )
        if left_out is None:
            raise structlog.DropEvent
        if left_out:
            event['left_out'] = left_out
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

    To standard output their number is bounded and nothing waits.

    ``level`` is ``debug``, ``info``, ``warning`` or ``error``; ``host``
    stands on every line.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if to_stdout:
        handler = NonBlockingHandler(fd=sys.stdout.fileno())
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
            *((_Bound(),) if to_stdout else ()),
            *_SHARED,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
