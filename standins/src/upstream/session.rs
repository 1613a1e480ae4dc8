//! The protocol of one connection, from its first message to its last.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;

use bytes::BytesMut;
use masticreel_base::position::TermPosition;
use pgwire::messages::data::{DataRow, NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Execute, Parse, ParseComplete, PortalSuspended,
};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery,
};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};
use pgwire::messages::{Message, PgWireFrontendMessage};
use rusqlite::types::Value;

use crate::upstream::control;
use crate::upstream::error::{SqlError, state};
use crate::upstream::executor::Executor;
use crate::upstream::interrupt::Interrupt;
use crate::upstream::replication;
use crate::upstream::result::{Column, ResultSet, row_description};
use crate::upstream::server::{Admission, CONTROL_USER, Server};
use crate::upstream::sql::{self, Command, Statement};
use crate::upstream::startup::{self, Opening};
use crate::upstream::value::{self, Format};

/// Output beyond this size is sent before the batch is complete.
const OUTPUT_BUFFER_BYTES: usize = 256 * 1024;
/// The settings whose changes are reported to the client.
const REPORTED: [&str; 4] = ["application_name", "client_encoding", "datestyle", "timezone"];

/// Serves one connection to its end.
///
/// # Errors
///
/// Fails when the peer is gone or breaks the protocol.
pub fn serve(server: &Arc<Server>, mut stream: &TcpStream, pid: i32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    match startup::read(&mut stream, &mut buffer)? {
        Opening::Closed => Ok(()),
        Opening::Cancel(request) => {
            server.cancel(request.pid, request.secret_key.as_i32().unwrap_or(0));
            Ok(())
        }
        Opening::Replication => replication::serve(&server.group, stream, &buffer),
        Opening::Session { parameters, negotiates } => {
            std::thread::sleep(server.settings.connect + server.settings.one_way);
            let interrupt = Arc::new(Interrupt::default());
            let user = parameters.get("user").cloned().unwrap_or_default();
            let secret = secret_of(pid);
            match server.admit(pid, &user, secret, &interrupt) {
                Ok(admission) => {
                    let executor = Executor::new(
                        Arc::clone(server),
                        Arc::clone(&interrupt),
                        user != CONTROL_USER,
                    );
                    let mut session =
                        Session::new(server, stream, executor, interrupt, &parameters);
                    session.greet(&admission, secret, negotiates)?;
                    session.run(buffer)
                }
                Err(error) => {
                    let mut output = BytesMut::new();
                    encode(&mut output, &ErrorResponse::from(&error));
                    stream.write_all(&output)
                }
            }
        }
    }
}

/// Returns a key that another connection can't mistake for its own.
fn secret_of(pid: i32) -> i32 {
    pid.wrapping_mul(0x9e37_79b1_u32 as i32)
}

fn encode<Encoded>(output: &mut BytesMut, message: &Encoded)
where
    Encoded: Message,
{
    message.encode(output).expect("the stand-in's messages have a valid size");
}

/// A prepared statement.
struct Prepared {
    statement: Statement,
    parameter_oids: Vec<u32>,
    columns: Vec<Column>,
}

/// A bound statement, with its rows once it was executed.
struct Portal {
    prepared: Arc<Prepared>,
    values: Vec<Value>,
    formats: Vec<i16>,
    result: Option<ResultSet>,
    sent_rows: usize,
}

struct Session<'a> {
    server: &'a Arc<Server>,
    stream: &'a TcpStream,
    output: BytesMut,
    executor: Executor,
    interrupt: Arc<Interrupt>,
    defaults: BTreeMap<String, String>,
    statements: HashMap<String, Arc<Prepared>>,
    portals: HashMap<String, Portal>,
    skips_to_sync: bool,
    reported_position: Option<TermPosition>,
}

impl<'a> Session<'a> {
    fn new(
        server: &'a Arc<Server>,
        stream: &'a TcpStream,
        executor: Executor,
        interrupt: Arc<Interrupt>,
        parameters: &BTreeMap<String, String>,
    ) -> Self {
        let mut defaults: BTreeMap<String, String> = [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("datestyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
            ("timezone", "UTC"),
            ("application_name", ""),
            ("search_path", "\"$user\", public"),
            ("statement_timeout", "0"),
            ("transaction_isolation", "read committed"),
        ]
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .into();
        let given = parameters.iter().map(|(name, value)| (name.to_ascii_lowercase(), value));
        for (name, value) in given.filter(|(name, _)| name != "user" && name != "database") {
            defaults.insert(name, value.clone());
        }
        interrupt.reset(None, &defaults);
        Self {
            server,
            stream,
            output: BytesMut::new(),
            executor,
            interrupt,
            defaults,
            statements: HashMap::new(),
            portals: HashMap::new(),
            skips_to_sync: false,
            reported_position: None,
        }
    }

    fn greet(&mut self, admission: &Admission, secret: i32, negotiates: bool) -> io::Result<()> {
        if negotiates {
            encode(&mut self.output, &NegotiateProtocolVersion::new(0, Vec::new()));
        }
        encode(&mut self.output, &Authentication::Ok);
        let names = [
            ("server_version", "server_version"),
            ("server_encoding", "server_encoding"),
            ("client_encoding", "client_encoding"),
            ("DateStyle", "datestyle"),
            ("integer_datetimes", "integer_datetimes"),
            ("standard_conforming_strings", "standard_conforming_strings"),
            ("TimeZone", "timezone"),
            ("application_name", "application_name"),
        ];
        for (name, key) in names {
            let value = self.interrupt.setting(key).unwrap_or_default();
            encode(&mut self.output, &ParameterStatus::new(name.to_owned(), value));
        }
        let key = BackendKeyData::new(admission.pid(), SecretKey::I32(secret));
        encode(&mut self.output, &key);
        self.ready()
    }

    fn run(&mut self, mut input: BytesMut) -> io::Result<()> {
        let context = startup::session_context();
        let mut stream = self.stream;
        loop {
            match PgWireFrontendMessage::decode(&mut input, &context) {
                Ok(Some(PgWireFrontendMessage::Terminate(_))) => break,
                Ok(Some(message)) => self.handle(message)?,
                Ok(None) => {
                    if !startup::fill(&mut stream, &mut input)? {
                        break;
                    }
                    std::thread::sleep(self.server.settings.one_way);
                }
                Err(error) => {
                    let error = SqlError::fatal(state::PROTOCOL_VIOLATION, error.to_string());
                    encode(&mut self.output, &ErrorResponse::from(&error));
                    self.flush()?;
                    break;
                }
            }
        }
        self.executor.close();
        Ok(())
    }

    fn handle(&mut self, message: PgWireFrontendMessage) -> io::Result<()> {
        match message {
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query),
            PgWireFrontendMessage::Sync(_) => self.sync(),
            PgWireFrontendMessage::Flush(_) => self.flush(),
            _ if self.skips_to_sync => Ok(()),
            message => {
                if let Err(error) = self.extended(message) {
                    self.executor.fail();
                    self.skips_to_sync = true;
                    encode(&mut self.output, &ErrorResponse::from(&error));
                }
                self.flush_large()
            }
        }
    }

    fn extended(&mut self, message: PgWireFrontendMessage) -> Result<(), SqlError> {
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
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute),
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                match close.target_type {
                    b'S' => drop(self.statements.remove(&name)),
                    _ => drop(self.portals.remove(&name)),
                }
                encode(&mut self.output, &CloseComplete::new());
                Ok(())
            }
            _ => Err(SqlError::new(state::PROTOCOL_VIOLATION, "unexpected message")),
        }
    }

    fn simple_query(&mut self, text: &str) -> io::Result<()> {
        self.statements.remove("");
        self.portals.clear();
        if let Err(error) = self.run_simple(text) {
            self.executor.fail();
            encode(&mut self.output, &ErrorResponse::from(&error));
        }
        self.ready()
    }

    fn run_simple(&mut self, text: &str) -> Result<(), SqlError> {
        let parts = sql::split(text);
        if parts.is_empty() {
            encode(&mut self.output, &EmptyQueryResponse::new());
        }
        for (index, part) in parts.iter().enumerate() {
            let statement = sql::parse(part);
            let mut result = self.run_statement(&statement, &[])?;
            if index + 1 == parts.len() {
                self.executor.finish_implicit()?;
            }
            result.settle_types();
            if !result.columns.is_empty() {
                encode(&mut self.output, &row_description(&result.columns, &[]));
            }
            for row in &result.rows {
                encode(&mut self.output, &data_row(row, &result.columns, &[]));
            }
            encode(&mut self.output, &CommandComplete::new(result.tag));
        }
        Ok(())
    }

    /// Runs a statement, or carries it out here if it is the session's own.
    fn run_statement(
        &mut self,
        statement: &Statement,
        values: &[Value],
    ) -> Result<ResultSet, SqlError> {
        match &statement.command {
            Command::Set { name, value } => {
                self.interrupt.set(name, value);
                self.report_setting(name);
                Ok(ResultSet::tag_only("SET"))
            }
            Command::Show(name) => self.show(name),
            Command::Reset(name) => {
                self.interrupt.reset(name.as_deref(), &self.defaults);
                Ok(ResultSet::tag_only("RESET"))
            }
            Command::DiscardAll => {
                self.interrupt.reset(None, &self.defaults);
                self.statements.clear();
                self.portals.clear();
                Ok(ResultSet::tag_only("DISCARD ALL"))
            }
            Command::Deallocate(None) => {
                self.statements.clear();
                Ok(ResultSet::tag_only("DEALLOCATE ALL"))
            }
            Command::Deallocate(Some(name)) => {
                self.statements.remove(name).ok_or_else(|| unknown_statement(name))?;
                Ok(ResultSet::tag_only("DEALLOCATE"))
            }
            Command::Control { name, arguments } => control::call(self.server, name, arguments),
            _ => self.executor.execute(statement, values),
        }
    }

    fn show(&self, name: &str) -> Result<ResultSet, SqlError> {
        let value = self.interrupt.setting(name).ok_or_else(|| {
            let message = format!("unrecognized configuration parameter \"{name}\"");
            SqlError::new(state::UNKNOWN_OBJECT, message)
        })?;
        let columns = vec![Column::new(name, value::ColumnType::Text)];
        let rows = vec![vec![Value::Text(value)]];
        Ok(ResultSet { columns, rows, tag: "SHOW".to_owned() })
    }

    fn report_setting(&mut self, name: &str) {
        if REPORTED.contains(&name) {
            let shown = match name {
                "datestyle" => "DateStyle",
                "timezone" => "TimeZone",
                other => other,
            };
            let value = self.interrupt.setting(name).unwrap_or_default();
            encode(&mut self.output, &ParameterStatus::new(shown.to_owned(), value));
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new(state::DUPLICATE_STATEMENT, message));
        }
        if sql::split(&parse.query).len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new(state::SYNTAX_ERROR, message));
        }
        let statement = sql::parse(&parse.query);
        let (count, columns) = match &statement.command {
            Command::Query(_) => self.executor.describe(&statement)?,
            Command::Show(name) => (0, vec![Column::new(name, value::ColumnType::Text)]),
            Command::Control { .. } => (0, control::columns()),
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
            return Err(SqlError::new(state::PROTOCOL_VIOLATION, message));
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

    fn execute(&mut self, execute: &Execute) -> Result<(), SqlError> {
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
        // A full count leaves open whether there is more, as in PostgreSQL.
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

    fn sync(&mut self) -> io::Result<()> {
        self.skips_to_sync = false;
        if let Err(error) = self.executor.finish_implicit() {
            encode(&mut self.output, &ErrorResponse::from(&error));
        }
        self.ready()
    }

    /// Reports a changed position, then that the next request may come.
    fn ready(&mut self) -> io::Result<()> {
        if self.executor.status() == pgwire::messages::response::TransactionStatus::Idle {
            self.portals.clear();
        }
        let position = self.executor.take_position();
        if self.reported_position != Some(position) {
            self.reported_position = Some(position);
            let status = ParameterStatus::new("group_position".to_owned(), position.to_string());
            encode(&mut self.output, &status);
        }
        encode(&mut self.output, &ReadyForQuery::new(self.executor.status()));
        self.flush()
    }

    fn flush_large(&mut self) -> io::Result<()> {
        if self.output.len() > OUTPUT_BUFFER_BYTES { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        std::thread::sleep(self.server.settings.one_way);
        let mut stream = self.stream;
        stream.write_all(&self.output)?;
        self.output.clear();
        Ok(())
    }
}

/// Completes the declared parameter types by those of casts, else by text.
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

fn data_row(row: &[Value], columns: &[Column], formats: &[i16]) -> DataRow {
    let mut data = BytesMut::new();
    for (index, (field, column)) in row.iter().zip(columns).enumerate() {
        value::encode(&mut data, field, column.column_type, Format::of(formats, index));
    }
    DataRow::new(data, row.len() as i16)
}

fn unknown_statement(name: &str) -> SqlError {
    let message = format!("prepared statement \"{name}\" does not exist");
    SqlError::new(state::UNKNOWN_STATEMENT, message)
}

fn unknown_portal(name: &str) -> SqlError {
    SqlError::new(state::UNKNOWN_PORTAL, format!("portal \"{name}\" does not exist"))
}
