//! What a request demands of its server, by its tags, the document's rules and its kind.

use bytes::BytesMut;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_document::policy::{Policy, StatementTraits};
use masticreel_postgres::message::{MAX_CALLER_MESSAGE_BYTES, RawMessage, tag, take_message};
use masticreel_postgres::request::RequestPlan;
use masticreel_postgres::statement::StatementKind;
use masticreel_session::tags::{Tags, parse_tags, without_tags};
use masticreel_wire::message::RequestKey;
use xxhash_rust::xxh3::Xxh3;

/// What the entry must know about a request to route it.
#[derive(Debug, Clone, Default)]
pub struct RequestAttributes {
    /// What the first tagged statement says.
    pub tags: Tags,
    /// What tags, rules and defaults come to.
    pub traits: StatementTraits,
    /// Whether the request only reads and leaves nothing behind.
    pub is_read: bool,
    /// The name under which a repeat finds the first result.
    pub request_key: Option<RequestKey>,
}

impl RequestAttributes {
    /// Reads the tags of a request and applies the document's rules.
    ///
    /// # Errors
    ///
    /// Fails when a tag has an impossible value, or names a request that can't
    /// run in a transaction of its own.
    pub fn new(plan: &RequestPlan, policy: &Policy) -> Result<Self, Failure> {
        let mut attributes = Self { is_read: is_read(plan), ..Self::default() };
        for (index, statement) in plan.statements.iter().enumerate() {
            let tags = parse_tags(&statement.text)
                .map_err(|error| Failure::not_run(FailureKind::Unsupported, error.to_string()))?;
            let traits = policy.classify(&statement.text, &tags.statement);
            attributes.traits = match index {
                0 => traits,
                _ => combine(attributes.traits, traits),
            };
            if attributes.tags == Tags::default() {
                attributes.tags = tags;
            }
        }
        attributes.request_key = request_key(plan, &attributes.tags)?;
        Ok(attributes)
    }

    /// Returns whether the request may run twice without harm.
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
    Ok(Some(RequestKey { key: key.clone(), fingerprint: fingerprint(plan) }))
}

/// Identifies the statements and parameters, whatever the statements' names.
fn fingerprint(plan: &RequestPlan) -> u64 {
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

/// Returns what follows the names of the portal and the statement.
fn bound_parameters(message: &RawMessage) -> Option<&[u8]> {
    let (_, rest) = RawMessage::split_text(message.body())?;
    RawMessage::split_text(rest).map(|(_, parameters)| parameters)
}

/// Returns the more careful demands of two statements in one request.
fn combine(one: StatementTraits, other: StatementTraits) -> StatementTraits {
    StatementTraits {
        class: one.class.max(other.class),
        max_staleness: one.max_staleness.min(other.max_staleness),
        idempotent: one.idempotent && other.idempotent,
    }
}
