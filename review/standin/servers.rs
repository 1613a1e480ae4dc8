//! A stand-in for a service of three database servers, as `PROTOCOL.md` describes them.
//!
//! A line ends with CR LF and nothing else. Each server has a log of its own; replicas
//! receive a commit at once, unless they are deaf, and apply it a little later.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;

/// The services of the deployment, each with the first letter of its servers' ids. The cases
/// use the first one.
pub const SERVICES: [(&str, char); 3] = [("ledger", 's'), ("archive", 't'), ("index", 'u')];
const HEARTBEAT: Duration = Duration::from_millis(1200);
const QUEUE: usize = 16;
const APPLY_LAG: Duration = Duration::from_millis(20);
const PROMOTE_TIME: Duration = Duration::from_millis(600);
const HANDSHAKE: Duration = Duration::from_millis(12);

/// How the group is set up.
#[derive(Clone, Copy)]
pub struct Setup {
    pub sync_replicas: usize,
    pub slots: usize,
    pub max_connections: usize,
    pub read_ms: u64,
    pub write_ms: u64,
}

#[derive(Clone, PartialEq)]
pub struct Commit {
    pub term: u64,
    /// The id of the request that committed it.
    pub id: String,
    writes: Vec<(String, String)>,
}

struct Server {
    address: SocketAddr,
    is_up: bool,
    is_primary: bool,
    term: u64,
    log: Vec<Commit>,
    received_at: Vec<Instant>,
    is_deaf: bool,
    /// Whether it has reported that it is about to be replaced; it goes on serving.
    is_draining: bool,
    /// The share of requests in percent that it fails, though it is healthy otherwise.
    grey_percent: u64,
    running: usize,
    waiting: usize,
    streams: Vec<TcpStream>,
    is_role_new: bool,
    born: u64,
}

impl Server {
    fn applied(&self) -> usize {
        if self.is_primary {
            return self.log.len();
        }
        let now = Instant::now();
        self.received_at.iter().filter(|at| now.duration_since(**at) >= APPLY_LAG).count()
    }
}

/// A statement of a client that a server ran.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub text: String,
    pub server: String,
    /// The session values on the connection when it ran.
    pub values: BTreeMap<String, String>,
}

struct State {
    servers: BTreeMap<String, Server>,
    /// Promotions under way, and when they take effect.
    promotions: VecDeque<(Instant, String)>,
    runs: Vec<Run>,
    /// Each promotion that has taken effect: the server, when, and its log then.
    promoted: Vec<(String, Instant, Vec<Commit>)>,
    next_connection: u64,
    signatures: u64,
    draws: u64,
}

#[derive(Clone)]
pub struct Group {
    service: &'static str,
    setup: Setup,
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Group {
    /// Starts three servers, of which the first, such as `s1`, is the primary.
    pub fn start(service: &'static str, letter: char, setup: Setup, record: &Record) -> Group {
        let state = State {
            servers: BTreeMap::new(),
            promotions: VecDeque::new(),
            runs: Vec::new(),
            promoted: Vec::new(),
            next_connection: 0,
            signatures: 0,
            draws: 0,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let group = Group { service, setup, record: record.clone(), state };
        for number in 1..=3 {
            let id = &format!("{letter}{number}");
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            let server = Server {
                address,
                is_up: true,
                is_primary: number == 1,
                term: 1,
                log: Vec::new(),
                received_at: Vec::new(),
                is_deaf: false,
                is_draining: false,
                grey_percent: 0,
                running: 0,
                waiting: 0,
                streams: Vec::new(),
                is_role_new: true,
                born: 1_700_000_000_000,
            };
            group.lock().servers.insert(id.to_owned(), server);
            group.listen(id, listener);
        }
        let ticking = group.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn listen(&self, id: &str, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let (group, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            while group.lock().servers[&id].is_up {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let _ = stream.set_nodelay(true);
                let session = Session::new(&group, &id);
                if let Ok(copy) = stream.try_clone() {
                    group.lock().servers.get_mut(&id).unwrap().streams.push(copy);
                }
                std::thread::spawn(move || session.serve(stream));
            }
        });
    }

    /// Keeps the servers' entries in the store: a heartbeat, at once when the role
    /// changes, and removed after three intervals of silence.
    pub fn register(&self, store: &Store) {
        let (group, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            let mut written: BTreeMap<String, Instant> = BTreeMap::new();
            let mut sequence = 0;
            loop {
                let mut entries = Vec::new();
                for (id, server) in &mut group.lock().servers {
                    let last = written.get(id).copied();
                    let is_due = last.is_none_or(|at| at.elapsed() >= HEARTBEAT);
                    if server.is_up && (is_due || std::mem::take(&mut server.is_role_new)) {
                        let role = if server.is_primary { "primary" } else { "replica" };
                        sequence += 1;
                        let entry = format!(
                            r#"{{"service":"{}","address":"{}","zone":"z-{}","version":"v1","slots":{},"state":"{}","warmup_left_ms":0,"db_role":"{role}","sequence":{sequence},"born":{}}}"#,
                            group.service,
                            server.address,
                            &id[1..],
                            group.setup.slots,
                            if server.is_draining { "draining" } else { "ready" },
                            server.born
                        );
                        entries.push((id.clone(), Some(entry)));
                    } else if !server.is_up && last.is_some_and(|at| at.elapsed() >= 3 * HEARTBEAT)
                    {
                        entries.push((id.clone(), None));
                    }
                }
                for (id, entry) in entries {
                    match entry {
                        Some(entry) => {
                            store.put(&format!("servers/{id}"), &entry);
                            written.insert(id, Instant::now());
                        }
                        None => {
                            store.remove(&format!("servers/{id}"));
                            written.remove(&id);
                        }
                    }
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Replicates, lets promotions take effect, and demotes primaries of old terms.
    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        while state.promotions.front().is_some_and(|(at, _)| *at <= now) {
            let (_, id) = state.promotions.pop_front().unwrap();
            let term = state.servers.values().map(|server| server.term).max().unwrap() + 1;
            let server = state.servers.get_mut(&id).unwrap();
            if server.is_up && !server.is_primary {
                server.is_primary = true;
                server.is_deaf = false;
                server.term = term;
                server.is_role_new = true;
                let ids: Vec<&str> = server.log.iter().map(|commit| commit.id.as_str()).collect();
                self.record.line(&format!(
                    "PROMOTED {id} term {term}, its log has {} commits, the last {}",
                    ids.len(),
                    ids.last().unwrap_or(&"none")
                ));
                let log = server.log.clone();
                state.promoted.push((id, now, log));
            }
        }
        self.replicate(&mut state);
        self.state.1.notify_all();
    }

    fn replicate(&self, state: &mut State) {
        let leading = state.servers.iter().filter(|(_, server)| server.is_up && server.is_primary);
        let Some((leader, term, log)) = leading
            .max_by_key(|(_, server)| server.term)
            .map(|(id, server)| (id.clone(), server.term, server.log.clone()))
        else {
            return;
        };
        for (id, server) in &mut state.servers {
            if *id == leader || !server.is_up || server.is_deaf {
                continue;
            }
            if server.is_primary || server.term < term {
                server.is_role_new |= server.is_primary;
                server.is_primary = false;
                server.term = term;
            }
            let common = server.log.iter().zip(&log).take_while(|(own, led)| own == led).count();
            server.log.truncate(common);
            server.received_at.truncate(common);
            server.log.extend_from_slice(&log[common..]);
            server.received_at.resize(log.len(), Instant::now());
        }
    }

    /// Handles `POST /promote`; returns whether the server is running.
    pub fn promote(&self, id: &str, holder: &str, token: &str) -> bool {
        let mut state = self.lock();
        let is_up = state.servers.get(id).is_some_and(|server| server.is_up);
        self.record.line(&format!("PROMOTE {id} holder {holder} token {token} running {is_up}"));
        if is_up && !state.servers[id].is_primary {
            state.promotions.push_back((Instant::now() + PROMOTE_TIME, id.to_owned()));
        }
        is_up
    }

    pub fn set_deaf(&self, id: &str, is_deaf: bool) {
        self.record.line(&format!("REPLICA {id} receives nothing: {is_deaf}"));
        self.lock().servers.get_mut(id).unwrap().is_deaf = is_deaf;
    }

    /// Begins the replacement of a server: it reports that it is draining, and goes on serving,
    /// receiving and counting toward `sync_replicas`.
    pub fn drain(&self, id: &str) {
        self.record.line(&format!("RELEASE {id} is draining"));
        let mut state = self.lock();
        let server = state.servers.get_mut(id).unwrap();
        server.is_draining = true;
        server.is_role_new = true;
    }

    pub fn has(&self, id: &str) -> bool {
        self.lock().servers.contains_key(id)
    }

    pub fn set_grey(&self, id: &str, percent: u64) {
        self.record.line(&format!("SERVER {id} fails {percent}% of its requests"));
        self.lock().servers.get_mut(id).unwrap().grey_percent = percent;
    }

    /// The server's process ends: connections are reset, new ones refused.
    pub fn crash(&self, id: &str) {
        self.record.line(&format!("CRASH {id}"));
        let mut state = self.lock();
        let server = state.servers.get_mut(id).unwrap();
        server.is_up = false;
        server.is_primary = false;
        for stream in server.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.state.1.notify_all();
    }

    pub fn promoted(&self) -> Vec<(String, Instant, Vec<Commit>)> {
        self.lock().promoted.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }
}

struct Transaction {
    is_read_only: bool,
    has_failed: bool,
    writes: Vec<(String, String)>,
}

/// A connection to a server.
struct Session {
    group: Group,
    id: String,
    connection: u64,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    transaction: Option<Transaction>,
}

/// The rows and the signature of a success, or the code of a failure.
type Outcome = Result<(Vec<String>, String), &'static str>;

/// The connection ends without an answer.
struct Ended;

impl Session {
    fn new(group: &Group, id: &str) -> Session {
        let mut state = group.lock();
        state.next_connection += 1;
        let connection = state.next_connection;
        drop(state);
        Session {
            group: group.clone(),
            id: id.to_owned(),
            connection,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
        }
    }

    fn serve(mut self, mut stream: TcpStream) {
        let mut input = Vec::new();
        let mut buffer = [0_u8; 16 * 1024];
        loop {
            while let Some(end) = input.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&input[..end]).into_owned();
                input.drain(..end + 2);
                let Ok(answer) = self.answer(&line) else {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                };
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => input.extend_from_slice(&buffer[..count]),
            }
        }
    }

    fn answer(&mut self, line: &str) -> Result<String, Ended> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "STARTUP" => {
                std::thread::sleep(HANDSHAKE);
                let fields: Vec<&str> = rest.split(' ').collect();
                if fields[0] != self.group.service || fields.get(2).is_some_and(|id| *id != self.id)
                {
                    return Ok(format!("ERROR MISROUTED {}\r\n", self.id));
                }
                return Ok(self.ready());
            }
            "TERMINATE" => return Err(Ended),
            "QUERY" => {}
            _ => return Ok(format!("ERROR MALFORMED {}\r\n", self.id) + &self.ready()),
        }
        let (tag, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let outcome =
            if self.fails_as_grey(text) { Err("FAILED") } else { self.execute(tag, text)? };
        let answer = match outcome {
            Ok((rows, signature)) => {
                let rows: String = rows.iter().map(|row| format!("DATAROW {row}\r\n")).collect();
                format!("{rows}COMPLETE {signature}\r\n")
            }
            Err(code) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.has_failed = true;
                }
                self.group.record.line(&format!(
                    "REFUSED {} connection {} {code}: {tag} {text}",
                    self.id, self.connection
                ));
                format!("ERROR {code} {}\r\n", self.id)
            }
        };
        Ok(answer + &self.ready())
    }

    fn ready(&self) -> String {
        let state = self.group.lock();
        let server = &state.servers[&self.id];
        let word = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        };
        format!("READY {word} {}.{}\r\n", server.term, server.applied())
    }

    /// Returns whether the request is one of those that a grey server fails. What ends a
    /// transaction is never among them.
    fn fails_as_grey(&self, text: &str) -> bool {
        let mut state = self.group.lock();
        let percent = state.servers[&self.id].grey_percent;
        if percent == 0 || text == "ROLLBACK" || text == "COMMIT" {
            return false;
        }
        state.draws = state
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state.draws >> 33) % 100 < percent
    }

    /// Occupies a slot for the duration of some work.
    fn work(&self, ms: u64) -> Result<Result<(), &'static str>, Ended> {
        let (lock, changed) = &*self.group.state;
        let mut state = lock.lock().unwrap();
        let slots = self.group.setup.slots;
        let server = state.servers.get_mut(&self.id).unwrap();
        if server.running >= slots {
            if server.waiting >= QUEUE {
                return Ok(Err("BUSY"));
            }
            server.waiting += 1;
            loop {
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
                let server = state.servers.get_mut(&self.id).unwrap();
                if !server.is_up || server.running < slots {
                    break;
                }
            }
            state.servers.get_mut(&self.id).unwrap().waiting -= 1;
        }
        let server = state.servers.get_mut(&self.id).unwrap();
        if !server.is_up {
            return Err(Ended);
        }
        server.running += 1;
        drop(state);
        std::thread::sleep(Duration::from_millis(ms));
        let mut state = lock.lock().unwrap();
        let server = state.servers.get_mut(&self.id).unwrap();
        server.running -= 1;
        let is_up = server.is_up;
        changed.notify_all();
        if is_up { Ok(Ok(())) } else { Err(Ended) }
    }

    fn execute(&mut self, tag: &str, text: &str) -> Result<Outcome, Ended> {
        let done = || Ok(Ok((Vec::new(), "-".to_owned())));
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if word == "AFTER" {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let (term, number): (u64, usize) =
                (term.parse().unwrap_or(u64::MAX), number.parse().unwrap_or(usize::MAX));
            let lacks = {
                let state = self.group.lock();
                let server = &state.servers[&self.id];
                server.term < term || server.applied() < number
            };
            return if lacks { Ok(Err("LAGGING")) } else { self.execute(tag, rest) };
        }
        let has_failed = self.transaction.as_ref().is_some_and(|open| open.has_failed);
        if has_failed && word != "ROLLBACK" && word != "COMMIT" {
            return Ok(Err("MALFORMED"));
        }
        let is_primary = self.group.lock().servers[&self.id].is_primary;
        let is_plain = self.transaction.as_ref().is_some_and(|open| !open.is_read_only);
        match word {
            "STATUS" => {
                // It occupies a slot, and waits for one like any other work.
                if let Err(code) = self.work(1)? {
                    return Ok(Err(code));
                }
                Ok(self.status(word, rest))
            }
            "STEPDOWN" => Ok(self.status(word, rest)),
            "BEGIN" if rest.is_empty() && !is_primary => Ok(Err("READONLY")),
            "BEGIN" => {
                let is_read_only = rest == "READ";
                self.transaction =
                    Some(Transaction { is_read_only, has_failed: false, writes: Vec::new() });
                done()
            }
            "ROLLBACK" => {
                self.transaction = None;
                done()
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                done()
            }
            "DISCARD" => {
                self.values.clear();
                self.prepared.clear();
                done()
            }
            "PREPARE" => {
                let (name, definition) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.to_owned(), definition.to_owned());
                done()
            }
            "DEALLOCATE" => {
                self.prepared.remove(rest);
                done()
            }
            "COMMIT" => {
                let Some(open) = self.transaction.take() else {
                    return Ok(Err("MALFORMED"));
                };
                if open.has_failed {
                    return Ok(Err("ABORTED"));
                }
                if !open.writes.is_empty() && !is_primary {
                    return Ok(Err("READONLY"));
                }
                if let Err(code) = self.work(self.group.setup.write_ms)? {
                    self.transaction = Some(open);
                    return Ok(Err(code));
                }
                self.ran(tag, text);
                if open.writes.is_empty() {
                    return Ok(Ok((Vec::new(), self.signature())));
                }
                self.commit(tag, open.writes)
            }
            "READ" => self.read(tag, text, rest, is_plain && !is_primary),
            "WRITE" => self.write(tag, text, rest, is_primary),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name).map(|definition| definition.starts_with("READ")) {
                    Some(true) => self.read(tag, text, arguments, is_plain && !is_primary),
                    Some(false) => self.write(tag, text, arguments, is_primary),
                    None => Ok(Err("NOSTMT")),
                }
            }
            _ => Ok(Err("MALFORMED")),
        }
    }

    fn status(&mut self, word: &str, rest: &str) -> Outcome {
        let mut state = self.group.lock();
        let server = state.servers.get_mut(&self.id).unwrap();
        if word == "STEPDOWN" && rest.parse().is_ok_and(|term: u64| server.term < term) {
            server.is_role_new |= server.is_primary;
            server.is_primary = false;
        }
        let role = if server.is_primary { "primary" } else { "replica" };
        let (term, received) = (server.term, server.log.len());
        let row = format!("{role} {term} {term}.{received} {term} 0 {} 1", server.running);
        Ok((vec![row], "-".to_owned()))
    }

    /// Notes that a client's statement ran.
    fn ran(&self, tag: &str, text: &str) {
        let run = Run {
            id: tag.to_owned(),
            text: text.to_owned(),
            server: self.id.clone(),
            values: self.values.clone(),
        };
        let values: Vec<String> =
            run.values.iter().map(|(name, value)| format!("{name}={value}")).collect();
        self.group.record.line(&format!(
            "RAN {} connection {} values [{}]: {tag} {text:?}",
            self.id,
            self.connection,
            values.join(",")
        ));
        self.group.lock().runs.push(run);
    }

    fn signature(&self) -> String {
        let mut state = self.group.lock();
        state.signatures += 1;
        format!("{}.{}", self.id, state.signatures)
    }

    fn read(
        &mut self,
        tag: &str,
        text: &str,
        item: &str,
        has_lost_lead: bool,
    ) -> Result<Outcome, Ended> {
        if has_lost_lead {
            return Ok(Err("READONLY"));
        }
        if let Err(code) = self.work(self.group.setup.read_ms)? {
            return Ok(Err(code));
        }
        self.ran(tag, text);
        let row = {
            let state = self.group.lock();
            let server = &state.servers[&self.id];
            let applied = server.log[..server.applied()].iter().flat_map(|commit| &commit.writes);
            let own = self.transaction.iter().flat_map(|open| &open.writes);
            let last = applied.chain(own).filter(|(known, _)| known == item).next_back();
            last.map_or_else(|| "none".to_owned(), |(_, data)| data.clone())
        };
        Ok(Ok((vec![row], self.signature())))
    }

    fn write(
        &mut self,
        tag: &str,
        text: &str,
        rest: &str,
        is_primary: bool,
    ) -> Result<Outcome, Ended> {
        if !is_primary {
            return Ok(Err("READONLY"));
        }
        if let Err(code) = self.work(self.group.setup.write_ms)? {
            return Ok(Err(code));
        }
        self.ran(tag, text);
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (item.to_owned(), data.to_owned());
        if let Some(open) = &mut self.transaction {
            open.writes.push(write);
            return Ok(Ok((Vec::new(), self.signature())));
        }
        self.commit(tag, vec![write])
    }

    /// Appends a commit, and waits until a replica has received it where that is asked for.
    fn commit(&self, tag: &str, writes: Vec<(String, String)>) -> Result<Outcome, Ended> {
        let (lock, changed) = &*self.group.state;
        let mut state = lock.lock().unwrap();
        let server = state.servers.get_mut(&self.id).unwrap();
        if !server.is_primary || !server.is_up {
            return Ok(Err("READONLY"));
        }
        let commit = Commit { term: server.term, id: tag.to_owned(), writes };
        server.log.push(commit.clone());
        server.received_at.push(Instant::now());
        let number = server.log.len();
        self.group.replicate(&mut state);
        loop {
            let own = &state.servers[&self.id];
            if !own.is_up || !own.is_primary {
                return Err(Ended);
            }
            let holders: Vec<&str> = state
                .servers
                .iter()
                .filter(|(id, server)| {
                    **id != self.id && server.log.get(number - 1) == Some(&commit)
                })
                .map(|(id, _)| id.as_str())
                .collect();
            if holders.len() >= self.group.setup.sync_replicas {
                let term = commit.term;
                self.group.record.line(&format!(
                    "COMMITTED {} {term}.{number}, received by {holders:?}: {tag}",
                    self.id
                ));
                break;
            }
            state = changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
        drop(state);
        Ok(Ok((Vec::new(), self.signature())))
    }
}
