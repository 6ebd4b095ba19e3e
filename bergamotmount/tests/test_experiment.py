"""Tests of the drawn deployments and of the variants of experiments."""

import pathlib
import tempfile
import unittest

from bergamotmount.tools.emulation.model import Deployment
from bergamotmount.tools.experiment.drawn import SECONDS, draw
from bergamotmount.tools.experiment.resultfile import Job, ResultFile
from bergamotmount.tools.experiment.variants import VARIANT_BY_NAME

SEEDS = range(1, 60)


class DrawnDeploymentTest(unittest.TestCase):
    """Drawn deployments can be served, and differ widely."""

    def test_same_seed_draws_the_same(self):
        """A finding must be repeatable by its seed."""
        self.assertEqual(draw(7), draw(7))
        self.assertNotEqual(draw(7), draw(8))

    def test_calls_lead_to_services_of_the_deployment(self):
        """A call to nowhere would fail all requests above it."""
        for seed in SEEDS:
            deployment, scenario = draw(seed)
            with self.subTest(seed=seed):
                self.check_kinds(deployment)
                names = {*deployment.service_by_name, ''}
                for event in scenario.events:
                    self.assertLess(event.start_s, event.end_s)
                    self.assertLessEqual(event.end_s, SECONDS)
                    is_cut = event.effect == 'cut'
                    self.assertTrue(is_cut or event.where in names)

    def check_kinds(self, deployment: Deployment):
        """Check the services and calls of all kinds."""
        for kind in deployment.kind_by_name.values():
            self.assertIn(kind.service, deployment.service_by_name)
            if kind.calls is not None:
                self.assertIn(kind.calls.kind, deployment.kind_by_name)
        roots = [
            kind for kind in deployment.kind_by_name.values() if kind.share
        ]
        self.assertGreater(len(roots), 1)
        self.assertGreater(deployment.rate, 0)


class ResultFileTest(unittest.TestCase):
    """Results outlive a run that is cut off."""

    def test_run_goes_on(self):
        """A run of half an hour was cut off with nothing to show."""
        job = Job('base', 'fleet:calm', 1)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'run.jsonl'
            ResultFile(path).add(job, 0.5)
            with path.open('a', encoding='utf-8') as lines:
                lines.write('{"variant": "ba')
            self.assertEqual(ResultFile(path).worth_by_job, {job: 0.5})


class VariantTest(unittest.TestCase):
    """Each variant replaces something that the product still has."""

    def test_names_are_documented_by_their_functions(self):
        """A renamed function must not leave a variant without an effect."""
        for name, change in VARIANT_BY_NAME.items():
            self.assertEqual(change.__name__, f'_{name}')
