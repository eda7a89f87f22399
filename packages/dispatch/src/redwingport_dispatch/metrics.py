"""Prometheus metrics of a process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector
from result import Err, Result

from redwingport_dispatch.exceptions import OrderError, StoreError

DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)
TASK_BUCKETS = (1, 2, 4, 8, 16, 32)
DECLARED_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0)


class Metrics:
    """Hold the metrics of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._jobs = Counter(
            "redwingport_jobs",
            "Jobs answered, by queue and outcome",
            ("queue", "outcome"),
            registry=self.registry,
        )
        self._job_seconds = Histogram(
            "redwingport_job_duration_seconds",
            "Time from receipt of a job to its answer",
            ("outcome",),
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self._job_tasks = Histogram(
            "redwingport_job_tasks",
            "Number of tasks of an answered job",
            ("outcome",),
            buckets=TASK_BUCKETS,
            registry=self.registry,
        )
        self._job_declared_seconds = Histogram(
            "redwingport_job_declared_seconds",
            "Sum of the declared run times of the tasks of an answered job",
            ("outcome",),
            buckets=DECLARED_BUCKETS_S,
            registry=self.registry,
        )
        self._first_start_seconds = Histogram(
            "redwingport_job_first_start_seconds",
            "Time from receipt of a job to the order to start its first task",
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self._orders = Counter(
            "redwingport_orders",
            "Orders to backend servers, by kind and outcome",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self._start_seconds = Histogram(
            "redwingport_start_order_duration_seconds",
            "Time from the order to start a task to its answer",
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self._store_calls = Counter(
            "redwingport_store_calls",
            "Calls to the platform's store, by kind and outcome",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self.owner_changes = Counter(
            "redwingport_owner_changes",
            "Changes of the process that owns the backend servers, as seen here",
            registry=self.registry,
        )
        self.log_lines_dropped = Counter(
            "redwingport_log_lines_dropped",
            "Log lines that were dropped to bound the log",
            registry=self.registry,
        )
        self.queued_works = Gauge(
            "redwingport_queued_works",
            "Works that wait for servers at this owner",
            ("shard",),
            registry=self.registry,
        )
        self.refused_works = Counter(
            "redwingport_refused_works",
            "Works that the owner of a shard refused, by reason",
            ("shard", "reason"),
            registry=self.registry,
        )
        self.abandoned_works = Counter(
            "redwingport_abandoned_works",
            "Works that the owner of a shard abandoned after they had started",
            ("shard",),
            registry=self.registry,
        )
        self.crashed_runs = Counter(
            "redwingport_crashed_runs",
            "Runs during which their server crashed, as observed by the owners in this process",
            registry=self.registry,
        )
        self.configuration_revision = Gauge(
            "redwingport_configuration_revision",
            "Revision of the configuration in force",
            registry=self.registry,
        )

    def observe_job(
        self, queue: str, outcome: str, duration_s: float, tasks: int, declared_s: float
    ) -> None:
        """Record the end of a job.

        :param queue: queue of the job.
        :param outcome: outcome of the job.
        :param duration_s: time since its receipt, in seconds.
        :param tasks: number of its tasks.
        :param declared_s: sum of the declared run times of its tasks, in seconds.
        """
        self._jobs.labels(queue, outcome).inc()
        self._job_seconds.labels(outcome).observe(duration_s)
        self._job_tasks.labels(outcome).observe(tasks)
        self._job_declared_seconds.labels(outcome).observe(declared_s)

    def observe_first_start(self, wait_s: float) -> None:
        """Record the time from receipt of a job to its first start order, in seconds."""
        self._first_start_seconds.observe(wait_s)

    def observe_order(
        self, kind: str, result: Result[object, OrderError], duration_s: float | None = None
    ) -> None:
        """Record an order to a backend server.

        :param kind: ``renew``, ``start`` or ``stop``.
        :param result: its answer or error.
        :param duration_s: time to the answer, in seconds; passed for start orders only.
        """
        outcome = result.err_value.failure.name.lower() if isinstance(result, Err) else "ok"
        self._orders.labels(kind, outcome).inc()
        if duration_s is not None:
            self._start_seconds.observe(duration_s)

    def observe_store_call(self, kind: str, result: Result[object, StoreError]) -> None:
        """Record a call to the platform's store."""
        self._store_calls.labels(kind, "error" if isinstance(result, Err) else "ok").inc()
