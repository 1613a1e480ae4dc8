//! The arguments of a directive.

use std::time::Duration;

use datadriven::TestCase;

use crate::scenario::ScenarioError;

/// How long a directive waits by default.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// The arguments of a directive; [`Arguments::finish`] fails if one was not used.
pub struct Arguments<'a> {
    case: &'a mut TestCase,
}

impl<'a> Arguments<'a> {
    pub fn new(case: &'a mut TestCase) -> Self {
        Self { case }
    }

    /// Returns an argument; fails if it is missing.
    pub fn required(&mut self, name: &str) -> Result<String, ScenarioError> {
        Ok(self.case.take_arg(name)?)
    }

    /// Returns an optional argument.
    pub fn optional(&mut self, name: &str) -> Result<Option<String>, ScenarioError> {
        Ok(self.case.try_take_arg(name)?)
    }

    /// Returns a numeric argument, or the default if it is missing.
    pub fn number(&mut self, name: &str, default: u64) -> Result<u64, ScenarioError> {
        Ok(self.case.try_take_arg(name)?.unwrap_or(default))
    }

    /// Returns whether an argument without a value is present.
    pub fn flag(&mut self, name: &str) -> Result<bool, ScenarioError> {
        Ok(self.case.take_flag(name)?)
    }

    /// Returns the values of a list argument, empty if it is missing.
    pub fn list(&mut self, name: &str) -> Result<Vec<String>, ScenarioError> {
        Ok(self.case.try_take_args(name)?.unwrap_or_default())
    }

    /// Returns the first of the named arguments that is present; one of them is
    /// required.
    pub fn one_of(&mut self, names: &[&'static str]) -> Result<&'static str, ScenarioError> {
        for name in names {
            if self.flag(name)? {
                return Ok(name);
            }
        }
        Err(ScenarioError::text(format!("one of {} is needed", names.join(", "))))
    }

    /// Returns how long the directive waits, from the argument `within-ms`.
    pub fn within(&mut self) -> Result<Duration, ScenarioError> {
        let default = DEFAULT_WAIT.as_millis() as u64;
        Ok(Duration::from_millis(self.number("within-ms", default)?))
    }

    /// Fails if an argument was not used.
    pub fn finish(self) -> Result<(), ScenarioError> {
        Ok(self.case.expect_empty()?)
    }
}
