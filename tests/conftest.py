"""Mark the tests that KNOWN-RED.txt lists as expected failures."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def known_red(text):
    """Map each listed test, the first word of its line, to the line."""
    lines = [line for line in text.splitlines() if line.startswith('tests/')]
    return {line.split()[0]: line for line in lines}


def pytest_collection_modifyitems(items):
    listed = known_red(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in listed:
            reason = f'KNOWN-RED: {listed[item.nodeid][:160]}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
