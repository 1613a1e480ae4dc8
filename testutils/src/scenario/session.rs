//! Shows the bytes that both sides of one connection send.
//!
//! Each input line is one message from the caller. The output shows every
//! message with its type, its length and its body, in which non-printable bytes
//! are escaped. Values that differ from run to run are replaced by placeholders.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Flush, Parse, Sync};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;

use crate::scenario::ScenarioError;

/// How long to wait for the next message.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Reported parameters whose values differ from run to run.
const VARYING_PARAMETERS: [&str; 2] = ["group_position", "masticreel.token"];

/// Opens a connection, runs a script on it and returns the messages of both sides.
///
/// # Errors
///
/// Fails when a line can't be parsed or the instance does not answer in time.
pub fn run(address: SocketAddr, script: &str) -> Result<String, ScenarioError> {
    let mut session = Session::connect(address)?;
    for line in script.lines() {
        session.step(line)?;
    }
    Ok(session.transcript)
}

struct Session {
    stream: TcpStream,
    transcript: String,
    /// How many ReadyForQuery messages the server still has to send.
    pending_ready: usize,
}

impl Session {
    fn connect(address: SocketAddr) -> Result<Self, ScenarioError> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { stream, transcript: String::new(), pending_ready: 0 })
    }

    /// Sends a message and reads the answers; with a leading `+`, leaves the answers
    /// to a later step.
    fn step(&mut self, line: &str) -> Result<(), ScenarioError> {
        let reads_answers = !line.starts_with('+');
        let message = message(line.trim_start_matches('+'))?;
        let mut bytes = BytesMut::new();
        message.encode(&mut bytes).map_err(|error| ScenarioError::text(error.to_string()))?;
        self.stream.write_all(&bytes)?;
        let (kind, body) = match &message {
            PgWireFrontendMessage::Startup(_) => (None, &bytes[4..]),
            _ => (Some(bytes[0]), &bytes[5..]),
        };
        self.append('>', kind, body);
        let ends_with_ready = matches!(
            message,
            PgWireFrontendMessage::Startup(_)
                | PgWireFrontendMessage::Query(_)
                | PgWireFrontendMessage::Sync(_)
        );
        self.pending_ready += usize::from(ends_with_ready);
        while reads_answers && self.pending_ready > 0 {
            self.read_message()?;
        }
        Ok(())
    }

    fn read_message(&mut self) -> Result<(), ScenarioError> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        if head[0] == b'Z' {
            self.pending_ready -= 1;
        }
        self.append('<', Some(head[0]), &body);
        Ok(())
    }

    /// Appends a message to the transcript.
    fn append(&mut self, direction: char, kind: Option<u8>, body: &[u8]) {
        let kind = kind.map_or('-', char::from);
        let line = match placeholder(kind, body) {
            Some(shown) => format!("{direction} {kind} {shown}"),
            None => format!("{direction} {kind} {} {}", body.len() + 4, escape(body)),
        };
        self.transcript.push_str(line.trim_end());
        self.transcript.push('\n');
    }
}

/// Returns the placeholder of a message that differs from run to run.
fn placeholder(kind: char, body: &[u8]) -> Option<String> {
    match kind {
        'K' => Some("(key)".to_owned()),
        'S' if body.contains(&0) => {
            let name = String::from_utf8_lossy(body.split(|byte| *byte == 0).next()?).into_owned();
            VARYING_PARAMETERS.contains(&name.as_str()).then(|| format!("{name} (value)"))
        }
        _ => None,
    }
}

fn escape(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        match byte {
            b'\\' => text.push_str("\\\\"),
            b' '..=b'~' => text.push(char::from(*byte)),
            b'\n' => text.push_str("\\n"),
            0 => text.push_str("\\0"),
            other => text.push_str(&format!("\\x{other:02x}")),
        }
    }
    text
}

/// Parses one line of a script; `-` is the unnamed statement or portal.
fn message(line: &str) -> Result<PgWireFrontendMessage, ScenarioError> {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut words = rest.split_whitespace();
    let mut next_word = || words.next().filter(|name| *name != "-").map(str::to_owned);
    Ok(match word {
        "startup" => PgWireFrontendMessage::Startup(startup(rest)),
        "query" => PgWireFrontendMessage::Query(Query::new(rest.to_owned())),
        "parse" => {
            let (name, sql) = rest.split_once(' ').unwrap_or((rest, ""));
            let name = Some(name.to_owned()).filter(|name| name != "-");
            PgWireFrontendMessage::Parse(Parse::new(name, sql.to_owned(), Vec::new()))
        }
        "bind" => {
            let (portal, statement) = (next_word(), next_word());
            let value = |text: &str| Some(Bytes::from(text.to_owned())).filter(|_| text != "NULL");
            let values = words.map(value).collect();
            let bind = Bind::new(portal, statement, Vec::new(), values, Vec::new());
            PgWireFrontendMessage::Bind(bind)
        }
        "describe-statement" => PgWireFrontendMessage::Describe(Describe::new(b'S', next_word())),
        "describe-portal" => PgWireFrontendMessage::Describe(Describe::new(b'P', next_word())),
        "close-statement" => PgWireFrontendMessage::Close(Close::new(b'S', next_word())),
        "close-portal" => PgWireFrontendMessage::Close(Close::new(b'P', next_word())),
        "execute" => {
            let portal = next_word();
            let limit = next_word().and_then(|limit| limit.parse().ok()).unwrap_or(0);
            PgWireFrontendMessage::Execute(Execute::new(portal, limit))
        }
        "flush" => PgWireFrontendMessage::Flush(Flush::new()),
        "sync" => PgWireFrontendMessage::Sync(Sync::new()),
        other => return Err(ScenarioError::text(format!("unknown message: {other}"))),
    })
}

fn startup(rest: &str) -> Startup {
    let pairs = rest.split_whitespace().filter_map(|pair| pair.split_once('='));
    let pairs = pairs.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let mut startup = Startup::new();
    startup.parameters = pairs.collect();
    startup
}
