"""Reasons for refusals, retries, unknown outcomes and dropped messages.

Each reason has the same spelling in answers, metric labels and logs. Operators
can therefore relate the answer that a caller received to the metrics.
"""

import enum


class RefusalReason(enum.StrEnum):
    """Why a request was refused; in every case it was not run."""

    QUEUE_FULL = 'queue_full'
    EVICTED = 'evicted'
    RATE_LIMITED = 'rate_limited'
    QUARANTINED = 'quarantined'
    OVER_THRESHOLD = 'over_threshold'
    DEADLINE_TOO_CLOSE = 'deadline_too_close'
    DEADLINE_PASSED = 'deadline_passed'
    DRAINING = 'draining'
    NOT_SERVING = 'not_serving'
    NO_SERVER = 'no_server'
    NO_POLICY = 'no_policy'
    NO_FRESH_POLICY = 'no_fresh_policy'
    OVER_QUOTA = 'over_quota'
    QUOTA_UNAVAILABLE = 'quota_unavailable'
    UNREACHABLE = 'unreachable'
    SERVER_SHED = 'server_shed'
    TICKET_MISSING = 'ticket_missing'
    TICKET_INVALID = 'ticket_invalid'
    TICKET_VOID = 'ticket_void'
    TICKETS_FULL = 'tickets_full'
    UNDECLARED_CALLEE = 'undeclared_callee'
    UNKNOWN_OPERATION = 'unknown_operation'
    UNKNOWN_PARENT = 'unknown_parent'
    TOO_DEEP = 'too_deep'
    BAD_HEADER = 'bad_header'
    BODY_TOO_LARGE = 'body_too_large'
    NO_MEMORY = 'no_memory'
    CANCELLED = 'cancelled'
    UNRECOGNIZED = 'unrecognized'


class DenialReason(enum.StrEnum):
    """Why a request without an accepted key was denied."""

    KEY_MISSING = 'key_missing'
    KEY_REPEATED = 'key_repeated'
    KEY_MALFORMED = 'key_malformed'
    KEY_UNKNOWN = 'key_unknown'


class UnknownReason(enum.StrEnum):
    """Why it isn't known whether a request was run."""

    ANSWER_LOST = 'answer_lost'
    ANSWER_LATE = 'answer_late'
    ANSWER_INCOMPLETE = 'answer_incomplete'
    ANSWER_TOO_LARGE = 'answer_too_large'
    UNMARKED_REFUSAL = 'unmarked_refusal'
    HOME_RESTARTED = 'home_restarted'
    HOME_UNREACHABLE = 'home_unreachable'
    TICKET_EXPIRED = 'ticket_expired'
    TICKET_UNSETTLED = 'ticket_unsettled'
    UNRECOGNIZED = 'unrecognized'


class RetryReason(enum.StrEnum):
    """Why a call is retried."""

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    ANSWER_LOST = 'answer_lost'


class NoRetryReason(enum.StrEnum):
    """Why a failed call is not retried."""

    NO_TOKEN = 'no_token'
    RATIO = 'ratio'
    DEADLINE = 'deadline'
    NO_OTHER_SERVER = 'no_other_server'
    MAX_SENDS = 'max_sends'
    NOT_IDEMPOTENT = 'not_idempotent'
    SERVERS_CRASHED = 'servers_crashed'
    NOT_REFUSED_BY_LOAD = 'not_refused_by_load'


class DropReason(enum.StrEnum):
    """Why a message or a connection was dropped."""

    LATE_ANSWER = 'late_answer'
    DUPLICATE_CALL = 'duplicate_call'
    FRAME_TOO_LARGE = 'frame_too_large'
    FRAME_CHECKSUM = 'frame_checksum'
    FRAME_TRUNCATED = 'frame_truncated'
    FRAME_KIND = 'frame_kind'
    FRAME_MALFORMED = 'frame_malformed'
    MESSAGE_PART = 'message_part'
    UNSENDABLE = 'unsendable'
    SILENT_CONNECTION = 'silent_connection'
    MALFORMED_REQUEST = 'malformed_request'
    STRAY_RESPONSE = 'stray_response'
    INTERNAL_ERROR = 'internal_error'
    NO_MEMORY = 'no_memory'
    SHED = 'shed'
    TOO_MANY_CONNECTIONS = 'too_many_connections'


#: Refusals after which another server of the service may accept a request.
REFUSED_BY_LOAD = frozenset(
    (
        RefusalReason.QUEUE_FULL,
        RefusalReason.EVICTED,
        RefusalReason.RATE_LIMITED,
        RefusalReason.DEADLINE_TOO_CLOSE,
        RefusalReason.DRAINING,
        RefusalReason.NOT_SERVING,
        RefusalReason.SERVER_SHED,
        RefusalReason.UNREACHABLE,
        RefusalReason.TICKETS_FULL,
        RefusalReason.NO_MEMORY,
    )
)
