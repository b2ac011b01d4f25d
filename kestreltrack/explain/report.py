"""A capture as pictures: what each destination went through, in one page that needs nothing else.

The figures come from a replay with a module that watches itself (`explain/tracing.py`); matplotlib draws.
"""

from __future__ import annotations

import base64
import html
import io
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from kestreltrack.capture import records
from kestreltrack.capture.cursor import CaptureFiles, Step
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import AttemptEnded, Event, MessageArrived, Outcome, rate_limit
from kestreltrack.explain.tracing import (
    AttemptChosen,
    HealthChanged,
    MessageGivenUp,
    TraceEvent,
    TraceFilter,
    TracingPolicy,
)

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.colors import ListedColormap

BINS = 240
MAX_HEATMAP_ROWS = 40  # destinations in the maps; those with the most trouble
PANEL_HEIGHT_RATIOS = [2, 2, 2, 0.5]  # of the pictures of one destination
MAX_PANELS = 6  # destinations with a picture of their own
HEALTH_STATES = ("well", "slow start", "told wait", "draining", "open")
HEALTH_COLOURS = ("#e8f1e4", "#f4d35e", "#4f9dd9", "#9a9a9a", "#c8372d")
SERIES_NAMES = ("arrived", "sent", "delivered", "not ok", "refused", "failed")


@dataclass(slots=True)
class DestinationSeries:
    """One destination over the bins."""

    number: int
    queued: Any
    in_flight: Any
    send_rate: Any
    health_state: Any
    """Index into `STATES`: the worst in the bin."""
    counts: dict[str, Any]
    latencies_ms: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    end_counts: Counter[str] = field(default_factory=Counter)
    reason_counts: Counter[str] = field(default_factory=Counter)
    current_state: int = 0
    endpoint_states: dict[str, int] = field(default_factory=dict)
    """By endpoint, the shared guard's under the empty name."""

    def latency_quantile(self, quantile: float) -> Any:
        """A quantile in ms for each bin; nothing where nothing ended."""
        return np.array(
            [
                np.quantile(self.latencies_ms[n], quantile) if n in self.latencies_ms else np.nan
                for n in range(BINS)
            ]
        )

    def severity(self) -> float:
        """What ranks it: ends that were no delivery, outcomes that were not ok, bins that were not well."""
        ends = sum(count for end, count in self.end_counts.items() if end != "delivered")
        return 5.0 * ends + float(self.counts["not ok"].sum()) + float((self.health_state > 0).sum())


@dataclass(slots=True)
class ReportData:
    """All that the report draws."""

    sender: str = ""
    start_time: Any = None
    clock_span: tuple[float, float] = (0.0, 0.0)
    destinations: dict[int, DestinationSeries] = field(default_factory=dict)
    marks: list[tuple[float, str]] = field(default_factory=list)
    concurrency_limit: int = 0
    corruptions: list[str] = field(default_factory=list)
    divergence: str = ""

    def bin_times_s(self) -> Any:
        """The middle of each bin, in seconds from the start."""
        width = (self.clock_span[1] - self.clock_span[0]) / BINS / 1000.0
        return (np.arange(BINS) + 0.5) * width

    def total_rate_per_s(self, series: str) -> Any:
        """One series over all destinations, per second."""
        width = max(1e-9, (self.clock_span[1] - self.clock_span[0]) / BINS / 1000.0)
        return sum((line.counts[series] for line in self.destinations.values()), np.zeros(BINS)) / width


class _Collector:
    def __init__(self, span: tuple[float, float]) -> None:
        self.data = ReportData(clock_span=span)
        self._width = max(1e-6, (span[1] - span[0]) / BINS)
        self._player = Replayer(TracingPolicy, self._start_tracing)
        self._dest = dict[str, int]()
        self._bin = 0

    def _start_tracing(self, policy: TracingPolicy) -> None:
        policy.start_tracing(TraceFilter(self._handle_trace, everything=True, include_blocked=False))
        self.data.concurrency_limit = policy.settings.concurrency_limit
        self._dest = {m.id: policy.destination_number(m.destination) for m in policy.messages.values()}
        self._dest |= {
            id_: policy.destination_number(c.endpoint.destination)
            for (id_, _), (c, _) in policy.calls.items()
        }

    def destination(self, number: int) -> DestinationSeries:
        found = self.data.destinations.get(number)
        if found is None:
            zeros = {name: np.zeros(BINS) for name in SERIES_NAMES}
            found = DestinationSeries(
                number,
                np.zeros(BINS),
                np.zeros(BINS),
                np.full(BINS, np.nan),
                np.zeros(BINS, dtype=int),
                zeros,
            )
            self.data.destinations[number] = found
        return found

    def handle_step(self, step: Step) -> bool:
        record = step.record
        if record.clock:
            self._advance_to_bin(min(BINS - 1, int((record.clock - self.data.clock_span[0]) / self._width)))
        if record.kind == records.FILE_HEADER:
            self.data.sender = self.data.sender or record.payload.sender
        elif record.kind == records.MARK:
            self.data.marks.append((record.clock, record.mark_text()))
        elif record.kind == records.EVENT:
            self._event(record.payload)
        differ = self._player.apply_step(step)
        if differ is not None:
            self.data.divergence = f"record {step.record_number}: expected {differ[0]}, got {differ[1]}"
            return False
        if record.kind == records.DECISION:
            self._sample()
        return True

    def _advance_to_bin(self, bin_number: int) -> None:
        """Into another bin: states last until they change."""
        while self._bin < bin_number:
            self._bin += 1
            for line in self.data.destinations.values():
                line.health_state[self._bin] = max(line.health_state[self._bin], line.current_state)

    def _event(self, event: Event) -> None:
        if isinstance(event, MessageArrived):
            self._dest[event.id] = event.dest
            self.destination(event.dest).counts["arrived"][self._bin] += 1
        elif isinstance(event, AttemptEnded) and event.id in self._dest:
            line = self.destination(self._dest[event.id])
            if event.outcome is Outcome.OK:
                line.latencies_ms[self._bin].append(event.duration_ms)
                line.counts["delivered"][self._bin] += event.final
                line.end_counts["delivered"] += event.final
            else:
                line.counts["not ok"][self._bin] += 1
            if event.final:
                self._dest.pop(event.id)

    def _handle_trace(self, now: float, event: TraceEvent) -> None:
        if isinstance(event, AttemptChosen):
            self.destination(self._dest[event.id]).counts["sent"][self._bin] += 1
        elif isinstance(event, MessageGivenUp):
            line, end = self.destination(self._dest[event.id]), "refused" if event.safe_to_retry else "failed"
            line.counts[end][self._bin] += 1
            line.end_counts[end] += 1
            line.reason_counts[event.reason] += 1
        elif isinstance(event, HealthChanged):
            line, state = (
                self.destination(event.dest),
                "draining" if event.state == "off the list" else event.state,
            )
            line.endpoint_states[event.endpoint] = HEALTH_STATES.index(state)
            policy = self._player.policy
            names = (
                policy.destinations[event.dest].endpoints
                if policy and event.dest in policy.destinations
                else ()
            )
            # One endpoint that is well serves them all; the worst within a bin stays.
            best = min((line.endpoint_states.get(name, 0) for name in names), default=0)
            line.current_state = line.endpoint_states.get("", 0) or best
            line.health_state[self._bin] = max(line.health_state[self._bin], line.current_state)

    def _sample(self) -> None:
        policy = self._player.policy
        if policy is None:
            return
        for number, dest in policy.active_destinations.items():
            line = self.destination(number)
            line.queued[self._bin] = max(line.queued[self._bin], len(dest.queued))
            line.in_flight[self._bin] = max(line.in_flight[self._bin], dest.in_flight)
            if dest.limits is not None:
                line.send_rate[self._bin] = rate_limit.rate_and_tokens(dest.limits, policy.now)[0]


def collect(
    capture: CaptureFiles,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> ReportData:
    """Replay and take the figures."""
    first, last = capture.clock_span()
    span = (capture.parse_time(since) if since else first, capture.parse_time(until) if until else last)
    collector = _Collector(span)
    for step in capture.steps(capture.checkpoint_at(span[0]), span[1]):
        if on_step:
            on_step(step)
        if not collector.handle_step(step):
            break
    picture = collector.data
    picture.start_time, picture.corruptions = capture.wall_time(span[0]), capture.corruptions
    return picture


# Drawing -------------------------------------------------------------------------------------------


def _render_png(figure: Any) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return out.getvalue()


def _draw_marks(axis: Any, data: ReportData) -> None:
    for clock, _ in data.marks:
        axis.axvline((clock - data.clock_span[0]) / 1000.0, color="#888888", linewidth=0.7, linestyle=":")


def draw_overview(data: ReportData) -> bytes:
    """Rates, slots and held messages of the whole sender."""
    figure, axes = plt.subplots(3, 1, figsize=(11, 7.5), sharex=True)
    times = data.bin_times_s()
    for name, colour in zip(
        SERIES_NAMES, ("#333333", "#4f9dd9", "#3a8f4d", "#f28e2b", "#9467bd", "#c8372d"), strict=True
    ):
        axes[0].plot(times, data.total_rate_per_s(name), label=name, color=colour, linewidth=1.2)
    axes[0].set_ylabel("a second")
    axes[0].legend(ncols=6, fontsize=8, loc="upper right")
    out = sum((line.in_flight for line in data.destinations.values()), np.zeros(BINS))
    held = sum((line.queued for line in data.destinations.values()), np.zeros(BINS))
    axes[1].fill_between(times, out, step="mid", color="#4f9dd9", alpha=0.6)
    axes[1].axhline(data.concurrency_limit, color="#c8372d", linewidth=0.8)
    axes[1].set_ylabel("calls out\n(peaks, summed)")
    axes[2].fill_between(times, held, step="mid", color="#f28e2b", alpha=0.6)
    axes[2].set_ylabel("held\n(peaks, summed)")
    axes[2].set_xlabel("seconds")
    for axis in axes:
        _draw_marks(axis, data)
        axis.grid(alpha=0.25)
    return _render_png(figure)


def draw_heatmaps(data: ReportData, destinations: list[DestinationSeries]) -> bytes:
    """Health, held messages and latency of many destinations, one row each."""
    figure, axes = plt.subplots(
        1, 3, figsize=(15, 1.6 + 0.19 * len(destinations)), sharey=True, layout="constrained"
    )
    extent = (0.0, (data.clock_span[1] - data.clock_span[0]) / 1000.0, len(destinations) - 0.5, -0.5)
    states = np.array([line.health_state for line in destinations])
    shown = axes[0].imshow(
        states,
        aspect="auto",
        extent=extent,
        cmap=ListedColormap(HEALTH_COLOURS),
        vmin=-0.5,
        vmax=len(HEALTH_STATES) - 0.5,
        interpolation="nearest",
    )
    bar = figure.colorbar(shown, ax=axes[0], ticks=range(len(HEALTH_STATES)))
    bar.ax.set_yticklabels(HEALTH_STATES)
    axes[0].set_title("health (worst in its bin)")
    for axis, title, rows, colours in (
        (axes[1], "held, at most", np.array([line.queued for line in destinations]), "Oranges"),
        (
            axes[2],
            "latency, median in ms",
            np.array([line.latency_quantile(0.5) for line in destinations]),
            "Blues",
        ),
    ):
        shown = axis.imshow(rows, aspect="auto", extent=extent, cmap=colours, interpolation="nearest")
        figure.colorbar(shown, ax=axis)
        axis.set_title(title)
    for axis in axes:
        axis.set_xlabel("seconds")
    axes[0].set_yticks(range(len(destinations)), [str(line.number) for line in destinations], fontsize=7)
    axes[0].set_ylabel("destination")
    return _render_png(figure)


def draw_destination(data: ReportData, destination: DestinationSeries) -> bytes:
    """Everything about one destination."""
    figure, axes = plt.subplots(
        4, 1, figsize=(11, 7), sharex=True, height_ratios=PANEL_HEIGHT_RATIOS, layout="constrained"
    )
    times, width = data.bin_times_s(), max(1e-9, (data.clock_span[1] - data.clock_span[0]) / BINS / 1000.0)
    axes[0].step(times, destination.in_flight, where="mid", color="#4f9dd9", label="slots, at most")
    axes[0].step(times, destination.queued, where="mid", color="#f28e2b", label="held, at most")
    axes[1].plot(
        times,
        destination.latency_quantile(0.5),
        color="#1f4e79",
        label="latency, median ms",
        marker=".",
        markersize=3,
    )
    axes[1].plot(
        times,
        destination.latency_quantile(0.99),
        color="#9ec5e8",
        label="latency, 99th",
        marker=".",
        markersize=3,
    )
    axes[2].step(
        times, destination.counts["sent"] / width, where="mid", color="#4f9dd9", label="sent a second"
    )
    axes[2].step(times, destination.counts["not ok"] / width, where="mid", color="#f28e2b", label="not ok")
    ends = (destination.counts["refused"] + destination.counts["failed"]) / width
    axes[2].step(times, ends, where="mid", color="#c8372d", label="refused or failed")
    axes[2].plot(times, destination.send_rate, color="#3a8f4d", linewidth=0.9, linestyle="--", label="pace")
    axes[3].imshow(
        destination.health_state[None, :],
        aspect="auto",
        extent=(0.0, times[-1] + width / 2, 0, 1),
        cmap=ListedColormap(HEALTH_COLOURS),
        vmin=-0.5,
        vmax=len(HEALTH_STATES) - 0.5,
        interpolation="nearest",
    )
    axes[3].set_yticks([])
    axes[3].set_ylabel("health", rotation=0, ha="right", va="center")
    axes[3].set_xlabel("seconds")
    for axis in axes[:3]:
        axis.legend(fontsize=8, loc="upper right")
        axis.grid(alpha=0.25)
        _draw_marks(axis, data)
    figure.suptitle(f"destination {destination.number}")
    return _render_png(figure)


def rank_destinations(data: ReportData) -> list[DestinationSeries]:
    """The destinations, most trouble first; among equals the busiest."""
    return sorted(
        data.destinations.values(), key=lambda ln: (-ln.severity(), -ln.counts["sent"].sum(), ln.number)
    )


COLUMN_TITLES = [
    "destination",
    "arrived",
    "sent",
    "delivered",
    "refused",
    "failed",
    "not ok",
    "most held",
    "most out",
    "median ms",
    "99th ms",
    "not well",
    "ends for",
]


def summary_rows(data: ReportData) -> list[list[str]]:
    """The summary: one row a destination."""
    found = list[list[str]]()
    for line in rank_destinations(data):
        took = [ms for part in line.latencies_ms.values() for ms in part]
        quantiles = [f"{np.quantile(took, q):.0f}" for q in (0.5, 0.99)] if took else ["", ""]
        counts = [f"{int(line.counts[name].sum())}" for name in ("arrived", "sent")]
        counts += [str(line.end_counts[name]) for name in ("delivered", "refused", "failed")]
        found.append(
            [
                str(line.number),
                *counts,
                f"{int(line.counts['not ok'].sum())}",
                f"{int(line.queued.max())}",
                f"{int(line.in_flight.max())}",
                *quantiles,
                f"{(line.health_state > 0).mean():.0%}",
                ", ".join(f"{why} {count}" for why, count in line.reason_counts.most_common()),
            ]
        )
    return found


PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>
body {{ font: 14px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 1250px; padding: 0 1rem; color: #222; }}
img {{ max-width: 100%; }}
table {{ border-collapse: collapse; font-variant-numeric: tabular-nums; }}
td, th {{ padding: .15rem .6rem; border-bottom: 1px solid #ddd; text-align: right; }}
td:last-child, th:last-child {{ text-align: left; }}
.fault {{ color: #c8372d; }}
</style></head><body>
<h1>{title}</h1><p>{facts}</p>{faults}
<h2>The whole sender</h2>{overview}
<h2>Destinations, most trouble first</h2>{maps}
{panels}
<h2>All destinations</h2>
<table><thead><tr>{heads}</tr></thead><tbody>{rows}</tbody></table>
</body></html>
"""


def write_report(picture: ReportData, folder: Path) -> list[Path]:
    """The page and its pictures in a folder; returns what was written."""
    folder.mkdir(parents=True, exist_ok=True)
    top = rank_destinations(picture)
    pictures = {"overview.png": draw_overview(picture)}
    if top:
        pictures["destinations.png"] = draw_heatmaps(picture, top[:MAX_HEATMAP_ROWS])
    for line in top[:MAX_PANELS]:
        pictures[f"destination-{line.number}.png"] = draw_destination(picture, line)
    written = list[Path]()
    for name, data in pictures.items():
        (folder / name).write_bytes(data)
        written.append(folder / name)

    def image(name: str) -> str:
        data = base64.b64encode(pictures[name]).decode() if name in pictures else ""
        return f'<img alt="{name}" src="data:image/png;base64,{data}">' if data else ""

    title = f"Capture of {picture.sender or 'a sender'}"
    span = (picture.clock_span[1] - picture.clock_span[0]) / 1000.0
    faults = [
        *picture.corruptions,
        *([f"parted from the capture at {picture.divergence}"] if picture.divergence else []),
    ]
    page = PAGE_TEMPLATE.format(
        title=html.escape(title),
        facts=html.escape(
            f"{picture.start_time:%Y-%m-%d %H:%M:%S} UTC, {span:.1f} s, {len(picture.destinations)} destinations, "
            f"{picture.concurrency_limit} slots; each bin of the pictures is {span / BINS:.2f} s"
        ),
        faults="".join(f'<p class="fault">{html.escape(fault)}</p>' for fault in faults),
        overview=image("overview.png"),
        maps=image("destinations.png"),
        panels="".join(image(f"destination-{line.number}.png") for line in top[:MAX_PANELS]),
        heads="".join(f"<th>{html.escape(head)}</th>" for head in COLUMN_TITLES),
        rows="".join(
            "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
            for row in summary_rows(picture)
        ),
    )
    (folder / "report.html").write_text(page)
    return [folder / "report.html", *written]
