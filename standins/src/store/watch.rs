//! Streams the events of a watch, one JSON document per line.

use std::io::{self, Write};

use serde::Serialize;
use tiny_http::Request;

use crate::store::Shared;
use crate::store::api::{
    Int64, ResponseHeader, Streamed, WatchCreateRequest, WatchEvent, WatchResponse,
};
use crate::store::keyspace::KeyRange;

/// After how many waits for a change, about 5 s in all, a message without events is
/// sent.
///
/// Without this message a disconnected watcher would be detected only at the next
/// event. A real gateway sends nothing while nothing changes.
const PROBE_ROUNDS: u32 = 50;

/// Serves a watch until the watcher disconnects or the store goes down.
pub fn stream(shared: &Shared, request: Request, create_request: &WatchCreateRequest) {
    let mut output = request.into_writer();
    // An error means that the watcher has disconnected, which ends the watch.
    let _ = send_events(shared, &mut output, create_request);
}

fn send_events(
    shared: &Shared,
    output: &mut impl Write,
    create_request: &WatchCreateRequest,
) -> io::Result<()> {
    output.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
          Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let range = KeyRange::new(create_request.key.0.clone(), create_request.range_end.0.clone());
    let keyspace = shared.lock();
    let mut next = match create_request.start_revision.0 {
        0 => keyspace.revision() + 1,
        revision => revision,
    };
    let header = ResponseHeader::new(&keyspace);
    drop(keyspace);
    write_chunk(output, &WatchResponse { created: true, ..response(header) })?;
    let mut idle_rounds = 0;
    while !shared.faults.must_end_watches() {
        shared.faults.wait_while_silent();
        let mut keyspace = shared.lock();
        if keyspace.revision() < next {
            keyspace = shared.wait_for_change(keyspace);
        }
        let header = ResponseHeader::new(&keyspace);
        let found = keyspace.events(&range, next);
        next = next.max(keyspace.revision() + 1);
        drop(keyspace);
        match found {
            Err(compacted) => {
                let compact_revision = Int64(compacted);
                let end = WatchResponse { canceled: true, compact_revision, ..response(header) };
                write_chunk(output, &end)?;
                break;
            }
            Ok(events) if events.is_empty() => {
                idle_rounds += 1;
                if idle_rounds == PROBE_ROUNDS {
                    idle_rounds = 0;
                    write_chunk(output, &response(header))?;
                }
            }
            Ok(events) => {
                let events = events.into_iter().map(WatchEvent::from).collect();
                write_chunk(output, &WatchResponse { events, ..response(header) })?;
            }
        }
    }
    output.write_all(b"0\r\n\r\n")?;
    output.flush()
}

fn response(header: ResponseHeader) -> WatchResponse {
    WatchResponse {
        header,
        created: false,
        canceled: false,
        compact_revision: Int64(0),
        events: Vec::new(),
    }
}

fn write_chunk<Body>(output: &mut impl Write, result: &Body) -> io::Result<()>
where
    Body: Serialize,
{
    let mut line = serde_json::to_vec(&Streamed { result }).map_err(io::Error::other)?;
    line.push(b'\n');
    write!(output, "{:x}\r\n", line.len())?;
    output.write_all(&line)?;
    output.write_all(b"\r\n")?;
    output.flush()
}
