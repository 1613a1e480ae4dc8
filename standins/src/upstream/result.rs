//! Results of statements: rows, columns and command tags.

use pgwire::messages::data::{FieldDescription, RowDescription};
use rusqlite::Statement;
use rusqlite::types::Value;

use crate::upstream::value::{ColumnType, Format};

/// One column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// The column's name.
    pub name: String,
    /// The type of its values.
    pub column_type: ColumnType,
    /// Whether the type is a guess. Simple queries replace it by the type of the
    /// first value; in the extended protocol it stays.
    pub is_guess: bool,
}

impl Column {
    /// Describes a column of a known type.
    pub fn new(name: &str, column_type: ColumnType) -> Self {
        Self { name: name.to_owned(), column_type, is_guess: false }
    }
}

/// The rows of a statement and its command tag.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultSet {
    /// The columns; none if the statement returns no rows.
    pub columns: Vec<Column>,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// The command tag, such as `INSERT 0 1`.
    pub tag: String,
}

impl ResultSet {
    /// Creates the result of a statement without rows.
    pub fn tag_only(tag: &str) -> Self {
        Self { columns: Vec::new(), rows: Vec::new(), tag: tag.to_owned() }
    }

    /// Replaces guessed types by the type of each column's first value.
    pub fn refine_guessed_types(&mut self) {
        for (index, column) in self.columns.iter_mut().enumerate() {
            let mut values = self.rows.iter().map(|row| &row[index]);
            let first = values.find(|value| **value != Value::Null);
            if let Some(value) = first.filter(|_| column.is_guess) {
                column.column_type = ColumnType::of_value(value);
            }
        }
    }
}

/// Returns the columns of a prepared statement.
pub fn describe_columns(prepared: &Statement<'_>) -> Vec<Column> {
    let describe = |column: rusqlite::Column<'_>| {
        let declared = column.decl_type().and_then(ColumnType::from_name);
        let column_type = declared.unwrap_or_else(|| guess_type(column.name()));
        let name = display_name(column.name()).to_owned();
        Column { name, column_type, is_guess: declared.is_none() }
    };
    prepared.columns().map(describe).collect()
}

/// Guesses an expression's type from its text, which SQLite returns as the name
/// of its column.
fn guess_type(expression: &str) -> ColumnType {
    let is_count = expression.to_ascii_lowercase().starts_with("count(");
    if is_count || expression.parse::<i64>().is_ok() {
        return ColumnType::Int8;
    }
    ColumnType::Text
}

/// Returns the name that PostgreSQL gives to an expression's column.
fn display_name(name: &str) -> &str {
    let end = name.find(|char: char| !char.is_alphanumeric() && char != '_').unwrap_or(name.len());
    let is_call = name[end..].starts_with('(') && end > 0;
    let is_literal = name.starts_with(|char: char| char.is_ascii_digit() || char == '\'');
    match (is_call, is_literal) {
        (true, _) => &name[..end],
        (false, true) => "?column?",
        (false, false) => name,
    }
}

/// Returns the description of a result's columns.
pub fn row_description(columns: &[Column], formats: &[i16]) -> RowDescription {
    let field = |(index, column): (usize, &Column)| {
        let format = Format::of(formats, index).code();
        let column_type = column.column_type;
        let (oid, size) = (column_type.oid(), column_type.size());
        FieldDescription::new(column.name.clone(), 0, 0, oid, size, -1, format)
    };
    RowDescription::new(columns.iter().enumerate().map(field).collect())
}

/// Returns the command tag of a statement.
pub fn command_tag(keyword: &str, sql: &str, count: u64) -> String {
    match keyword {
        "INSERT" | "REPLACE" => format!("INSERT 0 {count}"),
        "UPDATE" | "DELETE" | "SELECT" => format!("{keyword} {count}"),
        "WITH" | "VALUES" => format!("SELECT {count}"),
        "CREATE" | "DROP" | "ALTER" => {
            let object = sql.split_whitespace().nth(1).unwrap_or_default();
            format!("{keyword} {}", object.to_ascii_uppercase())
        }
        _ => keyword.to_owned(),
    }
}
