//! The metrics of the request path; listed in `docs/OPERATIONS.md`.

use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::limits::LimitReason;
use crate::quota::Counts;
use crate::store_route::GiveUpReason;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// The metrics of an instance's request path.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    local_answers: IntCounterVec,
    connections_opened: IntCounter,
    quota_operations: IntCounterVec,
    quota_units: IntCounterVec,
    quota_buckets_moved: IntCounterVec,
    quota_datagrams: IntCounter,
    quota_buckets: IntGauge,
    server_choices: IntCounterVec,
    connections_evicted: IntCounter,
    store_calls: IntCounterVec,
    store_reads_given_up: IntCounterVec,
    unauthenticated: IntCounterVec,
    limits_exceeded: IntCounterVec,
    /// What the connections hold in memory, in bytes.
    pub held_bytes: IntGauge,
    /// Connections that are not read because too much is held.
    pub not_read: IntGauge,
    /// Callers' connections.
    pub callers: IntGauge,
    /// Requests that are not answered yet.
    pub pending: IntGauge,
    /// The version of the active document.
    pub config_version: IntGauge,
    /// The era of the store.
    pub store_era: IntGauge,
    /// Time since the store last showed the newest records, in ms.
    pub confirmed_ms_ago: IntGauge,
    /// Whether the store is read through another instance.
    pub reads_through_instance: IntGauge,
    /// Whether this instance is the active coordinator, which replaces primaries.
    pub holds_duty: IntGauge,
    /// Commands of other instances that wait for a server's connection.
    pub relayed_waiting: IntGauge,
    /// Connections to servers that are held for other instances.
    pub pooled_connections: IntGauge,
    /// Log lines that were dropped, without those that the log has reported.
    pub log_lines_dropped: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            register(&registry, IntGauge::new(name, help).expect("the name is valid"))
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, counters.expect("the names are valid"))
        };
        Self {
            requests: counters(
                "masticreel_requests_total",
                "Requests of servers' work by urgency and outcome.",
                &["urgency", "outcome"],
            ),
            local_answers: counters(
                "masticreel_local_answers_total",
                "Requests that the instance answered itself, by outcome.",
                &["outcome"],
            ),
            server_choices: counters(
                "masticreel_server_choices_total",
                "Requests that several servers could run, by the role of the one that was chosen and whether its load was reported.",
                &["role", "reported"],
            ),
            store_calls: counters(
                "masticreel_store_calls_total",
                "Calls of the platform's store by kind and outcome.",
                &["call", "outcome"],
            ),
            store_reads_given_up: counters(
                "masticreel_store_reads_given_up_total",
                "Calls that read the store and were given up for another way, by reason.",
                &["reason"],
            ),
            unauthenticated: counters(
                "masticreel_unauthenticated_total",
                "Sessions refused or ended for an unknown key, by when that was found.",
                &["at"],
            ),
            request_seconds: register(
                &registry,
                HistogramVec::new(
                    HistogramOpts::new(
                        "masticreel_request_seconds",
                        "Time from a request to its answer, by urgency.",
                    )
                    .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
                    &["urgency"],
                )
                .expect("the names are valid"),
            ),
            limits_exceeded: counters(
                "masticreel_limits_exceeded_total",
                "Connections refused or closed for a limit, by limit.",
                &["limit"],
            ),
            held_bytes: gauge("masticreel_held_bytes", "Memory held for connections, in bytes."),
            not_read: gauge(
                "masticreel_connections_not_read",
                "Connections that are not read because too much memory is held.",
            ),
            connections_opened: register(
                &registry,
                IntCounter::new(
                    "masticreel_upstream_connections_opened_total",
                    "Connections opened to servers.",
                )
                .expect("the name is valid"),
            ),
            connections_evicted: register(
                &registry,
                IntCounter::new(
                    "masticreel_connections_evicted_total",
                    "Idle connections to servers closed in favour of another organisation.",
                )
                .expect("the name is valid"),
            ),
            quota_operations: counters(
                "masticreel_quota_operations_total",
                "Operations of organisations with a quota by decision of this entry.",
                &["decision"],
            ),
            quota_units: counters(
                "masticreel_quota_requests_total",
                "Units granted, and requests not granted whole, by this allocator.",
                &["decision"],
            ),
            quota_buckets_moved: counters(
                "masticreel_quota_handovers_total",
                "Buckets handed over to other instances and received from them.",
                &["direction"],
            ),
            quota_datagrams: register(
                &registry,
                IntCounter::new(
                    "masticreel_quota_datagrams_total",
                    "Datagrams about quotas that were sent.",
                )
                .expect("the name is valid"),
            ),
            quota_buckets: gauge(
                "masticreel_quota_buckets",
                "Organisations whose quota this instance allocates and has used lately.",
            ),
            callers: gauge("masticreel_callers", "Connections of callers."),
            pending: gauge("masticreel_pending_requests", "Requests without an answer."),
            config_version: gauge("masticreel_config_version", "Configuration in force."),
            store_era: gauge("masticreel_store_era", "Era of the store."),
            confirmed_ms_ago: gauge(
                "masticreel_store_confirmed_ms_ago",
                "Time since the store showed the newest records, in ms; -1 for never.",
            ),
            reads_through_instance: gauge(
                "masticreel_store_read_through_instance",
                "Whether the store is read through another instance.",
            ),
            holds_duty: gauge("masticreel_holds_duty", "Whether it replaces primaries."),
            relayed_waiting: gauge(
                "masticreel_relayed_waiting",
                "Commands of other instances that wait for a server's connection.",
            ),
            pooled_connections: gauge(
                "masticreel_pooled_connections",
                "Connections to servers held for other instances.",
            ),
            log_lines_dropped: gauge("masticreel_log_lines_dropped", "Log lines dropped."),
            registry,
        }
    }

    /// Counts a request that was answered.
    pub fn answered(&self, urgency: u8, outcome: &str, took: Duration) {
        let urgency = urgency.to_string();
        self.requests.with_label_values(&[urgency.as_str(), outcome]).inc();
        self.request_seconds.with_label_values(&[urgency.as_str()]).observe(took.as_secs_f64());
    }

    /// Counts a request that the instance answered without a server.
    pub fn answered_locally(&self, outcome: &str) {
        self.local_answers.with_label_values(&[outcome]).inc();
    }

    /// Counts decisions about quotas.
    pub fn quotas_decided(&self, counts: &Counts, buckets: usize) {
        let add = |counters: &IntCounterVec, label: &str, count: u64| {
            if count > 0 {
                counters.with_label_values(&[label]).inc_by(count);
            }
        };
        add(&self.quota_operations, "admitted", counts.admitted);
        add(&self.quota_operations, "refused_empty", counts.refused_empty);
        add(&self.quota_operations, "refused_unanswered", counts.refused_unanswered);
        add(&self.quota_units, "granted", counts.granted);
        add(&self.quota_units, "denied", counts.denied);
        add(&self.quota_buckets_moved, "sent", counts.handed_over);
        add(&self.quota_buckets_moved, "received", counts.received);
        self.quota_buckets.set(i64::try_from(buckets).unwrap_or(i64::MAX));
    }

    /// Counts a datagram about quotas that was sent.
    pub fn quota_datagram(&self) {
        self.quota_datagrams.inc();
    }

    /// Counts a connection that was opened to a server.
    pub fn connection_opened(&self) {
        self.connections_opened.inc();
    }

    /// Counts idle connections that were closed to open others for another organisation.
    pub fn connections_evicted(&self, count: u64) {
        self.connections_evicted.inc_by(count);
    }

    /// Counts a session that was refused or ended because its key is unknown: `at` its start,
    /// an operation, or while it was idle.
    pub fn unauthenticated(&self, at: &str) {
        self.unauthenticated.with_label_values(&[at]).inc();
    }

    /// Counts a connection that was refused or closed for a limit.
    pub fn limit_exceeded(&self, reason: LimitReason) {
        self.limits_exceeded.with_label_values(&[reason.to_string().as_str()]).inc();
    }

    /// Counts the choice of a server for a request that several could run.
    pub fn server_chosen(&self, is_primary: bool, has_report: bool) {
        let role = if is_primary { "primary" } else { "replica" };
        let reported = if has_report { "yes" } else { "no" };
        self.server_choices.with_label_values(&[role, reported]).inc();
    }

    /// Counts a call to the store.
    pub fn store_called(&self, call: &str, outcome: &str) {
        self.store_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Counts a call that reads the store and is given up before its timeout.
    pub fn store_read_given_up(&self, reason: GiveUpReason) {
        self.store_reads_given_up.with_label_values(&[&reason.to_string()]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<Metric>(registry: &Registry, metric: Metric) -> Metric
where
    Metric: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone())).expect("no two metrics share a name");
    metric
}
