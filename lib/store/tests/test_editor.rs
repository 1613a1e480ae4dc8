//! Tests of edits against a store that fails in every way the platform's can.

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

struct Bench {
    store: FaultyStore,
    editor: Editor<FaultyStore, ManualClock>,
}

fn bench() -> Bench {
    let clock = ManualClock::new();
    let store = FaultyStore::new(clock.clone());
    let timing = EditTiming { deadline: Duration::from_secs(30), retry_pause: Duration::ZERO };
    let editor = Editor::new(store.clone(), clock, timing, CancellationToken::new());
    Bench { store, editor }
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

impl Bench {
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
    let bench = bench();
    assert_eq!(read_head(&bench.store).unwrap().record.revision, Revision(0));
    assert_eq!(bench.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(bench.apply(2, request("control", 1, "b")), EditOutcome::Landed(Revision(2)));
    let stored = bench.stored();
    assert_eq!(stored.head.record.revision, Revision(2));
    assert_eq!(stored.to_document().unwrap().rules()[0].pattern, "b");
    assert_eq!(read_head(&bench.store).unwrap(), stored.head);
    let first = read_history(&bench.store, Revision(1)).unwrap().unwrap();
    assert!(first.text.contains("\"a\""));
}

#[test]
fn test_the_same_text_again_changes_nothing() {
    let bench = bench();
    bench.apply(1, request("control", 0, "a"));
    assert_eq!(bench.apply(2, request("control", 0, "a")), EditOutcome::Unchanged(Revision(1)));
    assert_eq!(bench.stored().head.record.revision, Revision(1));
}

#[test]
fn test_a_faulty_text_is_refused_before_any_write() {
    let bench = bench();
    let request = EditRequest { text: "[[rules]]\nclas = 1".into(), ..request("control", 0, "a") };
    let EditOutcome::Invalid(errors) = bench.apply(1, request) else {
        panic!("the text is faulty");
    };
    assert_eq!(errors[0].key.to_string(), "rules[0].clas");
    assert!(bench.stored().sections.is_empty());
}

#[test]
fn test_an_edit_that_clashes_with_another_section_is_refused() {
    let bench = bench();
    bench.apply(1, request("control", 0, "a"));
    let outcome = bench.apply(2, request("grids", 0, "a"));
    assert!(matches!(outcome, EditOutcome::Invalid(_)), "{outcome:?}");
}

#[test]
fn test_a_lost_answer_after_the_effect_is_found_landed() {
    let bench = bench();
    bench.store.script([Fault::None, Fault::AnswerLost]);
    assert_eq!(bench.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(bench.stored().head.record.revision, Revision(1));
}

#[test]
fn test_a_write_that_never_arrived_is_tried_anew() {
    let bench = bench();
    bench.store.script([Fault::None, Fault::Down]);
    assert_eq!(bench.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
}

#[test]
fn test_a_late_write_before_the_fence_is_found_landed() {
    let bench = bench();
    // Read, commit (late by two calls), read back, and the fence comes after it.
    bench.store.script([Fault::None, Fault::Late(2)]);
    assert_eq!(bench.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(bench.stored().head.record.recent.len(), 1);
}

#[test]
fn test_a_late_write_after_the_fence_has_no_effect() {
    let bench = bench();
    bench.store.script([Fault::None, Fault::Late(100)]);
    assert_eq!(bench.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(1)));
    assert_eq!(
        bench.apply(2, request("control", 1, "b")),
        EditOutcome::Landed(Revision(2)),
        "the operator goes on"
    );
    bench.store.deliver_late_writes();
    assert!(bench.text("control").unwrap().contains("\"b\""));
    assert_eq!(bench.stored().head.record.revision, Revision(2));
}

#[test]
fn test_an_outage_before_the_write_ends_as_not_landed() {
    let bench = bench();
    bench.store.script(vec![Fault::Down; 100]);
    let outcome = bench.apply(1, request("control", 0, "a"));
    assert_eq!(outcome, EditOutcome::NotLanded(NotLandedReason::StoreUnavailable));
}

#[test]
fn test_an_outage_after_the_write_is_settled_later() {
    for (fault, landed) in [(Fault::AnswerLost, true), (Fault::Down, false)] {
        let bench = bench();
        bench.store.script([vec![Fault::None, fault], vec![Fault::Down; 100]].concat());
        let EditOutcome::Unknown(edit) = bench.apply(1, request("control", 0, "a")) else {
            panic!("the store is down");
        };
        bench.store.script([]);
        let expected = if landed {
            EditOutcome::Landed(Revision(1))
        } else {
            EditOutcome::NotLanded(NotLandedReason::Settled)
        };
        assert_eq!(bench.editor.settle(edit.clone()), expected);
        assert_eq!(bench.editor.settle(edit), expected, "the verdict is final");
        assert_eq!(bench.text("control").is_some(), landed);
    }
}

#[test]
fn test_a_late_write_after_its_verdict_has_no_effect() {
    let bench = bench();
    bench.store.script([vec![Fault::None, Fault::Late(200)], vec![Fault::Down; 100]].concat());
    let EditOutcome::Unknown(edit) = bench.apply(1, request("control", 0, "a")) else {
        panic!("the store is down");
    };
    bench.store.script([]);
    let expected = EditOutcome::NotLanded(NotLandedReason::Settled);
    assert_eq!(bench.editor.settle(edit), expected);
    bench.store.deliver_late_writes();
    assert_eq!(bench.text("control"), None);
}

#[test]
fn test_the_history_settles_an_edit_that_the_head_no_longer_names() {
    for fault in [Fault::AnswerLost, Fault::Down] {
        let bench = bench();
        let landed = fault == Fault::AnswerLost;
        bench.store.script([vec![Fault::None, fault], vec![Fault::Down; 100]].concat());
        let EditOutcome::Unknown(edit) = bench.apply(1, request("control", 0, "a")) else {
            panic!("the store is down");
        };
        bench.store.script([]);
        let mut base = 0;
        for number in 0..=RECENT_EDITS as u64 {
            let outcome = bench.apply(number, request("grids", base, &format!("p{number}")));
            let EditOutcome::Landed(revision) = outcome else {
                panic!("nothing is in the way: {outcome:?}");
            };
            base = revision.0;
        }
        let expected = if landed {
            EditOutcome::Landed(Revision(1))
        } else {
            EditOutcome::NotLanded(NotLandedReason::Settled)
        };
        assert_eq!(bench.editor.settle(edit), expected);
    }
}

#[test]
fn test_racing_edits_of_different_sections_both_land() {
    let bench = bench();
    let other = racing_edit(&bench, "grids", 0, "b");
    bench.store.script([Fault::None, Fault::After(other)]);
    assert_eq!(bench.apply(1, request("control", 0, "a")), EditOutcome::Landed(Revision(2)));
    assert_eq!(bench.stored().to_document().unwrap().rules().len(), 2);
}

#[test]
fn test_racing_edits_that_clash_are_validated_together() {
    let bench = bench();
    let other = racing_edit(&bench, "grids", 0, "a");
    bench.store.script([Fault::None, Fault::After(other)]);
    let outcome = bench.apply(1, request("control", 0, "a"));
    assert!(matches!(outcome, EditOutcome::Invalid(_)), "{outcome:?}");
}

#[test]
fn test_of_racing_edits_of_one_section_the_second_gets_a_diff() {
    let bench = bench();
    let other = racing_edit(&bench, "control", 0, "b");
    bench.store.script([Fault::None, Fault::After(other)]);
    let EditOutcome::Conflict(conflict) = bench.apply(1, request("control", 0, "a")) else {
        panic!("the other edit came first");
    };
    assert_eq!(conflict.current, Revision(1));
    insta::assert_snapshot!(conflict.diff.as_str());
    assert!(bench.text("control").unwrap().contains("\"b\""));
}

/// Returns the writes of another client's edit, made on an unchanged store.
fn racing_edit(bench: &Bench, section: &str, base: u64, pattern: &str) -> Vec<Put> {
    let (edit, _) = Edit::start(request(section, base, pattern), Nonce::from(99));
    let (_, action) = edit.handle(EditEvent::Document(bench.stored()));
    let EditAction::Commit(commit) = action else {
        panic!("the edit is valid: {action:?}");
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

    /// Whatever the store does, the verdicts agree with what it holds in the end,
    /// each edit landed at most once, and revisions have no gaps.
    #[test]
    fn test_verdicts_are_true(
        scripts in prop::collection::vec(prop::collection::vec(any_fault(), 0..40), 1..6),
    ) {
        let bench = bench();
        let mut landed = Vec::new();
        let mut base = 0;
        for (number, script) in scripts.into_iter().enumerate() {
            bench.store.script(script);
            let pattern = format!("p{number}");
            let mut outcome = bench.apply(number as u64, request("control", base, &pattern));
            if let EditOutcome::Unknown(edit) = outcome {
                bench.store.script([]);
                outcome = bench.editor.settle(edit);
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
        bench.store.deliver_late_writes();
        let stored = bench.stored();
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
