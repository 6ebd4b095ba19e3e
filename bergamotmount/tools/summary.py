"""Comparison of the answers to callers with the servers' executions."""

import dataclasses
from collections import Counter

from bergamotmount.tools.deployments import Deployment
from bergamotmount.tools.load import Result, Sample


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts of requests by result, and of broken guarantees.

    ``doubled`` counts executions of non-idempotent requests beyond the first,
    at any depth. ``lost`` counts requests that were reported as completed
    without an execution, and attempts reported as not run that were executed.
    """

    sent: int
    completed: int
    refused: int
    failed: int
    unknown: int
    doubled: int
    lost: int


def executions_by_key(counts_by_service: dict[str, dict]) -> Counter[str]:
    """Return the number of executions by key over all services."""
    executions: Counter[str] = Counter()
    for counts in counts_by_service.values():
        executions.update(counts['runs_by_key'])
    return executions


def summarize(
    deployment: Deployment,
    samples: list[Sample],
    counts_by_service: dict[str, dict],
) -> Summary:
    """Compare all samples with the counts of the backend servers."""
    results = Counter(sample.result for sample in samples)
    executions = executions_by_key(counts_by_service)
    attempts: Counter[str] = Counter()
    for counts in counts_by_service.values():
        attempts.update(counts['attempts_by_root'])
    return Summary(
        sent=len(samples),
        completed=results[Result.COMPLETED],
        refused=results[Result.REFUSED],
        failed=results[Result.FAILED],
        unknown=results[Result.UNKNOWN],
        doubled=_count_doubled(deployment, samples, executions),
        lost=_count_lost(samples, executions, attempts),
    )


def _count_doubled(
    deployment: Deployment,
    samples: list[Sample],
    executions: Counter[str],
) -> int:
    operation_by_key = {sample.key: sample.operation for sample in samples}
    doubled = 0
    for key, count in executions.items():
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
    executions: Counter[str],
    attempts: Counter[str],
) -> int:
    lost = 0
    for sample in samples:
        if sample.result is Result.COMPLETED:
            last_root = f'{sample.key}.{sample.client_retries}'
            executed = executions[
                last_root if sample.idempotent else sample.key
            ]
            lost += not executed
        lost += sum(bool(attempts[root]) for root in sample.refused_roots)
    return lost
