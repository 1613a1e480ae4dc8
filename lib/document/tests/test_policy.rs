//! Tests of how statements are classified.

use std::time::Duration;

use masticreel_document::class::Class;
use masticreel_document::policy::{Policy, StatedTraits, StatementTraits};
use masticreel_document::rules::StatementRule;
use proptest::prelude::*;

fn rule(pattern: &str) -> StatementRule {
    StatementRule {
        pattern: pattern.to_owned(),
        class: None,
        max_staleness_ms: None,
        idempotent: None,
    }
}

fn policy() -> Policy {
    Policy::new(&[
        StatementRule { class: Some(Class::Urgent), ..rule("Abort_Run") },
        StatementRule {
            max_staleness_ms: Some(2_000),
            idempotent: Some(true),
            ..rule("from grids")
        },
        StatementRule { class: Some(Class::Long), max_staleness_ms: Some(9), ..rule("grids") },
    ])
}

#[test]
fn test_a_statement_without_a_rule_is_treated_with_care() {
    let traits = policy().classify("select 1", &StatedTraits::default());
    assert_eq!(traits, StatementTraits::default());
    assert_eq!(traits.max_staleness, Duration::ZERO);
    assert!(!traits.idempotent);
}

#[test]
fn test_case_does_not_matter() {
    let traits = policy().classify("SELECT ABORT_run(7)", &StatedTraits::default());
    assert_eq!(traits.class, Class::Urgent);
}

#[test]
fn test_each_trait_comes_from_the_first_rule_that_states_it() {
    let traits = policy().classify("select * from grids", &StatedTraits::default());
    assert_eq!(traits.max_staleness, Duration::from_secs(2));
    assert_eq!(traits.class, Class::Long);
    assert!(traits.idempotent);
}

#[test]
fn test_tags_go_before_rules() {
    let tags = StatedTraits {
        class: Some(Class::Normal),
        max_staleness: Some(Duration::ZERO),
        idempotent: None,
    };
    let traits = policy().classify("select * from grids", &tags);
    assert_eq!(traits.class, Class::Normal);
    assert_eq!(traits.max_staleness, Duration::ZERO);
    assert!(traits.idempotent);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn test_a_rule_matches_wherever_its_pattern_stands(before in ".{0,20}", after in ".{0,20}") {
        let sql = format!("{before}ABORT_run{after}");
        let traits = policy().classify(&sql, &StatedTraits::default());
        prop_assert_eq!(traits.class, Class::Urgent);
    }
}
