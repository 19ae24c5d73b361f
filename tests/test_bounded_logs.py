"""Tests that log lines are limited in rate and never block the process."""

import logging
import os

import pytest

from skylarkpitch.observability import line_budget
from skylarkpitch.observability import logs


def test_each_event_has_a_rate_and_counts_suppressed_lines():
    rate_limit = line_budget.LineBudget(per_s=1.0, burst=2.0)
    results = [rate_limit.consume('a', now_s=0.0) for _number in range(5)]
    assert results == [0, 0, None, None, None]
    assert rate_limit.consume('b', now_s=0.0) == 0
    assert rate_limit.consume('a', now_s=1.0) == 3
    assert rate_limit.consume('a', now_s=9.0) == 0


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(text):
    return logging.LogRecord('x', logging.INFO, 'f', 1, text, (), None)


def test_lines_dropped_for_a_full_pipe_are_counted_in_a_line(pipe):
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
