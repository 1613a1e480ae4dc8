//! Confirmation of commits around a change of the instances that watch a group.
//!
//! When membership changes, another instance may become the observer of a group while
//! commits made here still wait until a majority holds them. Giving these up would tell
//! their callers that acknowledged work may have run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::unbounded;
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::{Incarnation, LogPosition, RequestId, Revision, Term};
use masticreel_base::position::TermPosition;
use masticreel_daemon::directory::{OwnerDirectory, OwnerLocation};
use masticreel_daemon::groups::Groups;
use masticreel_daemon::owner::guard::ServerGuard;
use masticreel_daemon::watch::guard::WatchGuard;
use masticreel_daemon::watch::{ObserverIdentity, Watch};
use masticreel_document::document::Document;
use masticreel_document::groups::ServerSpec;
use masticreel_document::section::SectionText;
use masticreel_wire::message::{Pinning, SessionKey, Target, UpstreamRequest, WireClass};

/// The servers' addresses refuse connections, so no position is ever confirmed.
const GROUP: &str = "[[groups]]\nname = \"app\"\ndatabase = \"app\"\n\
     [[groups.servers]]\nname = \"app-0\"\naddress = \"127.0.0.1:9\"\n\
     failure_domain = \"domain-a\"\n";
/// Longer than the interval at which the watched groups are updated.
const UPDATE_TIME: Duration = Duration::from_millis(600);
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Names this instance as the owner of all servers, until membership moves them.
#[derive(Clone)]
struct MovableOwnership {
    is_local: Arc<AtomicBool>,
}

impl OwnerDirectory for MovableOwnership {
    fn owners(&self, _server: &ServerSpec) -> Vec<OwnerLocation> {
        let remote = OwnerLocation::Remote(([127, 0, 0, 1], 9).into());
        vec![if self.is_local.load(Ordering::Acquire) { OwnerLocation::Local } else { remote }]
    }
}

fn document() -> Document {
    let section = SectionText { revision: Revision(1), text: GROUP.into(), author: "test".into() };
    Document::parse([("app".into(), section)].into(), Revision(1)).unwrap()
}

fn insert() -> UpstreamRequest {
    UpstreamRequest {
        id: RequestId(1),
        session: SessionKey { entry: Incarnation(1), caller: 1 },
        group: "app".into(),
        server: "app-0".into(),
        target: Target::Primary,
        pinning: Pinning::Free,
        class: WireClass::default(),
        user: "ana".into(),
        database: "app".into(),
        settings: Vec::new(),
        deadline_ms: 5000,
        fingerprint: 0,
        leaves_state: false,
        payload: Vec::new(),
        prepared: Vec::new(),
        prepares: Vec::new(),
        request_key: None,
    }
}

#[test]
fn test_commit_waits_on_after_the_group_moves_to_another_observer() {
    let ownership = MovableOwnership { is_local: Arc::new(AtomicBool::new(true)) };
    let cancellation = CancellationToken::new();
    let identity = ObserverIdentity {
        instance: "instance-0".into(),
        failure_domain: "domain-a".into(),
        incarnation: Incarnation(1),
    };
    let groups = Groups::new(Arc::new(ArcSwap::from_pointee(document())));
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let (replaced, _receiver) = unbounded();
    let watch =
        Watch::start(identity, groups, ownership.clone(), replaced, logger, cancellation.clone())
            .unwrap();
    let guard = WatchGuard::new(watch.clone());
    let position = TermPosition::new(Term(1), LogPosition(3));

    let hold = guard.hold_confirmation(&insert());
    assert_eq!(guard.check_commit(&insert(), position), None);
    ownership.is_local.store(false, Ordering::Release);
    thread::sleep(UPDATE_TIME);
    assert!(watch.group(&"app".into()).is_none(), "the group is still watched");
    let new_request = guard.check_request(&insert());
    assert!(matches!(new_request, Some(Err(_))), "a new request is accepted: {new_request:?}");
    assert_eq!(guard.check_commit(&insert(), position), None, "the commit was given up");

    // Once nothing waits any more, the servers are no longer polled.
    drop(hold);
    let deadline = Instant::now() + STOP_TIMEOUT;
    while watch.polled_group(&"app".into()).is_some() {
        assert!(Instant::now() < deadline, "the group is polled for ever");
        thread::sleep(Duration::from_millis(50));
    }
    cancellation.cancel();
}
