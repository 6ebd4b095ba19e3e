"""Model of the policy checks: reads of the store for each size.

Nodes draw the age at which they read; what one reads travels along the ring of
members. Compared are checks that each node makes for itself, by short long
polls or by reads::

    python -m bergamotmount.tools.experiment.policychecks --nodes 195 --apply 3
"""

import argparse
import dataclasses
import heapq
import json
import random
import sys

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.policywatch import DRAWS, PolicyTimes

#: Time that the store takes for an answer.
ANSWER_MS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class CheckOptions:
    """Size of the deployment, its bound, and the time of one hop."""

    nodes: int
    apply_ms: float
    hop_ms: float
    seconds: float
    seed: int


class CheckModel:
    """Plays the draws and the passing on of checks, without a network."""

    def __init__(self, options: CheckOptions) -> None:
        """Start with all nodes checked at the same time."""
        self._options = options
        self._times = PolicyTimes.within(options.apply_ms)
        self._rng = random.Random(options.seed)
        self._checked_ms = [float(0) for _ in range(options.nodes)]
        self._heard_ms = list(self._checked_ms)
        self._events: list[tuple[float, int, float]] = []
        self.reads = 0
        self.oldest_ms: float = 0

    def play(self) -> None:
        """Count the reads, and find the greatest age of a check."""
        for node in range(self._options.nodes):
            self._draw(node)
        end_ms = self._options.seconds * MS_PER_SECOND
        while self._events[0][0] < end_ms:
            self._handle(*heapq.heappop(self._events))

    def _handle(self, now_ms: float, node: int, mark_ms: float) -> None:
        """Handle a check that arrives, with a negative mark, or a read."""
        if mark_ms < 0:
            self._hear(node, now_ms, -mark_ms)
        elif self._checked_ms[node] == mark_ms:
            self._read(node, now_ms)

    def _draw(self, node: int) -> None:
        drawn = max(self._rng.random() for _ in range(DRAWS))
        span_ms = self._times.max_read_ms - self._times.min_read_ms
        age_ms = self._times.min_read_ms + span_ms * drawn
        checked_ms = self._checked_ms[node]
        # A check is heard of late, and the draw is made then.
        due_ms = max(checked_ms + age_ms, self._heard_ms[node])
        heapq.heappush(self._events, (due_ms, node, checked_ms))

    def _read(self, reader: int, now_ms: float) -> None:
        self.reads += 1
        self.oldest_ms = max(self.oldest_ms, now_ms - self._checked_ms[reader])
        for distance in range(self._options.nodes):
            node = (reader + distance) % self._options.nodes
            hops = distance.bit_count()
            heard_ms = now_ms + ANSWER_MS + hops * self._options.hop_ms
            heapq.heappush(self._events, (heard_ms, node, -now_ms))

    def _hear(self, node: int, now_ms: float, checked_ms: float) -> None:
        if checked_ms > self._checked_ms[node]:
            self._checked_ms[node] = checked_ms
            self._heard_ms[node] = now_ms
            self._draw(node)


def main() -> None:
    """Print a line of JSON for each number of nodes."""
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add('--nodes', type=int, nargs='+', default=[16, 195, 2900])
    add('--apply', type=float, default=2, help='bound in seconds')
    add('--hop', type=float, default=3, help='time of one hop in milliseconds')
    add('--seconds', type=float, default=60)
    add('--seed', type=int, default=1)
    arguments = parser.parse_args()
    for nodes in arguments.nodes:
        options = CheckOptions(
            nodes,
            arguments.apply * MS_PER_SECOND,
            arguments.hop,
            arguments.seconds,
            arguments.seed,
        )
        model = CheckModel(options)
        model.play()
        line = {
            'nodes': nodes,
            'reads_per_s': round(model.reads / arguments.seconds, 2),
            'oldest_check_ms': round(model.oldest_ms),
        }
        sys.stdout.write(f'{json.dumps(line)}\n')


if __name__ == '__main__':
    main()
