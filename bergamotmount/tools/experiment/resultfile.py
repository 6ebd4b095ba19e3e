"""Results of an experiment, one JSON object a line.

Each result is appended as its play ends, so a run that is cut off keeps what it
has, and the next run with the same file plays the rest only.
"""

import contextlib
import dataclasses
import json
import pathlib
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One play of a variant."""

    variant: str
    play: str
    seed: int


class ResultFile:
    """Worth by job, in memory and in a file::

    results = ResultFile(pathlib.Path('run.jsonl'))
    results.add(Job('base', 'fleet:calm', 1), worth=0.9)
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        """Read what the file holds; without a path keep results in memory."""
        self._path = path
        self.worth_by_job: dict[Job, float] = {}
        if path is not None and path.exists():
            self.worth_by_job.update(_read(path))
            _end_last_line(path)

    def add(self, job: Job, worth: float) -> None:
        """Add a result."""
        self.worth_by_job[job] = worth
        if self._path is None:
            return
        line = json.dumps({**dataclasses.asdict(job), 'worth': worth})
        with self._path.open('a', encoding='utf-8') as lines:
            lines.write(f'{line}\n')


def _read(path: pathlib.Path) -> Iterator[tuple[Job, float]]:
    """Yield the results; the last one may be incomplete, and is left out."""
    for line in path.read_text(encoding='utf-8').splitlines():
        with contextlib.suppress(ValueError, KeyError, TypeError):
            fields = json.loads(line)
            job = Job(fields['variant'], fields['play'], fields['seed'])
            yield job, fields['worth']


def _end_last_line(path: pathlib.Path) -> None:
    if not path.read_text(encoding='utf-8').endswith('\n'):
        with path.open('a', encoding='utf-8') as lines:
            lines.write('\n')
