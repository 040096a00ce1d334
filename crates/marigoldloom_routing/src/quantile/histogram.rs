//! A histogram whose memory grows with the number of distinct latencies.

use std::cmp::Ordering;
use std::time::Duration;

/// Latencies below this number of microseconds have buckets of their own.
const LINEAR_LIMIT: u64 = 256;

/// Number of buckets for each further doubling of the latency.
const DOUBLING_BUCKETS: u64 = LINEAR_LIMIT / 2;

/// Maximum latency that is distinguished, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of samples by bucket. A bucket's width is at most 1/128 of its latencies.
#[derive(Debug, Default)]
pub(super) struct Histogram {
    /// Buckets with samples, in ascending order.
    buckets: Vec<Bucket>,
    count: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u16,
    count: u32,
}

impl Histogram {
    /// Adds a sample.
    pub(super) fn record(&mut self, latency: Duration) {
        let index = bucket_of(latency);
        self.count += 1;
        match self.buckets.binary_search_by_key(&index, |b| b.index) {
            Ok(at) => self.buckets[at].count = self.buckets[at].count.saturating_add(1),
            Err(at) => self.buckets.insert(at, Bucket { index, count: 1 }),
        }
    }

    /// Returns the number of samples.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// Removes all samples and frees their memory.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns the upper end of the bucket with the quantile of the samples of two histograms.
pub(super) fn quantile(a: &Histogram, b: &Histogram, quantile: f64) -> Duration {
    let rank = (quantile * (a.count + b.count) as f64).ceil().max(1.0) as u64;
    let (mut a, mut b) = (a.buckets.iter().peekable(), b.buckets.iter().peekable());
    let mut seen = 0;
    let mut last = 0;
    while seen < rank {
        let order = match (a.peek(), b.peek()) {
            (None, None) => break,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => a.index.cmp(&b.index),
        };
        let next = match order {
            Ordering::Less | Ordering::Equal => a.next(),
            Ordering::Greater => b.next(),
        };
        if let Some(bucket) = next {
            seen += u64::from(bucket.count);
            last = bucket.index;
        }
    }
    Duration::from_micros(upper_end(last))
}

/// Returns the bucket of a latency.
fn bucket_of(latency: Duration) -> u16 {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    let micros = micros.clamp(1, MAX_LATENCY_US);
    let index = match micros {
        0..LINEAR_LIMIT => micros,
        _ => {
            let shift = u64::from(micros.ilog2() - DOUBLING_BUCKETS.ilog2());
            shift * DOUBLING_BUCKETS + (micros >> shift)
        }
    };
    u16::try_from(index).unwrap_or(u16::MAX)
}

/// Returns the greatest latency of a bucket, in microseconds.
fn upper_end(index: u16) -> u64 {
    let index = u64::from(index);
    match index {
        0..LINEAR_LIMIT => index,
        _ => {
            let shift = index / DOUBLING_BUCKETS - 1;
            let lower = (index - shift * DOUBLING_BUCKETS) << shift;
            lower + (1 << shift) - 1
        }
    }
}
