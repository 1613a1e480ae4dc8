//! Chooses the server of a read that several servers may run, from load
//! information that is slightly out of date.
//!
//! Many instances choose at the same moment, and what each knows of a server's
//! load is older than the time in which that load changes. If all of them took the
//! server that looks best, they would overload one server after the other. So the
//! choice is random, and a server's probability falls smoothly with its expected
//! time.
//!
//! [`ServerLoad`] is what an instance knows of a server, [`LoadMeter`] is how the
//! owner of a server's connections measures the load that it reports
//! ([`LoadReport`]), and [`rank`] orders the servers that may run a request. Both apply to
//! work of organisations; other work is ordered by [`rank_by_domain`], without reports. See
//! `docs/design/14-even-load.md`.

mod choice;
mod load;

pub use choice::{Draws, Expectation, ServerOption, rank, rank_by_domain};
pub use load::{LoadMeter, LoadReport, ServerLoad};
