"""Demo: load on one deployment, with a node killed during the run."""

import argparse
import asyncio
import sys
import time

from bergamotmount.tools.deployments import DEPLOYMENT_BY_NAME, Deployment
from bergamotmount.tools.fleet import Fleet
from bergamotmount.tools.load import LoadGenerator, LoadPlan
from bergamotmount.tools.process import run_interruptibly
from bergamotmount.tools.publish import publish_deployment
from bergamotmount.tools.summary import Summary, summarize

#: Requests a second, and seconds of load before and after the kill.
REQUESTS_PER_S = 60
BEFORE_KILL_S = 8
AFTER_KILL_S = 10

_started_s = time.monotonic()


def print_progress(text: str) -> None:
    """Print one line with the time since the start."""
    elapsed_s = time.monotonic() - _started_s
    sys.stdout.write(f'[{elapsed_s:5.1f} s] {text}\n')
    sys.stdout.flush()


async def run(deployment: Deployment) -> Summary:
    """Run the demo and return its summary."""
    fleet = Fleet(deployment)
    try:
        await _start(fleet)
        return await _run_load(fleet)
    finally:
        print_progress('stopping all processes')
        await fleet.stop()


async def _start(fleet: Fleet) -> None:
    count = len(fleet.node_by_name)
    print_progress(
        f'{fleet.deployment.name}: starting the log and {count} nodes'
    )
    await fleet.start_all()
    print_progress('publishing the policy with bergamotmountctl')
    await publish_deployment(fleet)
    await fleet.wait_ready()
    print_progress(
        'the policy is active on every node; all backend servers are serving'
    )


async def _run_load(fleet: Fleet) -> Summary:
    deployment = fleet.deployment
    plan = LoadPlan(deployment.operation_by_name, deployment.mix)
    entry_by_node = {
        name: node.callers for name, node in fleet.node_by_name.items()
    }
    load = LoadGenerator(plan, list(entry_by_node.values()), seed=1)
    print_progress(
        f'{REQUESTS_PER_S} requests a second through chains of calls'
    )
    await load.run(REQUESTS_PER_S, BEFORE_KILL_S)
    killed = list(entry_by_node)[-1]
    print_progress(f'killing node {killed}')
    await fleet.kill(killed)
    load.entries.remove(entry_by_node[killed])
    await load.run(REQUESTS_PER_S, AFTER_KILL_S)
    await load.finish()
    await load.close()
    return summarize(deployment, load.samples, await fleet.execution_counts())


def print_summary(summary: Summary) -> None:
    """Print the summary; the format of its last six lines is fixed."""
    sys.stdout.write(
        '\n'
        'Each request is a chain of calls. Completed: answered in full.\n'
        'Refused: reported as not run. Unknown: reported as unknown, or a\n'
        'call further down failed. Doubled and lost requests are counted\n'
        'from the executions that the backend servers recorded.\n\n'
        f'sent {summary.sent}\n'
        f'completed {summary.completed}\n'
        f'refused {summary.refused}\n'
        f'unknown {summary.unknown + summary.failed}\n'
        f'doubled {summary.doubled}\n'
        f'lost {summary.lost}\n',
    )


def main() -> None:
    """Run the demo; exit with 1 if a request was doubled or lost."""
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
