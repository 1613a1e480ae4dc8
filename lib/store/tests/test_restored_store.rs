//! Tests of edits and their verdicts after the store was restored from an older copy.

#[path = "support/faulty_store.rs"]
mod faulty_store;

use std::time::Duration;

use faulty_store::{Fault, FaultyStore};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::ManualClock;
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::document::Document;
use masticreel_document::edit::{EditOutcome, EditRequest, FenceCommit};
use masticreel_document::edit_id::{EditId, Nonce};
use masticreel_document::layout::HEAD_KEY;
use masticreel_document::records::{HeadRecord, LostEdits, RECENT_EDITS, encode};
use masticreel_document::wire::WireDocument;
use masticreel_store::document_store::{commit_fence, read_document, read_head};
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::store::Put;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

struct Fixture {
    store: FaultyStore,
    editor: Editor<FaultyStore, ManualClock>,
    edits: u64,
}

impl Fixture {
    fn new() -> Self {
        let clock = ManualClock::new();
        let store = FaultyStore::new(clock.clone());
        let timing = EditTiming { timeout: Duration::from_secs(30), retry_backoff: Duration::ZERO };
        let editor = Editor::new(store.clone(), clock, timing, CancellationToken::new());
        Self { store, editor, edits: 0 }
    }

    /// Edits a section as the store has it, with a text that no other edit wrote.
    fn edit(&mut self, section: &str) -> EditId {
        self.edits += 1;
        let stored = read_document(&self.store).unwrap();
        let record = stored.sections.get(&SectionName::from(section)).map(|it| &it.record);
        let request = EditRequest {
            section: section.into(),
            base: record.map_or(Revision(0), |record| record.revision),
            text: format!(
                "[[rules]]\npattern = \"{section}-{}\"\nclass = \"urgent\"\n",
                self.edits
            )
            .into(),
            author: "an engineer".into(),
            edited_at_ms: 7,
        };
        let outcome = self.editor.apply(request, Nonce::from(self.edits));
        assert!(matches!(outcome, EditOutcome::Landed(_)), "{outcome:?}");
        self.head().recent[0].edit.clone()
    }

    fn head(&self) -> HeadRecord {
        read_head(&self.store).unwrap().record
    }

    fn stored(&self) -> Document {
        read_document(&self.store).unwrap().to_document().unwrap()
    }

    /// Does what an instance does at each read of the store.
    fn poll(&self, in_force: &mut Document) {
        let head = read_head(&self.store).unwrap();
        if let Some(raised) = head.record.after_restore(in_force) {
            let fence = FenceCommit { head_state: head.state, head: raised };
            commit_fence(&self.store, &fence).unwrap();
        }
        let stored = self.stored();
        if stored.revision() > in_force.revision() {
            *in_force = stored;
        }
    }
}

fn new_section(section: &str) -> EditRequest {
    EditRequest {
        section: section.into(),
        base: Revision(0),
        text: "[[rules]]\npattern = \"x\"\nclass = \"urgent\"\n".into(),
        author: "an engineer".into(),
        edited_at_ms: 7,
    }
}

fn patterns(document: &Document) -> Vec<String> {
    document.rules().iter().map(|rule| rule.pattern.to_string()).collect()
}

#[test]
fn test_edit_after_the_store_was_restored_takes_effect() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let copy = fixture.store.copy();
    fixture.edit("lab");
    fixture.edit("grids");
    let mut in_force = fixture.stored();
    let lost = in_force.clone();
    fixture.store.restore(&copy);
    fixture.poll(&mut in_force);
    assert_eq!(in_force, lost, "what is in force stays so until the next edit");
    assert_eq!(fixture.head().lost, Some(LostEdits { after: Revision(1), through: Revision(3) }));
    assert_eq!(fixture.edit("lab").revision, Revision(4));
    fixture.poll(&mut in_force);
    assert_eq!(patterns(&in_force), ["lab-4"]);
}

#[test]
fn test_edit_before_an_instance_noticed_the_restore_takes_effect() {
    // The edits after the restore make fewer, as many and more revisions than were lost.
    for edits in 1..=3 {
        let mut fixture = Fixture::new();
        fixture.edit("lab");
        let copy = fixture.store.copy();
        fixture.edit("lab");
        fixture.edit("lab");
        let mut in_force = fixture.stored();
        fixture.store.restore(&copy);
        for _ in 0..edits {
            fixture.edit("lab");
        }
        let expected = patterns(&fixture.stored());
        fixture.poll(&mut in_force);
        assert_eq!(patterns(&in_force), expected, "{edits} edits");
    }
}

#[test]
fn test_edit_that_an_instance_overtook_with_the_raised_head_lands_above_it() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let copy = fixture.store.copy();
    fixture.edit("lab");
    fixture.edit("lab");
    let in_force = fixture.stored();
    fixture.store.restore(&copy);
    fixture.edit("lab");
    let raised = fixture.head().after_restore(&in_force).unwrap();
    let raise = Put { key: HEAD_KEY.to_owned(), value: encode(&raised) };
    // The calls are the read and the write, which the raised head overtakes.
    fixture.store.script([Fault::None, Fault::PrecededBy(vec![raise])]);
    assert_eq!(
        fixture.editor.apply(new_section("grids"), Nonce::from(99)),
        EditOutcome::Landed(Revision(5))
    );
}

#[test]
fn test_store_that_lost_everything_gives_no_revision_out_again() {
    let mut fixture = Fixture::new();
    let empty = fixture.store.copy();
    fixture.edit("lab");
    fixture.edit("lab");
    let mut in_force = fixture.stored();
    fixture.store.restore(&empty);
    fixture.poll(&mut in_force);
    assert_eq!(patterns(&in_force), ["lab-2"]);
    assert_eq!(fixture.edit("lab").revision, Revision(3));
}

#[test]
fn test_store_that_lost_nothing_is_left_alone() {
    let mut fixture = Fixture::new();
    for _ in 0..RECENT_EDITS + 2 {
        let mut in_force = fixture.stored();
        fixture.edit("lab");
        let head = read_head(&fixture.store).unwrap();
        fixture.poll(&mut in_force);
        fixture.poll(&mut in_force);
        assert_eq!(read_head(&fixture.store).unwrap(), head);
    }
}

#[test]
fn test_document_of_before_the_restore_does_not_come_back() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let copy = fixture.store.copy();
    for _ in 0..5 {
        fixture.edit("lab");
    }
    // Only one instance has the last of the lost edits, and it is away meanwhile.
    let mut away = fixture.stored();
    fixture.store.restore(&copy);
    let mut in_force = fixture.stored();
    fixture.edit("lab");
    fixture.poll(&mut in_force);
    let expected = patterns(&in_force);
    fixture.poll(&mut away);
    assert_eq!(patterns(&away), expected);
    fixture.poll(&mut in_force);
    assert_eq!(in_force, away, "two instances never have different documents of one revision");
}

#[test]
fn test_document_from_an_older_version_stays_in_force_until_the_next_edit() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let copy = fixture.store.copy();
    fixture.edit("lab");
    let mut old = serde_json::to_value(WireDocument::from(&fixture.stored())).unwrap();
    old.as_object_mut().unwrap().remove("edits");
    let wire: WireDocument = serde_json::from_value(old).unwrap();
    let mut in_force = Document::try_from(wire).unwrap();
    fixture.store.restore(&copy);
    fixture.poll(&mut in_force);
    assert_eq!(patterns(&in_force), ["lab-2"]);
    fixture.edit("lab");
    fixture.poll(&mut in_force);
    assert_eq!(patterns(&in_force), ["lab-3"]);
}

#[test]
fn test_lost_edit_is_not_told_to_have_had_no_effect() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let copy = fixture.store.copy();
    let lost = fixture.edit("lab");
    let mut in_force = fixture.stored();
    fixture.store.restore(&copy);
    fixture.poll(&mut in_force);
    assert_eq!(fixture.editor.settle(lost.clone()), EditOutcome::Unknown(lost.clone()));
    let after = fixture.edit("lab");
    assert_eq!(fixture.editor.settle(lost.clone()), EditOutcome::Unknown(lost));
    assert_eq!(fixture.editor.settle(after), EditOutcome::Landed(Revision(3)));
}

#[test]
fn test_write_of_before_the_restore_does_not_land_on_another_head() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let copy = fixture.store.copy();
    fixture.edit("lab");
    // The calls are the read and the write, which arrives only after the restore.
    fixture.store.script([Fault::None, Fault::Late(1_000), Fault::Down]);
    let delayed = fixture.editor.apply(new_section("grids"), Nonce::from(99));
    assert!(matches!(delayed, EditOutcome::Landed(_)), "{delayed:?}");
    fixture.store.restore(&copy);
    // The head has the version again that the delayed write compares.
    let after = fixture.edit("lab");
    fixture.store.deliver_late_writes();
    assert_eq!(fixture.head().recent[0].edit, after);
    assert_eq!(fixture.editor.settle(after), EditOutcome::Landed(Revision(2)));
}

#[test]
fn test_head_without_lost_edits_is_stored_as_before() {
    let mut fixture = Fixture::new();
    fixture.edit("lab");
    let stored = String::from_utf8(encode(&fixture.head())).unwrap();
    assert!(!stored.contains("lost"), "{stored}");
    assert_eq!(serde_json::from_str::<HeadRecord>(&stored).unwrap(), fixture.head());
}

#[derive(Debug, Clone)]
enum Step {
    Edit(bool),
    Copy,
    Restore,
    Poll(usize),
    /// One instance fetches the document of another if its revision is newer.
    Fetch(usize, usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Edit),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        4 => (0..3_usize).prop_map(Step::Poll),
        2 => (0..3_usize, 0..3_usize).prop_map(|(to, from)| Step::Fetch(to, from)),
    ]
}

#[test]
fn test_instances_agree_with_the_last_edit_after_any_restores() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[8; 32]);
    let config = Config { cases: 1_000, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&prop::collection::vec(any_step(), 1..40), |steps| {
        let mut fixture = Fixture::new();
        let mut copy = fixture.store.copy();
        let mut instances = vec![Document::default(); 3];
        for step in steps {
            match step {
                Step::Edit(first) => drop(fixture.edit(if first { "lab" } else { "grids" })),
                Step::Copy => copy = fixture.store.copy(),
                Step::Restore => fixture.store.restore(&copy),
                Step::Poll(instance) => {
                    let before = instances[instance].revision();
                    fixture.poll(&mut instances[instance]);
                    prop_assert!(instances[instance].revision() >= before);
                }
                Step::Fetch(to, from) if instances[to].revision() < instances[from].revision() => {
                    instances[to] = instances[from].clone();
                }
                Step::Fetch(..) => {}
            }
        }
        // Two rounds, since the first may still raise the head above an instance's revision.
        for instance in [0, 1, 2, 0, 1, 2] {
            fixture.poll(&mut instances[instance]);
        }
        fixture.edit("lab");
        for instance in &mut instances {
            fixture.poll(instance);
            let stored = fixture.stored();
            prop_assert_eq!(instance.sections(), stored.sections());
        }
        Ok(())
    });
    result.expect("no counterexample");
}
