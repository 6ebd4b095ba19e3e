"""Entry point of ``python -m bergamotmount.platform``."""

import importlib
import signal


def main() -> None:
    """Run the node, whatever signals come while its modules are loaded.

    Settings are read after that, so a SIGHUP from before needs no answer.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('bergamotmount.platform.daemon').main()


if __name__ == '__main__':
    main()
