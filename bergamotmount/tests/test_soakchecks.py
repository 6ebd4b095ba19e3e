"""Tests of the soak's checks: each finds what it is for, and nothing else."""

import unittest

from bergamotmount.tools.soak.checks import broken_promises
from bergamotmount.tools.soak.truth import Arrival, Disturbance, Sent, Truth


class CheckTestCase(unittest.TestCase):
    """One good soak, in which a test breaks one promise."""

    def setUp(self) -> None:
        self.truth = Truth(recovered_share=1)
        self.truth.published_s_by_version = {1: 0, 2: 20}
        for number in range(200):
            self.add(f'good-{number}', sent_s=number / 5, runs=1)

    def add(
        self,
        request_id: str,
        *,
        sent_s: float = 10,
        path: str = '/front/order/1',
        status: int = 200,
        runs: int = 0,
        life: int = 1,
    ) -> Sent:
        may_repeat = not path.startswith('/front/order')
        sent = Sent(request_id, path, 'host-1', life, may_repeat, sent_s)
        sent.status = status
        sent.answered_s = sent_s + 0.1
        sent.is_whole = status == 200
        self.truth.sent_by_id[request_id] = sent
        self.truth.requested['front'].append(sent_s)
        for number in range(runs):
            self.arrive(request_id, sent_s + number / 100, number > 0)
        return sent

    def arrive(
        self,
        request_id: str,
        arrived_s: float,
        is_repeat: bool = False,
        is_run: bool = True,
    ) -> Arrival:
        arrival = Arrival(
            request_id,
            'front',
            'host-1',
            'i-1',
            arrived_s,
            is_run,
            is_repeat,
            arrived_s + 0.05,
        )
        self.truth.arrivals_by_id[request_id].append(arrival)
        return arrival

    def disturb(self, what: str, start_s: float, *, is_planned: bool) -> None:
        self.truth.disturbances.append(
            Disturbance(what, 'host-1', start_s, start_s + 1, is_planned),
        )

    def check(self, *wanted: str) -> None:
        found = broken_promises(self.truth)
        self.assertEqual(len(found), len(wanted), found)
        for line, words in zip(found, wanted, strict=True):
            self.assertIn(words, line)


class RequestCheckTest(CheckTestCase):
    """Promises to the callers of single requests."""

    def test_a_good_soak(self):
        self.check()

    def test_doubled(self):
        self.add('bad', runs=2)
        self.check('doubled')

    def test_a_repeat_that_is_allowed(self):
        self.add('fine', path='/front/read/1', runs=2)
        self.check()

    def test_run_though_refused(self):
        self.add('bad', status=503, runs=1)
        self.check('run though refused')

    def test_refused_by_a_server(self):
        self.add('fine', status=503)
        self.arrive('fine', 10, is_run=False)
        self.check()

    def test_not_the_whole_answer(self):
        self.add('bad', runs=1).is_whole = False
        self.check('not its whole answer')

    def test_an_answer_without_a_run(self):
        self.add('bad')
        self.check('without a run')

    def test_work_after_departure(self):
        self.truth.left_s_by_instance['i-1'] = 36.5
        self.check(*('work after departure' for _ in range(7)))

    def test_lost_without_any_fault_or_in_planned_work(self):
        self.add('bad', status=0, runs=1)
        self.check('lost in planned work')
        self.disturb('term', 9, is_planned=True)
        self.check('lost in planned work')

    def test_lost_by_a_fault(self):
        self.add('fine', status=0, runs=1)
        self.disturb('term', 9, is_planned=True)
        self.disturb('kill', 10.5, is_planned=False)
        self.check()

    def test_worked_on_for_callers_that_left(self):
        for number in range(10):
            path = '/front/read/1'
            sent = self.add(f'left-{number}', path=path, status=0, runs=1)
            sent.left_s = sent.sent_s + 0.1
            run = self.truth.arrivals_by_id[sent.request_id][0]
            run.ended_s = sent.left_s + 1
        self.check('worked on for 10 callers')


class FleetCheckTest(CheckTestCase):
    """Promises that concern all nodes."""

    def test_too_many_repeats(self):
        for number in range(60):
            self.arrive('good-50', 10 + number / 100, is_repeat=True)
        found = broken_promises(self.truth)
        self.assertTrue(any('too many repeats' in line for line in found))

    def test_a_policy_that_is_not_in_force(self):
        self.add('soon', path='/v1/probe/1', sent_s=1, status=404)
        self.check()
        self.add('late', path='/v1/probe/2', sent_s=9, status=404)
        self.check('not in force')
        self.disturb('store-cut', 5, is_planned=False)
        self.check()

    def test_a_policy_that_goes_back(self):
        self.add('first', path='/v2/probe/1', sent_s=20.5, runs=1)
        self.add('bad', path='/v2/probe/2', sent_s=21, status=404)
        self.check('policy went back')

    def test_a_fresh_process_may_know_less(self):
        self.add('first', path='/v2/probe/1', sent_s=20.5, runs=1)
        self.add('fine', path='/v2/probe/2', sent_s=21, status=404, life=2)
        self.check()

    def test_a_route_that_was_dropped(self):
        self.truth.published_s_by_version[3] = 30
        self.add('fine', path='/v1/probe/1', sent_s=35, status=404)
        self.check()

    def test_processes(self):
        self.truth.ended_alone.append('host-1, exit code 1')
        self.truth.error_lines.append('host-1: oops')
        self.truth.recovered_share = 0.9
        self.check('ended by itself', 'error in a log', 'not recovered')
