//! Chooses the server that serves a read.

use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::ServerId;
use masticreel_base::position::TermPosition;
use masticreel_document::class::Class;
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_session::floors::{Floor, Floors};
use masticreel_session::routing::{Candidate, ReadRequirements, ReadRoute, ReadRouter};
use masticreel_wire::message::Target;

use crate::directory::OwnerDirectory;
use crate::entry::attempts::Attempts;
use crate::entry::router::{Destination, RoutedSession, Router};
use crate::owner::guard::ServerGuard;

/// How long a replica may be expected to take to catch up; if none is expected to do so
/// in time, the primary serves the read. The owner bounds the actual wait by
/// `REQUIREMENTS_TIMEOUT`.
const READ_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(100);

impl<Guard, Directory> Router<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    /// Returns the server that should serve a read, and the read's requirements.
    pub(super) fn read_destination(
        &self,
        session: &mut RoutedSession,
        group: &GroupSpec,
        attempts: &Attempts<'_>,
    ) -> Result<Destination, Failure> {
        let requirements = self.read_requirements(session, group, attempts)?;
        let view = self.views.view(&group.name);
        let is_urgent = attempts.profile.class == Class::Urgent;
        let router = ReadRouter {
            failure_domain: self.failure_domain.clone(),
            catch_up_timeout: if is_urgent { Duration::ZERO } else { READ_CATCH_UP_TIMEOUT },
        };
        let mut candidates: Vec<Candidate> = group.servers.iter().map(candidate).collect();
        // Without candidates the router chooses the primary.
        if attempts.primary_only {
            candidates.clear();
        }
        let route = router.route(&view, &candidates, &requirements, rand::random(), Instant::now());
        let server = match route {
            ReadRoute::Replica(server)
            | ReadRoute::CatchingUpReplica(server)
            | ReadRoute::Primary(server) => server,
            ReadRoute::NoServer => return Err(no_server(group)),
        };
        let server = find_server(group, &server).ok_or_else(|| no_server(group))?;
        let target = Target::Read {
            floor: requirements.floor,
            max_staleness_ms: requirements.max_staleness.map(milliseconds),
        };
        Ok(Destination { server, target })
    }

    fn read_requirements(
        &self,
        session: &mut RoutedSession,
        group: &GroupSpec,
        attempts: &Attempts<'_>,
    ) -> Result<ReadRequirements, Failure> {
        let max_staleness = attempts.attributes.traits.max_staleness;
        let is_named = session.identity.is_named() || attempts.attributes.tags.session.is_some();
        let known = session.identity.floor(&group.name);
        let floor = match known {
            Some(floor) if !is_named => floor,
            // A new session has no writes of its own that stale data could lack.
            None if !is_named && !max_staleness.is_zero() => Floor::default(),
            _ => {
                let position = self.current_position(group, attempts)?;
                if !is_named {
                    session.identity.record_write(&group.name, position);
                }
                raised_floor(group, known.unwrap_or_default(), position)
            }
        };
        Ok(ReadRequirements::new(floor, max_staleness))
    }

    fn current_position(
        &self,
        group: &GroupSpec,
        attempts: &Attempts<'_>,
    ) -> Result<TermPosition, Failure> {
        self.positions.current(&self.views, group, attempts.deadline).ok_or_else(|| {
            let message = format!("no majority confirms the position of group {}", group.name);
            Failure::not_run(FailureKind::Unavailable, message)
        })
    }
}

fn raised_floor(group: &GroupSpec, floor: Floor, position: TermPosition) -> Floor {
    let mut floors: Floors = std::iter::once((group.name.clone(), floor)).collect();
    floors.record_write(&group.name, position);
    floors.get(&group.name).unwrap_or_default()
}

fn candidate(server: &ServerSpec) -> Candidate {
    Candidate {
        server: server.name.clone(),
        failure_domain: server.failure_domain.clone(),
        leaving: server.leaving,
    }
}

fn find_server(group: &GroupSpec, server: &ServerId) -> Option<ServerSpec> {
    group.servers.iter().find(|spec| spec.name == *server).cloned()
}

fn no_server(group: &GroupSpec) -> Failure {
    let message = format!("no server of group {} shows what the session must see", group.name);
    Failure::not_run(FailureKind::Unavailable, message)
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
