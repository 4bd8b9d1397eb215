"""The operators' tool as a module: `python -m apricottally`."""

from apricottally.commands import main

if __name__ == '__main__':
    main()
