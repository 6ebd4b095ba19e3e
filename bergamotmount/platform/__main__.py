"""Run the node beside one backend server on the platform."""

import signal
import sys


def _end(_number: int, _frame: object) -> None:
    sys.exit()


def run() -> None:
    """Run the node; signals are safe before anything else is loaded.

    Settings are read later than this, so a reload that is asked for earlier
    needs nothing more. A stop asked for before there is a node just ends.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end)
    from bergamotmount.platform.daemon import main  # noqa: PLC0415

    main()


if __name__ == '__main__':
    run()
