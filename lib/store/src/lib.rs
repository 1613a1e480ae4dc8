//! The seams to the platform: its key-value store and its list of instances.
//!
//! See `docs/design/08-document.md`.

pub mod document_store;
pub mod editor;
pub mod etcd;
pub mod http;
pub mod instance_list;
pub mod store;
