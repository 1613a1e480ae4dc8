//! The entry's side: where a caller's request goes and whether it is tried again.
//!
//! See `docs/design/05-read-your-writes.md` and `docs/design/06-verdicts.md`.

mod attempts;
mod demands;
pub mod dispatch;
pub mod identity;
mod reads;
pub mod request_limits;
pub mod router;
