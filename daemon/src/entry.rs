//! The part of an instance that routes its callers' requests to servers and retries
//! them.
//!
//! The entry of a session is the instance that accepted the caller's connection. For
//! each request, `request_attributes` derives from its tags and the document's rules how
//! it is routed and retried. [`request_limits`] derives its class from them, which
//! selects its limit. [`router`] then chooses a server (for reads, in `reads`) and
//! [`dispatch`] sends the request to the server's owner. `attempts` decides about
//! retries, and [`identity`] keeps the minimum positions that the session must see. See
//! `docs/design/05-read-your-writes.md` and `docs/design/06-verdicts.md`.

mod attempts;
pub mod dispatch;
pub mod identity;
mod reads;
mod request_attributes;
pub mod request_limits;
pub mod router;
