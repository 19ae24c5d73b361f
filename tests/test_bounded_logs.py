"""Log lines are bounded in number and never wait for their reader."""

import logging
import os

import pytest

from skylarkpitch.observability import line_budget
from skylarkpitch.observability import logs


def test_each_event_has_a_budget_and_tells_what_was_left_out():
    budget = line_budget.LineBudget(per_s=1.0, burst=2.0)
    taken = [budget.consume('a', now_s=0.0) for _number in range(5)]
    assert taken == [0, 0, None, None, None]
    assert budget.consume('b', now_s=0.0) == 0
    assert budget.consume('a', now_s=1.0) == 3
    assert budget.consume('a', now_s=9.0) == 0


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(text):
    return logging.LogRecord('x', logging.INFO, 'f', 1, text, (), None)


def test_full_reader_drops_lines_and_is_told_how_many(pipe):
    reader, writer = pipe
    handler = logs.NonBlockingHandler(fd=writer)
    for _number in range(200):
        handler.emit(record('x' * 1000))
    dropped = handler.dropped
    assert dropped > 0
    os.read(reader, 1 << 20)
    handler.emit(record('after'))
    text = os.read(reader, 1 << 20).decode()
    assert f'event=lines_dropped n={dropped}' in text
    assert text.endswith('after\n')
