"""Run as ``python -m kestreltrack``: the sender process, configured by the ``GW_*`` variables.

With arguments it runs the command line in `kestreltrack.cli`, which needs the extras [tools] and [etcd]; without
arguments, none of these modules is imported.
"""

import os
import signal
import sys

# Operators request a reload of the settings with SIGHUP, and the counters with SIGUSR1.
REQUEST_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)


def main() -> int:
    """Run the sender or a command, and return the exit code.

    An invalid configuration or a missing library prints one line on standard error and exits with code 2.
    """
    has_command = len(sys.argv) > 1
    if not has_command:
        # The default action of either signal ends the process.  Both are ignored until the sender, which has read
        # its configuration by then, installs its handlers; this precedes the imports because these are slow.
        for number in REQUEST_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
    from kestreltrack.config.errors import ConfigError
    from kestreltrack.config.extras import reporting_missing_extras

    try:
        with reporting_missing_extras():
            return command_line() if has_command else run()
    except ConfigError as error:
        print(f"kestreltrack: {error}", file=sys.stderr)
        return 2


def run() -> int:
    """Run the sender until it is stopped."""
    import asyncio

    import uvloop

    from kestreltrack.sender.daemon import serve

    async def serve_until_stopped() -> None:
        await serve(os.environ)
        loop = asyncio.get_running_loop()
        # When the loop closes, it restores the default action of the signals that it handles, so a signal during the
        # exit would end the process like a crash.  They are blocked until they are ignored.
        signal.pthread_sigmask(signal.SIG_BLOCK, REQUEST_SIGNALS)
        for number in REQUEST_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve_until_stopped())
    return 0


def command_line() -> int:
    """Run the command that the arguments name, and return its exit code."""
    from kestreltrack.cli.app import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
