//! What a session must see, where its reads go and what may be tried again.
//!
//! See `docs/design/05-read-your-writes.md` and `docs/design/06-verdicts.md`.

pub mod floors;
pub mod request_key;
pub mod retry;
pub mod routing;
pub mod tags;
pub mod token;
