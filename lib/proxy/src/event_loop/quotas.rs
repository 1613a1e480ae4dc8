//! Sends the messages about quotas, and counts and logs the decisions.

use std::time::Duration;

use slog::info;

use super::EventLoop;
use crate::engine::Context;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::Platform;
use crate::quota::Counts;

/// The shortest time between two log lines about decisions.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The decisions that are not logged yet.
#[derive(Debug, Default)]
pub(super) struct QuotaReport {
    counts: Counts,
    logged_at: Moment,
}

impl<'a, Protocols, Clock> EventLoop<'a, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    pub(super) fn observe_quota_standing(&mut self) {
        let context = Context { view: &self.view, now: self.now };
        let is_leaving = self.coordinator.is_leaving();
        self.engine.observe_quota_standing(context, self.coordinator.lease_until(), is_leaving);
    }

    pub(super) fn settle_quotas(&mut self) {
        self.engine.settle_quotas(Context { view: &self.view, now: self.now });
        for (address, message) in self.engine.quotas.take_messages() {
            self.send_datagram(address, &message);
            self.metrics.quota_datagram();
        }
    }

    /// Counts the decisions since the last call. Logs them if any operation was refused or
    /// any bucket changed hands, at most once in [`REPORT_INTERVAL`].
    pub(super) fn report_quotas(&mut self) {
        let counts = self.engine.quotas.take_counts();
        let (buckets, organisations) = self.engine.quotas.sizes();
        self.metrics.quotas_decided(&counts, buckets);
        let report = &mut self.quota_report;
        report.counts.add(&counts);
        let Counts {
            admitted,
            refused_empty,
            refused_unanswered,
            granted,
            denied,
            handed_over,
            received,
        } = report.counts;
        let is_notable = refused_empty + refused_unanswered + denied + handed_over + received > 0;
        if !is_notable || self.now.since(report.logged_at) < REPORT_INTERVAL {
            return;
        }
        report.logged_at = self.now;
        report.counts = Counts::default();
        info!(self.log, "quotas applied"; "admitted" => admitted,
            "refused_empty" => refused_empty, "refused_unanswered" => refused_unanswered,
            "granted" => granted, "denied" => denied, "handed_over" => handed_over,
            "received" => received, "buckets" => buckets, "organisations" => organisations);
    }
}
