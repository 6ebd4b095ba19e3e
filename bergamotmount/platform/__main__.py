"""Entry point of ``python -m bergamotmount.platform``."""

from bergamotmount.platform.daemon import main

if __name__ == '__main__':
    main()
