//! One caller of a load, with its connection and its random choices.

use std::sync::Arc;
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::report::CallerRecord;
use crate::load::settings::{LoadSettings, Protocol, StatementSettings};
use crate::pg_client::{Answer, ClientError, PgClient};

/// The backoff after a failed connection attempt.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// A caller that sends one statement after the other.
///
/// After a failed connection attempt it tries the next target.
pub struct Caller {
    settings: Arc<LoadSettings>,
    number: usize,
    attempts: usize,
    random: ChaCha8Rng,
    cancellation: CancellationToken,
}

impl Caller {
    /// Creates a caller whose random choices are independent of other callers.
    pub fn new(
        settings: Arc<LoadSettings>,
        number: usize,
        cancellation: CancellationToken,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(number as u64);
        Self { settings, number, attempts: 0, random, cancellation }
    }

    /// Sends statements until the load is cancelled, and returns the results.
    pub fn run(mut self) -> CallerRecord {
        let mut record = CallerRecord::new(self.settings.statements.len());
        let mut client = None;
        while !self.cancellation.is_cancelled() {
            let Some(connected) = client.as_mut() else {
                client = self.connect(&mut record);
                continue;
            };
            let index = self.choose();
            let sent = Instant::now();
            match self.send(connected, index) {
                Ok(answer) => {
                    record.record_answer(index, sent.elapsed(), answer.error_code());
                    if answer.status.is_none() {
                        client = None;
                    }
                }
                Err(_) => {
                    record.record_lost_connection(index);
                    client = None;
                }
            }
        }
        record
    }

    fn connect(&mut self, record: &mut CallerRecord) -> Option<PgClient> {
        let targets = &self.settings.targets;
        let target = targets[(self.number + self.attempts) % targets.len()];
        let start_up_parameters = self.settings.start_up_parameters();
        let connected = PgClient::connect(target, &start_up_parameters, self.settings.timeout());
        if connected.is_err() {
            self.attempts += 1;
            record.failed_connects += 1;
            self.cancellation.wait_timeout(RECONNECT_BACKOFF);
        }
        connected.ok()
    }

    fn choose(&mut self) -> usize {
        let statements = &self.settings.statements;
        let total: f64 = statements.iter().map(|statement| statement.share).sum();
        let mut point = self.random.random::<f64>() * total;
        for (index, statement) in statements.iter().enumerate() {
            point -= statement.share;
            if point < 0.0 {
                return index;
            }
        }
        statements.len() - 1
    }

    fn send(&mut self, client: &mut PgClient, index: usize) -> Result<Answer, ClientError> {
        let StatementSettings { sql, ids, protocol, .. } = &self.settings.statements[index];
        let id = self.random.random_range(0..(*ids).max(1));
        let sql = sql.replace("{id}", &id.to_string());
        match protocol {
            Protocol::Simple => client.query(&sql),
            Protocol::Extended => client.execute(&sql, &[]),
        }
    }
}
