"""Bare forward: the library path of two nodes without any decision.

A fixture for the latency benchmark. It uses the same libraries, codec and
frames as the nodes, so the difference to them is the cost of the decisions.
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
from bergamotmount.wire.tcp import PeerListener, TcpChannel, TcpDialer

_DEADLINE_MS = 2000


class BareEgress:
    """Takes HTTP requests and sends them on over one connection."""

    def __init__(self, channel: TcpChannel) -> None:
        """Send all requests over ``channel``."""
        self._channel = channel
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self._receiving = asyncio.create_task(self._receive())

    async def respond(self, http: web.BaseRequest) -> web.Response:
        """Forward one request."""
        call = Call(
            next(self._numbers),
            'root',
            1,
            _DEADLINE_MS,
            0,
            'echo',
            'run',
            http.method,
            _flat(http.headers),
            await http.content.read(-1),
        )
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[call.attempt] = waiting
        self._channel.send(call)
        answer = await waiting
        return web.Response(
            status=answer.outcome.status,
            body=answer.outcome.body,
        )

    async def _receive(self) -> None:
        while True:
            answer = await self._channel.receive()
            self._waiting.pop(answer.attempt).set_result(answer)


class BareIngress:
    """Takes calls from a connection and runs them on the server by HTTP."""

    def __init__(self, url: str) -> None:
        """Run calls at ``url``."""
        self._url = url
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def serve(self, channel: TcpChannel) -> None:
        """Serve one connection."""
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
            outcome = Answered(response.status, _flat(response.headers), body)
            channel.send(Answer(call.attempt, outcome))


def _flat(given) -> list[str]:
    return [part for pair in given.items() for part in pair]


async def _echo(http: web.BaseRequest) -> web.Response:
    return web.Response(
        body=await http.content.read(-1),
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
    """Serve one role until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('role', choices=('egress', 'ingress', 'echo'))
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', default='')
    arguments = parser.parse_args()
    run_until_signal(lambda: _start(arguments))


if __name__ == '__main__':
    main()
