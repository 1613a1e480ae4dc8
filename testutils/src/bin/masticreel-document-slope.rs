//! Measures the cost of the document and of service levels for an instance.
//!
//! For documents of several sizes it prints the bytes on the wire, the time to
//! parse the document and the time to classify a statement; then the cost of
//! recording latencies and reporting a service level.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use argh::FromArgs;
use masticreel_base::ids::{Revision, SectionName};
use masticreel_burn::recorder::{BurnRecorder, RequestResult};
use masticreel_document::class::Class;
use masticreel_document::document::Document;
use masticreel_document::policy::StatedTraits;
use masticreel_document::section::SectionText;
use masticreel_document::wire::WireDocument;

// Repetitions of each step; the figures are means, but `report_ms` is one run.
const PARSES: u32 = 20;
const STATEMENTS: u32 = 100_000;
const RECORDS: u32 = 1_000_000;
const GROUPS_PER_SECTION: usize = 20;
const SERVERS_PER_GROUP: usize = 3;
const STATEMENT: &str = "select id, taken_at, value from sensor_traces where run = $1 limit 100";

/// Measure the document's costs for several numbers of groups and rules.
#[derive(FromArgs)]
struct Arguments {
    /// numbers of groups
    #[argh(positional)]
    groups: Vec<usize>,

    /// rules per ten groups
    #[argh(option, default = "3")]
    rules_per_ten_groups: usize,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    println!("groups,rules,wire_bytes,parse_ms,classify_us");
    for groups in &arguments.groups {
        let rules = (groups * arguments.rules_per_ten_groups).div_ceil(10);
        measure_document(*groups, rules);
    }
    measure_burn_recorder();
}

fn measure_document(groups: usize, rules: usize) {
    let sections = sections(groups, rules);
    let started = Instant::now();
    for _ in 0..PARSES {
        Document::parse(sections.clone(), Revision(1)).expect("the document is valid");
    }
    let parse = started.elapsed() / PARSES;
    let document = Document::parse(sections, Revision(1)).expect("the document is valid");
    let wire = serde_json::to_vec(&WireDocument::from(&document)).expect("keys are text");
    let started = Instant::now();
    for _ in 0..STATEMENTS {
        let traits = document.policy().classify(STATEMENT, &StatedTraits::default());
        std::hint::black_box(traits);
    }
    let classify = started.elapsed() / STATEMENTS;
    println!(
        "{groups},{rules},{},{:.2},{:.2}",
        wire.len(),
        parse.as_secs_f64() * 1e3,
        classify.as_secs_f64() * 1e6
    );
}

fn sections(groups: usize, rules: usize) -> BTreeMap<SectionName, SectionText> {
    let mut texts: Vec<String> = vec![String::new(); groups.div_ceil(GROUPS_PER_SECTION)];
    for group in 0..groups {
        texts[group / GROUPS_PER_SECTION].push_str(&group_text(group));
    }
    for rule in 0..rules {
        let text = format!("[[rules]]\npattern = \"from table_{rule} \"\nclass = \"long\"\n\n");
        texts[rule * groups.max(1) / rules / GROUPS_PER_SECTION].push_str(&text);
    }
    let section = |text: String| SectionText {
        revision: Revision(1),
        text: text.into(),
        author: "measurement".into(),
    };
    let named = texts.into_iter().enumerate();
    named.map(|(number, text)| (format!("team-{number:03}").into(), section(text))).collect()
}

fn group_text(group: usize) -> String {
    let mut text =
        format!("[[groups]]\nname = \"group-{group}\"\ndatabase = \"database_{group}\"\n\n");
    for server in 0..SERVERS_PER_GROUP {
        let number = group * SERVERS_PER_GROUP + server;
        let (high, low) = (number / 250, number % 250 + 1);
        text.push_str(&format!(
            "[[groups.servers]]\nname = \"server-{number}\"\naddress = \"10.1.{high}.{low}:5432\"\n\
             failure_domain = \"domain-{server}\"\nmax_connections = 30\n\n"
        ));
    }
    text
}

/// Measures the recorder of service levels' error budgets: recording an hour of
/// answers of all classes, then one report.
fn measure_burn_recorder() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    let classes = [Class::Urgent, Class::Normal, Class::Long];
    let latency = |number: u32| Duration::from_micros(u64::from(number % 50_000));
    let began = Instant::now();
    for number in 0..RECORDS {
        let at = start + Duration::from_micros(u64::from(number) * 3_600);
        let class = classes[number as usize % classes.len()];
        recorder.record(class, latency(number), RequestResult::Served, at);
    }
    let record = began.elapsed() / RECORDS;
    let level = masticreel_document::levels::ServiceLevel {
        name: "level".into(),
        class: Class::Urgent,
        latency_ms: 20,
        objective_percent: 99.9,
    };
    let end = start + Duration::from_secs(3_599);
    let began = Instant::now();
    std::hint::black_box(recorder.clone().report(&level, end));
    let report = began.elapsed();
    println!("histograms,record_ns,report_ms");
    println!("{},{},{:.2}", recorder.bucket_count(), record.as_nanos(), report.as_secs_f64() * 1e3);
}
