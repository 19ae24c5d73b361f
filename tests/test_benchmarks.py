"""Tests that every benchmark module imports with the current code."""

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
