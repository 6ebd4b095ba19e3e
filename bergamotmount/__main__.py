"""Run the daemon: ``python -m bergamotmount --config FILE``."""

from bergamotmount.daemon import main

if __name__ == '__main__':
    main()
