"""Tests that every module of benchmarks can be imported.

A benchmark that nobody runs would otherwise break unnoticed when the code
that it measures is changed.
"""

import importlib
import pkgutil

import pytest

import benchmarks

MODULES = sorted(
    module.name
    for module in pkgutil.walk_packages(
        benchmarks.__path__, prefix='benchmarks.'
    )
)


@pytest.mark.parametrize('name', MODULES)
def test_module_imports(name):
    assert importlib.import_module(name).__doc__
