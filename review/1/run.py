"""A control host is replaced; well after it, another one loses its disk."""

import asyncio
import json
import shutil
import time

from review.support import case
from review.support import deployment as deployments
from review.support import http
from review.support import outside
from review.support import record as records

DOWN_S = 1.0
# Bounds.CatchUp is 4 s: the machine that is gone stops counting 5 s after its
# end, and the next one loses its disk 13 s after that end.
BETWEEN_LOSSES_S = 12.0
# Bounds.Recover.
RECOVER_S = 15.0
READ_BACK_S = 10.0
READ_TIMEOUT_S = 1.0
ACK_TIMEOUT_S = 8.0
GET = http.encode('POST /rpc?call=config.get HTTP/1.1', {'Host': 'control'})


def _configuration(version: int) -> bytes:
    return outside.configuration(
        version,
        routes={'status': outside.route('desk', '/status/')},
        services={'desk': outside.service()},
        tenants=None,
    )


async def _put(
    operator: outside.Operator, record: records.Record, version: int
) -> int:
    """Return the version if it was acknowledged, otherwise 0."""
    try:
        response = await operator.order(
            '/rpc?call=config.put',
            _configuration(version),
            timeout_s=ACK_TIMEOUT_S,
        )
    except TimeoutError:
        record.write('not_acknowledged', version=version)
        return 0
    return version if response.status == 200 else 0


async def _read(address: str) -> int | None:
    """Return the version that a node answers, None without an answer."""
    try:
        response = await http.exchange(address, GET, timeout_s=READ_TIMEOUT_S)
    except (OSError, EOFError):
        return None
    if response.status != 200:
        return None
    return int(json.loads(response.body)['Version'], 16)


async def _read_back(
    operator: outside.Operator, record: records.Record
) -> int | None:
    """Return the version that is read back within ``READ_BACK_S``."""
    until_s = time.monotonic() + READ_BACK_S
    while time.monotonic() < until_s:
        for address in operator.addresses:
            version = await _read(address)
            record.write('read_back', at=address, version=version)
            if version is not None:
                return version
        await asyncio.sleep(0.5)
    return None


def _end(
    deployment: deployments.Deployment,
    node: deployments.Node,
    record: records.Record,
    *,
    why: str,
) -> None:
    """Kill a control host, whose disk is lost with it."""
    node.process.kill()
    node.process.wait()
    shutil.rmtree(deployment.data_folder(node))
    record.write(why, node=node.name, ip=node.ip)


async def play(
    deployment: deployments.Deployment,
    record: records.Record,
    trouble: bool,
) -> bool:
    """Return whether what was acknowledged can't be read back."""
    operator = outside.Operator(
        addresses=deployment.control_addresses(), record=record
    )
    acknowledged = await _put(operator, record, 1)
    await deployment.wait_ready()
    await asyncio.sleep(3)
    acknowledged = max(acknowledged, await _put(operator, record, 2))
    if acknowledged < 2:
        raise case.NotRunError('no configuration was acknowledged')
    first, second, _third = deployment.controls
    if trouble:
        _end(deployment, first, record, why='machine_gone_for_good')
        await asyncio.sleep(DOWN_S)
        successor = deployment.replace_control(first)
        deployment.start_node(successor)
        record.write('successor_started', node=successor.name)
        operator.addresses = deployment.control_addresses()
    await asyncio.sleep(BETWEEN_LOSSES_S)
    acknowledged = max(acknowledged, await _put(operator, record, 3))
    if trouble:
        _end(deployment, second, record, why='disk_lost')
        await asyncio.sleep(DOWN_S)
        deployment.start_node(second)
        record.write('node_back', node=second.name)
    await asyncio.sleep(RECOVER_S)
    held = await _read_back(operator, record)
    record.write('counted', acknowledged=acknowledged, read_back=held)
    return held is None or held < acknowledged


if __name__ == '__main__':
    case.main(play, file=__file__, entries=1)
