//! A TCP relay whose link to its target can be cut and slowed down.
//!
//! A cut link holds bytes back without closing connections, as a network
//! partition does. Unlike in a partition, connections to the relay can still be
//! opened, and the bytes held back arrive when the link is healed.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};

/// Maximum size of one read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks that one direction of a connection holds back.
const QUEUE_CHUNKS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A direction of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    FromTarget,
}

/// The state that the threads of all connections share.
#[derive(Debug)]
struct RelayState {
    link: Mutex<LinkState>,
    changed: Condvar,
    is_stopped: AtomicBool,
}

#[derive(Debug)]
struct LinkState {
    target: SocketAddr,
    is_cut_to_target: bool,
    is_cut_from_target: bool,
    delay: Duration,
    streams: Vec<TcpStream>,
}

impl RelayState {
    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.link.lock().expect("no thread panics while it holds the lock of the link")
    }

    fn change(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Waits while the direction is cut; returns false if the relay was stopped.
    fn wait_while_cut(&self, direction: Direction) -> bool {
        let is_cut = |link: &mut LinkState| {
            let is_cut = match direction {
                Direction::ToTarget => link.is_cut_to_target,
                Direction::FromTarget => link.is_cut_from_target,
            };
            is_cut && !self.is_stopped.load(Ordering::Acquire)
        };
        let waited = self.changed.wait_while(self.lock(), is_cut);
        drop(waited.expect("no thread panics while it holds the lock of the link"));
        !self.is_stopped.load(Ordering::Acquire)
    }
}

/// A running relay; it stops when dropped.
#[derive(Debug)]
pub struct Relay {
    relay: Arc<RelayState>,
    address: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay to a target.
    ///
    /// # Errors
    ///
    /// Fails when the relay can't listen.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let link = LinkState {
            target,
            is_cut_to_target: false,
            is_cut_from_target: false,
            delay: Duration::ZERO,
            streams: Vec::new(),
        };
        let relay = Arc::new(RelayState {
            link: Mutex::new(link),
            changed: Condvar::new(),
            is_stopped: AtomicBool::new(false),
        });
        let acceptor = {
            let relay = Arc::clone(&relay);
            std::thread::spawn(move || accept(&relay, &listener))
        };
        Ok(Self { relay, address, acceptor: Some(acceptor) })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts both directions.
    pub fn cut(&self) {
        self.relay.change(|link| {
            link.is_cut_to_target = true;
            link.is_cut_from_target = true;
        });
    }

    /// Cuts one direction.
    pub fn cut_direction(&self, direction: Direction) {
        self.relay.change(|link| match direction {
            Direction::ToTarget => link.is_cut_to_target = true,
            Direction::FromTarget => link.is_cut_from_target = true,
        });
    }

    /// Ends all cuts; the bytes held back are sent, before later ones.
    pub fn heal(&self) {
        self.relay.change(|link| {
            link.is_cut_to_target = false;
            link.is_cut_from_target = false;
        });
    }

    /// Sets how long bytes are delayed in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.relay.change(|link| link.delay = delay);
    }

    /// Relays new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.relay.change(|link| link.target = target);
    }

    /// Closes all connections that are open.
    pub fn reset(&self) {
        self.relay.change(|link| {
            for stream in link.streams.drain(..) {
                // Fails if the stream is already closed.
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Accepts one-line commands: `cut`, `cut to-target`, `cut from-target`,
    /// `heal`, `reset`, `delay_ms N` and `target ADDRESS`; each is answered by
    /// `ok` or `error`. One control connection is served at a time.
    ///
    /// # Errors
    ///
    /// Fails when the control socket fails.
    pub fn serve_control(&self, listener: &TcpListener) -> io::Result<()> {
        for stream in listener.incoming() {
            let stream = stream?;
            let mut lines = BufReader::new(&stream).lines();
            while let Some(Ok(line)) = lines.next() {
                let response = if self.apply_command(&line).is_some() { "ok\n" } else { "error\n" };
                if (&stream).write_all(response.as_bytes()).is_err() {
                    break;
                }
            }
        }
        Ok(())
    }

    fn apply_command(&self, line: &str) -> Option<()> {
        match line.split_whitespace().collect::<Vec<_>>().as_slice() {
            ["cut"] => self.cut(),
            ["cut", "to-target"] => self.cut_direction(Direction::ToTarget),
            ["cut", "from-target"] => self.cut_direction(Direction::FromTarget),
            ["heal"] => self.heal(),
            ["reset"] => self.reset(),
            ["delay_ms", delay_ms] => self.set_delay(Duration::from_millis(delay_ms.parse().ok()?)),
            ["target", address] => self.set_target(address.parse().ok()?),
            _ => return None,
        }
        Some(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.relay.is_stopped.store(true, Ordering::Release);
        self.reset();
        // Wakes the accepting thread, which checks for the stop only at a new
        // connection.
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().expect("the accepting thread does not panic");
        }
    }
}

fn accept(relay: &Arc<RelayState>, listener: &TcpListener) {
    for client in listener.incoming() {
        if relay.is_stopped.load(Ordering::Acquire) {
            return;
        }
        if let Ok(client) = client {
            let relay = Arc::clone(relay);
            // If the target can't be reached, the connection is closed.
            std::thread::spawn(move || drop(relay_connection(&relay, &client)));
        }
    }
}

/// Relays a connection until both directions have ended.
fn relay_connection(relay: &Arc<RelayState>, client: &TcpStream) -> io::Result<()> {
    client.set_nodelay(true)?;
    relay.lock().streams.push(client.try_clone()?);
    if !relay.wait_while_cut(Direction::ToTarget) {
        return Ok(());
    }
    let target = relay.lock().target;
    let server = match TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) {
        Ok(server) => server,
        Err(error) => {
            let _ = client.shutdown(Shutdown::Both);
            return Err(error);
        }
    };
    server.set_nodelay(true)?;
    relay.lock().streams.push(server.try_clone()?);
    std::thread::scope(|scope| {
        for (from, to, direction) in
            [(client, &server, Direction::ToTarget), (&server, client, Direction::FromTarget)]
        {
            let (sender, receiver) = bounded(QUEUE_CHUNKS);
            scope.spawn(move || read_chunks(from, &sender));
            scope.spawn(move || write_chunks(relay, to, &receiver, direction));
        }
    });
    Ok(())
}

fn read_chunks(mut from: &TcpStream, sender: &Sender<(Instant, Vec<u8>)>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if sender.send((Instant::now(), chunk[..count].to_vec())).is_err() {
            return;
        }
    }
}

fn write_chunks(
    relay: &RelayState,
    mut to: &TcpStream,
    receiver: &Receiver<(Instant, Vec<u8>)>,
    direction: Direction,
) {
    for (read_at, chunk) in receiver {
        let due = read_at + relay.lock().delay;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if !relay.wait_while_cut(direction) || to.write_all(&chunk).is_err() {
            break;
        }
    }
    // The end of the stream is held back by a cut as well.
    if relay.wait_while_cut(direction) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
