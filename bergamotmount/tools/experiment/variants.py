"""Variants of the product: each switches one mechanism off.

A variant replaces a function or a constant of the product in the process that
runs it, so each process runs one variant only. The product itself has no
switches::

    apply_variant('no_threshold')
"""

from collections.abc import Callable

from bergamotmount import admission, link, routing, threshold, thresholdview
from bergamotmount.forwarding import (
    activerequests,
    latencyrouter,
    pendingrequest,
    retrybudget,
    retrydemand,
)
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import ADMIT_ALL_RANK

#: Name of the product without a change.
BASE = 'base'


def apply_variant(name: str) -> None:
    """Change the product in this process; raise ``KeyError`` if unknown."""
    if name != BASE:
        VARIANT_BY_NAME[name]()


def _no_threshold() -> None:
    view = thresholdview.ThresholdView
    view.threshold_of = lambda *_: ADMIT_ALL_RANK


def _no_sharp_drop_notice() -> None:
    threshold.SHARP_DROP_RATIO = 0


def _no_call_attribution() -> None:
    requests = activerequests.ActiveRequests
    requests.attribute_call = lambda *_: None


def _no_limit_decrease() -> None:
    ConcurrencyLimit.record_overload = lambda _: None


def _two_choices_by_load() -> None:
    latencyrouter.LatencyRouter.pick = routing.Router.pick


def _no_cost_of_remote_servers() -> None:
    latencyrouter.REMOTE_FACTOR = 1
    latencyrouter.REMOTE_EXTRA_MS = 0


def _no_failure_share() -> None:
    latencyrouter.FAILURE_WEIGHT = 0


def _no_suspicion_of_silent_links() -> None:
    link.Link.is_suspect = False


def _no_trial_of_unreachable_servers() -> None:
    routing.PROBE_MS = 0


def _queue_in_order_of_arrival() -> None:
    admission._order_of = lambda *_: 0


def _no_eviction() -> None:
    admission.Admission._make_room = lambda queue, _: (
        queue.queued < queue._queue_capacity()
    )


def _one_service_time() -> None:
    ServiceTime.expected_ms = lambda service_time, _: service_time.current_ms()


def _no_retries() -> None:
    retrybudget.ServiceRetryBudget.try_spend = lambda *_: False


def _no_reserve_for_urgent_retries() -> None:
    retrydemand.RetryDemand.expected_before = lambda *_: 0


def _no_return_to_shedding_servers() -> None:
    pendingrequest.PendingRequest.may_return = False


def _no_charge_for_repeated_calls() -> None:
    pendingrequest.PendingRequest.is_called_by_repeat = False


def _half_of_the_retry_ratio() -> None:
    retrybudget.RETRY_SHARE = 0.5


VARIANT_BY_NAME: dict[str, Callable[[], None]] = {
    'no_threshold': _no_threshold,
    'no_sharp_drop_notice': _no_sharp_drop_notice,
    'no_call_attribution': _no_call_attribution,
    'no_limit_decrease': _no_limit_decrease,
    'two_choices_by_load': _two_choices_by_load,
    'no_cost_of_remote_servers': _no_cost_of_remote_servers,
    'no_failure_share': _no_failure_share,
    'no_suspicion_of_silent_links': _no_suspicion_of_silent_links,
    'no_trial_of_unreachable_servers': _no_trial_of_unreachable_servers,
    'queue_in_order_of_arrival': _queue_in_order_of_arrival,
    'no_eviction': _no_eviction,
    'one_service_time': _one_service_time,
    'no_retries': _no_retries,
    'no_reserve_for_urgent_retries': _no_reserve_for_urgent_retries,
    'no_return_to_shedding_servers': _no_return_to_shedding_servers,
    'no_charge_for_repeated_calls': _no_charge_for_repeated_calls,
    'half_of_the_retry_ratio': _half_of_the_retry_ratio,
}
