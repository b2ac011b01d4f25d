"""Run as ``python -m kestreltrack``: one real sender, told what it needs by the ``GW_*`` variables."""

import asyncio
import os
import signal
import sys

import uvloop

from kestreltrack.config.node import ConfigError
from kestreltrack.sender.daemon import serve


def main() -> int:
    """Serve until told to stop; a faulty configuration ends the start."""
    try:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be served; the file is yet to be read
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(os.environ))
    except ConfigError as bad:
        print(f"kestreltrack: {bad}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
