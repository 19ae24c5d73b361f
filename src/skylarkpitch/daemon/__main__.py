"""Run the daemon as ``python -m skylarkpitch.daemon``."""

from skylarkpitch.daemon import main

main.main()
