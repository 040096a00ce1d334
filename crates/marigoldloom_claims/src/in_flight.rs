//! Requests that this instance is running or whose outcome isn't recorded yet.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::outcome::Response;
use crate::refusal::Refusal;
use crate::request;

/// Result of an attempt, as the caller gets it.
pub(crate) type Answer = Result<Response, Refusal>;

/// What is known on this instance about the key of a new attempt.
pub(crate) enum Registration {
    /// No other attempt with the key is in flight; the new one may write a claim.
    New,
    /// An earlier attempt is in flight; the receiver gets its answer.
    Running(async_channel::Receiver<Answer>),
    /// An earlier attempt has ended, or the key belongs to another request.
    Answered(Answer),
}

enum State {
    /// One attempt runs; the senders belong to the attempts that wait for its answer.
    Running(Vec<async_channel::Sender<Answer>>),
    Ended(Answer),
}

struct Entry {
    /// Hash of the request; tells it from another request with the same key.
    hash: u64,
    state: State,
}

/// In-flight requests by idempotency key.
#[derive(Default)]
pub(crate) struct InFlight {
    entries: Mutex<BTreeMap<request::Key, Entry>>,
}

impl InFlight {
    /// Registers an attempt to run `request`.
    ///
    /// After [`Registration::New`] the caller must call [`Self::finish`].
    pub(crate) fn register(&self, request: &request::Request) -> Registration {
        let mut entries = self.lock();
        match entries.get_mut(&request.key) {
            Some(entry) if entry.hash != request.hash => {
                Registration::Answered(Err(Refusal::KeyReused))
            }
            Some(entry) => entry.subscribe(),
            None => {
                let state = State::Running(Vec::new());
                let hash = request.hash;
                entries.insert(request.key.clone(), Entry { hash, state });
                Registration::New
            }
        }
    }

    /// Answers all attempts that wait for `key`.
    ///
    /// With `until_recorded` the answer is kept for later attempts until [`Self::remove`].
    pub(crate) fn finish(&self, key: &request::Key, answer: &Answer, until_recorded: bool) {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(key) else {
            return;
        };
        if let State::Running(waiting) = &entry.state {
            for tx in waiting {
                // The send fails only if the waiting attempt has given up.
                let _ = tx.try_send(answer.clone());
            }
        }
        entry.state = State::Ended(answer.clone());
        if !until_recorded {
            entries.remove(key);
        }
    }

    /// Removes an ended request. Called once the platform holds its outcome.
    pub(crate) fn remove(&self, key: &request::Key) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<request::Key, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn subscribe(&mut self) -> Registration {
        match &mut self.state {
            State::Ended(answer) => Registration::Answered(answer.clone()),
            State::Running(waiting) => {
                let (tx, rx) = async_channel::bounded(1);
                waiting.push(tx);
                Registration::Running(rx)
            }
        }
    }
}
