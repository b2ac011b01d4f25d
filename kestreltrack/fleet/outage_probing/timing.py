"""Durations in milliseconds that participants and coordinators share."""

from __future__ import annotations

# Interval between requests about one destination: four fit into the duration of a grant.
REQUEST_INTERVAL_MS = 500.0
# Interval between requests of a sender that only deposits its quota: three fit into the duration of a deposit.
DEPOSIT_INTERVAL_MS = 1_500.0
# For this long after its last success, a sender reports that the destination is up.
SUCCESS_FRESH_MS = 2000.0
# Time within which a turn must be used, and the minimum time between turns: the policy's own maximum backoff.
PROBE_TURN_MS = 1000.0
# Validity of a quota issued to the policy; it is renewed after half of this time.
QUOTA_VALID_MS = 1000.0
# Quotas stay shared for this long after slow start, while messages queued during the outage are still delivered.
RECOVERY_TAIL_MS = 10_000.0
# Quotas are shared for this long after an outage ends: slow start and the tail after it.
RECOVERY_SHARING_MS = 2.0 * RECOVERY_TAIL_MS
# A sender that has refuted an outage keeps reporting its successes for this long.
REFUTATION_MS = 10_000.0
# A retry-after is forwarded if at least this much of it is left and it ends at least this much after the last one.
MIN_RETRY_AFTER_MS = 500.0
# Retention of an announcement about a destination that is healthy for this sender.
ANNOUNCEMENT_RETENTION_MS = 60_000.0
