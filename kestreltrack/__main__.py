"""Run as ``python -m kestreltrack``: one real sender, told what it needs by the ``GW_*`` variables.

With arguments it is the command line of `cli`, which needs the extras [tools] and [etcd]; without, it imports none
of that.
"""

import os
import signal
import sys


def main() -> int:
    """Serve until told to stop; a faulty configuration or a library that is not installed ends the start."""
    if len(sys.argv) == 1:
        # Until it can be served; the file is yet to be read.  First of all: what is imported takes its time.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from kestreltrack.config.extras import reporting_missing_extras
    from kestreltrack.config.sender import ConfigError

    try:
        with reporting_missing_extras():
            return command_line() if len(sys.argv) > 1 else run()
    except ConfigError as bad:
        print(f"kestreltrack: {bad}", file=sys.stderr)
        return 2


def run() -> int:
    """One real sender."""
    import asyncio

    import uvloop

    from kestreltrack.sender.daemon import serve

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(os.environ))
    return 0


def command_line() -> int:
    """Run a sub-command."""
    from kestreltrack.cli.app import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
