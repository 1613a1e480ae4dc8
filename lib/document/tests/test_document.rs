//! Tests of merging and validating sections.

use std::collections::BTreeMap;

use masticreel_base::ids::{GroupId, Revision, SectionName};
use masticreel_document::document::{Document, DocumentErrors};
use masticreel_document::section::{MAX_SECTION_BYTES, SectionText};
use masticreel_document::wire::WireDocument;
use proptest::prelude::*;

const CALIBRATION: &str = r#"
owner = "lab-databases"

[[groups]]
name = "shake-1"
database = "calibration"

[[groups.servers]]
name = "shake-1-a"
address = "127.0.0.1:5501"
failure_domain = "north-1"

[[groups.servers]]
name = "shake-1-b"
address = "127.0.0.1:5502"
failure_domain = "north-2"
leaving = true
"#;

const CONTROL: &str = r#"
[[rules]]
pattern = "abort_run"
class = "urgent"

[[levels]]
name = "abort-in-time"
class = "urgent"
latency_ms = 20
objective_percent = 99.9

[[instances]]
name = "entry-7"
state = "arriving"
address = "127.0.0.1:7007"
"#;

fn sections(texts: &[(&str, &str)]) -> BTreeMap<SectionName, SectionText> {
    let section = |text: &str| SectionText {
        revision: Revision(4),
        text: text.into(),
        author: "an engineer".into(),
    };
    texts.iter().map(|(name, text)| (SectionName::from(*name), section(text))).collect()
}

fn errors(texts: &[(&str, &str)]) -> String {
    let errors =
        Document::parse(sections(texts), Revision(4)).expect_err("the document must be refused");
    DocumentErrors(errors).to_string()
}

#[test]
fn test_sections_are_merged() {
    let sections = sections(&[("calibration", CALIBRATION), ("control", CONTROL)]);
    let document = Document::parse(sections, Revision(4)).unwrap();
    assert_eq!(document.revision(), Revision(4));
    let group = document.group_of_database("calibration").unwrap();
    assert_eq!(group.servers.len(), 2);
    assert_eq!((group.servers[0].slots, group.servers[0].max_connections), (2, 16));
    assert!(group.servers[1].leaving);
    assert!(document.group(&GroupId::from("shake-2")).is_none());
    assert_eq!(document.rules().len(), 1);
    assert_eq!(document.levels()[0].latency_ms, 20);
    assert_eq!(document.instances()[0].name.as_str(), "entry-7");
}

#[test]
fn test_the_wire_form_gives_the_same_document() {
    let sections = sections(&[("calibration", CALIBRATION), ("control", CONTROL)]);
    let document = Document::parse(sections, Revision(4)).unwrap();
    let wire = WireDocument::from(&document);
    assert_eq!(Document::try_from(wire).unwrap(), document);
}

#[test]
fn test_an_empty_document_is_valid() {
    let document = Document::parse(BTreeMap::new(), Revision(0)).unwrap();
    assert!(document.groups().is_empty());
}

#[test]
fn test_malformed_texts_name_line_and_key() {
    let cases = [
        "owner = ",
        "owner = 7",
        "[[groups]]\nname = \"a\"\n",
        "[[groups]]\nname = \"a\"\ndatabase = \"d\"\nservers = []\nsize = 3\n",
        "[[groups]]\nname = \"a\"\ndatabase = \"d\"\n[[groups.servers]]\nname = \"s\"\n\
         address = \"localhost\"\nfailure_domain = \"f\"\n",
        "[[rules]]\npattern = \"x\"\nclass = \"hasty\"\n",
        "[[rules]]\npattern = \"x\"\n\n[[rules]]\npattern = \"y\"\nmax_staleness_ms = -1\n",
        "[[rules]]\npattern = \"x\"\npattern = \"y\"\n",
        "[limits]\nslots = 1\n",
        "[[instances]]\nname = \"entry-1\"\nstate = \"gone\"\n",
        "not toml",
    ];
    let report: Vec<String> = cases.iter().map(|text| errors(&[("control", text)])).collect();
    insta::assert_snapshot!(report.join("\n"));
}

#[test]
fn test_joint_faults_name_both_places() {
    let copy = CALIBRATION.replace("shake-1-", "other-").replace("55", "56");
    let copy = copy.replace("\"shake-1\"", "\"shake-9\"");
    let same_server = copy.replace("other-a", "shake-1-a").replace("calibration", "traces");
    let same_address = copy.replace("5601", "5501").replace("calibration", "traces");
    let report = [
        errors(&[("calibration", CALIBRATION), ("other", CALIBRATION)]),
        errors(&[("calibration", CALIBRATION), ("other", &copy)]),
        errors(&[("calibration", CALIBRATION), ("other", &same_server)]),
        errors(&[("calibration", CALIBRATION), ("other", &same_address)]),
        errors(&[("a", CONTROL), ("b", CONTROL)]),
    ];
    insta::assert_snapshot!(report.join("\n\n"));
}

#[test]
fn test_faults_of_single_values_are_all_reported() {
    let text = r#"
[[groups]]
name = "two words"
database = ""
servers = []

[[groups]]
name = "a"
database = "d"

[[groups.servers]]
name = "s"
address = "127.0.0.1:0"
failure_domain = ""
slots = 0
max_connections = 3
leaving = true

[[rules]]
pattern = " "

[[levels]]
name = "l"
class = "normal"
latency_ms = 0
objective_percent = 100.0

[[instances]]
name = "entry-1"
state = "arriving"
"#;
    insta::assert_snapshot!(errors(&[("control", text)]));
}

#[test]
fn test_section_names_and_sizes_are_limited() {
    let large = format!("# {}", "x".repeat(MAX_SECTION_BYTES));
    insta::assert_snapshot!(errors(&[("a/b", ""), ("", ""), ("large", &large)]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn test_any_text_is_parsed_or_refused_with_a_place(text in "[\\[\\]a-z=\"\n{}., 0-9]{0,80}") {
        if let Err(errors) = Document::parse(sections(&[("any", &text)]), Revision(1)) {
            for error in errors {
                prop_assert!(error.line >= 1);
                prop_assert!(error.line <= text.lines().count().max(1) + 1);
            }
        }
    }

    #[test]
    fn test_a_cut_section_never_panics(cut in 0..CALIBRATION.len(), insert in "[\\[\\]=\"\n#]{0,3}") {
        let (start, rest) = CALIBRATION.split_at(cut);
        let text = format!("{start}{insert}{rest}");
        let _ = Document::parse(sections(&[("any", &text)]), Revision(1));
    }
}
