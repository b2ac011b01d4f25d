"""Run as ``python -m kestreltrack``: one real sender, told what it needs by the ``GW_*`` variables.

With arguments it is the command line of `cli`, which needs the extra [tools]; without, it imports none of that.
"""

import asyncio
import os
import signal
import sys


def main() -> int:
    """Serve until told to stop; a faulty configuration ends the start."""
    if len(sys.argv) > 1:
        return command_line()
    import uvloop

    from kestreltrack.config.node import ConfigError
    from kestreltrack.sender.daemon import serve

    try:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be served; the file is yet to be read
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(os.environ))
    except ConfigError as bad:
        print(f"kestreltrack: {bad}", file=sys.stderr)
        return 2
    return 0


def command_line() -> int:
    """Run a sub-command."""
    try:
        from kestreltrack.cli.app import main as run_command
    except ImportError as bad:
        print(f"kestreltrack: sub-commands need the extras [tools] and [etcd]: {bad}", file=sys.stderr)
        return 2
    return run_command()


if __name__ == "__main__":
    sys.exit(main())
