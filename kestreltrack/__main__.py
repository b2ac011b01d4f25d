"""Run as ``python -m kestreltrack``: one real sender, configured by the ``GW_*`` variables.

With arguments it is the command line of `cli`, which needs the extras [tools] and [etcd]; without arguments none of
that is imported.
"""

import os
import signal
import sys


def main() -> int:
    """Run the sender or a command, and return the exit code.

    A configuration that cannot be used, or a library that is not installed, ends in one line and the code 2.
    """
    has_command = len(sys.argv) > 1
    if not has_command:
        # A reload is of no use before the file has been read, and SIGHUP would end the process.  This comes before
        # the imports, which take their time.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from kestreltrack.config.errors import ConfigError
    from kestreltrack.config.extras import reporting_missing_extras

    try:
        with reporting_missing_extras():
            return command_line() if has_command else run()
    except ConfigError as error:
        print(f"kestreltrack: {error}", file=sys.stderr)
        return 2


def run() -> int:
    """Run one real sender until it is stopped."""
    import asyncio

    import uvloop

    from kestreltrack.sender.daemon import serve

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(os.environ))
    return 0


def command_line() -> int:
    """Run a command of the command line."""
    from kestreltrack.cli.app import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
