//! Parses TOML texts with errors that name the line and the key.
//!
//! [`TomlSource`] keeps the positions of all keys, so that code that validates
//! the parsed value can name the line of a [`KeyPath`] too.

use std::fmt;
use std::ops::Range;

use derive_more::Display;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One step of a [`KeyPath`].
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KeyStep {
    /// A key of a table.
    #[display("{_0}")]
    Key(String),
    /// An index in an array, counted from 0.
    #[display("[{_0}]")]
    Index(usize),
}

/// The path to a value in a TOML text, such as `groups[1].servers[0].address`.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct KeyPath(Vec<KeyStep>);

impl KeyPath {
    /// Returns the path extended by a key of a table.
    pub fn key(&self, key: &str) -> Self {
        self.step(KeyStep::Key(key.to_owned()))
    }

    /// Returns the path extended by an index in an array.
    pub fn index(&self, index: usize) -> Self {
        self.step(KeyStep::Index(index))
    }

    fn step(&self, step: KeyStep) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            if position > 0 && matches!(step, KeyStep::Key(_)) {
                formatter.write_str(".")?;
            }
            write!(formatter, "{step}")?;
        }
        Ok(())
    }
}

/// An error in a TOML text, with its location.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("line {line}, key {key:?}: {message}", key = key.to_string())]
pub struct TomlError {
    /// The line, counted from 1.
    pub line: usize,
    /// The key with the error; empty if none can be named.
    pub key: KeyPath,
    /// The parser's description of the error.
    pub message: String,
}

impl std::error::Error for TomlError {}

/// A parsed TOML text with the positions of its keys.
pub struct TomlSource<'text> {
    text: &'text str,
    root: DeTable<'text>,
}

impl<'text> TomlSource<'text> {
    /// Parses a text and deserializes the value that it describes.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid TOML or does not describe a value of this
    /// type.
    pub fn parse<Value>(text: &'text str) -> Result<(Self, Value), TomlError>
    where
        Value: DeserializeOwned,
    {
        let root = DeTable::parse(text).map_err(|error| syntax_error(text, &error))?;
        let source = Self { text, root: root.into_inner() };
        match toml::from_str(text) {
            Ok(value) => Ok((source, value)),
            Err(error) => Err(source.value_error(&error)),
        }
    }

    /// Returns the line of the value at a path; if there is none, the line of the
    /// nearest table or element around it.
    pub fn line(&self, path: &KeyPath) -> usize {
        let mut line = 1;
        let mut table = Some(&self.root);
        let mut array = None;
        for step in &path.0 {
            let value = match step {
                KeyStep::Key(key) => {
                    match table.and_then(|table| table.get_key_value(key.as_str())) {
                        Some((key, value)) => {
                            line = line_at(self.text, key.span().start);
                            value
                        }
                        None => return line,
                    }
                }
                KeyStep::Index(index) => {
                    match array.and_then(|array: &toml::de::DeArray<'_>| array.get(*index)) {
                        Some(value) => {
                            line = line_at(self.text, value.span().start);
                            value
                        }
                        None => return line,
                    }
                }
            };
            table = value.get_ref().as_table();
            array = value.get_ref().as_array();
        }
        line
    }

    fn value_error(&self, error: &toml::de::Error) -> TomlError {
        let span = error.span().unwrap_or_default();
        let mut key = path_in_table(&self.root, &span).unwrap_or_default();
        if let Some(missing) = missing_field(error.message()) {
            key = key.key(missing);
        }
        let line = line_at(self.text, span.start);
        TomlError { line, key, message: error.message().to_owned() }
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> TomlError {
    let start = error.span().unwrap_or_default().start;
    let key = key_on_line(text, start);
    TomlError { line: line_at(text, start), key, message: error.message().to_owned() }
}

/// Returns the key before the equals sign on the line of an offset.
fn key_on_line(text: &str, offset: usize) -> KeyPath {
    let line = text.lines().nth(line_at(text, offset) - 1).unwrap_or_default();
    match line.split_once('=') {
        Some((key, _)) => KeyPath::default().key(key.trim()),
        None => KeyPath::default(),
    }
}

/// Extracts the field's name from serde's message about a missing field.
fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.strip_suffix('`')
}

fn line_at(text: &str, offset: usize) -> usize {
    let offset = offset.min(text.len());
    text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count() + 1
}

fn path_in_table(table: &DeTable<'_>, span: &Range<usize>) -> Option<KeyPath> {
    table.iter().find_map(|(key, value)| {
        let path = KeyPath::default().key(key.get_ref());
        let on_key = contains(&key.span(), span);
        on_key.then(|| path.clone()).or_else(|| path_in_value(&path, value, span))
    })
}

fn path_in_value(
    path: &KeyPath,
    value: &Spanned<DeValue<'_>>,
    span: &Range<usize>,
) -> Option<KeyPath> {
    let deeper = match value.get_ref() {
        DeValue::Table(table) => path_in_table(table, span),
        DeValue::Array(array) => array.iter().enumerate().find_map(|(index, element)| {
            path_in_value(&KeyPath::default().index(index), element, span)
        }),
        _ => None,
    };
    match deeper {
        Some(rest) => Some(KeyPath(path.0.iter().cloned().chain(rest.0).collect())),
        None => contains(&value.span(), span).then(|| path.clone()),
    }
}

fn contains(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    // An error of the root table has an empty span, which belongs to no key.
    !inner.is_empty() && outer.start <= inner.start && inner.end <= outer.end
}
