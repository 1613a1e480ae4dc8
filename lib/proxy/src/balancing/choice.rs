//! The order in which the servers that may run a request are tried.

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ServerLoad;
use super::load::{DEFAULT_TIME_MS, to_f64};
use crate::moment::Moment;

/// Random numbers for one choice, derived from a seed that is drawn for each.
#[derive(Debug, Clone)]
pub struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    /// Starts with a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn fraction(&mut self) -> f64 {
        self.count += 1;
        let hash = xxh3_64_with_seed(&self.count.to_le_bytes(), self.seed);
        let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
        f64::from(high) / (f64::from(u32::MAX) + 1.0)
    }
}

/// A server that may run a request.
#[derive(Debug, Clone, Copy)]
pub struct ServerOption<'a> {
    /// What is known of its load, none if it was never used.
    pub load: Option<&'a ServerLoad>,
    /// How many statements it executes at the same time.
    pub slots: usize,
    /// How many statements of this instance are there.
    pub running: usize,
    /// Whether it is the primary, which other work needs.
    pub is_primary: bool,
    /// Whether it is in another failure domain than this instance.
    pub is_remote: bool,
    /// Whether it has an owner, which reports its load.
    pub has_owner: bool,
    /// Whether the last attempt of the request failed there.
    pub is_avoided: bool,
    /// Whether this instance may send it nothing more now.
    pub is_at_limit: bool,
}

/// What was known of a server when it was chosen, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("{expected_ms:.0}ms of {servers}, reported {}", match reported_ms_ago {
    Some(age) => format!("{age}ms ago"),
    None => "never".to_owned(),
})]
pub struct Expectation {
    /// The time that the request was expected to take there, with what its use costs
    /// others.
    pub expected_ms: f64,
    /// Whether the server is the primary.
    pub is_primary: bool,
    /// How many servers could have run the request.
    pub servers: usize,
    /// The age of the server's load report, none if there was none of use.
    pub reported_ms_ago: Option<u128>,
}

/// Time that it costs to reach a server in another failure domain: 1 to 3 ms.
const REMOTE_MS: f64 = 2.0;
/// Factor on the expected time at a server in another failure domain. Traffic between
/// failure domains is narrow and paid for, so that work moves there only from servers at which
/// it would wait.
const REMOTE_FACTOR: f64 = 1.6;
/// Factor on the expected time at the primary, so that it keeps room for what only it can
/// run, and still serves reads while the replicas are clearly worse off.
const PRIMARY_FACTOR: f64 = 1.4;
/// The load for each slot above which a server counts as no busier. A long queue has often
/// been worked off when its report is used, and a server that gets nothing in the meantime
/// becomes idle while the others are overloaded.
const MAX_LOAD_PER_SLOT: f64 = 2.0;
/// How sharply the probability of a server falls with its expected time: as the inverse of
/// this power. With a higher one, instances with the same load information all choose the
/// same server; with a lower one, slow servers get more than they can run.
const SHARPNESS: f64 = 4.0;

/// Returns the indices of the servers in the order in which they are tried, and what each
/// was expected to take.
///
/// Servers on which the request has not failed before, and to which this instance may
/// send more, come first. Among these, one that has an owner is drawn at random, with a
/// probability that falls with its expected time. Servers without an owner are ordered by
/// the expected time, with ties at random: of them this instance knows only its own work,
/// and so does not choose the same as others. The rest follows by expected time.
pub fn rank(
    options: &[ServerOption<'_>],
    now: Moment,
    draws: &mut Draws,
) -> Vec<(usize, Expectation)> {
    let means = Means::of(options, now);
    let mut ranked: Vec<_> = options
        .iter()
        .enumerate()
        .map(|(index, option)| {
            let class = (option.is_avoided, option.is_at_limit);
            (class, expected_ms(option, &means, now), draws.fraction(), index)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.total_cmp(&b.2)));
    let best = ranked.partition_point(|entry| entry.0 == ranked[0].0);
    let full_share = ranked[..best]
        .iter()
        .filter_map(|entry| options[entry.3].load)
        .map(|load| load.share(now))
        .fold(0.0, f64::max);
    let weights: Vec<f64> = ranked[..best]
        .iter()
        .enumerate()
        .map(|(rank, (_, cost, _, index))| {
            let option = &options[*index];
            let share = option.load.map_or(1.0, |load| load.share(now)) / full_share.max(1e-9);
            let is_usual = option.has_owner || rank == 0;
            share.min(1.0) * if is_usual { cost.powf(-SHARPNESS) } else { 0.0 }
        })
        .collect();
    let mut drawn = draws.fraction() * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        drawn -= weight;
        drawn < 0.0
    });
    if let Some(chosen) = chosen {
        ranked[..=chosen].rotate_right(1);
    }
    let expectation = |(_, expected_ms, _, index): (_, f64, f64, usize)| {
        let reported_ms_ago = options[index].load.and_then(|load| load.report_age(now));
        let is_primary = options[index].is_primary;
        let servers = options.len();
        (index, Expectation { expected_ms, is_primary, servers, reported_ms_ago })
    };
    ranked.into_iter().map(expectation).collect()
}

/// Returns the indices of the servers in the order in which they are tried where no load is
/// reported: servers of the instance's own failure domain first, and a primary that runs
/// statements of this instance after the replicas. Equal ones stay in the order given.
pub fn rank_by_domain(options: &[ServerOption<'_>]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..options.len()).collect();
    ranked.sort_by_key(|index| {
        let option = &options[*index];
        (
            option.is_avoided,
            option.is_at_limit,
            option.is_primary && option.running > 0,
            option.is_remote,
            option.is_primary,
            option.running,
        )
    });
    ranked
}

/// The means of what is known of several servers, which stand for what is not known of one.
struct Means {
    /// The reported load for each slot, none without a report.
    load_per_slot: Option<f64>,
    statement_ms: f64,
}

impl Means {
    fn of(options: &[ServerOption<'_>], now: Moment) -> Self {
        let loads = options.iter().filter_map(|option| {
            let (load, weight) = option.load?.reported(now)?;
            Some((load / to_f64(option.slots.max(1)), weight))
        });
        let times = options.iter().filter_map(|option| option.load?.known_statement_ms(now));
        Self {
            load_per_slot: weighted_mean(loads),
            statement_ms: weighted_mean(times.map(|ms| (ms, 1.0))).unwrap_or(DEFAULT_TIME_MS),
        }
    }
}

fn weighted_mean(values: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let add = |(sum, weights), (value, weight)| (sum + value * weight, weights + weight);
    let (sum, weights): (f64, f64) = values.fold((0.0, 0.0), add);
    (weights > 0.0).then(|| sum / weights)
}

/// Returns the time that a request is expected to take at a server, with what its use
/// costs others. A load that is known in part only counts as the mean in the other part.
fn expected_ms(option: &ServerOption<'_>, means: &Means, now: Moment) -> f64 {
    let unknown = ServerLoad::default();
    let load = option.load.unwrap_or(&unknown);
    let slots = to_f64(option.slots.max(1));
    let outstanding = match (means.load_per_slot, load.reported(now)) {
        (None, _) => to_f64(option.running) / slots,
        (Some(mean), None) => mean + to_f64(option.running) / slots,
        (Some(mean), Some((reported, weight))) => {
            let unreported = to_f64(load.unreported(option.running));
            mean + (reported / slots - mean) * weight + unreported / slots
        }
    };
    let statement_ms = load.known_statement_ms(now).unwrap_or(means.statement_ms);
    let factor = if option.is_primary { PRIMARY_FACTOR } else { 1.0 };
    let (remote_factor, transit_ms) =
        if option.is_remote { (REMOTE_FACTOR, REMOTE_MS) } else { (1.0, 0.0) };
    (1.0 + outstanding.min(MAX_LOAD_PER_SLOT))
        * (statement_ms + load.failure_ms(now))
        * factor
        * remote_factor
        + transit_ms
}
