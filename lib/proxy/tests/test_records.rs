//! Tests the group records: what they tell about the servers' logs, and their size.

mod support;

use masticreel_proxy::peers::{MESSAGE_LIMIT_BYTES, PeerMessage};
use masticreel_proxy::records::{GroupRecord, Phase, TermStart};
use support::{group, position};

fn record(term_starts: &[(u64, u64, u64)]) -> GroupRecord {
    let mut record = GroupRecord {
        epoch: 9,
        phase: Phase::Serving,
        primary: "s1".into(),
        term: position(9, 0).term,
        candidate: None,
        term_starts: Vec::new(),
    };
    for (term, end_term, end_number) in term_starts {
        record.add_term_start(TermStart {
            term: position(*term, 0).term,
            log_end: position(*end_term, *end_number),
        });
    }
    record
}

#[test]
fn test_log_survives_up_to_the_start_of_the_next_known_term() {
    let record = record(&[(2, 1, 10), (3, 2, 15)]);
    assert_eq!(record.surviving_part(position(1, 12)), position(1, 10));
    assert_eq!(record.surviving_part(position(1, 8)), position(1, 8));
    assert_eq!(record.surviving_part(position(2, 16)), position(2, 15));
    assert_eq!(record.surviving_part(position(3, 99)), position(3, 99));
    assert!(record.has_discarded_commits(position(1, 12)));
    assert!(!record.has_discarded_commits(position(1, 10)));
}

/// A server that has not followed two primaries may be judged by the earlier one only.
#[test]
fn test_log_of_a_term_whose_end_is_not_known_counts_as_surviving() {
    let record = record(&[(3, 2, 15)]);
    assert!(!record.has_discarded_commits(position(1, 99)));
}

/// A longer message would arrive cut off, and instances without the store would not learn of
/// their group's primary.
#[test]
fn test_record_with_all_term_starts_fits_into_a_message() {
    let number = u64::from(u32::MAX);
    let starts: Vec<_> = (0..20).map(|term| (number + term, number, number)).collect();
    let record = record(&starts);
    let message = PeerMessage::Record { group: group(), record };
    let bytes = message.encode();
    assert!(bytes.len() <= MESSAGE_LIMIT_BYTES, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
}
