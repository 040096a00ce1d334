//! Choice between the replicas of a shard.
//!
//! Two random candidates of each distance are compared by a score of expected latency that
//! grows with the cube of the own queue, as in C3; own counts are used because reports lag.

use std::cmp;
use std::time::Duration;

use crate::topology::Proximity;
use crate::{health, topology};

/// Factor on the score of replicas in other failure domains of the region.
const REGION_FACTOR: f64 = 1.25;

/// Factor on the score of replicas in other regions, whose bytes cost several times more.
const REMOTE_FACTOR: f64 = 2.0;

/// Weight of the share of failures in the score: a replica that fails half of its requests
/// costs a retry on each of them, which takes several times its latency.
const FAILING_FACTOR: f64 = 8.0;

/// Requests in flight per slot, over all instances, up to which a warm replica takes more.
/// They include those on their way: at 20 ms one way and a service time of 20 ms a replica is
/// only busy with three in flight per slot. The score prefers the own failure domain and
/// short queues.
const QUEUE: u32 = 4;

/// One in so many choices tries a cold or ejected replica although a ready one exists.
/// Without any work it would never become ready.
const TRIAL_SHARE: u64 = 4;

/// Least latency used in scores, so that an unknown replica doesn't win every race.
const LATENCY_FLOOR: Duration = Duration::from_millis(1);

/// A replica that may take a subquery.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The replica.
    pub replica: &'a topology::Replica,
    /// Its health.
    pub view: health::View,
    /// Requests that the cold-start limits let it take now, if it is cold.
    pub cold: u32,
    /// Instances that send to the replica.
    pub sharers: u32,
    /// Whether its pace leaves no request at the moment.
    pub paced: bool,
}

impl Candidate<'_> {
    /// Requests of this instance that may run on the replica at a time.
    pub fn room(&self) -> u32 {
        // Less than one per slot would leave a slot idle while one instance gets a burst.
        let slots = self.replica.slots;
        let share = slots.saturating_mul(QUEUE) / self.sharers.max(1);
        let warm = share.max(slots);
        match self.view.standing {
            health::Standing::Absent => 0,
            health::Standing::Cold => self.cold,
            health::Standing::Ejected if self.view.cold => self.cold.min(1),
            // Only used while all replicas of a shard are ejected. One that answered a moment
            // ago is overloaded, not lost, and the shard would miss from most answers.
            health::Standing::Ejected if self.view.confirmed => warm,
            health::Standing::Probe if !self.view.waiting.is_zero() => self.view.in_flight + 1,
            health::Standing::Probe | health::Standing::Ejected => 1,
            // A restart that nobody noticed leaves a cold upstream.
            health::Standing::Ready if !self.view.confirmed => warm.min(self.replica.cold_slots),
            health::Standing::Ready => warm,
        }
    }

    fn takes(&self) -> bool {
        !self.paced && !self.view.shedding && self.view.in_flight < self.room()
    }

    fn ready(&self) -> bool {
        self.view.standing == health::Standing::Ready && self.takes()
    }

    fn trial(&self) -> bool {
        let standing = self.view.standing;
        matches!(standing, health::Standing::Cold | health::Standing::Probe) && self.takes()
    }

    fn last_resort(&self) -> bool {
        self.view.standing == health::Standing::Ejected && self.takes()
    }

    fn score(&self) -> f64 {
        // An answer that is owed for longer than the estimate shows a pause before any reply does.
        let latency = self.view.latency.max(self.view.waiting);
        let latency = latency.max(LATENCY_FLOOR).as_secs_f64();
        let slots = f64::from(self.replica.slots.max(1));
        let queue = 1.0 + f64::from(self.view.in_flight) / slots;
        // A false report changes the score by at most a factor of 2.
        let hint = 1.0 + self.view.reported;
        let distance = match self.replica.proximity {
            Proximity::Domain => 1.0,
            Proximity::Region => REGION_FACTOR,
            Proximity::Remote => REMOTE_FACTOR,
        };
        let failing = 1.0 + FAILING_FACTOR * self.view.failing;
        latency * queue.powi(3) * hint * distance * failing
    }
}

/// Chooses a candidate for a first attempt or a retry: the better of two random ready ones;
/// a cold or probing one now and then, or if none is ready; an ejected one if all are ejected.
pub fn choose(candidates: &[Candidate<'_>], mut random: impl FnMut() -> u64) -> Option<usize> {
    let trial = indices(candidates, Candidate::trial);
    let turn = !trial.is_empty() && random().is_multiple_of(TRIAL_SHARE);
    if turn {
        return pick(candidates, &trial, random);
    }
    choose_ready(candidates, &mut random)
        .or_else(|| pick(candidates, &trial, &mut random))
        .or_else(|| choose_ejected(candidates, random))
}

/// Chooses among ejected candidates if there are no others: a shard whose replicas are all
/// ejected would otherwise miss from every answer.
fn choose_ejected(candidates: &[Candidate<'_>], random: impl FnMut() -> u64) -> Option<usize> {
    let ejected = indices(candidates, Candidate::last_resort);
    match all_ejected(candidates) {
        true => pick(candidates, &ejected, random),
        false => None,
    }
}

/// Whether every candidate is ejected.
pub fn all_ejected(candidates: &[Candidate<'_>]) -> bool {
    let ejected = |c: &Candidate<'_>| {
        let standing = c.view.standing;
        matches!(
            standing,
            health::Standing::Ejected | health::Standing::Absent
        )
    };
    candidates.iter().all(ejected)
}

/// Chooses a ready candidate only, as hedges do.
pub fn choose_ready(candidates: &[Candidate<'_>], random: impl FnMut() -> u64) -> Option<usize> {
    let ready = indices(candidates, Candidate::ready);
    pick(candidates, &ready, random)
}

/// Chooses among the candidates of the nearest distance that are not all ejected; none if all are.
/// For candidates that are rarely asked: what is known of a remote one then says too little to
/// prefer it to a near one.
pub fn choose_nearest(
    candidates: &[Candidate<'_>],
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    Proximity::ALL.iter().find_map(|proximity| {
        let near = indices(candidates, |c| c.replica.proximity == *proximity);
        let tier: Vec<_> = near.iter().map(|i| candidates[*i]).collect();
        let chosen = choose(&tier, &mut random).filter(|_| !all_ejected(&tier));
        chosen.map(|i| near[i])
    })
}

fn indices<'a>(candidates: &[Candidate<'a>], test: impl Fn(&Candidate<'a>) -> bool) -> Vec<usize> {
    let numbered = candidates.iter().enumerate();
    numbered.filter(|(_, c)| test(c)).map(|(i, _)| i).collect()
}

/// The better of two random candidates of each distance. Drawn without regard to distance, the
/// two would often miss the only one that is near.
fn pick(
    candidates: &[Candidate<'_>],
    allowed: &[usize],
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    let drawn = Proximity::ALL.iter().flat_map(|proximity| {
        let near = |i: &&usize| candidates[**i].replica.proximity == *proximity;
        let tier: Vec<_> = allowed.iter().filter(near).copied().collect();
        two(&tier, &mut random)
    });
    let scored = drawn.map(|i| (candidates[i].score(), i));
    let best = scored.min_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(cmp::Ordering::Equal));
    best.map(|(_, i)| i)
}

/// Two random members of `tier` in random order, or as many as it has.
fn two(tier: &[usize], mut random: impl FnMut() -> u64) -> Vec<usize> {
    let mut below = |n: usize| usize::try_from(random() % n as u64).unwrap_or(0);
    match tier.len() {
        0 | 1 => tier.to_vec(),
        len => {
            let first = below(len);
            let second = (first + 1 + below(len - 1)) % len;
            vec![tier[first], tier[second]]
        }
    }
}
