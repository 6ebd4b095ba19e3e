"""Signals for rare events that several components subscribe to.

::

    events.policy_accepted.connect(on_policy_accepted)

The sender of a signal is the object that raised it.
"""

from blinker import Namespace

_namespace = Namespace()

#: A newer policy is active; sent with ``offset``.
policy_accepted = _namespace.signal('policy_accepted')

#: A policy record got its verdict; sent with ``verdict``.
record_decided = _namespace.signal('record_decided')

#: A member changed in the member table; sent with ``member``.
member_changed = _namespace.signal('member_changed')

#: The log service became reachable or unreachable; sent with ``reachable``.
log_changed = _namespace.signal('log_changed')
