"""Cost growth for docs/CAPACITY.md: bytes, processor time and memory.

The costs are measured in one process at several fleet sizes, with the
components and the codec of the node.
"""

import argparse
import dataclasses
import functools
import itertools
import json
import random
import resource
import subprocess
import sys
import time
from collections.abc import Callable

from bergamotmount import messages
from bergamotmount.acceptance import AcceptedState
from bergamotmount.clock import Clock
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.outcomes import Answered
from bergamotmount.reports import ThresholdReport
from bergamotmount.ring import Ring
from bergamotmount.routing import Router
from bergamotmount.wire.codec import decode, encode
from bergamotmount.wire.frames import HEADER_BYTES

SIZES = (100, 1000, 2900)
SERVICES = 150
OPERATIONS = 10
REPETITIONS = 2000
FINGER_REPETITIONS = 20

#: Length of the call chains in the target deployment.
CHAIN_DEPTH = 12

_US_PER_S = 1_000_000
_BODY = b'x' * 200


def make_member(number: int) -> Member:
    """Return a member with the names and addresses of a large fleet."""
    return Member(
        f'service{number % SERVICES}-{number}',
        f'10.0.{number // 250}.{number % 250}:7301',
        f'region-{number % 2}',
        f'fd-{number % 8}',
        1_700_000_000_000_000 + number,
        3,
        MemberState.SERVING,
        f'service{number % SERVICES}',
        50,
        f'10.0.{number // 250}.{number % 250}:7303',
    )


def cpu_time_us(
    action: Callable[[], object], repetitions: int = REPETITIONS
) -> float:
    """Return the mean processor time of ``action`` in microseconds."""
    action()
    started_s = time.process_time()
    for _ in range(repetitions):
        action()
    return (time.process_time() - started_s) * _US_PER_S / repetitions


def max_resident_kib() -> int:
    """Return the maximum resident memory of this process in KiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def make_members(size: int) -> Members:
    """Return a member table with ``size`` members."""
    members = Members(Clock(), make_member(0))
    for number in range(1, size):
        members.merge(make_member(number))
    return members


def measure_memory(size: int) -> int:
    """Return the resident KiB of a new process with ``size`` members.

    The process imports the daemon but doesn't run it.
    """
    code = (
        'import bergamotmount.daemon\n'
        'from bergamotmount.tools.bench_slopes import '
        'make_members, max_resident_kib\n'
        f'members = make_members({size})\n'
        'members.routable("service1")\n'
        'print(max_resident_kib())\n'
    )
    command = [sys.executable, '-c', code]
    return int(subprocess.check_output(command))


def measure_members() -> list[str]:
    """Measure the member table at several sizes."""
    return [line for size in SIZES for line in _measure_member_table(size)]


def _measure_member_table(size: int) -> list[str]:
    members = make_members(size)
    alive = members.alive()
    fingers = len(Ring(members.local_node, alive).fingers)
    fingers_us = cpu_time_us(
        functools.partial(Ring, members.local_node, alive),
        FINGER_REPETITIONS,
    )
    router = Router(Clock(), members, random.Random(1))
    pick_us = cpu_time_us(functools.partial(router.pick, 'service1', ()))
    return [
        f'fingers_{size} {fingers}',
        f'fingers_cpu_us_{size} {fingers_us:.1f}',
        f'route_cpu_us_{size} {pick_us:.2f}',
        f'merge_cpu_us_{size} {_merge_us(members):.1f}',
    ]


def _merge_us(members: Members) -> float:
    template = make_member(5)
    versions = itertools.count(template.version + 1)

    def merge() -> None:
        members.merge(dataclasses.replace(template, version=next(versions)))

    return cpu_time_us(merge)


def measure_messages() -> list[str]:
    """Measure bytes and processor time of each kind of message."""
    one_update = messages.Heartbeat(1, False, [make_member(1)], 7, 12)
    no_updates = messages.Heartbeat(1, False, [], 7, 12)
    many_updates = messages.Heartbeat(
        1,
        False,
        [make_member(number) for number in range(20)],
        7,
        12,
        1.0,
        {f'service{each}': ThresholdReport(2.5, 100) for each in range(10)},
    )
    return [
        *_measure_message('heartbeat', one_update),
        *_measure_message('heartbeat_20_news_10_thresholds', many_updates),
        *_measure_message(
            'call',
            messages.Call(1, 'r' * 24, 1.5, 900, 2, 's', 'op', body=_BODY),
        ),
        *_measure_message(
            'answer',
            messages.Answer(1, Answered(200, [], _BODY)),
        ),
        f'bytes_announcement {_size_of(one_update) - _size_of(no_updates)}',
    ]


def _measure_message(name: str, message: messages.Message) -> list[str]:
    kind, payload = encode(message)
    encode_us = cpu_time_us(functools.partial(encode, message))
    decode_us = cpu_time_us(functools.partial(decode, kind, payload))
    return [
        f'bytes_{name} {_size_of(message)}',
        f'cpu_us_{name} {encode_us + decode_us:.1f}',
    ]


def _size_of(message: messages.Message) -> int:
    return len(encode(message)[1]) + HEADER_BYTES


def measure_policy() -> list[str]:
    """Measure a policy change with the target's number of services."""
    state = AcceptedState()
    for number in range(SERVICES):
        state.apply(number, _make_record(number, None))
    offsets = iter(range(SERVICES, SERVICES + 1000))
    base_offset = [0]

    def apply_change() -> None:
        offset = next(offsets)
        state.apply(offset, _make_record(0, base_offset[0], offset))
        base_offset[0] = offset
        state.policy()

    change_us = cpu_time_us(apply_change, 20)
    return [
        f'bytes_configuration_change {len(_make_record(0, 0))}',
        f'cpu_us_configuration_change {change_us:.0f}',
        f'bytes_whole_state {len(state.to_bytes())}',
    ]


def _make_record(number: int, base_offset: int | None, salt: int = 0) -> bytes:
    is_deepest = number % CHAIN_DEPTH == CHAIN_DEPTH - 1
    operations = {
        f'operation{each}': {
            'level': 1,
            'idempotent': True,
            'callees': (
                [] if is_deepest else [f'service{number + 1}/operation{each}']
            ),
        }
        for each in range(OPERATIONS)
    }
    return json.dumps(
        {
            'schema': 2,
            'id': f'record-{number}-{salt}',
            'subject': f'service/service{number}',
            'based_on': base_offset,
            'body': {'operations': operations},
        }
    ).encode()


def main() -> None:
    """Measure everything and print a line for each figure."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args()
    lines = []
    for size in (1, *SIZES):
        lines.append(f'resident_kib_{size} {measure_memory(size)}')
    lines.extend(measure_members())
    lines.extend(measure_messages())
    lines.extend(measure_policy())
    sys.stdout.write(''.join(f'{line}\n' for line in lines))


if __name__ == '__main__':
    main()
