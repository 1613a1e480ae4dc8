//! The language of scripted scenarios; see `docs/scenarios.md`.
//!
//! A scenario starts masticreel, and stand-ins for its store and servers, as
//! processes, sends requests of callers and operators, injects faults, and compares
//! the output of each directive with the output that the file expects. The output
//! has no times, ports or process ids, since these differ from run to run.

mod arguments;
mod caller;
mod environment;
mod faults;
mod operator;
pub mod session;
mod waiting;

use std::path::Path;

use datadriven::{TestCase, walk};
use derive_more::{Display, From};

use crate::scenario::arguments::Arguments;
use crate::scenario::caller::Callers;
use crate::scenario::environment::Environment;

/// Why a directive can't be executed.
#[derive(Debug, Display, From)]
pub enum ScenarioError {
    /// The directive is invalid or failed for a reason that the text describes.
    #[display("{_0}")]
    #[from(ignore)]
    Text(String),
    /// A process, file or socket failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The directive's arguments are invalid.
    #[display("{_0}")]
    Arguments(datadriven::DataDrivenError),
}

impl std::error::Error for ScenarioError {}

impl ScenarioError {
    fn text(message: impl Into<String>) -> Self {
        Self::Text(message.into())
    }
}

/// Runs the scenario in a file, or all scenarios below a directory.
///
/// If the environment variable `REWRITE` is set, the expected output in the
/// files is replaced by the actual output.
///
/// # Panics
///
/// Panics with the differences when the output differs from the expected output.
pub fn run(path: &Path) {
    let path = path.to_str().expect("the path is UTF-8");
    assert!(Path::new(path).exists(), "{path} does not exist");
    walk(path, |file| {
        let mut scenario = Scenario::default();
        file.run(|case| scenario.step(case));
    });
}

/// The state of a running scenario; its processes are killed when it is dropped.
#[derive(Default)]
struct Scenario {
    callers: Callers,
    environment: Environment,
}

impl Scenario {
    fn step(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let directive = case.directive.clone();
        let input = case.input.trim_end().to_owned();
        let mut arguments = Arguments::new(case);
        let output = self.run_directive(&directive, &mut arguments, &input)?;
        arguments.finish()?;
        Ok(output.trim_end().to_owned() + "\n")
    }

    fn run_directive(
        &mut self,
        directive: &str,
        arguments: &mut Arguments<'_>,
        input: &str,
    ) -> Result<String, ScenarioError> {
        let environment = &mut self.environment;
        match directive {
            "start" => environment.start(arguments, input),
            "kill" | "freeze" | "thaw" | "terminate" | "restart" => {
                faults::process(environment, directive, arguments)
            }
            "cut" | "heal" | "delay" => faults::link(environment, directive, arguments),
            "store" => faults::store(environment, arguments),
            "edit" => operator::edit(environment, arguments, input),
            "masticreel" => operator::run(environment, input),
            "sql" => self.callers.run(environment, arguments, input),
            "send" => self.callers.send(environment, arguments, input),
            "receive" => self.callers.receive(arguments),
            "disconnect" => self.callers.disconnect(arguments),
            "session" => {
                let address = environment.caller_address(&arguments.required("instance")?)?;
                session::run(address, input)
            }
            "status" => environment.status_line(&arguments.required("server")?),
            "wait-for" => waiting::wait(environment, &mut self.callers, arguments, input),
            other => Err(ScenarioError::text(format!("unknown directive: {other}"))),
        }
    }
}
