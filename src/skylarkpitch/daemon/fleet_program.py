"""Start ``skylarkd-fleet``, ready for signals before anything is imported.

The imports take most of a start. A SIGHUP that arrives meanwhile would end the
process; the settings are read after it anyway.
"""

import signal

__all__ = ['main']


def main() -> None:
    """Ignore SIGHUP until it has a handler, then run the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from skylarkpitch.daemon import fleet_main

    fleet_main.main()


if __name__ == '__main__':
    main()
