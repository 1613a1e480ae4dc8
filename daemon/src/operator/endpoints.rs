//! The content of the operators' HTTP endpoints other than metrics.

use std::sync::Arc;

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::Clock;
use masticreel_base::ids::{FailureDomain, InstanceId};
use masticreel_burn::report::LevelReport;
use masticreel_document::document::Document;
use masticreel_document::wire::WireDocument;
use masticreel_report::instances::{InstanceReport, InstanceState};
use masticreel_wire::frame::SharedKey;
use masticreel_wire::signature::is_valid_signature;

use crate::burn::BurnRateTracker;
use crate::documents::Documents;
use crate::operator::view::ReportSource;

/// Why a posted document was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PostRefusal {
    /// The signature is missing or wrong.
    Unsigned,
    /// The body is not a valid document.
    Invalid,
}

/// Returns the status, levels and document of the instance, and applies posted
/// documents.
#[derive(Clone)]
pub struct OperatorEndpoints<Reports, Time> {
    /// The instance's name.
    pub name: InstanceId,
    /// The failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// The active document.
    pub documents: Documents,
    /// Reports on the fleet and the database groups.
    pub fleet: Reports,
    /// The requests recorded for the service levels.
    pub burn: BurnRateTracker<Time>,
    /// The secret that a posted document is signed with.
    pub key: SharedKey,
    /// Cancelled as soon as the instance starts to shut down and takes on no new work,
    /// while its threads still run.
    pub stopping: CancellationToken,
}

impl<Reports, Time> OperatorEndpoints<Reports, Time>
where
    Reports: ReportSource,
    Time: Clock,
{
    /// Returns the status of this instance.
    pub fn status(&self) -> InstanceReport {
        let document = self.documents.current();
        InstanceReport {
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            failure_domain: self.failure_domain.clone(),
            state: self.state(&document),
            revision: document.revision(),
            refused: self.documents.refused(),
            store: self.documents.store_state(),
            lost_edits: self.documents.lost_edits().map(|lost| lost.to_string().into()),
        }
    }

    /// Returns the reports on the active document's service levels.
    pub fn levels(&self) -> Vec<LevelReport> {
        self.burn.reports(self.documents.current().levels())
    }

    /// Returns the active document.
    pub fn document(&self) -> WireDocument {
        WireDocument::from(&*self.documents.current())
    }

    /// Applies a posted document if it is newer than the active one.
    ///
    /// # Errors
    ///
    /// Fails if the document is not signed with the fleet's key, or is faulty.
    pub fn post_document(&self, body: &[u8], signature: &str) -> Result<(), PostRefusal> {
        if !is_valid_signature(&self.key, body, signature) {
            return Err(PostRefusal::Unsigned);
        }
        let wire: WireDocument = serde_json::from_slice(body).map_err(|_| PostRefusal::Invalid)?;
        let document = Document::try_from(wire).map_err(|_| PostRefusal::Invalid)?;
        self.documents.apply(document);
        Ok(())
    }

    fn state(&self, document: &Arc<Document>) -> InstanceState {
        if self.stopping.is_cancelled() {
            return InstanceState::Leaving;
        }
        // Revision 0 is the empty document of a start.
        if document.revision().0 == 0 {
            return InstanceState::Starting;
        }
        InstanceState::Serving
    }
}
