"""HTTP towards the backend server's announcements and the operators."""

import dataclasses
import json
from typing import Annotated

import pydantic
from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from bergamotmount import __version__
from bergamotmount.node import Node
from bergamotmount.records import NEWEST_SCHEMA, describe_problems


class Announcement(pydantic.BaseModel):
    """What a backend server tells when it comes up."""

    model_config = pydantic.ConfigDict(extra='forbid')

    service: Annotated[
        str,
        pydantic.Field(pattern='^[a-z][a-z0-9_-]{0,62}$'),
    ]
    slots: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    cold: bool = True


class AdminServer:
    """Serves announcements, status, health and metrics."""

    def __init__(self, node: Node, registry: CollectorRegistry) -> None:
        """Serve for ``node`` and the metrics in ``registry``."""
        self._node = node
        self._registry = registry

    def make_application(self) -> web.Application:
        """Return the application to be run on the admin address."""
        application = web.Application()
        application.add_routes(
            [
                web.post('/server/announce', self.announce),
                web.post('/server/renew', self.renew),
                web.post('/server/drain', self.drain),
                web.post('/server/leave', self.leave),
                web.get('/status', self.status),
                web.get('/policy', self.policy),
                web.get('/policy/offset', self.offset),
                web.get('/metrics', self.metrics),
                web.get('/healthz', self.healthz),
                web.get('/readyz', self.readyz),
            ]
        )
        return application

    async def announce(self, http: web.Request) -> web.Response:
        """Take the announcement of a backend server that came up."""
        try:
            told = Announcement.model_validate_json(await http.read())
        except pydantic.ValidationError as error:
            problems = describe_problems(error)
            return web.json_response({'problems': problems}, status=400)
        self._node.announce_server(told.service, told.slots, told.cold)
        return self._lease()

    async def renew(self, http: web.Request) -> web.Response:
        """Extend the lease of the backend server."""
        if not self._node.renew_server():
            return web.json_response({'error': 'announce first'}, status=409)
        return self._lease()

    async def drain(self, http: web.Request) -> web.Response:
        """Stop new work to the backend server."""
        self._node.lifecycle.drain()
        in_flight = self._node.gate.admission.in_flight
        return web.json_response({'in_flight': in_flight})

    async def leave(self, http: web.Request) -> web.Response:
        """Note that the backend server has stopped."""
        self._node.lifecycle.leave()
        return web.json_response({})

    async def status(self, http: web.Request) -> web.Response:
        """Return what this node knows, for operators."""
        described = describe(self._node)
        described['counters'] = _counters(self._registry)
        return web.json_response(described)

    async def policy(self, http: web.Request) -> web.Response:
        """Return the accepted state, for operators."""
        state = self._node.distribution.state
        return web.json_response(json.loads(state.to_bytes()))

    async def offset(self, http: web.Request) -> web.Response:
        """Return how far the policy in force reaches."""
        offset = self._node.distribution.state.offset
        return web.json_response({'offset': offset})

    async def metrics(self, http: web.Request) -> web.Response:
        """Return all metrics."""
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )

    async def healthz(self, http: web.Request) -> web.Response:
        """Tell that the process works."""
        return web.Response(text='ok\n')

    async def readyz(self, http: web.Request) -> web.Response:
        """Tell whether the node has policy and serves."""
        if self._node.is_stopping:
            return web.Response(text='stopping\n', status=503)
        if self._node.distribution.state.offset < 0:
            return web.Response(text='no policy yet\n', status=503)
        return web.Response(text='ok\n')

    def _lease(self) -> web.Response:
        lease_ms = self._node.distribution.policy.servers.lease_ms
        return web.json_response({'lease_ms': lease_ms})


def describe(node: Node) -> dict[str, object]:
    """Return a node's view of itself and of the others as plain data."""
    gate = node.gate
    services = sorted(node.members.services())
    return {
        'node': node.identity.node,
        'release': __version__,
        'newest_schema': NEWEST_SCHEMA,
        'server': {
            'state': str(gate.lifecycle.state),
            'in_flight': gate.admission.in_flight,
            'queued': gate.admission.queued,
            'limit': gate.admission.limit.current(),
            'service_ms': round(gate.admission.service_time.current_ms(), 1),
        },
        'policy_offset': node.distribution.state.offset,
        'log_reachable': node.distribution.is_log_reachable,
        'is_log_reader': node.distribution.is_log_reader,
        'thresholds': {
            service: round(node.threshold_view.current(service), 3)
            for service in services
        },
        'members': [
            {**dataclasses.asdict(member), 'state': member.state.name.lower()}
            for member in node.members.member_by_node.values()
        ],
    }


def _counters(registry: CollectorRegistry) -> dict[str, dict[str, float]]:
    """Return the counters that aren't zero, by name and reason."""
    counts_by_name: dict[str, dict[str, float]] = {}
    for metric in registry.collect():
        if metric.type != 'counter':
            continue
        name = metric.name.removeprefix('bergamotmount_')
        counts = {
            sample.labels.get('reason', 'all'): sample.value
            for sample in metric.samples
            if sample.value and sample.name.endswith('_total')
        }
        if counts:
            counts_by_name[name] = counts
    return counts_by_name
