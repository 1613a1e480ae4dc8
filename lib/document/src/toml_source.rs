//! TOML texts whose errors name the line and the key.

use std::fmt;
use std::ops::Range;

use derive_more::Display;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One step on the way to a value in a TOML text.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KeyStep {
    /// A key of a table.
    #[display("{_0}")]
    Key(String),
    /// A place in an array, counted from 0.
    #[display("[{_0}]")]
    Index(usize),
}

/// The way to a value in a TOML text, such as `groups[1].servers[0].address`.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct KeyPath(Vec<KeyStep>);

impl KeyPath {
    /// Extends the path by a key of a table.
    pub fn key(&self, key: &str) -> Self {
        self.step(KeyStep::Key(key.to_owned()))
    }

    /// Extends the path by a place in an array.
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
        for (place, step) in self.0.iter().enumerate() {
            if place > 0 && matches!(step, KeyStep::Key(_)) {
                formatter.write_str(".")?;
            }
            write!(formatter, "{step}")?;
        }
        Ok(())
    }
}

/// What is wrong in a TOML text, and where.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("line {line}, key {key:?}: {message}", key = key.to_string())]
pub struct TomlError {
    /// The line, counted from 1.
    pub line: usize,
    /// The key concerned; empty if the text is no TOML at all.
    pub key: KeyPath,
    /// What is wrong.
    pub message: String,
}

impl std::error::Error for TomlError {}

/// A TOML text in which keys can be found again.
pub struct TomlSource<'text> {
    text: &'text str,
    root: DeTable<'text>,
}

impl<'text> TomlSource<'text> {
    /// Reads a text and the value that it describes.
    ///
    /// # Errors
    ///
    /// Fails when the text is no TOML or does not describe such a value.
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

    /// Returns the line of a key, or of the nearest table around it.
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

/// Returns the field's name in serde's message about a missing field.
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
    // The root table has an empty range, which lies within no key.
    !inner.is_empty() && outer.start <= inner.start && inner.end <= outer.end
}
