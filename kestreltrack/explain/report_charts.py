"""The charts of a report, drawn with matplotlib."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

import matplotlib
import numpy as np

from kestreltrack.explain.report import BINS, HEALTH_STATES, SERIES_NAMES, DestinationSeries, ReportData

# Render without a display; must be set before pyplot is imported.
matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.colors import ListedColormap

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

HEALTH_COLOURS = ("#e8f1e4", "#f4d35e", "#4f9dd9", "#9a9a9a", "#c8372d")
SERIES_COLOURS = ("#333333", "#4f9dd9", "#3a8f4d", "#f28e2b", "#9467bd", "#c8372d")
BLUE = "#4f9dd9"
DARK_BLUE = "#1f4e79"
LIGHT_BLUE = "#9ec5e8"
ORANGE = "#f28e2b"
RED = "#c8372d"
GREEN = "#3a8f4d"
GREY = "#888888"
# The panels of a destination: slots and queue, latency, rates, health.
PANEL_HEIGHT_RATIOS = [2, 2, 2, 0.5]
# Sharp at the full width of the page.
DOTS_PER_INCH = 110


def draw_overview(data: ReportData) -> bytes:
    """Return a PNG of the rates, calls in flight and queued messages of the sender."""
    figure, axes = plt.subplots(3, 1, figsize=(11, 7.5), sharex=True)
    times_s = data.bin_times_s()
    for name, colour in zip(SERIES_NAMES, SERIES_COLOURS, strict=True):
        axes[0].plot(times_s, data.total_rate_per_s(name), label=name, color=colour, linewidth=1.2)
    axes[0].set_ylabel("per second")
    axes[0].legend(ncols=6, fontsize=8, loc="upper right")
    in_flight = sum((series.in_flight for series in data.destinations.values()), np.zeros(BINS))
    queued = sum((series.queued for series in data.destinations.values()), np.zeros(BINS))
    axes[1].fill_between(times_s, in_flight, step="mid", color=BLUE, alpha=0.6)
    axes[1].axhline(data.concurrency_limit, color=RED, linewidth=0.8)
    axes[1].set_ylabel("calls in flight\n(sum of maxima)")
    axes[2].fill_between(times_s, queued, step="mid", color=ORANGE, alpha=0.6)
    axes[2].set_ylabel("queued\n(sum of maxima)")
    axes[2].set_xlabel("seconds")
    for axis in axes:
        _draw_marks(axis, data)
        axis.grid(alpha=0.25)
    return _render_png(figure)


def draw_heatmaps(data: ReportData, destinations: list[DestinationSeries]) -> bytes:
    """Return a PNG of the health, queued messages and latency of many destinations, one row per destination."""
    figure, axes = plt.subplots(
        1, 3, figsize=(15, 1.6 + 0.19 * len(destinations)), sharey=True, layout="constrained"
    )
    extent = (0.0, data.span_s(), len(destinations) - 0.5, -0.5)
    _draw_health(figure, axes[0], destinations, extent)
    panels = (
        (axes[1], "queued (maximum)", [series.queued for series in destinations], "Oranges"),
        (
            axes[2],
            "latency (median, ms)",
            [series.latency_quantile(0.5) for series in destinations],
            "Blues",
        ),
    )
    for axis, title, rows, colours in panels:
        image = axis.imshow(
            np.array(rows), aspect="auto", extent=extent, cmap=colours, interpolation="nearest"
        )
        figure.colorbar(image, ax=axis)
        axis.set_title(title)
    for axis in axes:
        axis.set_xlabel("seconds")
    numbers = [str(series.number) for series in destinations]
    axes[0].set_yticks(range(len(destinations)), numbers, fontsize=7)
    axes[0].set_ylabel("destination")
    return _render_png(figure)


def _draw_health(
    figure: Figure,
    axis: Axes,
    destinations: list[DestinationSeries],
    extent: tuple[float, float, float, float],
) -> None:
    image = axis.imshow(
        np.array([series.health_state for series in destinations]),
        aspect="auto",
        extent=extent,
        cmap=ListedColormap(HEALTH_COLOURS),
        vmin=-0.5,
        vmax=len(HEALTH_STATES) - 0.5,
        interpolation="nearest",
    )
    bar = figure.colorbar(image, ax=axis, ticks=range(len(HEALTH_STATES)))
    bar.ax.set_yticklabels(HEALTH_STATES)
    axis.set_title("health (worst per bin)")


def draw_destination(data: ReportData, destination: DestinationSeries) -> bytes:
    """Return a PNG with all series of one destination."""
    figure, axes = plt.subplots(
        4, 1, figsize=(11, 7), sharex=True, height_ratios=PANEL_HEIGHT_RATIOS, layout="constrained"
    )
    _draw_slots(axes[0], data, destination)
    _draw_latency(axes[1], data, destination)
    _draw_rates(axes[2], data, destination)
    _draw_health_strip(axes[3], data, destination)
    for axis in axes[:3]:
        axis.legend(fontsize=8, loc="upper right")
        axis.grid(alpha=0.25)
        _draw_marks(axis, data)
    figure.suptitle(f"destination {destination.number}")
    return _render_png(figure)


def _draw_slots(axis: Axes, data: ReportData, destination: DestinationSeries) -> None:
    times_s = data.bin_times_s()
    axis.step(times_s, destination.in_flight, where="mid", color=BLUE, label="in flight (maximum)")
    axis.step(times_s, destination.queued, where="mid", color=ORANGE, label="queued (maximum)")


def _draw_latency(axis: Axes, data: ReportData, destination: DestinationSeries) -> None:
    lines = ((0.5, DARK_BLUE, "latency (median, ms)"), (0.99, LIGHT_BLUE, "latency (99th percentile, ms)"))
    for quantile, colour, label in lines:
        latencies_ms = destination.latency_quantile(quantile)
        axis.plot(data.bin_times_s(), latencies_ms, color=colour, label=label, marker=".", markersize=3)


def _draw_rates(axis: Axes, data: ReportData, destination: DestinationSeries) -> None:
    times_s = data.bin_times_s()
    width_s = data.bin_width_s()
    counts = destination.counts
    undelivered = (counts["refused"] + counts["failed"]) / width_s
    axis.step(times_s, counts["sent"] / width_s, where="mid", color=BLUE, label="sent per second")
    axis.step(times_s, counts["not ok"] / width_s, where="mid", color=ORANGE, label="not ok")
    axis.step(times_s, undelivered, where="mid", color=RED, label="refused or failed")
    axis.plot(
        times_s,
        destination.send_rate,
        color=GREEN,
        linewidth=0.9,
        linestyle="--",
        label="send rate (even shares)",
    )


def _draw_health_strip(axis: Axes, data: ReportData, destination: DestinationSeries) -> None:
    axis.imshow(
        destination.health_state[None, :],
        aspect="auto",
        extent=(0.0, data.bin_times_s()[-1] + data.bin_width_s() / 2, 0, 1),
        cmap=ListedColormap(HEALTH_COLOURS),
        vmin=-0.5,
        vmax=len(HEALTH_STATES) - 0.5,
        interpolation="nearest",
    )
    axis.set_yticks([])
    axis.set_ylabel("health", rotation=0, ha="right", va="center")
    axis.set_xlabel("seconds")


def _draw_marks(axis: Axes, data: ReportData) -> None:
    """Draw a vertical line at each mark: an event outside the decision module."""
    for clock, _ in data.marks:
        axis.axvline((clock - data.clock_span[0]) / 1000.0, color=GREY, linewidth=0.7, linestyle=":")


def _render_png(figure: Figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=DOTS_PER_INCH, bbox_inches="tight")
    plt.close(figure)
    return out.getvalue()
