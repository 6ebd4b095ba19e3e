"""Run the node beside one backend server on the platform."""

from bergamotmount.platform.daemon import main

if __name__ == '__main__':
    main()
