//! Choice between the replicas of a shard.
//!
//! Draws two random candidates of each distance and takes the one with the lowest score. The
//! score is an expected latency that grows with the cube of the queue length, as in the C3
//! algorithm. The queue length is this instance's own count, because load reports lag.

use std::cmp;
use std::time::Duration;

use crate::topology::Distance;
use crate::{health, topology};

/// Factor on the score of replicas in other failure domains of the same region.
const REGION_FACTOR: f64 = 1.25;

/// Factor on the score of replicas in other regions, where traffic costs several times more.
const REMOTE_FACTOR: f64 = 2.0;

/// Weight of the failure rate in the score. A replica that fails half of its requests costs a
/// retry for each of them, which takes several times its latency.
const FAILURE_FACTOR: f64 = 8.0;

/// Maximum requests in flight per slot of a warm replica, over all instances. Requests in
/// transit count: at 20 ms one way and a service time of 20 ms, three in flight per slot are
/// needed to keep a replica busy. Within this limit the score prefers the own failure domain
/// and short queues.
const REQUESTS_PER_SLOT: u32 = 4;

/// One in this many choices takes a cold replica or probes an ejected one although another is
/// ready. Without any requests it would never become ready.
const WARMUP_OR_PROBE_PERIOD: u64 = 4;

/// Minimum latency in scores, so that a replica without a latency estimate doesn't win every
/// comparison.
const MIN_LATENCY: Duration = Duration::from_millis(1);

/// A replica that may take a subquery.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Replica as the topology describes it.
    pub replica: &'a topology::Replica,
    /// Health of the replica.
    pub view: health::View,
    /// Requests that may run on it concurrently while it is cold.
    pub cold_limit: u32,
    /// Number of instances that send to the replica, at least 1.
    pub senders: u32,
    /// Whether its pace allows no request now.
    pub throttled: bool,
}

impl Candidate<'_> {
    /// Returns how many requests of this instance may be in flight to the replica.
    pub fn request_limit(&self) -> u32 {
        // With fewer than one per slot, a burst at one instance would leave slots idle.
        let slots = self.replica.slots;
        let share = slots.saturating_mul(REQUESTS_PER_SLOT) / self.senders.max(1);
        let warm = share.max(slots);
        match self.view.availability {
            health::Availability::AddressReused | health::Availability::Unwilling => 0,
            health::Availability::Cold => self.cold_limit,
            health::Availability::Ejected if self.view.cold => self.cold_limit.min(1),
            // Only used while all replicas of a shard are ejected. One that replied a moment
            // ago is overloaded, not lost; a lower limit would leave the shard out of most answers.
            health::Availability::Ejected if self.view.answered_recently => warm,
            // The silent requests still count as in flight; the probe is allowed in addition.
            health::Availability::Probe if !self.view.silence.is_zero() => self.view.in_flight + 1,
            health::Availability::Probe | health::Availability::Ejected => 1,
            // The upstream may have restarted unnoticed and be cold.
            health::Availability::Ready if !self.view.answered_recently => {
                warm.min(self.replica.cold_slots)
            }
            health::Availability::Ready => warm,
        }
    }

    fn accepts_request(&self) -> bool {
        !self.throttled && !self.view.shedding && self.view.in_flight < self.request_limit()
    }

    fn is_ready(&self) -> bool {
        self.view.availability == health::Availability::Ready && self.accepts_request()
    }

    fn is_cold_or_probe(&self) -> bool {
        let availability = self.view.availability;
        matches!(
            availability,
            health::Availability::Cold | health::Availability::Probe
        ) && self.accepts_request()
    }

    fn is_last_resort(&self) -> bool {
        self.view.availability == health::Availability::Ejected && self.accepts_request()
    }

    fn score(&self) -> f64 {
        // A request that is pending for longer than the estimate shows a pause before any reply does.
        let latency = self.view.latency.max(self.view.silence);
        let latency = latency.max(MIN_LATENCY).as_secs_f64();
        let slots = f64::from(self.replica.slots.max(1));
        let queue = 1.0 + f64::from(self.view.in_flight) / slots;
        // Bounded, so that a false report changes the score by at most a factor of 2.
        let load = 1.0 + self.view.reported_load;
        let distance_factor = match self.replica.distance {
            Distance::Domain => 1.0,
            Distance::Region => REGION_FACTOR,
            Distance::Remote => REMOTE_FACTOR,
        };
        let failures = 1.0 + FAILURE_FACTOR * self.view.failure_rate;
        latency * queue.powi(3) * load * distance_factor * failures
    }
}

/// Chooses a candidate for a first attempt or a retry; none if no candidate may take a request.
///
/// Takes the best of a random draw of ready candidates. One choice in four, or every choice if
/// none is ready, takes a cold one or one that is due for a probe, if there is one. If all are
/// ejected, takes an ejected one.
pub fn choose(candidates: &[Candidate<'_>], mut random: impl FnMut() -> u64) -> Option<usize> {
    let cold_or_probe = matching_indices(candidates, Candidate::is_cold_or_probe);
    let cold_or_probe_due =
        !cold_or_probe.is_empty() && random().is_multiple_of(WARMUP_OR_PROBE_PERIOD);
    if cold_or_probe_due {
        return pick(candidates, &cold_or_probe, random);
    }
    choose_ready(candidates, &mut random)
        .or_else(|| pick(candidates, &cold_or_probe, &mut random))
        .or_else(|| choose_ejected(candidates, random))
}

/// Chooses among ejected candidates if all candidates are ejected: their shard would otherwise
/// be missing from every answer.
fn choose_ejected(candidates: &[Candidate<'_>], random: impl FnMut() -> u64) -> Option<usize> {
    let ejected = matching_indices(candidates, Candidate::is_last_resort);
    match all_ejected(candidates) {
        true => pick(candidates, &ejected, random),
        false => None,
    }
}

/// Returns whether every candidate is ejected and not due for a probe, unreachable because another
/// upstream uses its address, or wants no requests.
pub fn all_ejected(candidates: &[Candidate<'_>]) -> bool {
    let ejected = |c: &Candidate<'_>| {
        let availability = c.view.availability;
        matches!(
            availability,
            health::Availability::Ejected
                | health::Availability::AddressReused
                | health::Availability::Unwilling
        )
    };
    candidates.iter().all(ejected)
}

/// Returns whether any candidate wants no requests.
pub fn any_unwilling(candidates: &[Candidate<'_>]) -> bool {
    let mut candidates = candidates.iter();
    candidates.any(|c| c.view.availability == health::Availability::Unwilling)
}

/// Chooses a ready candidate, which is all that a hedge may use; none if none is ready.
pub fn choose_ready(candidates: &[Candidate<'_>], random: impl FnMut() -> u64) -> Option<usize> {
    let ready = matching_indices(candidates, Candidate::is_ready);
    pick(candidates, &ready, random)
}

/// Chooses among the candidates of the nearest distance at which one may take a request and not
/// all are ejected; none if there is no such distance.
///
/// Meant for candidates that rarely get requests, such as the home instances that a query is
/// forwarded to: the estimates of remote ones are then too unreliable to prefer them to near
/// ones.
pub fn choose_nearest(
    candidates: &[Candidate<'_>],
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    Distance::ALL.iter().find_map(|distance| {
        let near = matching_indices(candidates, |c| c.replica.distance == *distance);
        let same_distance: Vec<_> = near.iter().map(|i| candidates[*i]).collect();
        let chosen = choose(&same_distance, &mut random).filter(|_| !all_ejected(&same_distance));
        chosen.map(|i| near[i])
    })
}

fn matching_indices<'a>(
    candidates: &[Candidate<'a>],
    test: impl Fn(&Candidate<'a>) -> bool,
) -> Vec<usize> {
    let numbered = candidates.iter().enumerate();
    numbered.filter(|(_, c)| test(c)).map(|(i, _)| i).collect()
}

/// Returns the best of two random candidates of each distance. Two drawn without regard to
/// distance would often miss the only near one.
fn pick(
    candidates: &[Candidate<'_>],
    allowed: &[usize],
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    let drawn = Distance::ALL.iter().flat_map(|distance| {
        let near = |i: &&usize| candidates[**i].replica.distance == *distance;
        let same_distance: Vec<_> = allowed.iter().filter(near).copied().collect();
        draw_two(&same_distance, &mut random)
    });
    let scored = drawn.map(|i| (candidates[i].score(), i));
    let best = scored.min_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(cmp::Ordering::Equal));
    best.map(|(_, i)| i)
}

/// Draws two different members of `indices` in random order, or all if it has fewer.
fn draw_two(indices: &[usize], mut random: impl FnMut() -> u64) -> Vec<usize> {
    let mut below = |n: usize| usize::try_from(random() % n as u64).unwrap_or(0);
    match indices.len() {
        0 | 1 => indices.to_vec(),
        len => {
            let first = below(len);
            let second = (first + 1 + below(len - 1)) % len;
            vec![indices[first], indices[second]]
        }
    }
}
