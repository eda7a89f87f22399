"""Prometheus metrics of the entry process, served at ``/metrics``."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector

DURATION_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class Metrics:
    """Hold the metrics of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.submissions = Counter(
            "redwingport_submissions",
            "Submissions ended, by service and outcome",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.submission_seconds = Histogram(
            "redwingport_submission_duration_seconds",
            "Time from receipt to answer",
            ("service",),
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self.starts = Counter(
            "redwingport_task_starts",
            "Tasks started on backend servers, by kind of server",
            ("kind",),
            registry=self.registry,
        )
        self.messages = Counter(
            "redwingport_messages",
            "Messages sent and received, by kind",
            ("kind",),
            registry=self.registry,
        )
        self.declined = Counter(
            "redwingport_task_declines",
            "Tasks declined by workers",
            registry=self.registry,
        )
        self.retries = Counter(
            "redwingport_retries",
            "Requests sent again, by cause",
            ("cause",),
            registry=self.registry,
        )
        self.ejections = Counter(
            "redwingport_server_ejections",
            "Backend servers ejected for failures",
            registry=self.registry,
        )
        self.queued = Gauge(
            "redwingport_queued_tasks",
            "Tasks waiting in this process",
            ("kind",),
            registry=self.registry,
        )
        self.peers = Gauge(
            "redwingport_peer_links",
            "Open links to peers",
            registry=self.registry,
        )
        self.platform_errors = Counter(
            "redwingport_platform_errors",
            "Failed exchanges with the platform, by step",
            ("step",),
            registry=self.registry,
        )
        self.platform_bytes = Counter(
            "redwingport_platform_bytes",
            "Bytes of bodies exchanged with the platform",
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "redwingport_peer_bytes",
            "Bytes of frames sent to peers, by message",
            ("message",),
            registry=self.registry,
        )
        self.documents = Gauge(
            "redwingport_document_revision",
            "Revision in force, by service",
            ("service",),
            registry=self.registry,
        )
