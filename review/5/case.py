"""A machine is stopped while a connection has several requests in flight.

A client sends four ``safe`` requests one behind the other on a kept
connection, before the first has been answered. Each has been passed on to a
server when the client's machine gets SIGTERM. Every one of them must be
answered on that connection.
"""

import asyncio
import os
import signal

from review.standins import lab as labs
from review.standins.http import Client
from review.standins.server import Server

ROUNDS = 5
PIPELINED = 4
WORK_S = 0.3


class PacedServer(Server):
    """Works for a time that grows with each request of a batch."""

    async def answer(self, connection, request) -> None:
        place = int(request.headers['x-attempt-id'].rpartition('-')[2])
        self.begin_run(request)
        await asyncio.sleep(WORK_S + 0.05 * place)
        connection.send(self.success(request))


async def case(lab: labs.Lab) -> bool:
    for number, zone in enumerate(('east', 'west', 'north'), 1):
        lab.add_node(f'node-{number}', zone, 'board')
    routes = [labs.route('view', 'board', 'safe', timeout_s=5)]
    await lab.start(routes, ['board'])
    servers = []
    for node in lab.nodes:
        server = PacedServer(lab.record, node, f'i-{node.name}')
        await server.start()
        server.start_pings()
        servers.append(server)
    await asyncio.sleep(5)
    lost = 0
    for number in range(ROUNDS):
        lost += await play_round(lab, servers, number)
    return not lost


async def play_round(lab: labs.Lab, servers, number: int) -> int:
    """Return how many requests were passed on and never answered."""
    node = lab.nodes[0]
    client = await Client.open(node.caller_address)
    attempts = [f'r{number}-{place}' for place in range(PIPELINED)]
    for attempt in attempts:
        client.send(labs.request('GET', 'view', attempt))
        lab.record.note('client', 'sends', attempt=attempt)
    async with asyncio.timeout(5):
        while not set(attempts) <= started(servers):
            await asyncio.sleep(0.01)
    if labs.is_troubled():
        node.send_signal(signal.SIGTERM)
    answered = set()
    for attempt in attempts:
        response = await client.read(6)
        status = None if response is None else response.status
        lab.record.note(
            'client',
            'answer',
            attempt=attempt,
            status=status,
            closes=response and response.headers.get('connection'),
        )
        if response is None:
            break
        answered.add(attempt)
    client.close()
    labs.require(bool(answered), 'not even the first request was answered')
    lost = (set(attempts) & started(servers)) - answered
    lab.record.say(f'round {number}: passed on and not answered {len(lost)}')
    if labs.is_troubled():
        if await node.ended(7) is None:
            raise labs.NotRunError('the node did not stop')
        node.start()
        await node.wait_ready()
        # The next stop falls into calm time again.
        await asyncio.sleep(5)
    return len(lost)


def started(servers) -> set[str]:
    return {attempt for server in servers for attempt, _ in server.runs}


labs.run(case, os.path.dirname(os.path.abspath(__file__)))
