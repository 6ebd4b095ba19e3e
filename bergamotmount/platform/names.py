"""The platform's names of headers, paths, topics and keys."""

from bergamotmount.forwarding.headers import HeaderNames

HEADERS = HeaderNames(
    request_id='X-Attempt-Id',
    deadline='X-Deadline-Ms',
    signature='X-Response-Stamp',
    not_run='X-Not-Executed',
    target='X-Target-Instance',
    instance='X-Instance-Id',
    caller='X-Caller-Service',
    retry_after='Retry-After',
    rate_limit='Server-Limit',
    leaving='Server-Leaving',
    organisation='X-Tenant',
    key_scheme='Token',
)

READY_PATH = '/bergamotmount/readyz'
INSTANCES_PATH = '/bergamotmount/instances/'
LOG_APPEND_PATH = '/bergamotmount/log-append'
LOG_READ_PATH = '/bergamotmount/log-read'
LOG_NEWEST_PATH = '/bergamotmount/log-newest'

#: Topic of the operators' records, and the key of the policy record in it.
OPERATOR_TOPIC = 'keyed.op'
POLICY_KEY = 'config'

#: Topic in which the nodes register their addresses.
MEMBERS_TOPIC = 'keyed.members'

#: Header of all answers of the store: how often it has been restored.
STORE_ERA_HEADER = 'Store-Era'
