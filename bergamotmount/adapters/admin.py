"""HTTP interface for the backend server's announcements and for operators."""

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
    """Body of the announcement that a backend server sends on start."""

    model_config = pydantic.ConfigDict(extra='forbid')

    service: Annotated[
        str,
        pydantic.Field(pattern='^[a-z][a-z0-9_-]{0,62}$'),
    ]
    slots: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    cold: bool = True


class AdminServer:
    """HTTP handlers for announcements, status, health checks and metrics."""

    def __init__(self, node: Node, registry: CollectorRegistry) -> None:
        """Serve ``node`` and the metrics of ``registry``."""
        self._node = node
        self._registry = registry

    def make_application(self) -> web.Application:
        """Return the application that serves the admin address."""
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

    async def announce(self, request: web.Request) -> web.Response:
        """Record that the backend server has started; return its lease."""
        try:
            announcement = Announcement.model_validate_json(
                await request.read(),
            )
        except pydantic.ValidationError as error:
            problems = describe_problems(error)
            return web.json_response({'problems': problems}, status=400)
        self._node.announce_server(
            announcement.service,
            announcement.slots,
            announcement.cold,
        )
        return self._lease_response()

    async def renew(self, request: web.Request) -> web.Response:
        """Renew the lease of the backend server."""
        if not self._node.renew_server():
            return web.json_response({'error': 'announce first'}, status=409)
        return self._lease_response()

    async def drain(self, request: web.Request) -> web.Response:
        """Send no new requests to the backend server."""
        self._node.lifecycle.drain()
        in_flight = self._node.runtime.admission.in_flight
        return web.json_response({'in_flight': in_flight})

    async def leave(self, request: web.Request) -> web.Response:
        """Record that the backend server has stopped."""
        self._node.lifecycle.leave()
        return web.json_response({})

    async def status(self, request: web.Request) -> web.Response:
        """Return the status of this node and its nonzero counters."""
        status = describe_node(self._node)
        status['counters'] = _nonzero_counters(self._registry)
        return web.json_response(status)

    async def policy(self, request: web.Request) -> web.Response:
        """Return the accepted policy state."""
        state = self._node.distribution.state
        return web.json_response(json.loads(state.to_bytes()))

    async def offset(self, request: web.Request) -> web.Response:
        """Return the log offset of the active policy."""
        offset = self._node.distribution.state.offset
        return web.json_response({'offset': offset})

    async def metrics(self, request: web.Request) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )

    async def healthz(self, request: web.Request) -> web.Response:
        """Answer the liveness probe."""
        return web.Response(text='ok\n')

    async def readyz(self, request: web.Request) -> web.Response:
        """Return 200 if the node has a policy and isn't stopping, else 503."""
        if self._node.is_stopping:
            return web.Response(text='stopping\n', status=503)
        if self._node.distribution.state.offset < 0:
            return web.Response(text='no policy yet\n', status=503)
        return web.Response(text='ok\n')

    def _lease_response(self) -> web.Response:
        lease_ms = self._node.distribution.policy.servers.lease_ms
        return web.json_response({'lease_ms': lease_ms})


def describe_node(node: Node) -> dict[str, object]:
    """Return the status of a node and its view of all members."""
    runtime = node.runtime
    services = sorted(node.members.services())
    return {
        'node': node.identity.node,
        'release': __version__,
        'newest_schema': NEWEST_SCHEMA,
        'server': {
            'state': str(runtime.lifecycle.state),
            'in_flight': runtime.admission.in_flight,
            'queued': runtime.admission.queued,
            'limit': runtime.admission.limit.current(),
            'service_ms': round(runtime.admission.service_time.current_ms(), 1),
        },
        'policy_offset': node.distribution.state.offset,
        'log_reachable': node.distribution.is_log_reachable,
        'is_log_reader': node.distribution.is_log_reader,
        'thresholds': {
            service: round(node.threshold_view.threshold_of(service), 3)
            for service in services
        },
        'members': [
            {**dataclasses.asdict(member), 'state': member.state.name.lower()}
            for member in node.members.member_by_node.values()
        ],
    }


def _nonzero_counters(
    registry: CollectorRegistry,
) -> dict[str, dict[str, float]]:
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
