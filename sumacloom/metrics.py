"""A daemon's own figures, served over HTTP in the Prometheus text format.

The client library is imported at the first scrape: it costs some 40 ms and 3 MB, and most processes
are never asked.
"""

import logging
import resource
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple

from sumacloom import http
from sumacloom.release import release
from sumacloom.transport.link import accept_forever, listen

logger = logging.getLogger(__name__)

PATH = "/metrics"
CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
PREFIX = "sumacloom_"
BYTES_PER_KIB = 1024
STARTED_AT = time.monotonic()


class MetricKind(Enum):
    """What may become of a value: a gauge goes up and down, a counter rises until the process ends."""

    GAUGE = "gauge"
    COUNTER = "counter"


class Metric(NamedTuple):
    """One figure of this process.

    Attributes:
        name: without the prefix; ends in its unit.
        documentation: one line for the reader of the text.
        value: the present value.
        kind: gauge or counter.
        labels: their values by name.
    """

    name: str
    documentation: str
    value: float
    kind: MetricKind = MetricKind.GAUGE
    labels: Mapping[str, str] = {}


class _Collector:
    """Hands metrics to the client library."""

    def __init__(self, metrics: Iterable[Metric]):
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """The metrics as the client library's families."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for metric in self._metrics:
            is_counter = metric.kind is MetricKind.COUNTER
            family = CounterMetricFamily if is_counter else GaugeMetricFamily
            made = family(PREFIX + metric.name, metric.documentation, labels=list(metric.labels))
            made.add_metric(list(metric.labels.values()), metric.value)
            yield made


def render(metrics: Iterable[Metric]) -> bytes:
    """Metrics as Prometheus reads them.

    >>> print(render([Metric("sessions", "Clients' sessions.", 3)]).decode(), end="")
    # HELP sumacloom_sessions Clients' sessions.
    # TYPE sumacloom_sessions gauge
    sumacloom_sessions 3.0
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


def process_metrics() -> list[Metric]:
    """What every role tells of its process: release, age, peak memory."""
    peak_memory_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return [
        Metric("build_info", "The release that runs; always 1.", 1, labels={"release": release()}),
        Metric("process_age_seconds", "Since the start.", time.monotonic() - STARTED_AT),
        Metric(
            "process_peak_memory_bytes",
            "The most memory that the process has held.",
            peak_memory_kib * BYTES_PER_KIB,
        ),
    ]


def handler_of(read_metrics: Callable[[], Iterable[Metric]]) -> http.Handler:
    """What answers a scrape."""

    async def handler(request: http.Request) -> http.Reply:
        if request.path.partition("?")[0] != PATH:
            return http.Reply(404)
        if request.method != "GET":
            return http.Reply(405)
        return http.Reply(200, render([*process_metrics(), *read_metrics()]), (CONTENT_TYPE,))

    return handler


async def serve_metrics(ip: str, port: int, read_metrics: Callable[[], Iterable[Metric]]) -> None:
    """Serves scrapes for ever; port 0 serves none, and a port in use is logged and left alone.

    Args:
        ip: this machine's own address.
        port: the settings' `metricsPort`.
        read_metrics: reads the present values.
    """
    if not port:
        return
    try:
        sock = listen(ip, port)
    except OSError as error:
        logger.warning("no metrics are served, %s:%d can't be used: %s", ip, port, error)
        return
    handler = handler_of(read_metrics)

    async def serve(client: Any) -> None:
        await http.serve_connection(client, handler, max_body=0)

    await accept_forever(sock, serve)
