"""Metrics of an instance for a Prometheus scraper, all names and units in one place.

Counters are kept as plain numbers on the path of calls and copied into aioprometheus
when the scraper asks, since a labelled increment costs microseconds for each token.
"""

import collections
import typing

import aioprometheus
from aioprometheus import renderer

PREFIX = "cornelreach_"


class Spec(typing.NamedTuple):
    """One metric: kind ``counter`` or ``gauge``, its labels and meaning."""

    name: str
    kind: str
    labels: tuple[str, ...]
    help: str


SPECS = (
    Spec(
        "calls_total", "counter", ("account", "code"), "Calls by ending; ok if whole."
    ),
    Spec(
        "first_token_ms_total", "counter", ("account",), "Sum of times to first token."
    ),
    Spec("first_tokens_total", "counter", ("account",), "Streams that began."),
    Spec("token_gaps_total", "counter", ("account",), "Gaps between tokens."),
    Spec("token_gap_ms_total", "counter", ("account",), "Sum of gaps between tokens."),
    Spec("prompt_tokens_total", "counter", ("account",), "Prompt tokens of answers."),
    Spec("cached_tokens_total", "counter", ("account",), "Prompt tokens from a cache."),
    Spec("late_events_total", "counter", ("account", "measure"), "Objectives missed."),
    Spec("settings_revision", "gauge", (), "Highest settings revision in force."),
    Spec("platform_reachable", "gauge", (), "1 if the last platform call succeeded."),
    Spec("connections", "gauge", (), "Open connections of callers."),
    Spec("peers", "gauge", (), "Instances known to be alive."),
    Spec("pools_owned", "gauge", (), "Pools that this instance admits for."),
)


class Metrics:
    """The numbers of one instance.

    ``add`` counts; a gauge is a function that is called at each scrape::

        metrics.add("calls_total", 1, "tirnica", "ok")
        metrics.gauge("connections", lambda: len(server.connections))
    """

    def __init__(self) -> None:
        self._values: dict[str, dict[tuple[str, ...], float]] = {
            spec.name: collections.defaultdict(float) for spec in SPECS
        }
        self._gauges: dict[str, typing.Callable[[], float]] = {}

    def add(self, name: str, amount: float, *labels: str) -> None:
        """Add to a counter; labels in the order of its spec."""
        self._values[name][labels] += amount

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Read a gauge from a function at each scrape."""
        if name not in self._values:
            raise KeyError(f"no metric is named {name!r}; add it to SPECS")
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return the text exposition of every metric that has a value."""
        registry = aioprometheus.Registry()
        for spec in SPECS:
            self._register(spec, registry)
        body, _ = renderer.render(registry, ["text/plain"])
        return body

    def _register(self, spec: Spec, registry: aioprometheus.Registry) -> None:
        values = dict(self._values[spec.name])
        if spec.name in self._gauges:
            values[()] = self._gauges[spec.name]()
        if not values:
            return
        kinds = {"counter": aioprometheus.Counter, "gauge": aioprometheus.Gauge}
        metric = kinds[spec.kind](PREFIX + spec.name, spec.help, registry=registry)
        for labels, value in values.items():
            metric.set(dict(zip(spec.labels, labels, strict=True)), value)


def reference_markdown() -> str:
    """Return the text of docs/reference-metrics.md."""
    rows = [
        f"| `{PREFIX}{spec.name}` | {spec.kind} | {', '.join(spec.labels) or '-'} "
        f"| {spec.help} |"
        for spec in SPECS
    ]
    head = [
        "# Metrics",
        "",
        "Served at `/metrics` of the admin address; a test compares this page with the",
        "code. Times are in milliseconds.",
        "",
        "| name | kind | labels | meaning |",
        "| --- | --- | --- | --- |",
    ]
    return "\n".join(head + rows) + "\n"
