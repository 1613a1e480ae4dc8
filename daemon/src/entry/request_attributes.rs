//! The attributes of a request, which follow from its tags, the document's rules and
//! the kinds of its statements.
//!
//! Tags are values that the caller writes into a statement's text; traits are what
//! tags, rules and defaults yield for a statement.

use bytes::BytesMut;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_document::policy::{Policy, StatementTraits};
use masticreel_postgres::message::{MAX_CALLER_MESSAGE_BYTES, RawMessage, tag, take_message};
use masticreel_postgres::request::RequestPlan;
use masticreel_postgres::statement::StatementKind;
use masticreel_session::tags::{Tags, parse_tags, without_tags};
use masticreel_wire::message::RequestKey;
use xxhash_rust::xxh3::Xxh3;

/// The attributes by which the entry routes and retries a request.
#[derive(Debug, Clone, Default)]
pub struct RequestAttributes {
    /// The tags of the first tagged statement.
    pub tags: Tags,
    /// The traits that result from tags, rules and defaults. Their class is not used:
    /// that of the request is in [`super::request_limits::RequestProfile`].
    pub traits: StatementTraits,
    /// Whether the request only reads and changes no state of the session.
    pub is_read: bool,
    /// The key under which a retry finds the first result.
    pub request_key: Option<RequestKey>,
}

impl RequestAttributes {
    /// Reads the tags of a request and applies the document's rules.
    ///
    /// # Errors
    ///
    /// Fails if a tag has an invalid value, or if a request with a key can't run in a
    /// transaction of its own.
    pub fn new(plan: &RequestPlan, policy: &Policy) -> Result<Self, Failure> {
        let mut attributes = Self { is_read: is_read(plan), ..Self::default() };
        for (index, statement) in plan.statements.iter().enumerate() {
            let tags = parse_tags(&statement.text)
                .map_err(|error| Failure::not_run(FailureKind::Unsupported, error.to_string()))?;
            let traits = policy.classify(&statement.text, &tags.statement);
            attributes.traits = match index {
                0 => traits,
                _ => combine_traits(attributes.traits, traits),
            };
            if attributes.tags == Tags::default() {
                attributes.tags = tags;
            }
        }
        attributes.request_key = request_key(plan, &attributes.tags)?;
        Ok(attributes)
    }

    /// Returns whether the request is idempotent.
    pub fn is_idempotent(&self) -> bool {
        self.is_read || self.traits.idempotent || self.request_key.is_some()
    }
}

fn is_read(plan: &RequestPlan) -> bool {
    let reads = plan.statements.iter().all(|statement| statement.kind == StatementKind::Read);
    reads && !plan.statements.is_empty()
}

fn request_key(plan: &RequestPlan, tags: &Tags) -> Result<Option<RequestKey>, Failure> {
    let Some(key) = &tags.request_key else {
        return Ok(None);
    };
    let fits = |kind| matches!(kind, StatementKind::Read | StatementKind::Write);
    if !plan.statements.iter().all(|statement| fits(statement.kind)) {
        let message = "a request key needs statements that run in a transaction of their own";
        return Err(Failure::not_run(FailureKind::Unsupported, message));
    }
    Ok(Some(RequestKey { key: key.clone(), fingerprint: work_hash(plan) }))
}

/// Returns a hash of the statements and parameters, by which a request key that is
/// reused for other work is detected. It does not depend on the names of prepared
/// statements.
fn work_hash(plan: &RequestPlan) -> u64 {
    let mut hash = Xxh3::new();
    for statement in &plan.statements {
        hash.update(without_tags(&statement.text).as_bytes());
        hash.update(&[0]);
    }
    let mut payload = BytesMut::from(plan.payload.as_slice());
    while let Ok(Some(message)) = take_message(&mut payload, MAX_CALLER_MESSAGE_BYTES) {
        if message.tag == tag::BIND {
            hash.update(bound_parameters(&message).unwrap_or_default());
        }
    }
    hash.digest()
}

/// Returns the part of a `Bind` message after the names of portal and statement.
fn bound_parameters(message: &RawMessage) -> Option<&[u8]> {
    let (_, rest) = RawMessage::split_text(message.body())?;
    RawMessage::split_text(rest).map(|(_, parameters)| parameters)
}

/// Returns the traits that hold for both of two statements in one request: the longer
/// class, the smaller staleness, and idempotent only if both are.
fn combine_traits(one: StatementTraits, other: StatementTraits) -> StatementTraits {
    StatementTraits {
        class: one.class.max(other.class),
        max_staleness: one.max_staleness.min(other.max_staleness),
        idempotent: one.idempotent && other.idempotent,
    }
}
