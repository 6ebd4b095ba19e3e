"""Another writer, who writes as no node, server or operator does."""

import itertools
import random

from bergamotmount.forwarding.http import pack_request
from bergamotmount.platform import names
from bergamotmount.tools.soak import oddinput
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.httpcaller import ask
from bergamotmount.tools.soak.standinstore import StandinStore

_ANSWER_TIMEOUT_S = 0.2


class OddWriter:
    """Writes odd input to the store and to all addresses of a node."""

    def __init__(self, store: StandinStore, rng: random.Random) -> None:
        """Draw what is written from ``rng``."""
        self._store = store
        self._rng = rng
        self._numbers = itertools.count(1)

    def write_policy(self) -> None:
        """Write a policy record that no node can apply."""
        self._store.write(
            names.OPERATOR_TOPIC,
            names.POLICY_KEY,
            oddinput.odd_policy(self._rng),
        )

    def write_entry(self, node: NodeProcess) -> None:
        """Write an entry beside those of the nodes."""
        key = self._rng.choice(
            (f'odd-{next(self._numbers)}', 'crashes/0x7', '')
        )
        entry = oddinput.odd_entry(self._rng, node.peer_address)
        self._store.write(names.MEMBERS_TOPIC, key, entry)

    async def send(self, node: NodeProcess, instance: str) -> None:
        """Send an announcement of a server, and other bytes, to a node."""
        addresses = node.addresses
        announcement = pack_request(
            'PUT',
            f'{names.INSTANCES_PATH}{instance}',
            ['Host', addresses.control],
            oddinput.odd_announcement(
                self._rng, addresses.server, node.service
            ),
        )
        odd = oddinput.odd_bytes(self._rng)
        for address, packed in (
            (addresses.control, announcement),
            (addresses.callers, odd),
            (addresses.control, odd),
            (node.peer_address, odd),
        ):
            await ask(address, packed, _ANSWER_TIMEOUT_S)
