//! Tests of concurrent edits by several operators, whose calls are interleaved at
//! random on a store that fails.

#[path = "support/faulty_store.rs"]
mod faulty_store;

use faulty_store::{Fault, FaultyStore};
use masticreel_base::clock::ManualClock;
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::edit::{Edit, EditAction, EditEvent, EditOutcome, EditRequest};
use masticreel_document::edit_id::Nonce;
use masticreel_document::records::StoredDocument;
use masticreel_store::document_store::{commit_edit, commit_fence, read_document, read_history};
use masticreel_store::store::{CommitOutcome, StoreError};
use proptest::prelude::*;

const CLIENTS: usize = 4;
const SECTIONS: [&str; 2] = ["control", "grids"];

/// An operator's edit in progress.
struct Client {
    edit: Edit,
    action: EditAction,
}

impl Client {
    fn start(number: usize) -> Self {
        let request = EditRequest {
            section: SECTIONS[number % SECTIONS.len()].into(),
            base: Revision(0),
            text: format!("[[rules]]\npattern = \"p{number}\"\nclass = \"urgent\"\n").into(),
            author: "an operator".into(),
            edited_at_ms: 0,
        };
        let (edit, action) = Edit::start(request, Nonce::from(number as u64));
        Self { edit, action }
    }

    fn outcome(&self) -> Option<&EditOutcome> {
        match &self.action {
            EditAction::Finish(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Makes the edit's next call of the store, if there is one.
    fn step(self, store: &FaultyStore) -> Self {
        let event = match &self.action {
            EditAction::Read => read_document(store).map_or(EditEvent::Lost, EditEvent::Document),
            EditAction::ReadHistory(revision) => {
                read_history(store, *revision).map_or(EditEvent::Lost, EditEvent::History)
            }
            EditAction::Commit(commit) => write_event(commit_edit(store, commit)),
            EditAction::Fence(fence) => write_event(commit_fence(store, fence)),
            EditAction::Finish(_) => return self,
        };
        let (edit, action) = self.edit.handle(event);
        Self { edit, action }
    }
}

fn write_event(result: Result<CommitOutcome, StoreError>) -> EditEvent {
    match result {
        Ok(CommitOutcome::Committed(_)) => EditEvent::Committed,
        Ok(CommitOutcome::Conflict) => EditEvent::Refused,
        Err(_) => EditEvent::Lost,
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Down),
        2 => Just(Fault::AnswerLost),
        2 => (1..12_usize).prop_map(Fault::Late),
    ]
}

/// Runs the scheduled calls, then each edit to its outcome without faults.
///
/// Returns all outcomes and the store's final content.
fn run(schedule: Vec<(usize, Fault)>) -> (Vec<EditOutcome>, StoredDocument) {
    let store = FaultyStore::new(ManualClock::new());
    let mut clients: Vec<Client> = (0..CLIENTS).map(Client::start).collect();
    for (number, fault) in schedule {
        store.script([fault]);
        let client = clients.swap_remove(number);
        clients.push(client.step(&store));
    }
    store.script([]);
    let outcomes = clients
        .into_iter()
        .map(|mut client| {
            while client.outcome().is_none() {
                client = client.step(&store);
            }
            client.outcome().cloned().expect("the loop ends with an outcome")
        })
        .collect();
    store.deliver_late_writes();
    (outcomes, read_document(&store).unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In each section exactly one edit lands, the others end in a conflict, and
    /// the store holds exactly the edits that were reported as landed.
    #[test]
    fn test_of_interleaved_edits_one_lands_in_each_section(
        schedule in prop::collection::vec((0..CLIENTS, any_fault()), 0..80),
    ) {
        let (outcomes, stored) = run(schedule);
        let mut landed: Vec<Revision> = Vec::new();
        for outcome in &outcomes {
            match outcome {
                EditOutcome::Landed(revision) => landed.push(*revision),
                EditOutcome::Conflict(_) => {}
                other => prop_assert!(false, "{other:?}"),
            }
        }
        landed.sort();
        prop_assert_eq!(&landed, &[Revision(1), Revision(2)]);
        prop_assert_eq!(stored.head.record.revision, Revision(2));
        let names: Vec<&SectionName> = stored.sections.keys().collect();
        prop_assert_eq!(names, [&SectionName::from("control"), &SectionName::from("grids")]);
        prop_assert_eq!(stored.to_document().unwrap().rules().len(), 2);
    }
}
