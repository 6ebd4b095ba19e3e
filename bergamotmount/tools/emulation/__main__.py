"""Play a scenario of a deployment and print what it gave."""

import argparse
import pathlib
import sys

from bergamotmount.settingserror import SettingsError
from bergamotmount.tools.emulation.model import (
    DEPLOYMENTS,
    Deployment,
    Scenario,
    read_deployment,
)
from bergamotmount.tools.emulation.report import table
from bergamotmount.tools.emulation.world import World
from bergamotmount.tools.virtualloop import run_virtual

EXIT_BAD_INPUT = 2


async def play(deployment: Deployment, scenario: Scenario, seed: int) -> World:
    """Play a scenario and return the world after it."""
    world = World(deployment, scenario, seed)
    await world.run()
    return world


def main() -> None:
    """Play the scenarios that the command line names."""
    arguments = _parser().parse_args()
    path = pathlib.Path(arguments.deployment)
    if not path.suffix:
        path = DEPLOYMENTS / f'{path}.ini'
    try:
        deployment, scenario_by_name = read_deployment(path)
        names = arguments.scenario or list(scenario_by_name)
        scenarios = [_named(scenario_by_name, name) for name in names]
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_BAD_INPUT)
    for scenario in scenarios:
        world = run_virtual(play(deployment, scenario, arguments.seed))
        sys.stdout.write(f'== {scenario.name}\n{table(world)}\n\n')
        sys.stdout.flush()


def _named(scenario_by_name: dict[str, Scenario], name: str) -> Scenario:
    scenario = scenario_by_name.get(name)
    if scenario is None:
        known = ', '.join(scenario_by_name)
        raise SettingsError([f'no scenario {name!r}; there are: {known}'])
    return scenario


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.emulation',
        description=__doc__,
    )
    parser.add_argument(
        'deployment',
        help='INI file, or the name of a deployment that comes along',
    )
    parser.add_argument(
        '--scenario',
        action='append',
        metavar='NAME',
        help='scenario of the file; may be repeated; by default all',
    )
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    main()
