"""An operator takes away the last API key: who may still send?"""

import asyncio

from review.support import case
from review.support import deployment as deployments
from review.support import http
from review.support import outside
from review.support import record as records

KEY = 'tnfzs989anu6wsjnbanf'
NEVER_HELD = 'a-key-that-no-configuration-ever-held'
# Bounds.ConfigApply is 2.5 s; the rest is more than Contact.
SETTLED_S = 6.0
ROUNDS = 5


def _configuration(version: int, *keys: str) -> bytes:
    return outside.configuration(
        version,
        routes={
            'booking': outside.route(
                'planner', '/booking/', Kind='unsafe', Attempts=1
            )
        },
        services={'planner': outside.service()},
        tenants={'crew': outside.tenant(*keys)},
    )


async def _ask(
    deployment: deployments.Deployment,
    record: records.Record,
    key: str | None,
) -> list[str]:
    """Send requests with a key to every entry host; return their ids."""
    names = []
    for node in deployment.fronts * ROUNDS:
        name, data = outside.request(
            host='pans.example',
            path='/booking/1',
            method='POST',
            body=b'batch',
            key=key,
        )
        response = await http.exchange(
            deployment.front_address(node), data, timeout_s=4
        )
        record.write(
            'answered',
            request=name,
            node=node.name,
            key=key,
            status=response.status,
        )
        names.append(name)
    return names


async def play(
    deployment: deployments.Deployment,
    record: records.Record,
    trouble: bool,
) -> bool:
    """Return whether requests without a right ran after the change."""
    controls = deployment.control_addresses()
    operator = outside.Operator(addresses=controls, record=record)
    await operator.order('/rpc?call=config.put', _configuration(1, KEY))
    server = outside.Server(
        service='planner',
        ip=deployment.server_ip,
        zone='north-a',
        controls=controls,
        record=record,
        behaviour=outside.answer_after(0.02),
    )
    await server.start()
    await deployment.wait_ready()
    await asyncio.sleep(3)
    before = await _ask(deployment, record, KEY)
    if not {name for _at_s, name in server.ran} & set(before):
        raise case.NotRunError('no request ran before the change')
    kept = () if trouble else (KEY,)
    response = await operator.order(
        '/rpc?call=config.put', _configuration(2, *kept)
    )
    if response.status != 200:
        raise case.NotRunError('the change was not acknowledged')
    await asyncio.sleep(SETTLED_S)
    forbidden = await _ask(deployment, record, NEVER_HELD)
    forbidden += await _ask(deployment, record, None)
    if trouble:
        forbidden += await _ask(deployment, record, KEY)
    ran = {name for _at_s, name in server.ran} & set(forbidden)
    record.write('counted', asked=len(forbidden), ran=len(ran))
    await server.stop()
    return bool(ran)


if __name__ == '__main__':
    case.main(play, file=__file__)
