//! Callers that send statements and keep their connections and session tokens
//! between directives.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::time::Duration;

use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::simplequery::Query;

use crate::pg_client::{Answer, ClientError, PgClient, ServerError, StatementResult};
use crate::scenario::ScenarioError;
use crate::scenario::arguments::Arguments;
use crate::scenario::environment::Environment;

/// How long a caller waits for an answer by default.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// The start-up parameter and reported parameter with a session's minimum positions;
/// with it the session reads its own writes at another instance.
const SESSION_TOKEN_PARAMETER: &str = "masticreel.token";
/// The start-up parameter that names a session.
const SESSION_NAME_PARAMETER: &str = "masticreel.session";

/// A caller and its connection.
struct Caller {
    instance: String,
    client: PgClient,
}

/// The connected callers and the last session token of each caller, by name.
#[derive(Default)]
pub struct Callers {
    connected: BTreeMap<String, Caller>,
    tokens: BTreeMap<String, String>,
}

/// Who sends a request, where and how; the statements are passed separately.
#[derive(Debug, Clone)]
pub struct Request {
    caller: String,
    instance: String,
    database: String,
    session: Option<String>,
    timeout: Duration,
    protocol: RequestProtocol,
}

#[derive(Debug, Clone)]
enum RequestProtocol {
    Simple,
    Extended(Vec<String>),
    Pipeline,
}

impl Request {
    /// Reads a request from a directive's arguments.
    ///
    /// The default database is that of the first server's group.
    pub fn new(
        environment: &Environment,
        arguments: &mut Arguments<'_>,
    ) -> Result<Self, ScenarioError> {
        let first_server = || environment.servers.keys().next().cloned().unwrap_or_default();
        let default_database =
            || first_server().rsplit_once('-').map(|(group, _)| group.to_owned());
        let database = arguments.optional("database")?.or_else(default_database);
        let is_extended = arguments.flag("extended")?;
        let values = arguments.list("values")?;
        let protocol = match (arguments.flag("pipeline")?, is_extended) {
            (true, _) => RequestProtocol::Pipeline,
            (false, true) => RequestProtocol::Extended(values),
            (false, false) => RequestProtocol::Simple,
        };
        Ok(Self {
            caller: arguments.required("caller")?,
            instance: arguments.required("instance")?,
            database: database.unwrap_or_default(),
            session: arguments.optional("session")?,
            timeout: Duration::from_millis(arguments.number("timeout-ms", DEFAULT_TIMEOUT_MS)?),
            protocol,
        })
    }
}

impl Callers {
    /// Runs statements and renders their answer.
    pub fn run(
        &mut self,
        environment: &Environment,
        arguments: &mut Arguments<'_>,
        sql: &str,
    ) -> Result<String, ScenarioError> {
        let request = Request::new(environment, arguments)?;
        Ok(match self.execute(environment, &request, sql)? {
            Ok(answer) => render(&answer),
            Err(error) => render_failure(&error),
        })
    }

    /// Runs statements; a caller that moves to another instance presents its
    /// session token there.
    ///
    /// The inner error is output of the directive; the outer one fails the scenario.
    pub fn execute(
        &mut self,
        environment: &Environment,
        request: &Request,
        sql: &str,
    ) -> Result<Result<Answer, ClientError>, ScenarioError> {
        let result = self.client(environment, request)?.and_then(|client| {
            client.set_timeout(request.timeout)?;
            match &request.protocol {
                RequestProtocol::Simple => client.query(sql),
                RequestProtocol::Extended(values) => {
                    let is_null = |value: &&String| value.as_str() == "NULL";
                    let given = values.iter().map(|value| Some(value).filter(|v| !is_null(v)));
                    let values: Vec<_> = given.map(|value| value.map(String::as_str)).collect();
                    client.execute(sql, &values)
                }
                RequestProtocol::Pipeline => {
                    let statements: Vec<_> = sql.lines().map(|line| (line, &[][..])).collect();
                    client.pipeline(&statements)
                }
            }
        });
        self.record_result(&request.caller, &result);
        Ok(result)
    }

    /// Sends a statement without waiting for the answer.
    pub fn send(
        &mut self,
        environment: &Environment,
        arguments: &mut Arguments<'_>,
        sql: &str,
    ) -> Result<String, ScenarioError> {
        let request = Request::new(environment, arguments)?;
        let sent = self.client(environment, &request)?.and_then(|client| {
            client.set_timeout(request.timeout)?;
            client.send(&[PgWireFrontendMessage::Query(Query::new(sql.to_owned()))])
        });
        Ok(sent.map_or_else(|error| render_failure(&error), |()| "sent".to_owned()))
    }

    /// Waits for the answer to a statement that [`Self::send`] sent.
    pub fn receive(&mut self, arguments: &mut Arguments<'_>) -> Result<String, ScenarioError> {
        let name = arguments.required("caller")?;
        let caller = self.connected.get_mut(&name);
        let caller = caller.ok_or_else(|| ScenarioError::text("the caller is not connected"))?;
        let result = caller.client.read_answer();
        self.record_result(&name, &result);
        Ok(match result {
            Ok(answer) => render(&answer),
            Err(error) => render_failure(&error),
        })
    }

    /// Closes a caller's connection; its token is kept unless the argument `forget`
    /// is present.
    pub fn disconnect(&mut self, arguments: &mut Arguments<'_>) -> Result<String, ScenarioError> {
        let name = arguments.required("caller")?;
        self.connected.remove(&name);
        if arguments.flag("forget")? {
            self.tokens.remove(&name);
        }
        Ok("done".to_owned())
    }

    /// Stores the caller's token, and removes its connection if that was closed.
    fn record_result(&mut self, name: &str, result: &Result<Answer, ClientError>) {
        let Some(caller) = self.connected.get(name) else {
            return;
        };
        if let Some(token) = caller.client.parameter(SESSION_TOKEN_PARAMETER) {
            self.tokens.insert(name.to_owned(), token.to_owned());
        }
        let is_open = result.as_ref().is_ok_and(|answer| answer.status.is_some());
        if !is_open {
            self.connected.remove(name);
        }
    }

    /// Returns the caller's connection to the request's instance; connects, with
    /// the caller's token, if it has none.
    fn client(
        &mut self,
        environment: &Environment,
        request: &Request,
    ) -> Result<Result<&mut PgClient, ClientError>, ScenarioError> {
        let name = &request.caller;
        let is_connected =
            self.connected.get(name).is_some_and(|old| old.instance == request.instance);
        if !is_connected {
            let address = environment.caller_address(&request.instance)?;
            let mut parameters = vec![("user", name.as_str()), ("database", &request.database)];
            if let Some(token) = self.tokens.get(name) {
                parameters.push((SESSION_TOKEN_PARAMETER, token));
            }
            if let Some(session) = &request.session {
                parameters.push((SESSION_NAME_PARAMETER, session));
            }
            self.connected.remove(name);
            let client = match PgClient::connect(address, &parameters, request.timeout) {
                Ok(client) => client,
                Err(error) => return Ok(Err(error)),
            };
            let caller = Caller { instance: request.instance.clone(), client };
            self.connected.insert(name.clone(), caller);
        }
        let caller = self.connected.get_mut(name);
        let missing = || ScenarioError::text("the caller is not connected");
        Ok(Ok(&mut caller.ok_or_else(missing)?.client))
    }
}

/// Renders an answer: a header, rows and a tag for each statement, then the
/// error and the transaction status, unless it is idle.
fn render(answer: &Answer) -> String {
    let mut lines: Vec<String> = answer.results.iter().flat_map(render_result).collect();
    if let Some(error) = &answer.error {
        lines.push(render_error(error));
    }
    match answer.status {
        Some('T') => lines.push("in transaction".to_owned()),
        Some('E') => lines.push("in failed transaction".to_owned()),
        Some(_) => {}
        None => lines.push("connection closed".to_owned()),
    }
    if lines.is_empty() {
        lines.push("empty".to_owned());
    }
    lines.join("\n")
}

fn render_result(result: &StatementResult) -> Vec<String> {
    let mut lines = Vec::new();
    if !result.columns.is_empty() {
        lines.push(result.columns.join("|"));
    }
    for row in &result.rows {
        let fields = row.iter().map(|field| field.as_deref().unwrap_or("NULL"));
        lines.push(fields.collect::<Vec<_>>().join("|"));
    }
    lines.extend(result.tag.clone());
    lines
}

/// Renders an error with its detail.
///
/// A detail of masticreel, which tells whether the statement ran, replaces the
/// message, which may contain addresses that differ from run to run.
fn render_error(error: &ServerError) -> String {
    let ServerError { severity, code, message, detail, .. } = error;
    match detail {
        Some(detail) if detail.starts_with("verdict=") => format!("{severity} {code}: {detail}"),
        Some(detail) => format!("{severity} {code}: {message}\ndetail: {detail}"),
        None => format!("{severity} {code}: {message}"),
    }
}

fn render_failure(error: &ClientError) -> String {
    match error {
        ClientError::Io(error) => match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => "no answer in time".to_owned(),
            ErrorKind::ConnectionRefused => "connection refused".to_owned(),
            _ => "connection lost".to_owned(),
        },
        ClientError::Protocol(error) => format!("protocol: {error}"),
        ClientError::Refused(error) => render_error(error),
    }
}
