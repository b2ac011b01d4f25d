"""Durations that participants and coordinators share, in milliseconds."""

from __future__ import annotations

# Between requests about one destination: four within a grant.
REQUEST_INTERVAL_MS = 500.0
# Between requests of a sender that has no use for its quota: three within a deposit.
DEPOSIT_INTERVAL_MS = 1_500.0
# After its last success a sender no longer reports that the destination is up.
SUCCESS_FRESH_MS = 2000.0
# A turn has to be used within this time, and turns are at least so far apart: the policy's own longest backoff.
PROBE_TURN_MS = 1000.0
# How long the policy may use a quota that it was given; it is given again at half of it.
QUOTA_VALID_MS = 1000.0
# Quotas are shared for so long after a slow start: messages queued since the outage are still being delivered.
RECOVERY_TAIL_MS = 10_000.0
# After its return a destination is shared for so long: slow start and tail.
RECOVERY_SHARING_MS = 2.0 * RECOVERY_TAIL_MS
# A sender that has refuted an outage goes on reporting its successes for so long.
REFUTATION_MS = 10_000.0
# A retry-after is forwarded when at least so much of it is left, and when it is longer than the last by so much.
MIN_RETRY_AFTER_MS = 500.0
# An announcement about a destination that is healthy here is remembered for so long.
ANNOUNCEMENT_RETENTION_MS = 60_000.0
