//! The extended query protocol: prepared statements and portals.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Execute, Parse, ParseComplete, PortalSuspended,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};
use rusqlite::types::Value;

use crate::upstream::control;
use crate::upstream::error::{SqlError, codes};
use crate::upstream::result::{Column, ResultSet, row_description};
use crate::upstream::session::{Session, data_row, encode, unknown_statement};
use crate::upstream::sql::{self, Command, Statement};
use crate::upstream::value::{self, Format};

/// A prepared statement.
pub struct Prepared {
    statement: Statement,
    parameter_oids: Vec<u32>,
    columns: Vec<Column>,
}

/// A bound statement, with its rows once it was executed.
pub struct Portal {
    prepared: Arc<Prepared>,
    values: Vec<Value>,
    formats: Vec<i16>,
    result: Option<ResultSet>,
    sent_rows: usize,
}

impl Session<'_> {
    /// Handles a message of the extended query protocol other than Sync and Flush.
    ///
    /// # Errors
    ///
    /// Fails with the error to send to the caller; messages up to the next Sync
    /// must then be skipped.
    pub fn handle_extended(&mut self, message: PgWireFrontendMessage) -> Result<(), SqlError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                match describe.target_type {
                    b'S' => self.describe_statement(&name),
                    _ => self.describe_portal(&name),
                }
            }
            PgWireFrontendMessage::Execute(execute) => self.execute_portal(&execute),
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                match close.target_type {
                    b'S' => drop(self.statements.remove(&name)),
                    _ => drop(self.portals.remove(&name)),
                }
                encode(&mut self.output, &CloseComplete::new());
                Ok(())
            }
            _ => Err(SqlError::new(codes::PROTOCOL_VIOLATION, "unexpected message")),
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new(codes::DUPLICATE_STATEMENT, message));
        }
        if sql::split(&parse.query).len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new(codes::SYNTAX_ERROR, message));
        }
        let statement = sql::parse(&parse.query);
        let (count, columns) = match &statement.command {
            Command::Sqlite(_) => self.executor.describe(&statement)?,
            Command::Show(name) => (0, vec![Column::new(name, value::ColumnType::Text)]),
            Command::GroupCall { .. } => (0, control::columns()),
            _ => (0, Vec::new()),
        };
        let parameter_oids = parameter_oids(&parse.type_oids, count, &statement);
        self.statements.insert(name, Arc::new(Prepared { statement, parameter_oids, columns }));
        encode(&mut self.output, &ParseComplete::new());
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.statements.get(&name).ok_or_else(|| unknown_statement(&name))?;
        if bind.parameters.len() != prepared.parameter_oids.len() {
            let message = format!(
                "bind message supplies {} parameters, but the statement requires {}",
                bind.parameters.len(),
                prepared.parameter_oids.len()
            );
            return Err(SqlError::new(codes::PROTOCOL_VIOLATION, message));
        }
        let mut values = Vec::with_capacity(bind.parameters.len());
        for (index, parameter) in bind.parameters.iter().enumerate() {
            let format = Format::of(&bind.parameter_format_codes, index);
            values.push(match parameter {
                Some(bytes) => value::decode(bytes, prepared.parameter_oids[index], format)?,
                None => Value::Null,
            });
        }
        let portal = Portal {
            prepared: Arc::clone(prepared),
            values,
            formats: bind.result_column_format_codes,
            result: None,
            sent_rows: 0,
        };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        encode(&mut self.output, &BindComplete::new());
        Ok(())
    }

    fn describe_statement(&mut self, name: &str) -> Result<(), SqlError> {
        let prepared = self.statements.get(name).ok_or_else(|| unknown_statement(name))?;
        let parameters = ParameterDescription::new(prepared.parameter_oids.clone());
        encode(&mut self.output, &parameters);
        describe_rows(&mut self.output, &prepared.columns, &[]);
        Ok(())
    }

    fn describe_portal(&mut self, name: &str) -> Result<(), SqlError> {
        let portal = self.portals.get(name).ok_or_else(|| unknown_portal(name))?;
        describe_rows(&mut self.output, &portal.prepared.columns, &portal.formats);
        Ok(())
    }

    fn execute_portal(&mut self, execute: &Execute) -> Result<(), SqlError> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| unknown_portal(&name))?;
        if portal.prepared.statement.command == Command::Empty {
            encode(&mut self.output, &EmptyQueryResponse::new());
            self.portals.insert(name, portal);
            return Ok(());
        }
        let result = match portal.result.take() {
            Some(result) => result,
            None => self.run_statement(&portal.prepared.statement, &portal.values)?,
        };
        let limit = usize::try_from(execute.max_rows).ok().filter(|limit| *limit > 0);
        let rest = &result.rows[portal.sent_rows..];
        let count = limit.map_or(rest.len(), |limit| limit.min(rest.len()));
        for row in &rest[..count] {
            let columns = &portal.prepared.columns;
            encode(&mut self.output, &data_row(row, columns, &portal.formats));
        }
        // At the row limit the portal is suspended even if no row is left, as in
        // PostgreSQL.
        if limit == Some(count) {
            encode(&mut self.output, &PortalSuspended::new());
        } else {
            let tag = if result.columns.is_empty() || portal.sent_rows == 0 {
                result.tag.clone()
            } else {
                format!("SELECT {count}")
            };
            encode(&mut self.output, &CommandComplete::new(tag));
        }
        portal.sent_rows += count;
        portal.result = Some(result);
        self.portals.insert(name, portal);
        Ok(())
    }
}

/// Returns the types of all parameters: as declared, else from a cast, else text.
fn parameter_oids(declared: &[u32], count: usize, statement: &Statement) -> Vec<u32> {
    let mut oids = declared.to_vec();
    oids.resize(count.max(declared.len()), 0);
    for (number, column_type) in &statement.parameter_casts {
        if let Some(oid) = number.checked_sub(1).and_then(|index| oids.get_mut(index)) {
            *oid = if *oid == 0 { column_type.oid() } else { *oid };
        }
    }
    for oid in &mut oids {
        *oid = if *oid == 0 { value::ColumnType::Text.oid() } else { *oid };
    }
    oids
}

fn describe_rows(output: &mut BytesMut, columns: &[Column], formats: &[i16]) {
    if columns.is_empty() {
        encode(output, &NoData::new());
    } else {
        encode(output, &row_description(columns, formats));
    }
}

fn unknown_portal(name: &str) -> SqlError {
    SqlError::new(codes::UNKNOWN_PORTAL, format!("portal \"{name}\" does not exist"))
}
