//! Starts and stops a server, and accepts and limits its connections.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use crate::upstream::database::DatabaseFiles;
use crate::upstream::error::{SqlError, codes};
use crate::upstream::group::Membership;
use crate::upstream::interrupt::SessionHandle;
use crate::upstream::log::Log;
use crate::upstream::replication;
use crate::upstream::session;
use crate::upstream::settings::UpstreamSettings;
use crate::upstream::slots::Slots;
use crate::upstream::writer::WriteLock;

/// The user that has reserved connections, and whose statements need no slots.
pub const CONTROL_USER: &str = "masticreel_control";
/// How many connections are reserved for [`CONTROL_USER`].
pub const CONTROL_CONNECTIONS: usize = 3;

/// State shared by all threads of a server.
#[derive(Debug)]
pub struct ServerState {
    /// The settings.
    pub settings: UpstreamSettings,
    /// Its role, term and log in the group.
    pub membership: Membership,
    /// The files that hold its data.
    pub files: DatabaseFiles,
    /// Limits the statements that run at once.
    pub slots: Slots,
    /// Held by the transaction that writes.
    pub write_lock: Arc<WriteLock>,
    connections: Mutex<Connections>,
    next_pid: AtomicI32,
    is_stopped: AtomicBool,
}

#[derive(Debug, Default)]
struct Connections {
    ordinary: usize,
    control: usize,
    streams: HashMap<i32, TcpStream>,
    /// Secret and handle of each session, by process id.
    session_handles: HashMap<i32, (i32, Arc<SessionHandle>)>,
}

/// An admitted connection; dropping this makes room for another one.
#[derive(Debug)]
pub struct ConnectionPermit {
    server: Arc<ServerState>,
    pid: i32,
    is_control: bool,
}

impl Connections {
    /// Returns whether one more connection can be admitted.
    ///
    /// Control connections use the reserved ones first, then any other.
    fn has_room(&self, is_control: bool, max_connections: usize) -> bool {
        let reserved = CONTROL_CONNECTIONS;
        if is_control && self.control < reserved {
            return true;
        }
        let beyond_reserved = self.control.saturating_sub(reserved);
        self.ordinary + beyond_reserved < max_connections.saturating_sub(reserved)
    }
}

impl ConnectionPermit {
    /// Returns the number of the connection, which the protocol calls process id.
    pub fn pid(&self) -> i32 {
        self.pid
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut connections = self.server.connections();
        if self.is_control {
            connections.control -= 1;
        } else {
            connections.ordinary -= 1;
        }
        connections.session_handles.remove(&self.pid);
    }
}

impl ServerState {
    fn connections(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .expect("no thread panics while it holds the lock of the connections")
    }

    /// Admits a connection whose start-up message has been read; any user may
    /// connect.
    ///
    /// # Errors
    ///
    /// Fails with 53300 when all connections are in use.
    pub fn admit(
        self: &Arc<Self>,
        pid: i32,
        user: &str,
        secret: i32,
        session_handle: &Arc<SessionHandle>,
    ) -> Result<ConnectionPermit, SqlError> {
        let is_control = user == CONTROL_USER;
        let mut connections = self.connections();
        if !connections.has_room(is_control, self.settings.max_connections) {
            let message = "sorry, too many clients already";
            return Err(SqlError::fatal(codes::TOO_MANY_CONNECTIONS, message));
        }
        match is_control {
            true => connections.control += 1,
            false => connections.ordinary += 1,
        }
        connections.session_handles.insert(pid, (secret, Arc::clone(session_handle)));
        drop(connections);
        Ok(ConnectionPermit { server: Arc::clone(self), pid, is_control })
    }

    /// Cancels the running statement of the connection with this process id, if
    /// the secret is right.
    pub fn cancel(&self, pid: i32, secret: i32) {
        let connections = self.connections();
        if let Some((_, session_handle)) =
            connections.session_handles.get(&pid).filter(|(expected, _)| *expected == secret)
        {
            session_handle.cancel();
        }
    }

    fn spawn_session(self: &Arc<Self>, stream: TcpStream) {
        let pid = self.next_pid.fetch_add(1, Ordering::Relaxed);
        let Ok(copy) = stream.try_clone() else { return };
        self.connections().streams.insert(pid, copy);
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            if !server.is_stopped.load(Ordering::Acquire) {
                // An error ends only this connection, which the caller notices.
                let _ = session::serve_connection(&server, &stream, pid);
            }
            let _ = stream.shutdown(Shutdown::Both);
            server.connections().streams.remove(&pid);
        });
    }

    fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        self.membership.stop();
        let connections = self.connections();
        for stream in connections.streams.values() {
            // Fails if the stream is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
        for (_, session_handle) in connections.session_handles.values() {
            session_handle.cancel();
        }
    }
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct Upstream {
    server: Arc<ServerState>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Upstream {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Fails when the server can't listen or use its directories.
    pub fn start(settings: UpstreamSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let (log, recovered) = Log::open(settings.data_dir.as_deref())?;
        let server = Arc::new(ServerState {
            membership: Membership::new(&settings, log, recovered),
            files: DatabaseFiles::create(&settings.name)?,
            slots: Slots::new(settings.slots),
            write_lock: Arc::default(),
            connections: Mutex::default(),
            next_pid: AtomicI32::new(1),
            is_stopped: AtomicBool::new(false),
            settings,
        });
        let threads = vec![
            spawn(&server, |server| {
                replication::receive(&server.membership, server.settings.receive_lag);
            }),
            spawn(&server, |server| {
                replication::apply(&server.membership, &server.files, server.settings.apply_lag);
            }),
            spawn(&server, move |server| accept(server, &listener)),
        ];
        Ok(Self { server, address, threads })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and closes its connections.
    pub fn stop(&mut self) {
        self.server.stop();
        // Wakes the accepting thread, which checks for the stop only at a new
        // connection.
        let _ = TcpStream::connect(self.address);
        for thread in self.threads.drain(..) {
            thread.join().expect("the server's threads don't panic");
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        if !self.threads.is_empty() {
            self.stop();
        }
    }
}

fn spawn<Task>(server: &Arc<ServerState>, task: Task) -> JoinHandle<()>
where
    Task: FnOnce(&Arc<ServerState>) + Send + 'static,
{
    let server = Arc::clone(server);
    std::thread::spawn(move || task(&server))
}

fn accept(server: &Arc<ServerState>, listener: &TcpListener) {
    for stream in listener.incoming() {
        if server.is_stopped.load(Ordering::Acquire) {
            return;
        }
        if let Ok(stream) = stream {
            server.spawn_session(stream);
        }
    }
}
