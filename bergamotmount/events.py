"""Named signals for events that are rare and that several parts follow.

::

    events.policy_accepted.connect(on_policy_accepted)

Each signal is sent with the part that raised it as its sender.
"""

from blinker import Namespace

_namespace = Namespace()

#: A newer policy is in force; sent with ``offset``.
policy_accepted = _namespace.signal('policy_accepted')

#: A record was decided on; sent with ``verdict``.
record_decided = _namespace.signal('record_decided')

#: News of a member was taken over; sent with ``member``.
member_changed = _namespace.signal('member_changed')

#: The log service became reachable or unreachable; sent with ``reachable``.
log_changed = _namespace.signal('log_changed')
