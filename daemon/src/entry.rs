//! The entry side: routes callers' requests to servers and retries them.
//!
//! The entry of a session is the instance that accepted the caller's connection. For
//! each request, `request_attributes` and [`request_limits`] evaluate its tags, the
//! document's rules and the limits. [`router`] then chooses a server (for reads, in
//! `reads`) and [`dispatch`] sends the request to the server's owner. `attempts`
//! decides about retries, and [`identity`] keeps what the session must see. See
//! `docs/design/05-read-your-writes.md` and `docs/design/06-verdicts.md`.

mod attempts;
pub mod dispatch;
pub mod identity;
mod reads;
mod request_attributes;
pub mod request_limits;
pub mod router;
