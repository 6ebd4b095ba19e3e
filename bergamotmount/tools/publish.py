"""Publishes the policy of a deployment with ``bergamotmountctl``."""

import asyncio
import json
import os
import sys
import tempfile

from bergamotmount.tools.deployments import DemoOperation
from bergamotmount.tools.fleet import Fleet

#: Maximum number of retries that one client request may cause.
RETRIES_PER_REQUEST = 3

_IMPORTANCE = ('important', 'normal', 'low', 'batch')
_MS_PER_SECOND = 1000


async def publish_deployment(fleet: Fleet) -> None:
    """Publish all records; raise ``RuntimeError`` if one isn't accepted.

    The first service is published in schema 1 and the others in schema 2, so
    both schema versions are active at the same time.
    """
    documents = [
        {
            'schema': 2,
            'subject': 'retries',
            'body': {'per_request': RETRIES_PER_REQUEST, 'ratio': 0.1},
        },
        {
            'schema': 2,
            'subject': 'servers',
            'body': {
                'slow_start_ms': 500,
                'lease_ms': 4000,
                'drain_ms': 10_000,
            },
        },
    ]
    for index, service in enumerate(fleet.deployment.service_by_name):
        operations = fleet.deployment.operations_of(service)
        if not operations:
            continue
        schema = 1 if index == 0 else 2
        documents.append(
            {
                'schema': schema,
                'subject': f'service/{service}',
                'body': _service_body(schema, operations),
            }
        )
    for document in documents:
        await publish(fleet, document)


async def publish(fleet: Fleet, document: dict) -> None:
    """Publish one record with ``bergamotmountctl publish``."""
    admin = next(iter(fleet.node_by_name.values())).admin
    with tempfile.TemporaryDirectory() as directory:
        path = os.path.join(directory, 'record.json')
        with open(path, 'w', encoding='utf-8') as sink:
            json.dump(document, sink)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bergamotmount.ctl',
            '--log',
            fleet.log_url,
            '--node',
            admin,
            'publish',
            '--based-on',
            'newest',
            path,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f'publish failed: {output.decode()}')


def _service_body(schema: int, operations: dict[str, DemoOperation]) -> dict:
    to_body = _operation_v1 if schema == 1 else _operation_v2
    return {
        'operations': {
            name: to_body(operation) for name, operation in operations.items()
        },
    }


def _operation_v1(operation: DemoOperation) -> dict:
    return {
        'importance': _IMPORTANCE[operation.level],
        'repeat': operation.idempotent,
        'calls': list(operation.callees),
        'timeout_s': operation.timeout_ms / _MS_PER_SECOND,
    }


def _operation_v2(operation: DemoOperation) -> dict:
    return {
        'level': operation.level,
        'idempotent': operation.idempotent,
        'callees': list(operation.callees),
        'timeout_ms': operation.timeout_ms,
    }
