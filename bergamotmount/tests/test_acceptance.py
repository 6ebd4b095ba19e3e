"""Tests of policy records, their acceptance, and the log follower."""

import itertools
import json
import random
import unittest

from bergamotmount.acceptance import AcceptedState, StateError, VerdictKind
from bergamotmount.clock import LoopClock
from bergamotmount.follower import Follower
from bergamotmount.policy import find_cycle
from bergamotmount.ports import LogError, LogPage, LogRecord
from bergamotmount.publishing import Publisher, PublishTimeout
from bergamotmount.records import InvalidRecord, parse_document
from bergamotmount.tests.fakelog import FakeLog
from bergamotmount.tests.fakes import operation, record, state_of
from bergamotmount.tests.virtualtime import VirtualTestCase

V1 = {
    'operations': {
        'quote': {
            'importance': 'low',
            'repeat': True,
            'calls': ['b/look'],
            'timeout_s': 1.5,
        },
    },
}
V2 = {
    'operations': {
        'quote': {
            'level': 2,
            'idempotent': True,
            'callees': ['b/look'],
            'timeout_ms': 1500,
        },
    },
}


class RecordTest(unittest.TestCase):
    """Schema versions are equivalent; problems name field and value."""

    def test_schema_versions_give_the_same_policy(self):
        """A wrong conversion would change the policy of a schema 1 record."""
        old = state_of(record('service/a', V1, schema=1))
        new = state_of(record('service/a', V2))
        self.assertEqual(old.policy(), new.policy())

    def test_retries_and_servers_are_converted(self):
        """Fields that were renamed in schema 2 keep their values."""
        old = state_of(
            record('retries', {'retries': 4}, schema=1),
            record('servers', {'warm_up_s': 1.5}, schema=1),
        )
        new = state_of(
            record('retries', {'per_request': 4}),
            record('servers', {'slow_start_ms': 1500}),
        )
        self.assertEqual(old.policy(), new.policy())

    def test_problems_name_field_and_value(self):
        """Operators can find each problem in a record with several."""
        body = {'operations': {'Quote!': operation(), 'b': {'level': 9}}}
        parsed = parse_document(record('service/a', body))
        self.assertIsInstance(parsed, InvalidRecord)
        text = '\n'.join(parsed.problems)
        for part in ('level', '9', 'idempotent', 'Quote!'):
            self.assertIn(part, text)

    def test_unknown_field_rejects_the_whole_record(self):
        """A record with an unknown field must not be applied in part."""
        body = {'per_request': 3, 'burst': 5}
        state = state_of(record('retries', body))
        self.assertEqual(state.record_by_subject, {})


class AcceptedStateTest(unittest.TestCase):
    """The order of the log alone determines the accepted state."""

    def test_first_of_two_concurrent_records_is_accepted(self):
        """A later record can't overwrite one that its author had not seen."""
        state = AcceptedState()
        kinds = [
            state.apply(offset, json.dumps(document).encode()).kind
            for offset, document in enumerate(
                (
                    record(
                        'retries', {'per_request': 1}, record_id='operator-1'
                    ),
                    record(
                        'retries', {'per_request': 2}, record_id='operator-2'
                    ),
                    record(
                        'retries', {'per_request': 3}, 0, record_id='operator-3'
                    ),
                )
            )
        ]
        self.assertEqual(kinds, ['accepted', 'conflict', 'accepted'])
        self.assertEqual(state.policy().retries.per_request, 3)

    def test_duplicate_changes_nothing(self):
        """A record that is appended twice is accepted only once."""
        document = record('retries', {'per_request': 1})
        state = state_of(document, document)
        self.assertEqual(state.record_by_subject['retries'].offset, 0)

    def test_old_offset_changes_nothing(self):
        """A record that arrives again after a newer one is not applied."""
        state = state_of(
            record('retries', {'per_request': 1}),
            record('retries', {'per_request': 2}, 0),
        )
        raw = json.dumps(record('retries', {'per_request': 9})).encode()
        state.apply(0, raw)
        self.assertEqual(state.policy().retries.per_request, 2)

    def test_call_cycle_is_invalid(self):
        """Two services whose operations call each other are not accepted."""
        state = state_of(
            record(
                'service/a', {'operations': {'x': operation(1, True, 'b/y')}}
            ),
            record(
                'service/b', {'operations': {'y': operation(1, True, 'a/x')}}
            ),
        )
        self.assertNotIn('service/b', state.record_by_subject)
        kinds = [verdict.kind for verdict in state.verdict_by_id.values()]
        self.assertEqual(kinds, [VerdictKind.ACCEPTED, VerdictKind.INVALID])

    def test_newer_schema_is_kept_and_previous_body_stays(self):
        """A record of a newer release must not remove the active policy."""
        newer = {**record('retries', {'anything': 1}, 0), 'schema': 3}
        newer['id'] = 'from-the-future'
        state = state_of(record('retries', {'per_request': 1}), newer)
        self.assertEqual(state.policy().retries.per_request, 1)
        restored = AcceptedState.from_bytes(state.to_bytes())
        self.assertEqual(restored.to_bytes(), state.to_bytes())
        self.assertIn(
            'anything', restored.record_by_subject['retries'].newer_raw
        )
        after = record('retries', {'per_request': 7}, 1, record_id='after-it')
        restored.apply(2, json.dumps(after).encode())
        self.assertEqual(restored.policy().retries.per_request, 7)

    def test_caller_of_non_idempotent_operation_is_not_retry_safe(self):
        """A retry would run the non-idempotent callee again."""
        state = state_of(
            record(
                'service/a', {'operations': {'x': operation(1, True, 'b/y')}}
            ),
            record('service/b', {'operations': {'y': operation(1, False)}}),
        )
        operation_by_name = state.policy().operation_by_name
        self.assertFalse(operation_by_name['a', 'x'].is_retry_safe)
        self.assertEqual(
            operation_by_name['a', 'x'].downstream_services, {'a', 'b'}
        )

    def test_invalid_state_is_rejected(self):
        """Malformed bytes from a peer raise StateError and no other error."""
        for raw in (b'', b'[]', b'{"offset": 1}', b'\xff'):
            with self.assertRaises(StateError):
                AcceptedState.from_bytes(raw)

    def test_cycles_are_found_in_random_graphs(self):
        """The search agrees with an independent check on random graphs."""
        rng = random.Random(5)
        for _ in range(200):
            names = [('s', str(number)) for number in range(6)]
            graph = {
                name: frozenset(rng.sample(names, rng.randrange(3)))
                for name in names
            }
            found = find_cycle(graph, graph)
            self.assertEqual(bool(found), has_cycle(graph))


def has_cycle(graph) -> bool:
    """Return whether removing leaves repeatedly can't empty the graph."""
    remaining = dict(graph)
    while True:
        leaves = [
            name for name in remaining if not remaining[name] & remaining.keys()
        ]
        if not leaves:
            return bool(remaining)
        for name in leaves:
            remaining.pop(name)


def page(bodies: list[bytes], first_kept: int, start: int) -> LogPage:
    """Return the page of a stream that starts at an offset."""
    start = max(start, first_kept)
    records = [
        LogRecord(offset, bodies[offset])
        for offset in range(start, len(bodies))
    ]
    return LogPage(first_kept, len(bodies), records)


class FollowerTest(unittest.TestCase):
    """The state never moves backwards, also across retention gaps."""

    def bodies(self) -> list[bytes]:
        """Return 20 records, each fifth of them a checkpoint."""
        bodies = []
        state = AcceptedState()
        base = None
        for offset in range(20):
            if offset % 5 == 4:
                raw = state.to_checkpoint()
            else:
                body = {'per_request': offset}
                document = record(
                    'retries', body, base, record_id=f'id-{offset:06}'
                )
                raw = json.dumps(document).encode()
                base = offset
            state.apply(offset, raw)
            bodies.append(raw)
        return bodies

    def test_state_is_the_same_across_any_gap(self):
        """The state doesn't depend on where a follower resumes reading."""
        bodies = self.bodies()
        reference = Follower()
        reference.apply_page(page(bodies, 0, 0))
        for known, first_kept in itertools.product(range(-1, 19), range(15)):
            follower = Follower()
            follower.apply_page(page(bodies[: known + 1], 0, 0))
            start = follower.next_offset
            follower.apply_page(page(bodies, first_kept, start))
            with self.subTest(known=known, first_kept=first_kept):
                self.assertEqual(follower.state.offset, 19)
                self.assertEqual(
                    follower.state.policy(),
                    reference.state.policy(),
                )

    def test_gap_without_checkpoint_applies_nothing(self):
        """Records after a gap must not be applied to an incomplete state."""
        bodies = [body for body in self.bodies() if b'checkpoint' not in body]
        follower = Follower()
        with self.assertRaises(LogError):
            follower.apply_page(page(bodies, 3, 0))
        self.assertEqual(follower.state.offset, -1)

    def test_older_state_is_not_installed(self):
        """A state from a peer that is behind must not revert the policy."""
        follower = Follower()
        follower.apply_page(page(self.bodies(), 0, 0))
        self.assertFalse(follower.install_state(AcceptedState()))
        self.assertEqual(follower.state.offset, 19)


class PublisherTest(VirtualTestCase):
    """The id of a record shows if an append without an answer succeeded."""

    async def test_lost_answers_leave_one_accepted_record(self):
        """Appends that succeeded without an answer are not repeated."""
        log = FakeLog()
        log.answers_to_lose = 3
        publisher = Publisher(LoopClock(), log)
        document = record('retries', {'per_request': 1})
        verdict = await publisher.publish(document, 10_000)
        self.assertEqual(verdict.kind, VerdictKind.ACCEPTED)
        self.assertEqual(log.append_count, 1)

    async def test_unreachable_log_is_reported_as_not_appended(self):
        """Without any append the record can't be in the log."""
        log = FakeLog()
        log.is_down = True
        publisher = Publisher(LoopClock(), log)
        document = record('retries', {'per_request': 1})
        outcome = await publisher.publish(document, 2000)
        self.assertEqual(outcome, PublishTimeout(may_be_appended=False))

    async def test_gap_without_checkpoint_ends_in_timeout(self):
        """A log that can't be followed must not block the publisher."""
        log = FakeLog()
        document = record('retries', {'per_request': 1})
        await Publisher(LoopClock(), log).publish(document, 2000)
        await log.append('policy', b'{}')
        log.truncate_before('policy', 1)
        outcome = await Publisher(LoopClock(), log).publish(document, 2000)
        self.assertEqual(outcome, PublishTimeout(may_be_appended=False))

    async def test_publishing_again_with_the_same_id_is_safe(self):
        """A second publication returns the verdict on the first."""
        log = FakeLog()
        document = record('retries', {'per_request': 1})
        first = await Publisher(LoopClock(), log).publish(document, 2000)
        again = await Publisher(LoopClock(), log).publish(document, 2000)
        self.assertEqual(first, again)
        self.assertEqual(log.append_count, 1)
