"""Comparison of what callers were told with what backend servers ran."""

import dataclasses
from collections import Counter

from bergamotmount.tools.deployments import Deployment
from bergamotmount.tools.load import Result, Sample


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts of requests, and of promises that were broken.

    ``doubled`` counts executions of non-idempotent requests beyond the first,
    at any depth. ``lost`` counts requests that were called completed without
    an execution, and requests called not run that ran.
    """

    sent: int
    completed: int
    refused: int
    failed: int
    unknown: int
    doubled: int
    lost: int


def runs_by_key(truth_by_service: dict[str, dict]) -> Counter[str]:
    """Return executions by key, over all services."""
    runs: Counter[str] = Counter()
    for truth in truth_by_service.values():
        runs.update(truth['runs_by_key'])
    return runs


def summarize(
    deployment: Deployment,
    samples: list[Sample],
    truth_by_service: dict[str, dict],
) -> Summary:
    """Compare all samples with the truth of the backend servers."""
    results = Counter(sample.result for sample in samples)
    runs = runs_by_key(truth_by_service)
    attempts: Counter[str] = Counter()
    for truth in truth_by_service.values():
        attempts.update(truth['attempts_by_root'])
    return Summary(
        sent=len(samples),
        completed=results[Result.COMPLETED],
        refused=results[Result.REFUSED],
        failed=results[Result.FAILED],
        unknown=results[Result.UNKNOWN],
        doubled=_count_doubled(deployment, samples, runs),
        lost=_count_lost(samples, runs, attempts),
    )


def _count_doubled(
    deployment: Deployment,
    samples: list[Sample],
    runs: Counter[str],
) -> int:
    operation_by_key = {sample.key: sample.operation for sample in samples}
    doubled = 0
    for key, count in runs.items():
        name = _operation_of(key, operation_by_key)
        operation = deployment.operation_by_name.get(name)
        if operation is not None and not operation.idempotent:
            doubled += count - 1
    return doubled


def _operation_of(key: str, operation_by_key: dict[str, str]) -> str:
    parts = key.split('/')
    if len(parts) == 1:
        return operation_by_key.get(key.partition('.')[0], '')
    return '/'.join(parts[-2:])


def _count_lost(
    samples: list[Sample],
    runs: Counter[str],
    attempts: Counter[str],
) -> int:
    lost = 0
    for sample in samples:
        if sample.result is Result.COMPLETED:
            last = f'{sample.key}.{sample.client_retries}'
            ran = runs[last if sample.idempotent else sample.key]
            lost += not ran
        lost += sum(bool(attempts[root]) for root in sample.refused_keys)
    return lost
