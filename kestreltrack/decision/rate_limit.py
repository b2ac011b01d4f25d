"""The send rate within the limit that all senders share, and within the cold budget.

See `docs/design.md`, "Pace".
"""

from kestreltrack.decision.arithmetic import cubic_growth
from kestreltrack.decision.records import CallLimits

# Lowest limit that is assumed where none is known.
DEFAULT_RATE_PER_S = 2.0
# An approximate rate may be half too high: 1 / 1.5, rounded down.
APPROXIMATE_RATE_MARGIN = 0.65
# Share of the cold budget that is used, because batches add load as well.
SLOW_START_RATE_MARGIN = 0.9
# Half-life of the count of successful calls that a limit is learnt from.
SUCCESS_HALF_LIFE_MS = 1000.0
# CUBIC: slow growth near the rate at which the limit was met, then ever faster.
CUBIC_SCALE = 0.05
CUBIC_PLATEAU_S = 1.6
# Factor on the rate after a rejection, which is applied to two even shares at most.
REJECTION_FACTOR = 0.8
# The rate never falls below this, in even shares.
MIN_FAIR_SHARES = 0.3
# Even shares regained per second with the whole limit left, and proportionally less with less of it left.
SHARES_REGAINED_PER_S = 0.15
# Time added to the demand measurement for the gap before its first arrival, as a share of the mean gap
# between arrivals at an even share of the rate.
OPENING_GAP_SHARE = 0.25
MAX_OPENING_GAP_S = 0.75
# With less than this share of the limit left, all senders reduce their rates to an even share, down to half
# of one when nothing is left, before any call is rejected.
LOW_QUOTA = 0.25


def rate_and_tokens(limits: CallLimits, now: float) -> tuple[float, float]:
    """Return the send rate, in even shares of the limit, and the tokens of its bucket."""
    rate = limits.send_rate
    senders = limits.sender_count
    elapsed_s = (now - rate.rate_updated_at) / 1000.0
    if rate.learns_limit:
        shares = cubic_growth(CUBIC_SCALE, (now - rate.limit_met_at) / 1000.0, CUBIC_PLATEAU_S)
    else:
        gained = SHARES_REGAINED_PER_S * max(rate.quota_left, LOW_QUOTA) * elapsed_s
        shares = min(senders * (limits.leased_share(now) or 1.0), rate.fair_shares + gained)
    rate_per_s = shares * rate.base_rate_per_s / senders
    return shares, min(max(1.0, rate_per_s), rate.tokens + rate_per_s * elapsed_s)


def apply_load_report(limits: CallLimits, now: float, limit_per_s: float, quota_left: float) -> None:
    """Use the limit that an answer reports, which is more accurate than that of the endpoint list."""
    shares, tokens = rate_and_tokens(limits, now)
    max_shares = 0.5 + 0.5 * quota_left / LOW_QUOTA
    limits.send_rate.update(min(shares, max_shares) if quota_left < LOW_QUOTA else shares, tokens, now)
    limits.send_rate.base_rate_per_s = limit_per_s
    limits.send_rate.quota_left = quota_left


def reduce_rate(limits: CallLimits, now: float) -> None:
    """Reduce the send rate after a rejection: the limit that all senders share was met."""
    rate = limits.send_rate
    shares, tokens = rate_and_tokens(limits, now)
    if limits.breaker.consecutive_failures == 1 and rate.learns_limit:
        # Only at the first rejection: later ones follow pauses and reveal no rate.
        sustained_per_s = limits.sender_count * limits.success_rate_per_s(now, SUCCESS_HALF_LIFE_MS)
        rate.base_rate_per_s = max(sustained_per_s, DEFAULT_RATE_PER_S)
    rate.limit_met_at = now
    rate.update(max(MIN_FAIR_SHARES, REJECTION_FACTOR * min(shares, 2.0)), min(tokens, 1), now)


def record_success(limits: CallLimits, now: float) -> None:
    """Count a successful call; where no limit is known, the cold budget follows the sustained rate."""
    limits.count_success(now, SUCCESS_HALF_LIFE_MS)
    if limits.send_rate.learns_limit:
        rate_per_s = limits.success_rate_per_s(now, SUCCESS_HALF_LIFE_MS)
        sustained_per_s = APPROXIMATE_RATE_MARGIN * limits.sender_count * rate_per_s
        limits.slow_start.cold_rate_per_s = max(limits.slow_start.cold_rate_per_s, sustained_per_s)


def call_interval_ms(limits: CallLimits, now: float) -> float:
    """Return the time between calls during a slow start; the calls of all senders keep to the cold budget."""
    safety = limits.safety
    routes = limits.route_count()
    cold_rate = limits.slow_start.cold_rate_per_s
    opening_gap_s = min(OPENING_GAP_SHARE * limits.sender_count / (cold_rate * routes), MAX_OPENING_GAP_S)
    demand = min(cold_rate, limits.demand_per_s(now, opening_gap_s) / routes)
    ramp = safety.cold_start_share + (1.0 - safety.cold_start_share) * limits.warm_up_progress(now)
    own_rate = cold_rate * limits.leased_share(now) or max(cold_rate / limits.sender_count, demand)
    return 1000.0 / (SLOW_START_RATE_MARGIN * safety.overload_factor * ramp * own_rate)


def credit(limits: CallLimits, now: float) -> float:
    """Return the slow-start credit towards the next call, which is allowed at 1."""
    elapsed_ms = now - limits.slow_start.credit_updated_at
    return min(1.0, limits.slow_start.saved_credit + elapsed_ms / call_interval_ms(limits, now))
