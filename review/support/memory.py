"""Do with a process what the platform does when it uses much memory."""

import asyncio
import pathlib
import resource

from review.support import deployment as deployments
from review.support import record as records

CHECK_INTERVAL_S = 0.02
RECORDED_STEP_MB = 20
RESTART_DELAY_S = 0.5


def resident_mb(pid: int) -> float:
    """Return the memory that a process uses, in MiB."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


async def enforce(
    deployment: deployments.Deployment,
    node: deployments.Node,
    record: records.Record,
) -> None:
    """Kill the process above ``MemoryMb``, and start it again."""
    recorded_mb = 0.0
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        used_mb = resident_mb(node.pid)
        if used_mb > recorded_mb + RECORDED_STEP_MB:
            recorded_mb = used_mb
            record.write('memory', node=node.name, mb=round(used_mb))
        if used_mb > deployments.MEMORY_MB:
            record.write('memory_over_limit', node=node.name)
            node.process.kill()
            node.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            deployment.start_node(node)
            recorded_mb = 0.0
