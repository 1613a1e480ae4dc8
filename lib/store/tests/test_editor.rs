//! Tests of edits on a store with every kind of failure that the platform's
//! store can have.

#[path = "support/faulty_store.rs"]
mod faulty_store;

use std::time::Duration;

use faulty_store::{Fault, FaultyStore};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::ManualClock;
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::edit::{
    Edit, EditAction, EditEvent, EditOutcome, EditRequest, NotLandedReason,
};
use masticreel_document::edit_id::Nonce;
use masticreel_document::layout::{HEAD_KEY, history_key, section_key};
use masticreel_document::records::{RECENT_EDITS, StoredDocument, encode};
use masticreel_store::document_store::{read_document, read_head, read_history};
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::store::Put;
use proptest::prelude::*;

struct Fixture {
    store: FaultyStore,
    editor: Editor<FaultyStore, ManualClock>,
}

fn fixture() -> Fixture {
    let clock = ManualClock::new();
    let store = FaultyStore::new(clock.clone());
    let timing = EditTiming { timeout: Duration::from_secs(30), retry_backoff: Duration::ZERO };
    let editor = Editor::new(store.clone(), clock, timing, CancellationToken::new());
    Fixture { store, editor }
}

fn request(section: &str, base: u64, pattern: &str) -> EditRequest {
    EditRequest {
        section: SectionName::from(section),
        base: Revision(base),
        text: format!("[[rules]]\npattern = \"{pattern}\"\nclass = \"urgent\"\n").into(),
        author: "an engineer".into(),
        edited_at_ms: 7,
    }
}

impl Fixture {
    fn apply(&self, nonce: u64, request: EditRequest) -> EditOutcome {
        self.editor.apply(request, Nonce::from(nonce))
    }

    fn stored(&self) -> StoredDocument {
        self.store.script([]);
        read_document(&self.store).unwrap()
    }

    fn text(&self, section: &str) -> Option<String> {
        let stored = self.stored();
        let section = stored.sections.get(&SectionName::from(section))?;
        Some(section.record.text.to_string())
    }
}

#[test]
fn test_an_edit_lands_and_is_kept_in_the_history() {
    let fixture = fixture();
    assert_eq!(read_head(&fixture.store).unwrap().record.revision, Revision(0));
    assert_eq!(fixture.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(fixture.apply(2, request("control", 1, "b")), EditOutcome::Landed(Revision(2)));
    let stored = fixture.stored();
    assert_eq!(stored.head.record.revision, Revision(2));
    assert_eq!(stored.to_document().unwrap().rules()[0].pattern, "b");
    assert_eq!(read_head(&fixture.store).unwrap(), stored.head);
    let first = read_history(&fixture.store, Revision(1)).unwrap().unwrap();
    assert!(first.text.contains("\"a\""));
}

#[test]
fn test_the_same_text_again_changes_nothing() {
    let fixture = fixture();
    fixture.apply(1, request("control", 0, "a"));
    assert_eq!(fixture.apply(2, request("control", 0, "a")), EditOutcome::Unchanged(Revision(1)));
    assert_eq!(fixture.stored().head.record.revision, Revision(1));
}

#[test]
fn test_a_faulty_text_is_refused_before_any_write() {
    let fixture = fixture();
    let request = EditRequest { text: "[[rules]]\nclas = 1".into(), ..request("control", 0, "a") };
    let EditOutcome::Invalid(errors) = fixture.apply(1, request) else {
        panic!("the invalid text was not refused");
    };
    assert_eq!(errors[0].key.to_string(), "rules[0].clas");
    assert!(fixture.stored().sections.is_empty());
}

#[test]
fn test_an_edit_that_clashes_with_another_section_is_refused() {
    let fixture = fixture();
    fixture.apply(1, request("control", 0, "a"));
    let outcome = fixture.apply(2, request("grids", 0, "a"));
    assert!(matches!(outcome, EditOutcome::Invalid(_)), "{outcome:?}");
}

#[test]
fn test_a_lost_answer_after_the_effect_is_found_landed() {
    let fixture = fixture();
    fixture.store.script([Fault::None, Fault::AnswerLost]);
    assert_eq!(fixture.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(fixture.stored().head.record.revision, Revision(1));
}

#[test]
fn test_a_write_that_never_arrived_is_tried_anew() {
    let fixture = fixture();
    fixture.store.script([Fault::None, Fault::Down]);
    assert_eq!(fixture.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
}

#[test]
fn test_a_late_write_before_the_fence_is_found_landed() {
    let fixture = fixture();
    // The calls are read, commit, read and fence; the commit, late by two calls,
    // takes effect just before the fence.
    fixture.store.script([Fault::None, Fault::Late(2)]);
    assert_eq!(fixture.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(fixture.stored().head.record.recent.len(), 1);
}

#[test]
fn test_a_late_write_after_the_fence_has_no_effect() {
    let fixture = fixture();
    fixture.store.script([Fault::None, Fault::Late(100)]);
    assert_eq!(fixture.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(
        fixture.apply(2, request("control", 1, "b")),
        EditOutcome::Landed(Revision(2)),
        "the late write must not block a further edit"
    );
    fixture.store.deliver_late_writes();
    assert!(fixture.text("control").unwrap().contains("\"b\""));
    assert_eq!(fixture.stored().head.record.revision, Revision(2));
}

#[test]
fn test_an_outage_before_the_write_ends_as_not_landed() {
    let fixture = fixture();
    fixture.store.script(vec![Fault::Down; 100]);
    let outcome = fixture.apply(1, request("control", 0, "a"));
    assert_eq!(outcome, EditOutcome::NotLanded(NotLandedReason::StoreUnavailable));
}

#[test]
fn test_an_outage_after_the_write_is_settled_later() {
    for (fault, landed) in [(Fault::AnswerLost, true), (Fault::Down, false)] {
        let fixture = fixture();
        fixture.store.script([vec![Fault::None, fault], vec![Fault::Down; 100]].concat());
        let EditOutcome::Unknown(edit) = fixture.apply(1, request("control", 0, "a")) else {
            panic!("the outcome must be unknown while the store is down");
        };
        fixture.store.script([]);
        let expected = if landed {
            EditOutcome::Landed(Revision(1))
        } else {
            EditOutcome::NotLanded(NotLandedReason::Settled)
        };
        assert_eq!(fixture.editor.settle(edit.clone()), expected);
        assert_eq!(
            fixture.editor.settle(edit),
            expected,
            "settling again must give the same outcome"
        );
        assert_eq!(fixture.text("control").is_some(), landed);
    }
}

#[test]
fn test_a_late_write_after_its_verdict_has_no_effect() {
    let fixture = fixture();
    fixture.store.script([vec![Fault::None, Fault::Late(200)], vec![Fault::Down; 100]].concat());
    let EditOutcome::Unknown(edit) = fixture.apply(1, request("control", 0, "a")) else {
        panic!("the outcome must be unknown while the store is down");
    };
    fixture.store.script([]);
    let expected = EditOutcome::NotLanded(NotLandedReason::Settled);
    assert_eq!(fixture.editor.settle(edit), expected);
    fixture.store.deliver_late_writes();
    assert_eq!(fixture.text("control"), None);
}

#[test]
fn test_the_history_settles_an_edit_that_the_head_no_longer_names() {
    for fault in [Fault::AnswerLost, Fault::Down] {
        let fixture = fixture();
        let landed = fault == Fault::AnswerLost;
        fixture.store.script([vec![Fault::None, fault], vec![Fault::Down; 100]].concat());
        let EditOutcome::Unknown(edit) = fixture.apply(1, request("control", 0, "a")) else {
            panic!("the outcome must be unknown while the store is down");
        };
        fixture.store.script([]);
        let mut base = 0;
        for number in 0..=RECENT_EDITS as u64 {
            let outcome = fixture.apply(number, request("grids", base, &format!("p{number}")));
            let EditOutcome::Landed(revision) = outcome else {
                panic!("the edit must land, since no other races it: {outcome:?}");
            };
            base = revision.0;
        }
        let expected = if landed {
            EditOutcome::Landed(Revision(1))
        } else {
            EditOutcome::NotLanded(NotLandedReason::Settled)
        };
        assert_eq!(fixture.editor.settle(edit), expected);
    }
}

#[test]
fn test_racing_edits_of_different_sections_both_land() {
    let fixture = fixture();
    let other = racing_edit(&fixture, "grids", 0, "b");
    fixture.store.script([Fault::None, Fault::PrecededBy(other)]);
    assert_eq!(fixture.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(2)));
    assert_eq!(fixture.stored().to_document().unwrap().rules().len(), 2);
}

#[test]
fn test_racing_edits_that_clash_are_validated_together() {
    let fixture = fixture();
    let other = racing_edit(&fixture, "grids", 0, "a");
    fixture.store.script([Fault::None, Fault::PrecededBy(other)]);
    let outcome = fixture.apply(1, request("control", 0, "a"));
    assert!(matches!(outcome, EditOutcome::Invalid(_)), "{outcome:?}");
}

#[test]
fn test_of_racing_edits_of_one_section_the_second_gets_a_diff() {
    let fixture = fixture();
    let other = racing_edit(&fixture, "control", 0, "b");
    fixture.store.script([Fault::None, Fault::PrecededBy(other)]);
    let EditOutcome::Conflict(conflict) = fixture.apply(1, request("control", 0, "a")) else {
        panic!("the edit must conflict with the one that was accepted first");
    };
    assert_eq!(conflict.current, Revision(1));
    insta::assert_snapshot!(conflict.diff.as_str());
    assert!(fixture.text("control").unwrap().contains("\"b\""));
}

/// Returns the writes of another client's edit of the document as it is now.
fn racing_edit(fixture: &Fixture, section: &str, base: u64, pattern: &str) -> Vec<Put> {
    let (edit, _) = Edit::start(request(section, base, pattern), Nonce::from(99));
    let (_, action) = edit.handle(EditEvent::Document(fixture.stored()));
    let EditAction::Commit(commit) = action else {
        panic!("a valid edit must lead to a write, got {action:?}");
    };
    vec![
        Put { key: section_key(&commit.section), value: encode(&commit.section_record) },
        Put { key: HEAD_KEY.to_owned(), value: encode(&commit.head) },
        Put { key: history_key(commit.history.entry.revision), value: encode(&commit.history) },
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        2 => Just(Fault::Down),
        2 => Just(Fault::AnswerLost),
        2 => (1..20_usize).prop_map(Fault::Late),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever fails, the outcomes agree with the store's final content, each
    /// edit lands at most once, and revisions have no gaps.
    #[test]
    fn test_verdicts_are_true(
        scripts in prop::collection::vec(prop::collection::vec(any_fault(), 0..40), 1..6),
    ) {
        let fixture = fixture();
        let mut landed = Vec::new();
        let mut base = 0;
        for (number, script) in scripts.into_iter().enumerate() {
            fixture.store.script(script);
            let pattern = format!("p{number}");
            let mut outcome = fixture.apply(number as u64, request("control", base, &pattern));
            if let EditOutcome::Unknown(edit) = outcome {
                fixture.store.script([]);
                outcome = fixture.editor.settle(edit);
            }
            match outcome {
                EditOutcome::Landed(revision) => {
                    base = revision.0;
                    landed.push(pattern);
                }
                EditOutcome::NotLanded(_) => {}
                other => prop_assert!(false, "{other:?}"),
            }
        }
        fixture.store.deliver_late_writes();
        let stored = fixture.stored();
        prop_assert_eq!(stored.head.record.revision.0, landed.len() as u64);
        prop_assert_eq!(stored.head.record.recent.len(), landed.len());
        match landed.last() {
            Some(pattern) => {
                let document = stored.to_document().unwrap();
                prop_assert_eq!(&document.rules()[0].pattern, pattern);
            }
            None => prop_assert!(stored.sections.is_empty()),
        }
    }
}
