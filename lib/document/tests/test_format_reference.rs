//! Tests that the examples of the format reference are valid.

use std::collections::BTreeMap;

use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::document::Document;
use masticreel_document::section::SectionText;

const REFERENCE: &str = include_str!("../../../docs/document.md");

#[test]
fn test_the_examples_are_valid_together() {
    let examples: Vec<&str> = REFERENCE
        .split("```toml\n")
        .skip(1)
        .filter_map(|rest| rest.split_once("```").map(|(example, _)| example))
        .filter(|example| example.starts_with("owner"))
        .collect();
    assert_eq!(examples.len(), 2);
    let sections: BTreeMap<SectionName, SectionText> = examples
        .iter()
        .enumerate()
        .map(|(number, text)| {
            let section = SectionText {
                revision: Revision(1),
                text: (*text).into(),
                author: "the reference".into(),
            };
            (SectionName::from(format!("example-{number}")), section)
        })
        .collect();
    let document = Document::parse(sections, Revision(1)).unwrap();
    assert_eq!(document.groups().len(), 2);
}
