"""Run the tool as ``python -m skylarkpitch.operators``."""

from skylarkpitch.operators import cli

cli.main()
