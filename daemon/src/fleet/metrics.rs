//! The metrics of this instance's membership in the fleet.

use masticreel_fleet::member::MemberState;
use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts};

use crate::fleet::snapshot::FleetSnapshot;
use crate::metrics::Metrics;

/// The metrics of the fleet; see `docs/operating.md`.
#[derive(Debug, Clone)]
pub struct FleetMetrics {
    members: IntGaugeVec,
    refused: IntCounterVec,
    /// Bytes of datagrams sent, without headers.
    pub sent_bytes: IntCounter,
    /// Bytes of datagrams received, without headers.
    pub received_bytes: IntCounter,
    /// Documents requested from peers.
    pub fetches: IntCounter,
    /// Reads of the store.
    pub store_reads: IntCounter,
}

impl FleetMetrics {
    /// Creates and registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        let fleet_metrics = Self {
            members: IntGaugeVec::new(
                Opts::new("masticreel_members", "Members of the fleet by state."),
                &["state"],
            )
            .expect("the name is valid"),
            refused: IntCounterVec::new(
                Opts::new("masticreel_refused_datagrams_total", "Datagrams dropped by reason."),
                &["reason"],
            )
            .expect("the name is valid"),
            sent_bytes: counter(
                "masticreel_control_sent_bytes_total",
                "Bytes of datagrams sent to other instances.",
            ),
            received_bytes: counter(
                "masticreel_control_received_bytes_total",
                "Bytes of datagrams received from other instances.",
            ),
            fetches: counter(
                "masticreel_document_fetches_total",
                "Documents asked of other instances.",
            ),
            store_reads: counter(
                "masticreel_store_reads_total",
                "Reads of the document's head in the platform's store.",
            ),
        };
        fleet_metrics.register(metrics);
        fleet_metrics
    }

    fn register(&self, metrics: &Metrics) {
        let registry = metrics.registry();
        let results = [
            registry.register(Box::new(self.members.clone())),
            registry.register(Box::new(self.refused.clone())),
            registry.register(Box::new(self.sent_bytes.clone())),
            registry.register(Box::new(self.received_bytes.clone())),
            registry.register(Box::new(self.fetches.clone())),
            registry.register(Box::new(self.store_reads.clone())),
        ];
        for result in results {
            result.expect("metric names are unique");
        }
    }

    /// Counts a datagram that was dropped, received or about to be sent.
    pub fn count_dropped(&self, reason: &str) {
        self.refused.with_label_values(&[reason]).inc();
    }

    /// Sets the number of members in each state, this instance included.
    pub fn set_members(&self, snapshot: &FleetSnapshot) {
        let states =
            [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
        for state in states {
            let members = std::iter::once(&snapshot.own).chain(&snapshot.others);
            let count = members.filter(|member| member.state == state).count();
            let gauge = self.members.with_label_values(&[&state.to_string()]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name is valid")
}
