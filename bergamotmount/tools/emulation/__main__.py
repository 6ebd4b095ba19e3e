"""Run scenarios of an emulated deployment and print the results."""

import argparse
import pathlib
import sys

from bergamotmount.settingserror import SettingsError
from bergamotmount.tools.emulation.model import (
    DEPLOYMENTS_DIR,
    Deployment,
    Scenario,
    read_deployment,
)
from bergamotmount.tools.emulation.report import format_report
from bergamotmount.tools.emulation.simulation import Simulation
from bergamotmount.tools.virtualloop import run_virtual

EXIT_BAD_INPUT = 2


async def run_scenario(
    deployment: Deployment,
    scenario: Scenario,
    seed: int,
) -> Simulation:
    """Run a scenario and return the finished simulation."""
    simulation = Simulation(deployment, scenario, seed)
    await simulation.run()
    return simulation


def main() -> None:
    """Run the scenarios named on the command line."""
    arguments = _parser().parse_args()
    path = pathlib.Path(arguments.deployment)
    if not path.suffix:
        path = DEPLOYMENTS_DIR / f'{path}.ini'
    try:
        deployment, scenario_by_name = read_deployment(path)
        names = arguments.scenario or list(scenario_by_name)
        scenarios = [_find_scenario(scenario_by_name, name) for name in names]
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_BAD_INPUT)
    for scenario in scenarios:
        simulation = run_virtual(
            run_scenario(deployment, scenario, arguments.seed)
        )
        sys.stdout.write(f'== {scenario.name}\n{format_report(simulation)}\n\n')
        sys.stdout.flush()


def _find_scenario(
    scenario_by_name: dict[str, Scenario],
    name: str,
) -> Scenario:
    scenario = scenario_by_name.get(name)
    if scenario is None:
        known_names = ', '.join(scenario_by_name)
        raise SettingsError(
            [f'unknown scenario {name!r}; known scenarios: {known_names}']
        )
    return scenario


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.emulation',
        description=__doc__,
    )
    parser.add_argument(
        'deployment',
        help='INI file, or the name of a bundled deployment',
    )
    parser.add_argument(
        '--scenario',
        action='append',
        metavar='NAME',
        help='scenario to run; may be repeated; default: all scenarios',
    )
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    main()
