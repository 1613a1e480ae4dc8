//! Conversion of values between the formats of PostgreSQL and SQLite.

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;

use crate::upstream::error::{SqlError, codes};

/// The type of a column or parameter, as far as the stand-in distinguishes types.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// `int8`, and all other integers.
    Int8,
    /// `text`, and all other types.
    Text,
    /// `float8`, and all other floating-point numbers.
    Float8,
    Bool,
    Bytea,
}

/// Whether a value is text or binary on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    Text,
    Binary,
}

impl Format {
    /// Chooses the format of one value from a message's list of format codes.
    pub fn of(codes: &[i16], index: usize) -> Self {
        let code = match codes {
            [] => 0,
            [all] => *all,
            each => each.get(index).copied().unwrap_or(0),
        };
        if code == 1 { Self::Binary } else { Self::Text }
    }

    /// Returns the format's code on the wire.
    pub fn code(self) -> i16 {
        match self {
            Self::Text => 0,
            Self::Binary => 1,
        }
    }
}

impl ColumnType {
    /// Parses a type's name in a declaration or a cast.
    pub fn from_name(name: &str) -> Option<Self> {
        let name = name.to_ascii_lowercase();
        let base = name.split(['(', ' ']).next().unwrap_or_default();
        match base {
            "int" | "integer" | "int2" | "int4" | "int8" | "bigint" | "smallint" | "bigserial"
            | "serial" => Some(Self::Int8),
            "real" | "double" | "float" | "float4" | "float8" => Some(Self::Float8),
            "bool" | "boolean" => Some(Self::Bool),
            "bytea" | "blob" => Some(Self::Bytea),
            "text" | "varchar" | "char" | "character" => Some(Self::Text),
            _ => None,
        }
    }

    /// Returns the type with an object id; unknown ones are text.
    pub fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            17 => Self::Bytea,
            20 | 21 | 23 => Self::Int8,
            700 | 701 => Self::Float8,
            _ => Self::Text,
        }
    }

    /// Returns the type's object id.
    pub fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Bytea => 17,
            Self::Int8 => 20,
            Self::Text => 25,
            Self::Float8 => 701,
        }
    }

    /// Returns the size of the type's values in bytes, -1 if it varies.
    pub fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int8 | Self::Float8 => 8,
            Self::Text | Self::Bytea => -1,
        }
    }

    /// Guesses the type of a column from a value.
    pub fn of_value(value: &Value) -> Self {
        match value {
            Value::Integer(_) => Self::Int8,
            Value::Real(_) => Self::Float8,
            Value::Blob(_) => Self::Bytea,
            Value::Null | Value::Text(_) => Self::Text,
        }
    }
}

/// Decodes a parameter.
///
/// # Errors
///
/// Fails with 22P02 or 08P01 when the bytes don't fit the type.
pub fn decode(bytes: &[u8], oid: u32, format: Format) -> Result<Value, SqlError> {
    match format {
        Format::Text => decode_text(bytes, ColumnType::from_oid(oid)),
        Format::Binary => decode_binary(bytes, oid),
    }
}

fn decode_text(bytes: &[u8], column_type: ColumnType) -> Result<Value, SqlError> {
    let text = std::str::from_utf8(bytes)
        .map_err(|_| SqlError::new(codes::INVALID_TEXT, "invalid byte sequence for UTF-8"))?;
    let invalid =
        || SqlError::new(codes::INVALID_TEXT, format!("invalid input syntax for type: \"{text}\""));
    match column_type {
        ColumnType::Int8 => text.trim().parse().map(Value::Integer).map_err(|_| invalid()),
        ColumnType::Float8 => text.trim().parse().map(Value::Real).map_err(|_| invalid()),
        ColumnType::Text => Ok(Value::Text(text.to_owned())),
        ColumnType::Bool => match text.trim().to_ascii_lowercase().as_str() {
            "t" | "true" | "on" | "yes" | "1" => Ok(Value::Integer(1)),
            "f" | "false" | "off" | "no" | "0" => Ok(Value::Integer(0)),
            _ => Err(invalid()),
        },
        ColumnType::Bytea => match text.strip_prefix("\\x") {
            Some(hex) => decode_hex(hex).map(Value::Blob).ok_or_else(invalid),
            None => Ok(Value::Blob(bytes.to_vec())),
        },
    }
}

fn decode_hex(hex: &str) -> Option<Vec<u8>> {
    let bytes = hex.as_bytes();
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    bytes.chunks(2).map(pair).collect()
}

fn decode_binary(bytes: &[u8], oid: u32) -> Result<Value, SqlError> {
    let invalid =
        || SqlError::new(codes::PROTOCOL_VIOLATION, "incorrect binary data format in bind message");
    let value = match (oid, bytes) {
        (16, [flag]) => Value::Integer(i64::from(*flag)),
        (17, _) => Value::Blob(bytes.to_vec()),
        (20 | 21 | 23, _) => Value::Integer(decode_integer(bytes).ok_or_else(invalid)?),
        (700, _) => {
            let bytes = bytes.try_into().map_err(|_| invalid())?;
            Value::Real(f64::from(f32::from_be_bytes(bytes)))
        }
        (701, _) => Value::Real(f64::from_be_bytes(bytes.try_into().map_err(|_| invalid())?)),
        (16, _) => return Err(invalid()),
        _ => Value::Text(String::from_utf8(bytes.to_vec()).map_err(|_| invalid())?),
    };
    Ok(value)
}

fn decode_integer(bytes: &[u8]) -> Option<i64> {
    match bytes.len() {
        2 => Some(i64::from(i16::from_be_bytes(bytes.try_into().ok()?))),
        4 => Some(i64::from(i32::from_be_bytes(bytes.try_into().ok()?))),
        8 => Some(i64::from_be_bytes(bytes.try_into().ok()?)),
        _ => None,
    }
}

/// Appends a value to a data row, prefixed with its length.
pub fn encode(row: &mut BytesMut, value: &Value, column_type: ColumnType, format: Format) {
    if *value == Value::Null {
        row.put_i32(-1);
        return;
    }
    let bytes = match format {
        Format::Text => encode_text(value, column_type),
        Format::Binary => encode_binary(value, column_type),
    };
    row.put_i32(bytes.len() as i32);
    row.put_slice(&bytes);
}

fn encode_text(value: &Value, column_type: ColumnType) -> Vec<u8> {
    match (value, column_type) {
        (Value::Integer(flag), ColumnType::Bool) => {
            if *flag == 0 {
                b"f".to_vec()
            } else {
                b"t".to_vec()
            }
        }
        (Value::Integer(number), _) => number.to_string().into_bytes(),
        (Value::Real(number), _) => number.to_string().into_bytes(),
        (Value::Text(text), _) => text.clone().into_bytes(),
        (Value::Blob(bytes), _) => encode_hex(bytes),
        (Value::Null, _) => Vec::new(),
    }
}

fn encode_hex(bytes: &[u8]) -> Vec<u8> {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = b"\\x".to_vec();
    for byte in bytes {
        text.push(DIGITS[usize::from(byte >> 4)]);
        text.push(DIGITS[usize::from(byte & 15)]);
    }
    text
}

fn encode_binary(value: &Value, column_type: ColumnType) -> Vec<u8> {
    match (value, column_type) {
        (Value::Integer(flag), ColumnType::Bool) => vec![u8::from(*flag != 0)],
        (Value::Integer(number), ColumnType::Int8) => number.to_be_bytes().to_vec(),
        (Value::Integer(number), ColumnType::Float8) => (*number as f64).to_be_bytes().to_vec(),
        (Value::Real(number), ColumnType::Float8) => number.to_be_bytes().to_vec(),
        (Value::Blob(bytes), ColumnType::Bytea) => bytes.clone(),
        (other, _) => encode_text(other, column_type),
    }
}
