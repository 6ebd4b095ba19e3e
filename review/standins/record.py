"""Record of one run: a line for each event, with the time since the start."""

import pathlib
import time


class Record:
    """Writes ``record.txt``; ``note`` adds a line, ``say`` also prints it."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def note(self, who: str, what: str, **fields: object) -> None:
        words = [f'{self.now_s():9.4f}', who, what]
        words += [f'{name}={value}' for name, value in fields.items()]
        self._file.write(' '.join(words) + '\n')
        self._file.flush()

    def say(self, text: str) -> None:
        self._file.write(f'{self.now_s():9.4f} {text}\n')
        self._file.flush()
        print(text, flush=True)
