//! Guarantees of a session: what its reads must see, which server answers them,
//! and which failed requests may be retried.
//!
//! [`floors`] holds the minimum positions of a session's reads, and [`token`]
//! their text form. [`routing`] chooses the server of a read, [`retry`] decides
//! about failed requests, and [`request_key`] makes retries return the first
//! result. [`tags`] reads what a caller requests in a statement's comment.
//!
//! See `docs/design/05-read-your-writes.md` and `docs/design/06-verdicts.md`.

pub mod floors;
pub mod request_key;
pub mod retry;
pub mod routing;
pub mod tags;
pub mod token;
