//! What an upstream says of itself in its replies.

use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::message;

use super::Change;

/// Longest time for which one reply keeps requests away from an upstream.
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// What one process of an upstream has said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Notice {
    /// Whether it leaves. It doesn't change its mind: a reply without that word may be older.
    leaving: bool,
    /// Until when it wants no requests from this instance.
    paused: Option<Timestamp>,
}

impl Notice {
    /// Adds what a reply says.
    pub(super) fn update(&mut self, now: Timestamp, report: &message::Report) -> Option<Change> {
        let leaves = report.state == message::State::Draining && !self.leaving;
        let pause = Duration::from_millis(report.pause_ms).min(MAX_PAUSE);
        let until = now + pause;
        let paused = !pause.is_zero() && self.paused.is_none_or(|known| known < until);
        let was_paused = self.paused.is_some_and(|known| known > now);
        if paused {
            self.paused = Some(until);
        }
        match (leaves, paused) {
            (true, _) => {
                self.leaving = true;
                Some(Change::Leaving)
            }
            (false, true) if !was_paused => Some(Change::Paused { pause }),
            (false, true) => None,
            (false, false) if was_paused => None,
            (false, false) => self.paused.take().map(|_| Change::Resumed),
        }
    }

    /// Returns whether the upstream wants no requests at `now`.
    pub(super) fn is_unwilling(&self, now: Timestamp) -> bool {
        self.leaving || self.paused.is_some_and(|until| until > now)
    }

    /// Returns when the upstream takes requests again; `None` if it leaves or takes them now.
    pub(super) fn resumes_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.paused.filter(|until| *until > now && !self.leaving)
    }
}
