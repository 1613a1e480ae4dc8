//! Which connections an instance opens and keeps.

mod support;

use masticreel_proxy::caller::CallerId;
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::engine::Engine;
use masticreel_proxy::statement::SessionState;
use support::{World, accept, complete, engine, ms, position, wanted, write};

/// Lets callers send one write each, and accepts the connections.
fn busy(world: &World, engine: &mut Engine, callers: u64) -> Vec<ConnectionId> {
    for id in 1..=callers {
        let caller = CallerId(id);
        engine.open_session(world.context(), caller, "db".into()).expect("the database exists");
        engine.request(world.context(), caller, format!("tag-{id}").as_str().into(), write("a"));
    }
    let connects = wanted(engine).connects;
    for (connection, _) in &connects {
        accept(world, engine, *connection);
    }
    connects.into_iter().map(|(connection, _)| connection).collect()
}

/// After a power failure of all machines, servers still held the connections of
/// the lives before and refused new ones for three seconds.
#[test]
fn test_spare_connections_are_closed_soon_after_their_work() {
    let mut world = World::serving();
    for instance in ["proxy-2", "proxy-3", "proxy-4", "proxy-5", "proxy-6"] {
        world.join(instance, 1);
    }
    world.refresh();
    let mut engine = engine();
    let connections = busy(&world, &mut engine, 2);
    assert_eq!(connections.len(), 2, "one for each waiting request");
    for connection in &connections {
        complete(&world, &mut engine, *connection, SessionState::Idle, Some(position(1, 9)));
    }
    world.pass(ms(900));
    world.refresh();
    engine.tick(world.context());
    assert!(wanted(&mut engine).disconnects.is_empty(), "a pause is no end of the load");
    world.pass(ms(200));
    world.refresh();
    engine.tick(world.context());
    assert_eq!(wanted(&mut engine).disconnects.len(), 1, "one connection is kept");
}

/// The first second of traffic waited for connections.
#[test]
fn test_first_connections_are_opened_before_the_first_caller() {
    let mut world = World::serving();
    let mut engine = engine();
    let mut opened = Vec::new();
    for _ in 0..20 {
        engine.tick(world.context());
        let connects = wanted(&mut engine).connects;
        assert!(connects.len() <= 1, "one after the other");
        opened.extend(connects.into_iter().map(|(_, server)| server.to_string()));
        world.pass(ms(250));
        world.refresh();
    }
    opened.sort();
    assert_eq!(opened, ["s1", "s2"], "the primary and the server of the own domain, once each");
}
