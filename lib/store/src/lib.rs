//! Clients of the platform's services: its key-value store and its list of
//! instances.
//!
//! [`store`] defines what the proxy requires of the key-value store, and
//! [`etcd`] implements it. [`document_store`] reads and writes the document in
//! that store, and [`editor`] drives an edit of it to its outcome. See
//! `docs/design/08-document.md`.

pub mod document_store;
pub mod editor;
pub mod etcd;
pub mod http;
pub mod instance_list;
pub mod store;
