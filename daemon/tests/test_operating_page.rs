//! Tests that the operators' manual lists every metric, warning and error.

use std::path::Path;

const MANUAL: &str = include_str!("../../docs/operating.md");

fn sources(folder: &Path, texts: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, texts);
        } else {
            texts.push(std::fs::read_to_string(path).unwrap());
        }
    }
}

fn all_sources() -> Vec<String> {
    let mut texts = Vec::new();
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut texts);
    texts
}

/// Returns the first quoted text after each occurrence of a marker.
fn quoted_after<'text>(text: &'text str, marker: &'text str) -> impl Iterator<Item = &'text str> {
    text.split(marker).skip(1).filter_map(|rest| rest.split('"').nth(1))
}

#[test]
fn test_every_metric_is_on_the_page() {
    let texts = all_sources();
    let missing: Vec<String> = texts
        .iter()
        .flat_map(|text| text.split("\"masticreel_").skip(1))
        .filter_map(|rest| rest.split('"').next())
        .map(|rest| format!("masticreel_{rest}"))
        .filter(|name| !MANUAL.contains(&format!("| `{name}")))
        .collect();
    assert_eq!(missing, Vec::<String>::new(), "not in docs/operating.md");
}

#[test]
fn test_every_warning_and_error_is_on_the_page() {
    let texts = all_sources();
    let events: Vec<&str> = texts
        .iter()
        .flat_map(|text| quoted_after(text, "warn!(").chain(quoted_after(text, "error!(")))
        .collect();
    assert!(!events.is_empty());
    let missing: Vec<&&str> =
        events.iter().filter(|event| !MANUAL.contains(&format!("| `{event}`"))).collect();
    assert_eq!(missing, Vec::<&&str>::new(), "not in docs/operating.md");
}
