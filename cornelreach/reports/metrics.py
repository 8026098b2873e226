"""Prometheus metrics of an instance; defines the names and units of all of them.

While calls run, counters are plain numbers; they are copied into aioprometheus at each
scrape, because its labelled increments would cost microseconds per token.
"""

import collections
import typing

import aioprometheus
from aioprometheus import renderer

PREFIX = "cornelreach_"
BUCKETS_MS = [10, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000, 15_000]


class Spec(typing.NamedTuple):
    """One metric: kind ``counter``, ``gauge`` or ``histogram``, labels and meaning."""

    name: str
    kind: str
    labels: tuple[str, ...]
    help: str


SPECS = (
    Spec(
        "calls_total",
        "counter",
        ("account", "code"),
        "Calls by outcome; ok if complete.",
    ),
    Spec(
        "first_token_ms_total", "counter", ("account",), "Sum of times to first token."
    ),
    Spec(
        "first_tokens_total",
        "counter",
        ("account",),
        "Streams that delivered a first token.",
    ),
    Spec("token_gaps_total", "counter", ("account",), "Gaps between tokens."),
    Spec("token_gap_ms_total", "counter", ("account",), "Sum of gaps between tokens."),
    Spec("prompt_tokens_total", "counter", ("account",), "Prompt tokens of answers."),
    Spec("cached_tokens_total", "counter", ("account",), "Prompt tokens from a cache."),
    Spec("late_events_total", "counter", ("account", "measure"), "Objectives missed."),
    Spec("settings_revision", "gauge", (), "Highest settings revision applied."),
    Spec("platform_reachable", "gauge", (), "1 if the last platform call succeeded."),
    Spec("connections", "gauge", (), "Open connections of callers."),
    Spec("peers", "gauge", (), "Instances known to be alive."),
    Spec(
        "requests_total", "counter", ("outcome", "status"), "Edge: requests by outcome."
    ),
    Spec(
        "tries_total", "counter", ("outcome",), "Edge: attempts at targets by outcome."
    ),
    Spec(
        "retries_held_total",
        "counter",
        ("service", "ground"),
        "Edge: requests that got no further attempt, by what kept it back.",
    ),
    Spec(
        "answers_skipped_total",
        "counter",
        ("claim",),
        "Edge: answers to other requests on a target's connection, by what they say.",
    ),
    Spec(
        "tries_on_one_connection_total",
        "counter",
        ("service",),
        "Edge: tries of requests on a connection that an earlier try was written to.",
    ),
    Spec(
        "answers_lost_total",
        "counter",
        ("service", "progress"),
        "Edge: answers lost, by how far they had come.",
    ),
    Spec(
        "streams_total",
        "counter",
        ("outcome", "framing", "open_event"),
        "Edge: streams by outcome, framing, and whether an event was incomplete.",
    ),
    Spec(
        "streams_taken_up_total",
        "counter",
        ("origin",),
        "Edge: streams taken up by callers, by what told where they began.",
    ),
    Spec(
        "first_byte_ms", "histogram", ("route",), "Edge: request header to first byte."
    ),
    Spec(
        "first_token_error_ms",
        "histogram",
        ("direction",),
        "Edge: difference of the actual to the estimated time to the first token,"
        " by whether it came later or earlier; contract pressure.",
    ),
    Spec(
        "room_refusals_total",
        "counter",
        ("service", "reason"),
        "Edge: requests refused since no engine has room for them in time, by limit.",
    ),
    Spec(
        "requests_waiting_for_room",
        "gauge",
        (),
        "Edge: requests that wait for room at an engine.",
    ),
    Spec("requests_under_way", "gauge", (), "Edge: requests in progress."),
    Spec("catalogue_version", "gauge", (), "Edge: configuration version applied."),
    Spec(
        "proof_age_ms", "gauge", (), "Edge: time since the configuration was confirmed."
    ),
    Spec(
        "release_phase",
        "gauge",
        ("service",),
        "Edge: phase of a software rollout: 0 observing, 1 shifting, 2 reverting, "
        "3 succeeded, 4 reverted.",
    ),
    Spec(
        "release_share",
        "gauge",
        ("service",),
        "Edge: share of the requests that the new software version may get now.",
    ),
    Spec(
        "release_responses_total",
        "counter",
        ("service", "version", "result"),
        "Edge: responses counted for a rollout, by version (old or new) and result.",
    ),
    Spec("targets_open", "gauge", (), "Edge: targets that take new requests."),
    Spec("targets_suspected", "gauge", (), "Edge: targets suspected of having failed."),
    Spec("cut_off", "gauge", (), "Edge: 1 while no target is reached."),
    Spec("targets_resting", "gauge", (), "Edge: targets that asked for a rest."),
    Spec("targets_limited", "gauge", (), "Edge: targets that named a limit."),
    Spec("targets_leaving", "gauge", (), "Edge: targets that said they leave."),
    Spec("store_era", "gauge", (), "Edge: era of the platform's store."),
    Spec(
        "parts_known", "gauge", (), "Edge: prompt parts known to be in prompt stores."
    ),
    Spec(
        "parts_quarantined",
        "gauge",
        (),
        "Edge: prompt parts that are refused because targets crash on them.",
    ),
    Spec(
        "requests_quarantined",
        "gauge",
        (),
        "Edge: requests that are refused because targets crash on them.",
    ),
    Spec(
        "connections_bounded_total",
        "counter",
        ("port", "bound"),
        "Edge: connections closed, not accepted, or a body rejected, by which bound.",
    ),
    Spec("connections_accepted", "gauge", (), "Edge: connections on all ports."),
    Spec("held_bytes", "gauge", (), "Edge: bytes that connections make it hold."),
    Spec("peers_alive", "gauge", (), "Edge: peers heard from in the last few seconds."),
    Spec(
        "log_lines_dropped",
        "gauge",
        (),
        "Edge: log lines dropped because the buffer was full.",
    ),
    Spec("pools_owned", "gauge", (), "Pools that this instance owns."),
)


class Metrics:
    """The metrics of one instance.

    ``add`` increments a counter; a gauge is a function that is called at each scrape::

        metrics.add("calls_total", 1, "tirnica", "ok")
        metrics.gauge("connections", lambda: len(server.connections))
    """

    def __init__(self) -> None:
        self._values: dict[str, dict[tuple[str, ...], float]] = {
            spec.name: collections.defaultdict(float) for spec in SPECS
        }
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        histogram_registry = aioprometheus.Registry()
        self._histograms = {
            spec.name: aioprometheus.Histogram(
                PREFIX + spec.name,
                spec.help,
                registry=histogram_registry,
                buckets=BUCKETS_MS,
            )
            for spec in SPECS
            if spec.kind == "histogram"
        }

    def add(self, name: str, amount: float, *labels: str) -> None:
        """Add to a counter; labels in the order of its spec."""
        self._values[name][labels] += amount

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram."""
        self._histograms[name].observe(labels, value)

    def set(self, name: str, value: float, *labels: str) -> None:
        """Set the value of a gauge with labels, in the order of its spec."""
        self._values[name][labels] = value

    def clear(self, name: str, *labels: str) -> None:
        """Remove the value of a gauge with labels, if it has one."""
        self._values[name].pop(labels, None)

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Set the function that returns the value of a gauge at each scrape."""
        if name not in self._values:
            raise KeyError(f"no metric is named {name!r}; add it to SPECS")
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return the text exposition of every metric that has a value."""
        registry = aioprometheus.Registry()
        for spec in SPECS:
            if spec.kind == "histogram":
                registry.register(self._histograms[spec.name])
            else:
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
        "Served at `/metrics` of the daemon's admin address and on the port that",
        "deploy/system.toml names for the edge, whose metrics begin with Edge. A test",
        "compares this page with the code. Times are in milliseconds.",
        "",
        "| name | kind | labels | meaning |",
        "| --- | --- | --- | --- |",
    ]
    return "\n".join(head + rows) + "\n"
