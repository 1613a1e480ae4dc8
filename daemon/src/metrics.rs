//! The metrics of an instance, for metrics collectors.

use masticreel_document::class::Class;
use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0];

/// The metrics of one instance; see `docs/operating.md`.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Open connections of callers.
    pub callers: IntGauge,
    /// Memory that callers' connections hold.
    pub caller_memory: IntGauge,
    /// Callers' connections that were closed or refused for a limit, by reason.
    pub closed_callers: IntCounterVec,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Reads outside transactions, by the role of the server that answered.
    pub reads: IntCounterVec,
    /// Time from a caller's request to its answer, by class.
    pub request_seconds: HistogramVec,
    /// Requests queued for a server, by class.
    pub queued: IntGaugeVec,
    /// Time from a request's arrival at its owner to its start, by class.
    pub queue_wait_seconds: HistogramVec,
    /// Requests that owners refused, by server and kind of failure.
    pub refused: IntCounterVec,
    /// Requests that are running on a server.
    pub running: IntGaugeVec,
    /// Open connections to a server.
    pub upstream_connections: IntGaugeVec,
    /// The revision of the active document.
    pub document_revision: IntGauge,
    /// 1 if a newer revision of the document was refused, else 0.
    pub document_refused: IntGauge,
    /// 1 if the platform's store answered the last read, else 0.
    pub store_reachable: IntGauge,
    /// How fast service levels spend their error budgets, by level and window.
    pub level_burn_rate: GaugeVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::new(),
            callers: gauge("masticreel_callers", "Connections of callers."),
            caller_memory: gauge(
                "masticreel_caller_memory_bytes",
                "Memory that callers' connections hold.",
            ),
            closed_callers: counters(
                "masticreel_closed_callers_total",
                "Connections of callers that were closed or refused for a limit.",
                &["reason"],
            ),
            reads: counters(
                "masticreel_reads_total",
                "Reads by the role of the server that answered.",
                &["served_by"],
            ),
            requests: counters("masticreel_requests_total", "Requests by outcome.", &["outcome"]),
            request_seconds: histograms(
                "masticreel_request_seconds",
                "Time from a caller's request to its answer.",
                &["class"],
            ),
            queued: gauges("masticreel_queued_requests", "Requests queued.", &["server", "class"]),
            queue_wait_seconds: histograms(
                "masticreel_queue_wait_seconds",
                "Time that requests waited for a server.",
                &["server", "class"],
            ),
            refused: counters(
                "masticreel_refused_requests_total",
                "Requests refused by the owner of a server.",
                &["server", "kind"],
            ),
            running: gauges("masticreel_running_requests", "Requests executing.", &["server"]),
            upstream_connections: gauges(
                "masticreel_upstream_connections",
                "Connections open to a server.",
                &["server"],
            ),
            document_revision: gauge(
                "masticreel_document_revision",
                "Revision of the document in force.",
            ),
            document_refused: gauge(
                "masticreel_document_refused",
                "1 if a newer revision of the document is faulty and not in force.",
            ),
            store_reachable: gauge(
                "masticreel_store_reachable",
                "1 if the platform's store answered the last call.",
            ),
            level_burn_rate: level_burn_rate(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let registry = &self.registry;
        let results = [
            registry.register(Box::new(self.callers.clone())),
            registry.register(Box::new(self.caller_memory.clone())),
            registry.register(Box::new(self.closed_callers.clone())),
            registry.register(Box::new(self.requests.clone())),
            registry.register(Box::new(self.reads.clone())),
            registry.register(Box::new(self.request_seconds.clone())),
            registry.register(Box::new(self.queued.clone())),
            registry.register(Box::new(self.queue_wait_seconds.clone())),
            registry.register(Box::new(self.refused.clone())),
            registry.register(Box::new(self.running.clone())),
            registry.register(Box::new(self.upstream_connections.clone())),
            registry.register(Box::new(self.document_revision.clone())),
            registry.register(Box::new(self.document_refused.clone())),
            registry.register(Box::new(self.store_reachable.clone())),
            registry.register(Box::new(self.level_burn_rate.clone())),
        ];
        for result in results {
            result.expect("metric names are unique");
        }
    }

    /// Returns the registry, in which other modules register their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Returns the value of the `class` label for a class.
pub fn class_label(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Long => "long",
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn level_burn_rate() -> GaugeVec {
    let options = Opts::new(
        "masticreel_level_burn_rate",
        "Error budget spent, as a multiple of the rate that the objective allows.",
    );
    GaugeVec::new(options, &["level", "window"]).expect("the options are valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is valid")
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels).expect("the name is valid")
}

fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
    HistogramVec::new(options, labels).expect("the options are valid")
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
}
