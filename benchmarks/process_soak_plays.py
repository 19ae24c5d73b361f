"""Play the random faults of several seeds, and keep what shows a violation."""

import asyncio
import collections
from collections.abc import Callable
import json
import pathlib
import shutil
import sys
import tempfile
from typing import Protocol

from benchmarks import process_soak_checks as checks

__all__ = ['Playable', 'play', 'play_seeds']

# Time to start the fleet, to wait until all is calm and to read back.
MARGIN_S = 120.0


class Playable(Protocol):
    """Fleet and random faults of one seed."""

    counts: collections.Counter
    seen: checks.Observations

    async def run(self, *, seconds: float) -> list[str]:
        """Play the faults for some seconds; return what was violated."""

    def found(self) -> list[str]:
        """Return what the checks of the scenario have found so far."""


def play(soak: Playable, *, seconds: float) -> list[str]:
    """Return what was violated; to last too long is a violation, too."""

    async def run() -> list[str]:
        async with asyncio.timeout(seconds + MARGIN_S):
            return await soak.run(seconds=seconds)

    try:
        return asyncio.run(run())
    except TimeoutError:
        return ['a host or the operator waited too long', *soak.found()]


def play_seeds(
    create: Callable[[int, pathlib.Path], Playable],
    *,
    numbers: range,
    seconds: float,
    keep_logs: pathlib.Path | None,
) -> None:
    """Play one fleet for each seed; exit with 1 if one has a violation."""
    found = {}
    for number in numbers:
        with tempfile.TemporaryDirectory() as temporary:
            soak = create(number, pathlib.Path(temporary))
            violations = play(soak, seconds=seconds)
            if violations and keep_logs is not None:
                shutil.copytree(temporary, keep_logs / str(number))
        summary = {**soak.counts, **soak.seen.summary()}
        print(number, summary, violations[:5], flush=True)
        if violations:
            found[number] = violations
    print(json.dumps({'seeds': len(numbers), 'violations': found}))
    sys.exit(int(bool(found)))
