//! `masticreeld`: one instance of the database proxy.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use masticreel_daemon::embedded::EmbeddedPlatform;
use masticreel_daemon::instance::Instance;
use masticreel_daemon::logging;
use masticreel_daemon::settings::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::error;

/// The exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Where callers connect unless `--callers` is given, when `--embedded` starts a
/// store, a database group and an instance in this process.
const DEFAULT_EMBEDDED_ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 6432));

/// A database proxy with session consistency.
///
/// Callers connect with any PostgreSQL client. See docs/operating.md.
#[derive(FromArgs)]
struct Arguments {
    /// settings file of this instance (TOML)
    #[argh(option, short = 's')]
    settings: Option<PathBuf>,

    /// check the settings file and exit
    #[argh(option)]
    check_settings: Option<PathBuf>,

    /// start a platform store, a database group and an instance in one process
    #[argh(switch)]
    embedded: bool,

    /// where callers connect with --embedded (default 127.0.0.1:6432)
    #[argh(option, default = "DEFAULT_EMBEDDED_ADDRESS")]
    callers: SocketAddr,

    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("masticreeld {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(path) = arguments.check_settings {
        return check_settings(&path);
    }
    match (arguments.settings, arguments.embedded) {
        (Some(_), true) => usage_error("give either --settings FILE or --embedded"),
        (Some(path), false) => run_with_file(&path),
        (None, true) => run_embedded(arguments.callers),
        (None, false) => usage_error("give --settings FILE or --embedded; see --help"),
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("masticreeld: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn check_settings(path: &Path) -> ExitCode {
    match Settings::load(path) {
        Ok(_) => {
            println!("{}: the settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(&error.to_string()),
    }
}

fn run_with_file(path: &Path) -> ExitCode {
    match Settings::load(path) {
        Ok(settings) => run(&settings),
        Err(error) => usage_error(&error.to_string()),
    }
}

fn run_embedded(caller_address: SocketAddr) -> ExitCode {
    let platform = match EmbeddedPlatform::start() {
        Ok(platform) => platform,
        Err(error) => {
            eprintln!("masticreeld: {error}");
            return ExitCode::FAILURE;
        }
    };
    run(&platform.settings(caller_address))
}

fn run(settings: &Settings) -> ExitCode {
    let logger = logging::logger(settings.log.level, settings.instance.name.as_str());
    let mut signals = match Signals::new([SIGINT, SIGTERM]) {
        Ok(signals) => signals,
        Err(error) => {
            error!(logger, "signals can't be handled"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    let instance = match Instance::start(settings, &logger) {
        Ok(instance) => instance,
        Err(error) => {
            error!(logger, "instance can't start"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    println!("ready callers={}", instance.caller_address());
    signals.forever().next();
    instance.stop();
    ExitCode::SUCCESS
}
