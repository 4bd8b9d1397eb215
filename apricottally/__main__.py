"""Run the daemon with `python -m apricottally`."""

from apricottally.daemon import main

main()
