//! The HTTP paths and headers of an instance's operators' port.

/// Answers a GET with an [`crate::instances::InstanceReport`].
pub const STATUS_PATH: &str = "/status";

/// Answers a GET with a list of [`crate::instances::MemberReport`].
pub const INSTANCES_PATH: &str = "/instances";

/// Answers a GET with a list of [`crate::groups::GroupReport`].
pub const GROUPS_PATH: &str = "/groups";

/// Answers a GET with a list of [`masticreel_burn::report::LevelReport`].
pub const REPORT_PATH: &str = "/report";

/// Answers a GET with a [`masticreel_document::wire::WireDocument`], and accepts
/// one by POST if it is signed with the fleet's shared key.
pub const DOCUMENT_PATH: &str = "/document";

/// The header that carries the signature of a posted document.
pub const SIGNATURE_HEADER: &str = "Masticreel-Signature";
