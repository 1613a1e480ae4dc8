//! Metrics about the queue and connections of an owned server.

use masticreel_base::failure::Failure;
use masticreel_base::ids::ServerId;
use masticreel_document::class::Class;

use crate::metrics::{Metrics, class_label};
use crate::owner::job::Job;
use crate::owner::submission::{OwnedAdmission, class};

pub(super) struct ServerMetrics<'owner> {
    /// The server, which is a label of the metrics.
    pub(super) server: &'owner ServerId,
    /// The metrics of the instance.
    pub(super) metrics: &'owner Metrics,
}

impl ServerMetrics<'_> {
    /// Sets the gauges for queued and running requests and for connections.
    pub(super) fn record_load(&self, admission: &OwnedAdmission) {
        let server = self.server.as_str();
        let queue = admission.queue();
        for class in [Class::Urgent, Class::Normal, Class::Long] {
            let labels = [server, class_label(class)];
            self.metrics.queued.with_label_values(&labels).set(gauge(queue.waiting(class)));
        }
        self.metrics.running.with_label_values(&[server]).set(gauge(queue.running()));
        let connections = i64::from(admission.pool().len());
        self.metrics.upstream_connections.with_label_values(&[server]).set(connections);
    }

    /// Records how long a request that starts now has been queued.
    pub(super) fn record_wait(&self, job: &Job) {
        let labels = [self.server.as_str(), class_label(class(job.request.class))];
        let waits = self.metrics.queue_wait_seconds.with_label_values(&labels);
        waits.observe(job.arrived_at.elapsed().as_secs_f64());
    }

    /// Counts a refused request.
    pub(super) fn record_refusal(&self, failure: &Failure) {
        let labels = [self.server.as_str(), &failure.kind.to_string()];
        self.metrics.refused.with_label_values(&labels).inc();
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
