//! Tests which servers the view of the store lists for a group.

mod support;

use masticreel_base::ids::GroupId;
use masticreel_base::ids::ServerId;
use masticreel_proxy::directory::Server;
use masticreel_proxy::protocol::{ProtocolError, StoreContent, StoreProtocol};
use masticreel_proxy::records::{Item, StoreCall, StoreEvent, StoreReply};
use masticreel_proxy::store_view::StoreView;

/// A protocol whose items are all servers, with the group's name as the value.
struct NamedGroups;

impl StoreProtocol for NamedGroups {
    fn encode(&self, _call: &StoreCall, _output: &mut Vec<u8>) {}

    fn decode(
        &self,
        _call: &StoreCall,
        _input: &mut Vec<u8>,
    ) -> Result<Option<StoreReply>, ProtocolError> {
        Ok(None)
    }

    fn parse_content(&self, key: &str, value: &[u8]) -> StoreContent {
        let group = String::from_utf8_lossy(value);
        StoreContent::Server(Server {
            id: key.into(),
            group: group.as_ref().into(),
            address: ([127, 0, 0, 1], 1000).into(),
            domain: "domain-1".into(),
            slots: 4,
            is_leaving: false,
            role: None,
            started_ms: 1,
        })
    }

    fn server_of_key(&self, key: &str) -> Option<ServerId> {
        Some(key.into())
    }
}

fn entry(key: &str, group: &str, revision: u64) -> Item {
    Item { key: key.into(), value: group.into(), revision, created: revision }
}

fn servers(view: &StoreView, group: &str) -> Vec<String> {
    let group: GroupId = group.into();
    view.servers_of(&group).map(|server| server.id.to_string()).collect()
}

#[test]
fn test_servers_are_found_by_the_group_that_they_serve_now() {
    let mut view = StoreView::default();
    view.replace(&[entry("s1", "a", 1), entry("s2", "a", 2), entry("s3", "b", 3)], &NamedGroups);
    assert_eq!(
        (servers(&view, "a"), servers(&view, "b")),
        (vec!["s1".into(), "s2".into()], vec!["s3".into()])
    );
    view.apply(&[StoreEvent::Written(entry("s2", "b", 4))], &NamedGroups);
    assert_eq!(
        (servers(&view, "a"), servers(&view, "b")),
        (vec!["s1".into()], vec!["s2".into(), "s3".into()])
    );
    view.apply(&[StoreEvent::Removed { key: "s3".into(), revision: 5 }], &NamedGroups);
    assert_eq!(servers(&view, "b"), ["s2"]);
    view.replace(&[entry("s1", "b", 1)], &NamedGroups);
    assert_eq!(
        (servers(&view, "a"), servers(&view, "b")),
        (Vec::<String>::new(), vec!["s1".to_owned()])
    );
}
