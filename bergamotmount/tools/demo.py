"""Demo: one deployment of the brief, with a node killed on the way."""

import argparse
import asyncio
import sys
import time

from bergamotmount.tools.deployments import DEPLOYMENT_BY_NAME, Deployment
from bergamotmount.tools.fleet import Fleet
from bergamotmount.tools.load import Load, LoadPlan
from bergamotmount.tools.process import run_interruptibly
from bergamotmount.tools.publish import publish_deployment
from bergamotmount.tools.summary import Summary, summarize

#: Requests a second, and how long before and after the kill.
RATE = 60
BEFORE_KILL_S = 8
AFTER_KILL_S = 10

_started_s = time.monotonic()


def say(text: str) -> None:
    """Print one line of progress."""
    elapsed_s = time.monotonic() - _started_s
    sys.stdout.write(f'[{elapsed_s:5.1f} s] {text}\n')
    sys.stdout.flush()


async def run(deployment: Deployment) -> Summary:
    """Run the demo and return its summary."""
    fleet = Fleet(deployment)
    try:
        await _start(fleet)
        return await _drive(fleet)
    finally:
        say('stopping all processes')
        await fleet.stop()


async def _start(fleet: Fleet) -> None:
    count = len(fleet.node_by_name)
    say(f'{fleet.deployment.name}: starting the log and {count} nodes')
    await fleet.start_all()
    say('publishing the policy with bergamotmountctl')
    await publish_deployment(fleet)
    await fleet.wait_ready()
    say('policy is in force on every node, all backend servers serve')


async def _drive(fleet: Fleet) -> Summary:
    deployment = fleet.deployment
    plan = LoadPlan(deployment.operation_by_name, deployment.mix)
    entry_by_node = {
        name: node.callers for name, node in fleet.node_by_name.items()
    }
    load = Load(plan, list(entry_by_node.values()), seed=1)
    say(f'{RATE} requests a second, through chains of calls')
    await load.run(RATE, BEFORE_KILL_S)
    victim = list(entry_by_node)[-1]
    say(f'killing node {victim}')
    await fleet.kill(victim)
    load.entries.remove(entry_by_node[victim])
    await load.run(RATE, AFTER_KILL_S)
    await load.finish()
    await load.close()
    return summarize(deployment, load.samples, await fleet.truth())


def print_summary(summary: Summary) -> None:
    """Print the summary; its last six lines have a fixed form."""
    sys.stdout.write(
        '\n'
        'Each request is a chain of calls. Completed: whole answer. Refused:\n'
        'told that it was not run. Unknown: told that nobody can know, or\n'
        'failed further down. Doubled and lost are counted by the backend\n'
        "servers' own record.\n\n"
        f'sent {summary.sent}\n'
        f'completed {summary.completed}\n'
        f'refused {summary.refused}\n'
        f'unknown {summary.unknown + summary.failed}\n'
        f'doubled {summary.doubled}\n'
        f'lost {summary.lost}\n',
    )


def main() -> None:
    """Run the demo and exit with 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        '--deployment',
        choices=sorted(DEPLOYMENT_BY_NAME),
        default='adomako',
    )
    arguments = parser.parse_args()
    deployment = DEPLOYMENT_BY_NAME[arguments.deployment]
    summary = asyncio.run(run_interruptibly(run(deployment)))
    if summary is None:
        sys.exit(130)
    print_summary(summary)
    sys.exit(1 if summary.doubled or summary.lost else 0)


if __name__ == '__main__':
    main()
