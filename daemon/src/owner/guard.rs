//! The decisions that surround a request at its server.

use std::time::Instant;

use masticreel_base::failure::Failure;
use masticreel_base::position::TermPosition;
use masticreel_wire::message::UpstreamRequest;

/// Decides whether a server may serve a request, and when a commit is safe.
pub trait ServerGuard: Clone + Send + Sync + 'static {
    /// Checks the server's role and position right before the request runs.
    ///
    /// # Errors
    ///
    /// Fails when the server can't serve the request; the request has not run.
    fn admit(&self, request: &UpstreamRequest, deadline: Instant) -> Result<(), Failure>;

    /// Waits until a commit can't be lost by a promotion.
    ///
    /// # Errors
    ///
    /// Fails when that is not known in time; the request may have run.
    fn confirm(
        &self,
        request: &UpstreamRequest,
        position: TermPosition,
        deadline: Instant,
    ) -> Result<(), Failure>;
}

/// Trusts the server, for a single instance without failover.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unguarded;

impl ServerGuard for Unguarded {
    fn admit(&self, _request: &UpstreamRequest, _deadline: Instant) -> Result<(), Failure> {
        Ok(())
    }

    fn confirm(
        &self,
        _request: &UpstreamRequest,
        _position: TermPosition,
        _deadline: Instant,
    ) -> Result<(), Failure> {
        Ok(())
    }
}
