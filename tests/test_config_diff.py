"""Tests of the textual difference between configurations."""

import pytest

from skylarkpitch.config import diff


@pytest.mark.parametrize(
    'old, new, lines',
    [
        ({}, {}, []),
        ({'a': 1}, {'a': 1.5}, ['a: 1 -> 1.5']),
        ({'a': {'b': 1}}, {'a': {}}, ['a.b: 1 -> (absent)']),
        ({}, {'a': [1]}, ['a: (absent) -> [1]']),
        ({'a': {'b': 1}}, {'a': 'x'}, ['a: {"b": 1} -> "x"']),
        ({'b': 1, 'a': 1}, {'a': 2, 'b': 2}, ['a: 1 -> 2', 'b: 1 -> 2']),
    ],
)
def test_documents(old, new, lines):
    assert diff.diff_documents(old, new) == lines


@pytest.mark.parametrize(
    'new_base, new_overlays, lines',
    [
        ({'q': 1}, {'s': {}, 't': {'q': 5}}, []),
        ({'q': 2}, {'s': {}, 't': {'q': 5}}, ['s q: 1 -> 2']),
        ({'q': 1}, {'s': {}}, ['t q: 5 -> 1']),
        ({'q': 1}, {'s': {'r': 1}, 't': {'q': 5}}, ['s r: (absent) -> 1']),
    ],
)
def test_sites(new_base, new_overlays, lines):
    changed_lines = diff.diff_sites(
        old_base={'q': 1},
        old_overlays={'s': {}, 't': {'q': 5}},
        new_base=new_base,
        new_overlays=new_overlays,
    )
    assert changed_lines == lines
