//! Checks masticreel's admission policy, `FirstComeLent`, on the simulated arrivals of
//! two example deployments in `experiments/`, `shake-db` and `hint-core`.

use std::path::Path;

use masticreel_testutils::experiment::report::{PolicyName, Row, run_phase, to_csv};
use masticreel_testutils::experiment::settings::ExperimentSettings;

fn settings(name: &str) -> ExperimentSettings {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments").join(name);
    let text = std::fs::read_to_string(path).expect("the settings are in the repository");
    toml::from_str(&text).expect("the settings are valid")
}

fn rows(settings: &ExperimentSettings, phase: &str, policy: PolicyName) -> Vec<Row> {
    let phase = settings.phases.iter().find(|candidate| &*candidate.name == phase);
    run_phase(settings, phase.expect("the phase exists"), policy)
}

fn row<'rows>(rows: &'rows [Row], kind: &str) -> &'rows Row {
    rows.iter().find(|row| &*row.kind == kind).expect("the kind exists")
}

// For each deployment, the 99th percentile of a short statement's execution time
// plus one round trip between failure domains.
const SHAKE_DB_URGENT_BOUND_MS: f64 = 19.2 + 3.0;
const HINT_CORE_URGENT_BOUND_MS: f64 = 16.2 + 1.0;

/// The share of the slots' time that must be useful in the phase `crest`.
const USEFUL_LOAD_BOUND: f64 = 0.9;

#[test]
fn test_urgent_requests_wait_for_one_short_statement_behind_endless_long_work() {
    for (file, kind, bound_ms) in [
        ("shake-db.toml", "abort", SHAKE_DB_URGENT_BOUND_MS),
        ("hint-core.toml", "unlock", HINT_CORE_URGENT_BOUND_MS),
    ] {
        let rows = rows(&settings(file), "long without end", PolicyName::FirstComeLent);
        let urgent = row(&rows, kind);
        assert_eq!(urgent.in_time, urgent.arrived, "{file}");
        assert!(urgent.wait_ms(99.0) <= bound_ms, "{file}: {} ms", urgent.wait_ms(99.0));
    }
}

#[test]
fn test_crest_leaves_urgent_requests_alone_and_keeps_the_slots_useful() {
    for (file, kind) in [("shake-db.toml", "abort"), ("hint-core.toml", "unlock")] {
        let settings = settings(file);
        let calm = rows(&settings, "calm", PolicyName::FirstComeLent);
        let crest = rows(&settings, "crest", PolicyName::FirstComeLent);
        let (calm, urgent) = (row(&calm, kind), row(&crest, kind));
        assert_eq!(urgent.in_time, urgent.arrived, "{file}");
        assert!(urgent.wait_ms(99.0) <= 2.0 * calm.wait_ms(99.0), "{file}");
        let all = row(&crest, "all");
        assert!(all.useful_load >= USEFUL_LOAD_BOUND, "{file}: {}", all.useful_load);
        assert_eq!(all.in_time + all.late + all.refused, all.arrived, "{file}");
    }
}

#[test]
fn test_flood_of_one_app_leaves_the_other_apps_their_share() {
    let settings = settings("hint-core.toml");
    let direct = rows(&settings, "flood of one app", PolicyName::Direct);
    let adopted = rows(&settings, "flood of one app", PolicyName::FirstComeLent);
    // Three of the four apps keep their normal rate, so three quarters of the requests
    // of kind `grid` come from them.
    let grids = row(&adopted, "grid");
    assert!(4 * grids.in_time >= 3 * grids.arrived);
    assert!(grids.in_time > row(&direct, "grid").in_time);
}

#[test]
fn test_experiment_repeats_itself() {
    let settings = settings("shake-db.toml");
    let run = || to_csv("shake-db", &rows(&settings, "crest", PolicyName::FirstComeLent));
    assert_eq!(run(), run());
}
