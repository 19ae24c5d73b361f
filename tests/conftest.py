"""Let the tests that KNOWN-RED.txt names fail, and print them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def known_red(text):
    """Return the tests that begin a line of the list, and those lines."""
    lines = [line for line in text.splitlines() if line.startswith('tests/')]
    return {line.split()[0]: line for line in lines}


def pytest_collection_modifyitems(items):
    listed = known_red(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in listed:
            reason = f'KNOWN-RED: {listed[item.nodeid][:160]}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
