"""Runs the command-line tool as `python -m apricottally`."""

from apricottally.commands import main

if __name__ == '__main__':
    main()
