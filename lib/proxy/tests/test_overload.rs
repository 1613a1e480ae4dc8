//! The order of the queue and the concurrency limit of a server, when more requests
//! arrive than servers can execute.

use std::collections::HashMap;
use std::time::Duration;

use masticreel_proxy::caller::CallerId;
use masticreel_proxy::latency::LatencyEstimate;
use masticreel_proxy::moment::Moment;
use masticreel_proxy::queue::{Ticket, WaitingQueue};

/// Time that a server takes to execute a statement.
const SERVICE: Duration = Duration::from_millis(12);
/// Target latency of the requests.
const TARGET_LATENCY: Duration = Duration::from_millis(200);
/// Time after which a queued request times out.
const TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Moment,
    urgency: u8,
}

/// Returns requests that arrive for two seconds at twice the rate that one slot can
/// serve; every tenth is urgent.
fn arrivals() -> Vec<Arrival> {
    (0..333)
        .map(|index| Arrival {
            at: Moment::from_start(Duration::from_secs(10) + Duration::from_millis(6) * index),
            urgency: if index % 10 == 0 { 1 } else { 2 },
        })
        .collect()
}

/// Serves one request at a time, chosen by `choose`, and returns how long each one
/// waited, none for those that timed out.
fn serve<Choose>(arrivals: &[Arrival], mut choose: Choose) -> Vec<Option<Duration>>
where
    Choose: FnMut(&[usize], Moment) -> usize,
{
    let mut waits = vec![None; arrivals.len()];
    let mut waiting: Vec<usize> = Vec::new();
    let mut next_arrival = 0;
    let mut now = arrivals[0].at;
    while next_arrival < arrivals.len() || !waiting.is_empty() {
        while next_arrival < arrivals.len() && arrivals[next_arrival].at <= now {
            waiting.push(next_arrival);
            next_arrival += 1;
        }
        waiting.retain(|index| now.since(arrivals[*index].at) < TIMEOUT);
        if waiting.is_empty() {
            now = arrivals.get(next_arrival).map_or(now + SERVICE, |arrival| arrival.at);
            continue;
        }
        let chosen = choose(&waiting, now);
        waiting.retain(|index| *index != chosen);
        waits[chosen] = Some(now.since(arrivals[chosen].at));
        now = now + SERVICE;
    }
    waits
}

fn on_time(waits: &[Option<Duration>]) -> usize {
    waits.iter().flatten().filter(|wait| **wait + SERVICE <= TARGET_LATENCY).count()
}

/// Under overload, the queue's order answers more than twice as many requests within
/// their target latency as the order of arrival does.
#[test]
fn test_overload_leaves_more_callers_on_time_than_first_come() {
    let arrivals = arrivals();
    let first_come = serve(&arrivals, |waiting, _| waiting[0]);
    let mut queue = WaitingQueue::default();
    let mut tickets: HashMap<usize, Ticket> = HashMap::new();
    let queued = serve(&arrivals, |waiting, now| {
        for index in waiting {
            tickets.entry(*index).or_insert_with(|| {
                let arrival = arrivals[*index];
                let caller = CallerId(u64::try_from(*index).expect("small"));
                queue.push(arrival.urgency, caller, arrival.at + TARGET_LATENCY, SERVICE)
            });
        }
        let finished: Vec<usize> =
            tickets.keys().filter(|index| !waiting.contains(index)).copied().collect();
        for index in finished {
            queue.remove(tickets.remove(&index).expect("the request was queued"));
        }
        usize::try_from(queue.in_order(now + SERVICE)[0].0).expect("small")
    });
    println!("on time: {} against {} by arrival", on_time(&queued), on_time(&first_come));
    assert!(on_time(&queued) > 2 * on_time(&first_come));
    let urgent = arrivals.iter().zip(&queued).filter(|(arrival, _)| arrival.urgency == 1);
    for (arrival, wait) in urgent {
        let wait = wait.expect("every urgent request is served");
        assert!(wait <= SERVICE, "{arrival:?} waited {wait:?}, longer than one statement takes");
    }
}

/// The criteria are urgency, whether the target latency can still be met, expected
/// duration and arrival.
#[test]
fn test_order_is_by_urgency_then_hope_then_length_then_arrival() {
    let mut queue = WaitingQueue::default();
    let start = Moment::from_start(Duration::from_secs(5));
    queue.push(2, CallerId(1), start, SERVICE);
    queue.push(2, CallerId(2), start + TARGET_LATENCY, SERVICE);
    queue.push(2, CallerId(3), start + TARGET_LATENCY, SERVICE);
    queue.push(1, CallerId(4), start, SERVICE);
    let now = start + Duration::from_millis(1);
    assert_eq!(queue.in_order(now), [CallerId(4), CallerId(2), CallerId(3), CallerId(1)]);
    assert_eq!(queue.in_order(start), [CallerId(4), CallerId(1), CallerId(2), CallerId(3)]);
    queue.push(2, CallerId(5), start + TARGET_LATENCY, SERVICE / 2);
    let expected = [CallerId(4), CallerId(5), CallerId(2), CallerId(3), CallerId(1)];
    assert_eq!(queue.in_order(now), expected, "short requests go before long ones");
}

/// While statements queue at the server, the concurrency limit is one.
#[test]
fn test_server_at_which_work_waits_gets_one_statement_at_a_time() {
    let now = Moment::from_start(Duration::from_secs(5));
    let mut latency = LatencyEstimate::default();
    for _ in 0..50 {
        latency.observe(SERVICE);
    }
    assert_eq!(latency.concurrency_limit(4, now), 4);
    for _ in 0..20 {
        latency.observe(SERVICE * 5);
    }
    assert_eq!(latency.concurrency_limit(4, now), 1);
    for _ in 0..30 {
        latency.observe(SERVICE);
    }
    assert_eq!(latency.concurrency_limit(4, now), 4, "the latency is back at its baseline");
    latency.observe_refusal(now, 1.0);
    assert_eq!(latency.concurrency_limit(4, now), 0, "nothing is sent during the backoff");
    assert_eq!(latency.concurrency_limit(4, now + Duration::from_millis(8)), 1);
    assert_eq!(latency.concurrency_limit(4, now + Duration::from_secs(1)), 4);
}

/// Guards against instances that send to an overloaded server without a backoff: a
/// hundred of them with one statement each overloaded a server that queues sixteen,
/// and it refused 188,000 of 277,000 statements.
#[test]
fn test_many_instances_leave_a_full_server_alone_for_a_while() {
    const INSTANCES: usize = 100;
    const CAPACITY: usize = 20;
    let start = Moment::from_start(Duration::from_secs(5));
    let mut latencies: Vec<LatencyEstimate> =
        (0..INSTANCES).map(|_| LatencyEstimate::default()).collect();
    let (mut served, mut refused) = (0, 0);
    for step in 0..500_u64 {
        let now = start + Duration::from_millis(12 * step);
        let mut free_slots = CAPACITY;
        for (index, latency) in latencies.iter_mut().enumerate() {
            if latency.concurrency_limit(4, now) == 0 {
                continue;
            }
            if free_slots > 0 {
                free_slots -= 1;
                served += 1;
                latency.observe(SERVICE);
            } else {
                refused += 1;
                let part = (index * 37 + usize::try_from(step).expect("small") * 11) % 100;
                latency.observe_refusal(
                    now,
                    0.5 + f64::from(u8::try_from(part).expect("small")) / 100.0,
                );
            }
        }
    }
    println!("served {served}, refused {refused}");
    assert!(
        served >= 500 * CAPACITY * 9 / 10,
        "the server executed only {served} statements, less than 90 % of its capacity"
    );
    assert!(refused <= served, "the server refused {refused} statements, more than it executed");
}
