"""Run as ``python -m kestreltrack.simulator``: runs the host on the standard streams."""

import sys

from kestreltrack.simulator.host import main

sys.exit(main())
