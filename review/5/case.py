"""A process that is starting gets SIGHUP, because its settings have changed.

The machine is stopped with SIGTERM and started again, as in planned work. Its
settings file changes while it starts. The process must not end by itself.
"""

import asyncio
import os
import signal

from review.standins import lab as labs
from review.standins.server import Server

ROUNDS = 5
AFTER_START_S = 0.1


async def case(lab: labs.Lab) -> bool:
    for number, zone in enumerate(('east', 'west', 'north'), 1):
        lab.add_node(f'node-{number}', zone, 'board')
    await lab.start([labs.route('view', 'board', 'safe')], ['board'])
    for node in lab.nodes:
        server = Server(lab.record, node, f'i-{node.name}')
        await server.start()
        server.start_pings()
    await asyncio.sleep(5)
    node = lab.nodes[0]
    crashes = 0
    for number in range(ROUNDS):
        node.send_signal(signal.SIGTERM)
        if await node.ended(7) is None:
            raise labs.NotRunError('the node did not stop')
        node.start()
        await asyncio.sleep(AFTER_START_S)
        if labs.is_troubled():
            node.send_signal(signal.SIGHUP)
        code = await node.ended(1)
        lab.record.say(f'round {number}: exit code {code}')
        if code is not None:
            crashes += 1
            node.start()
        await node.wait_ready()
    return not crashes


labs.run(case, os.path.dirname(os.path.abspath(__file__)))
