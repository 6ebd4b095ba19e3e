"""One server sheds a part of its requests, and some second answers are late.

The server turns away a part of its requests (503 with ``X-Not-Executed``), its
status check is good. For a small part of its answers a second copy arrives
late, at the point where the next answer on that connection is expected. No
order may run twice, and none that has run may be answered with 503 or 429.
"""

import asyncio
import collections
import os
import random

from review.standins import lab as labs
from review.standins.http import ask
from review.standins.server import Server

SHED_SHARE = 0.22
LATE_SHARE = 0.03
CYCLES = 11
SHEDDING_S = 6.4
LATE_S = 4.9
PAUSE_S = 1.5
THINK_S = 0.005
#: Zones of the eight servers; the first one is troubled.
ZONES = ('east', *('west', 'north', 'south') * 2, 'west')
PROMISES = (408, 421, 429, 503)


class OrderServer(Server):
    """May shed requests, and hold back a second copy of an answer."""

    sheds = False
    doubles = False

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        rng = random.Random(7)
        self.to_shed = labs.Portion(SHED_SHARE, rng)
        self.to_double = labs.Portion(LATE_SHARE, rng)

    async def answer(self, connection, request) -> None:
        if connection.held:
            self.record.note(
                self.instance,
                'second answer arrives',
                during=request.headers['x-attempt-id'],
            )
            connection.send(connection.held)
            connection.held = b''
        if self.sheds and self.to_shed.pick():
            self.record.note(
                self.instance, 'sheds', attempt=request.headers['x-attempt-id']
            )
            self._answer(connection, self.shed(request))
            return
        async with self._free:
            self.begin_run(request)
            await asyncio.sleep(self.work_s)
        self._answer(connection, self.success(request))

    def _answer(self, connection, packed: bytes) -> None:
        connection.send(packed)
        if self.doubles and self.to_double.pick():
            connection.held = packed


async def case(lab: labs.Lab) -> bool:
    for number, zone in enumerate(ZONES):
        lab.add_node(f'orders-{number}', zone, 'orders')
    routes = [labs.route('order', 'orders', 'non_idempotent', max_attempts=1)]
    await lab.start(routes, ['orders'])
    servers = []
    for node in lab.nodes:
        server = OrderServer(lab.record, node, f'i-{node.name}')
        server.work_s = 0.02
        await server.start()
        server.start_pings()
        servers.append(server)
    await asyncio.sleep(5)
    statuses: dict[str, int | None] = {}
    sender = asyncio.create_task(send_in_turn(lab, lab.nodes[0], statuses))
    troubled = servers[0]
    for _ in range(CYCLES):
        await play_cycle(troubled)
    sender.cancel()
    await asyncio.sleep(1)
    return judge(lab, troubled, servers, statuses)


async def play_cycle(server: OrderServer) -> None:
    server.sheds = server.doubles = labs.is_troubled()
    await asyncio.sleep(LATE_S)
    server.doubles = False
    await asyncio.sleep(SHEDDING_S - LATE_S)
    server.sheds = False
    await asyncio.sleep(PAUSE_S)


def judge(lab, troubled, servers, statuses) -> bool:
    runs = collections.Counter(
        attempt for server in servers for attempt, _ in server.runs
    )
    labs.require(len(runs) > len(statuses) / 2, 'hardly any order ran')
    twice = sorted(each for each, count in runs.items() if count > 1)
    refused = sorted(
        attempt
        for attempt, status in statuses.items()
        if status in PROMISES and runs[attempt]
    )
    lab.record.say(
        f'orders sent {len(statuses)}, run {len(runs)}; second answers '
        f'{troubled.to_double.picked} of {troubled.to_double.seen}, sheds '
        f'{troubled.to_shed.picked} of {troubled.to_shed.seen}; '
        f'run twice {twice}; refused though run {refused}'
    )
    return not twice and not refused


async def send_in_turn(lab, node, statuses) -> None:
    """Be a client that sends its next order after the last answer."""
    number = 0
    while True:
        number += 1
        attempt = f'order-{number}'
        statuses[attempt] = None
        answer = await ask(
            node.caller_address, labs.request('POST', 'order', attempt), 6
        )
        statuses[attempt] = None if answer is None else answer.status
        lab.record.note(
            'client', 'answer', attempt=attempt, status=statuses[attempt]
        )
        await asyncio.sleep(THINK_S)


labs.run(case, os.path.dirname(os.path.abspath(__file__)))
