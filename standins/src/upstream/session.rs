//! The protocol of one connection, from its first message to its last.
//!
//! `Session::run` reads messages and `handle` dispatches them: a simple query is
//! run here, messages of the extended protocol in `extended`. Both run each
//! statement by `run_statement`, which passes most of them to the executor.

mod extended;

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;

use bytes::BytesMut;
use masticreel_base::position::TermPosition;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery,
};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};
use pgwire::messages::{Message, PgWireFrontendMessage};
use rusqlite::types::Value;

use crate::upstream::control;
use crate::upstream::error::{SqlError, codes};
use crate::upstream::executor::Executor;
use crate::upstream::interrupt::SessionHandle;
use crate::upstream::replication;
use crate::upstream::result::{Column, ResultSet, row_description};
use crate::upstream::server::{CONTROL_USER, ConnectionPermit, ServerState};
use crate::upstream::session::extended::{Portal, Prepared};
use crate::upstream::sql::{self, Command, Statement};
use crate::upstream::startup::{self, ConnectionPurpose};
use crate::upstream::value::{self, Format};

/// Output above this size is sent before the caller's Sync.
const OUTPUT_BUFFER_BYTES: usize = 256 * 1024;
/// The parameters whose changes are announced to the caller by ParameterStatus.
const ANNOUNCED_PARAMETERS: [&str; 4] =
    ["application_name", "client_encoding", "datestyle", "timezone"];

/// Serves one connection to its end.
///
/// # Errors
///
/// Fails when the other side disconnects or violates the protocol.
pub fn serve_connection(
    server: &Arc<ServerState>,
    mut stream: &TcpStream,
    pid: i32,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    match startup::read(&mut stream, &mut buffer)? {
        ConnectionPurpose::Closed => Ok(()),
        ConnectionPurpose::Cancel(request) => {
            server.cancel(request.pid, request.secret_key.as_i32().unwrap_or(0));
            Ok(())
        }
        ConnectionPurpose::Replication => replication::send(&server.membership, stream, &buffer),
        ConnectionPurpose::Session { parameters, needs_version_negotiation } => {
            std::thread::sleep(server.settings.connect_delay + server.settings.one_way_latency);
            let session_handle = Arc::new(SessionHandle::default());
            let user = parameters.get("user").cloned().unwrap_or_default();
            let secret = cancel_secret(pid);
            match server.admit(pid, &user, secret, &session_handle) {
                Ok(permit) => {
                    let executor = Executor::new(
                        Arc::clone(server),
                        Arc::clone(&session_handle),
                        user != CONTROL_USER,
                    );
                    let mut session =
                        Session::new(server, stream, executor, session_handle, &parameters);
                    session.send_startup_response(&permit, secret, needs_version_negotiation)?;
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

/// Returns the secret that a CancelRequest must carry; no two connections have
/// the same.
fn cancel_secret(pid: i32) -> i32 {
    pid.wrapping_mul(0x9e37_79b1_u32 as i32)
}

fn encode<Encoded>(output: &mut BytesMut, message: &Encoded)
where
    Encoded: Message,
{
    message.encode(output).expect("the stand-in's messages have a valid size");
}

struct Session<'a> {
    server: &'a Arc<ServerState>,
    stream: &'a TcpStream,
    output: BytesMut,
    executor: Executor,
    session_handle: Arc<SessionHandle>,
    defaults: BTreeMap<String, String>,
    statements: HashMap<String, Arc<Prepared>>,
    portals: HashMap<String, Portal>,
    skips_to_sync: bool,
    announced_position: Option<TermPosition>,
}

impl<'a> Session<'a> {
    fn new(
        server: &'a Arc<ServerState>,
        stream: &'a TcpStream,
        executor: Executor,
        session_handle: Arc<SessionHandle>,
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
        session_handle.reset_parameters(None, &defaults);
        Self {
            server,
            stream,
            output: BytesMut::new(),
            executor,
            session_handle,
            defaults,
            statements: HashMap::new(),
            portals: HashMap::new(),
            skips_to_sync: false,
            announced_position: None,
        }
    }

    fn send_startup_response(
        &mut self,
        permit: &ConnectionPermit,
        secret: i32,
        needs_version_negotiation: bool,
    ) -> io::Result<()> {
        if needs_version_negotiation {
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
            let value = self.session_handle.parameter(key).unwrap_or_default();
            encode(&mut self.output, &ParameterStatus::new(name.to_owned(), value));
        }
        let key = BackendKeyData::new(permit.pid(), SecretKey::I32(secret));
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
                    std::thread::sleep(self.server.settings.one_way_latency);
                }
                Err(error) => {
                    let error = SqlError::fatal(codes::PROTOCOL_VIOLATION, error.to_string());
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
                if let Err(error) = self.handle_extended(message) {
                    self.executor.abort_transaction();
                    self.skips_to_sync = true;
                    encode(&mut self.output, &ErrorResponse::from(&error));
                }
                self.flush_if_large()
            }
        }
    }

    fn simple_query(&mut self, text: &str) -> io::Result<()> {
        self.statements.remove("");
        self.portals.clear();
        if let Err(error) = self.run_simple(text) {
            self.executor.abort_transaction();
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
            result.refine_guessed_types();
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

    /// Runs a statement: commands of the session and the group here, all others
    /// in the executor.
    fn run_statement(
        &mut self,
        statement: &Statement,
        values: &[Value],
    ) -> Result<ResultSet, SqlError> {
        match &statement.command {
            Command::Set { name, value } => {
                self.session_handle.set_parameter(name, value);
                self.announce_parameter(name);
                Ok(ResultSet::tag_only("SET"))
            }
            Command::Show(name) => self.show(name),
            Command::Reset(name) => {
                self.session_handle.reset_parameters(name.as_deref(), &self.defaults);
                Ok(ResultSet::tag_only("RESET"))
            }
            Command::DiscardAll => {
                self.session_handle.reset_parameters(None, &self.defaults);
                self.statements.clear();
                self.portals.clear();
                self.executor.discard_temporary();
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
            Command::GroupCall { name, arguments } => control::call(self.server, name, arguments),
            _ => self.executor.execute(statement, values),
        }
    }

    fn show(&self, name: &str) -> Result<ResultSet, SqlError> {
        let value = self.session_handle.parameter(name).ok_or_else(|| {
            let message = format!("unrecognized configuration parameter \"{name}\"");
            SqlError::new(codes::UNKNOWN_OBJECT, message)
        })?;
        let columns = vec![Column::new(name, value::ColumnType::Text)];
        let rows = vec![vec![Value::Text(value)]];
        Ok(ResultSet { columns, rows, tag: "SHOW".to_owned() })
    }

    fn announce_parameter(&mut self, name: &str) {
        if ANNOUNCED_PARAMETERS.contains(&name) {
            let shown = match name {
                "datestyle" => "DateStyle",
                "timezone" => "TimeZone",
                other => other,
            };
            let value = self.session_handle.parameter(name).unwrap_or_default();
            encode(&mut self.output, &ParameterStatus::new(shown.to_owned(), value));
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        self.skips_to_sync = false;
        if let Err(error) = self.executor.finish_implicit() {
            encode(&mut self.output, &ErrorResponse::from(&error));
        }
        self.ready()
    }

    /// Announces the position if it has changed, then sends ReadyForQuery; outside
    /// of a transaction block, all portals are closed.
    fn ready(&mut self) -> io::Result<()> {
        if self.executor.status() == pgwire::messages::response::TransactionStatus::Idle {
            self.portals.clear();
        }
        let position = self.executor.take_position();
        if self.announced_position != Some(position) {
            self.announced_position = Some(position);
            let status = ParameterStatus::new("group_position".to_owned(), position.to_string());
            encode(&mut self.output, &status);
        }
        encode(&mut self.output, &ReadyForQuery::new(self.executor.status()));
        self.flush()
    }

    fn flush_if_large(&mut self) -> io::Result<()> {
        if self.output.len() > OUTPUT_BUFFER_BYTES { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        std::thread::sleep(self.server.settings.one_way_latency);
        let mut stream = self.stream;
        stream.write_all(&self.output)?;
        self.output.clear();
        Ok(())
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
    SqlError::new(codes::UNKNOWN_STATEMENT, message)
}
