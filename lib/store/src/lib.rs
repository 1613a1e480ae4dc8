//! Clients of the platform's services: its key-value store and its list of
//! instances.
//!
//! [`store`] defines what the proxy requires of the key-value store, and
//! [`etcd`] implements it. [`document_store`] reads and writes the document in
//! that store, and [`editor`] drives an edit of it to its outcome.
//! [`instance_list`] reads the list of instances, and [`http`] creates the HTTP
//! client that these modules use. See `docs/design/08-document.md`.
//!
//! The program `masticreel-platform` runs on another platform, whose key-value store
//! has a different protocol; its client is in the crate `masticreel_platform`.

pub mod document_store;
pub mod editor;
pub mod etcd;
pub mod http;
pub mod instance_list;
pub mod store;
