//! Tests of the list of instances and its lag.

use std::time::Duration;

use masticreel_standins::instances::{Instance, InstanceList, InstanceListSettings, InstanceState};

fn read(list: &InstanceList) -> Vec<Instance> {
    let url = format!("http://{}/instances", list.address());
    ureq::get(&url).call().unwrap().body_mut().read_json().unwrap()
}

fn instance(name: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: "d1".to_owned(),
        state: InstanceState::Live,
    }
}

#[test]
fn test_list_shows_live_and_leaving_instances() {
    let list = InstanceList::start(&InstanceListSettings::default()).unwrap();
    assert_eq!(read(&list), []);
    let url = format!("http://{}/add", list.control_address());
    ureq::post(&url).send_json(instance("a")).unwrap();
    list.add(instance("b"));
    let url = format!("http://{}/leaving/a", list.control_address());
    ureq::post(&url).send_empty().unwrap();
    let states: Vec<_> = read(&list).iter().map(|entry| entry.state).collect();
    assert_eq!(states, [InstanceState::Leaving, InstanceState::Live]);
    list.remove("a");
    assert_eq!(read(&list), [instance("b")]);
}

#[test]
fn test_lag_hides_changes() {
    let lag = Duration::from_secs(3600);
    let list = InstanceList::start(&InstanceListSettings { lag, ..Default::default() }).unwrap();
    list.add(instance("a"));
    assert_eq!(read(&list), []);
    list.set_lag(Duration::ZERO);
    assert_eq!(read(&list), [instance("a")]);
}
