//! Tests of the command line, the settings and the files that hold sections.

use std::path::PathBuf;

use masticreel_base::ids::Revision;
use masticreel_cli::exit::Exit;
use masticreel_cli::settings::Settings;
use masticreel_cli::time::ago;
use masticreel_cli::working_copy::{SectionOrigin, WorkingCopy};
use proptest::prelude::*;

struct CommandOutput {
    exit: Exit,
    out: String,
    err: String,
}

fn run(arguments: &[&str]) -> CommandOutput {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = masticreel_cli::run(&arguments, &mut out, &mut err);
    CommandOutput {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Writes a file for one test; the process id in its name keeps test runs apart.
fn write_file(name: &str, content: &str) -> String {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}-{}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn test_help_tells_commands_and_exit_codes() {
    let output = run(&["--help"]);
    assert_eq!(output.exit, Exit::Done);
    insta::assert_snapshot!("help", output.out);
    insta::assert_snapshot!("help_of_document", run(&["document", "--help"]).out);
}

#[test]
fn test_version_needs_no_settings() {
    let output = run(&["--version"]);
    assert_eq!(output.exit, Exit::Done);
    assert_eq!(output.out, format!("masticreel {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn test_a_wrong_command_line_is_a_usage_error() {
    for arguments in [&["stauts"][..], &["document"], &["document", "apply"], &["--settings"]] {
        let output = run(arguments);
        assert_eq!(output.exit, Exit::Usage, "{arguments:?}");
        assert!(!output.err.is_empty(), "{arguments:?}");
    }
    assert_eq!(run(&[]).exit, Exit::Usage);
}

#[test]
fn test_settings_errors_name_file_line_and_key() {
    let cases = [
        ("platform = 7\n", ":1: key platform: invalid type"),
        ("platform = \"p\"\ninstances = [\"x\"]\n", ":2: key instances[0]: invalid socket address"),
        ("platform = \"p\"\n\nplatfrom = \"p\"\n", ":3: key platfrom: unknown field"),
        ("author = \"a\"\n", ": key platform: missing field"),
        ("platform = \n", ":1: key platform: "),
    ];
    for (text, expected) in cases {
        let file = write_file("settings", text);
        let output = run(&["--settings", &file, "status"]);
        assert_eq!(output.exit, Exit::Usage);
        assert!(output.err.contains(&file), "{}", output.err);
        assert!(output.err.contains(expected), "{} lacks {expected}", output.err);
    }
    assert_eq!(run(&["--settings", "/nonexistent", "status"]).exit, Exit::Usage);
}

#[test]
fn test_settings_have_defaults() {
    let settings = Settings::parse("platform = \"http://127.0.0.1:2379\"").unwrap();
    assert!(settings.instances.is_empty());
    assert_eq!(settings.call_timeout_ms, 2_000);
}

#[test]
fn test_a_file_without_its_base_is_not_applied() {
    let settings = write_file("no-base-settings", "platform = \"http://127.0.0.1:1\"\n");
    let file = write_file("no-base", "owner = \"lab\"\n");
    let output = run(&["--settings", &settings, "document", "apply", &file, "--author", "a"]);
    assert_eq!(output.exit, Exit::Usage);
    assert!(output.err.contains("--base"), "{}", output.err);
}

#[test]
fn test_an_unreachable_platform_is_said_so() {
    let settings = write_file(
        "unreachable-settings",
        "platform = \"http://127.0.0.1:1\"\nauthor = \"a\"\ninstances = [\"127.0.0.1:1\"]\n\
         edit_timeout_ms = 300\n",
    );
    for command in [&["document", "show"][..], &["document", "history"], &["status"], &["report"]] {
        let output = run(&[&["--settings", &settings], command].concat());
        assert_eq!(output.exit, Exit::Unreachable, "{command:?}: {}", output.err);
    }
    // `apply` sent no write, so its outcome is certain; that of the edit to settle
    // is not.
    let file = write_file("unreachable", "# masticreel section lab from revision 0\n");
    let output = run(&["--settings", &settings, "--json", "document", "apply", &file]);
    assert_eq!(output.exit, Exit::NotLanded, "{}", output.err);
    assert!(output.out.contains("\"outcome\": \"not_landed\""), "{}", output.out);
    let output = run(&["--settings", &settings, "document", "settle", "1-0-00ff"]);
    assert_eq!(output.exit, Exit::Unknown);
    assert!(output.out.contains("masticreel document settle 1-0-00ff"), "{}", output.out);
    assert_eq!(run(&["--settings", &settings, "document", "settle", "x"]).exit, Exit::Usage);
}

#[test]
fn test_a_file_without_an_origin_is_taken_whole() {
    let working_copy =
        WorkingCopy::parse("# masticreel section lab from revision x\nowner = \"lab\"\n");
    assert_eq!(working_copy.origin, None);
    assert!(working_copy.text.starts_with("# masticreel"));
}

#[test]
fn test_ages_use_the_largest_unit() {
    let ages = [0, 59_999, 60_000, 7_200_000, 200_000_000].map(|age_ms| ago(0, age_ms));
    assert_eq!(ages, ["0 s ago", "59 s ago", "1 min ago", "2 h ago", "2 d ago"]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn test_a_working_copy_keeps_text_and_origin(text in "(?s).{0,60}", base in any::<u64>()) {
        let origin = Some(SectionOrigin { section: "lab-1.a".into(), base: Revision(base) });
        let working_copy = WorkingCopy { origin, text: text.as_str().into() };
        prop_assert_eq!(WorkingCopy::parse(&working_copy.render()), working_copy);
    }
}
