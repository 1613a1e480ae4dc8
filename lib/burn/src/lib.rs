//! Service levels compared with what was measured: burn rates, alerts, reports.
//!
//! A burn rate of 1 spends exactly the error budget that a level's objective
//! allows; see `docs/design/08-document.md` and `docs/operating.md`.

pub mod alert;
pub mod page;
pub mod recorder;
pub mod report;
pub mod table;
