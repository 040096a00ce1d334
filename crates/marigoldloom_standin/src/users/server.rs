//! How a replica of the users' services reacts, in good order and with faults.

use std::time::Duration;

use serde::Serialize;

use super::replica::{Reaction, Received};
use super::shard::{self, Signature};

/// Records in the part of a shard.
pub const RECORDS: u32 = 6;

/// Time after which a request that is never answered has surely been given up.
const NEVER: Duration = Duration::from_secs(600);

/// Factor on the time of a request on a slow replica.
const SLOWNESS: u32 = 8;

/// What a replica is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Whether its service is a shard.
    pub shard: bool,
}

/// How a replica behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// As it should.
    #[default]
    Sound,
    /// Its answers take several times as long.
    Slow,
    /// Requests run and fail.
    Failing,
    /// Requests are refused and don't run.
    Shedding,
    /// Its answers break off.
    Truncating,
    /// A second answer follows each one.
    Repeating,
    /// Requests run and are never answered.
    Mute,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It did not run.
    NotRun,
    /// It ran.
    Run,
}

/// The reaction to `request`, whose work takes `work`.
pub fn react(
    identity: &Identity,
    behaviour: Behaviour,
    work: Duration,
    request: &Received,
) -> (Fate, Reaction) {
    let answer = |status, headers: &str, body: &[u8]| {
        let reaction = Reaction::answer(request, status, headers, body);
        Reaction {
            pause: work,
            ..reaction
        }
    };
    let target = request.header("target-instance");
    match behaviour {
        _ if request.line().starts_with("GET /health ") => {
            let headers = format!("Instance-Id: {}\r\n", identity.id);
            (Fate::NotRun, answer("200 OK", &headers, b""))
        }
        _ if target.is_some_and(|id| id != identity.id) => {
            (Fate::NotRun, answer("421 Misdirected Request", "", b""))
        }
        Behaviour::Shedding => {
            let reaction = answer("503 Service Unavailable", "Not-Executed: 1\r\n", b"");
            (Fate::NotRun, reaction)
        }
        _ => (Fate::Run, run(identity, behaviour, answer, request)),
    }
}

fn run(
    identity: &Identity,
    behaviour: Behaviour,
    answer: impl Fn(&'static str, &str, &[u8]) -> Reaction,
    request: &Received,
) -> Reaction {
    let id = request.header("attempt-id").unwrap_or_default();
    let signature = Signature {
        service: identity.service.clone(),
        replica: identity.id.clone(),
        request: id.to_owned(),
    };
    let headers = format!("Server-Seal: {signature}\r\n");
    let body = body(identity, id);
    let sound = answer("200 OK", &headers, &body);
    match behaviour {
        Behaviour::Sound | Behaviour::Shedding => sound,
        Behaviour::Slow => Reaction {
            pause: sound.pause * SLOWNESS,
            ..sound
        },
        Behaviour::Failing => answer("500 Internal Server Error", &headers, b"failed"),
        Behaviour::Truncating => Reaction {
            bytes: sound.bytes[..sound.bytes.len() - body.len() / 2].to_vec(),
            close: true,
            ..sound
        },
        Behaviour::Repeating => Reaction {
            bytes: [&sound.bytes[..], &sound.bytes].concat(),
            ..sound
        },
        Behaviour::Mute => Reaction {
            pause: NEVER,
            ..sound
        },
    }
}

/// The body of the answer of a replica to the request `id`.
pub fn body(identity: &Identity, id: &str) -> Vec<u8> {
    match identity.shard {
        true => shard::records(&identity.service, id, RECORDS),
        false => format!("{} answers {id}", identity.service).into_bytes(),
    }
}
