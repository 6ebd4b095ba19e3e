"""Stand-in of an application server beside a node."""

import asyncio
import json
import time

from review.standins.http import Message, ask, listen, pack, pack_response


class Server:
    """Runs requests, answers its status check and pings its node.

    ``runs`` holds the ids of the requests that it began to work on, with the
    time of each. Subclasses override ``answer``.
    """

    def __init__(self, record, node, instance: str, slots: int = 32) -> None:
        self.record = record
        self.node = node
        self.instance = instance
        self.slots = slots
        self.service = node.service
        self.work_s = 0.05
        self.is_leaving = False
        self.runs: list[tuple[str, float]] = []
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._pinging: asyncio.Task | None = None

    async def start(self) -> None:
        host, _, port = self.node.app_address.rpartition(':')
        self.listener = await listen(self._handle, host, int(port))

    def start_pings(self) -> None:
        self._pinging = asyncio.create_task(self._ping_regularly())

    def stop_pings(self) -> None:
        self._pinging.cancel()

    def ping_packed(self, sequence: int, state: str = 'ready') -> bytes:
        body = json.dumps(
            {
                'address': self.node.app_address,
                'born': self.born_ms,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.node.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': state,
                    'sequence': sequence,
                    'cold_left_s': 0,
                },
            }
        ).encode()
        return pack(
            f'PUT /bergamotmount/instances/{self.instance} HTTP/1.1',
            {
                'Host': self.node.control_address,
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
            },
            body,
        )

    async def ping(self) -> bool:
        self.sequence += 1
        answer = await ask(
            self.node.control_address, self.ping_packed(self.sequence), 1
        )
        is_acknowledged = answer is not None and answer.status == 200
        self.record.note(
            self.instance,
            'ping',
            sequence=self.sequence,
            acknowledged=is_acknowledged,
        )
        return is_acknowledged

    async def leave(self) -> bool:
        """Say that the server leaves, with DELETE."""
        packed = pack(
            f'DELETE /bergamotmount/instances/{self.instance} HTTP/1.1',
            {'Host': self.node.control_address},
        )
        answer = await ask(self.node.control_address, packed, 1)
        return answer is not None and answer.status == 200

    async def _ping_regularly(self) -> None:
        while True:
            await self.ping()
            await asyncio.sleep(self.node.heartbeat_s)

    async def _handle(self, connection, request: Message) -> None:
        if request.target == '/healthz':
            status = 503 if self.is_leaving else 200
            headers = {'X-Instance-Id': self.instance}
            connection.send(pack_response(status, headers))
            return
        target = request.headers.get('x-target-instance')
        if target not in (None, self.instance):
            headers = {'X-Instance-Id': self.instance}
            connection.send(pack_response(421, headers))
            return
        await self.answer(connection, request)

    async def answer(self, connection, request: Message) -> None:
        """Run a request and answer it."""
        async with self._free:
            self.begin_run(request)
            await asyncio.sleep(self.work_s)
        connection.send(self.success(request))

    def begin_run(self, request: Message) -> None:
        attempt = request.headers['x-attempt-id']
        self.runs.append((attempt, self.record.now_s()))
        self.record.note(self.instance, 'runs', attempt=attempt)

    def success(self, request: Message) -> bytes:
        attempt = request.headers['x-attempt-id']
        body = f'done {attempt}'.encode()
        return pack_response(200, self.own_headers(request), body)

    def shed(self, request: Message) -> bytes:
        attempt = request.headers['x-attempt-id']
        headers = {'X-Attempt-Id': attempt, 'X-Not-Executed': '1'}
        return pack_response(503, headers)

    def own_headers(self, request: Message) -> dict[str, str]:
        attempt = request.headers['x-attempt-id']
        return {
            'X-Attempt-Id': attempt,
            'X-Response-Stamp': f'{self.instance}.{len(self.runs)}',
            'X-Instance-Id': self.instance,
        }
