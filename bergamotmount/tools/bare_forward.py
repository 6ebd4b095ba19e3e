"""Bare forward: the data path of two nodes without admission or routing.

This is the baseline of the latency benchmark. It uses the same libraries,
codec and frames as the nodes, so the difference between the two is the cost
of the nodes' decisions.
"""

import argparse
import asyncio
import itertools

import aiohttp
from aiohttp import web  # noqa: WPS458

from bergamotmount.counters import Counters
from bergamotmount.messages import Answer, Call
from bergamotmount.outcomes import Answered
from bergamotmount.tools.process import Closer, run_until_signal, start_site
from bergamotmount.wire.peerlistener import PeerListener
from bergamotmount.wire.tcp import TcpChannel, TcpDialer

_DEADLINE_MS = 2000


class BareEgress:
    """Forwards HTTP requests over one connection to the ingress."""

    def __init__(self, channel: TcpChannel) -> None:
        """Start to receive answers from ``channel``."""
        self._channel = channel
        self._attempt_numbers = itertools.count()
        self._future_by_attempt: dict[int, asyncio.Future[Answer]] = {}
        self._receive_task = asyncio.create_task(self._receive())

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Forward one request and return its answer."""
        call = Call(
            next(self._attempt_numbers),
            'root',
            1,
            _DEADLINE_MS,
            0,
            'echo',
            'run',
            request.method,
            _flatten(request.headers),
            await request.content.read(-1),
        )
        future = asyncio.get_running_loop().create_future()
        self._future_by_attempt[call.attempt] = future
        self._channel.send(call)
        answer = await future
        return web.Response(
            status=answer.outcome.status,
            body=answer.outcome.body,
        )

    async def _receive(self) -> None:
        while True:
            answer = await self._channel.receive()
            self._future_by_attempt.pop(answer.attempt).set_result(answer)


class BareIngress:
    """Runs calls that it receives on the backend server over HTTP."""

    def __init__(self, url: str) -> None:
        """Send all calls to ``url``."""
        self._url = url
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def serve(self, channel: TcpChannel) -> None:
        """Run the calls of one connection."""
        while True:
            call = await channel.receive()
            asyncio.create_task(self._run(channel, call))  # noqa: RUF006

    async def _run(self, channel: TcpChannel, call: Call) -> None:
        async with self._session.request(
            call.method,
            self._url,
            data=call.body,
            headers={'Content-Type': 'application/json'},
        ) as response:
            body = await response.read()
            outcome = Answered(
                response.status, _flatten(response.headers), body
            )
            channel.send(Answer(call.attempt, outcome))


def _flatten(headers) -> list[str]:
    return [part for pair in headers.items() for part in pair]


async def _echo(request: web.BaseRequest) -> web.Response:
    return web.Response(
        body=await request.content.read(-1),
        content_type='application/json',
    )


async def _start(arguments: argparse.Namespace) -> list[Closer]:
    counters = Counters()
    if arguments.role == 'ingress':
        ingress = BareIngress(arguments.target)
        listener = PeerListener(ingress.serve, counters)
        await listener.start(arguments.listen)
        return [listener.close, ingress.close]
    respond = _echo
    if arguments.role == 'egress':
        channel = await TcpDialer(counters).open(arguments.target)
        respond = BareEgress(channel).respond
    server = web.Server(respond, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0)
    return [await start_site(runner, arguments.listen)]


def main() -> None:
    """Serve one role until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('role', choices=('egress', 'ingress', 'echo'))
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', default='')
    arguments = parser.parse_args()
    run_until_signal(lambda: _start(arguments))


if __name__ == '__main__':
    main()
