//! Burn rates of service levels, with alerts and reports.
//!
//! To burn is to spend error budget. A burn rate of 1 spends exactly the error
//! budget that a level's objective allows; see `docs/design/08-document.md` and
//! `docs/operating.md`.
//!
//! A [`recorder`] counts requests and compares them with the document's service
//! levels. The resulting [`report`] decides about the [`alert`], and is rendered
//! as an HTML [`page`] or as a [`table`].

pub mod alert;
pub mod page;
pub mod recorder;
pub mod report;
pub mod table;
