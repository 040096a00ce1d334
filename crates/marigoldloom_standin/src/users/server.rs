//! Responses of a replica of the users' services, correct ones and faulty ones.

use std::time::Duration;

use serde::Serialize;

use super::replica::{ReceivedRequest, ScriptedResponse};
use super::shard::{self, Signature};

/// Number of records in a shard's part of an answer.
pub const RECORDS: u32 = 6;

/// Delay of a response that must not arrive: longer than any caller waits.
const UNANSWERED_DELAY: Duration = Duration::from_secs(600);

/// Factor by which a slow replica delays its responses.
const SLOW_FACTOR: u32 = 8;

/// Identity of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Instance id, by which requests may address it.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Whether its service is one shard of a merged answer.
    pub shard: bool,
}

/// How a replica behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Correct responses.
    #[default]
    Sound,
    /// Correct responses, delayed to a multiple of the work's time.
    Slow,
    /// Requests run and are answered with status 500.
    Failing,
    /// As [`Behaviour::Failing`]. The caller of [`respond`] uses it only under load.
    FailingUnderLoad,
    /// Requests don't run and are refused with status 503.
    Shedding,
    /// The connection closes in the middle of a response's body.
    Truncating,
    /// Each response is sent twice.
    Repeating,
    /// Requests run and get no response.
    Mute,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// The request did not run.
    NotRun,
    /// The request ran.
    Run,
}

/// Responses in which a replica echoes the id of the attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Echo {
    /// All of them.
    #[default]
    All,
    /// Only those to requests that didn't run.
    Refusals,
    /// Only those to requests that ran.
    Answers,
    /// None of them.
    None,
}

impl Echo {
    /// Omits the id from the response to a request with this status if it isn't echoed.
    pub fn apply(self, status: RunStatus, response: ScriptedResponse) -> ScriptedResponse {
        match (self, status) {
            (Self::All, _)
            | (Self::Refusals, RunStatus::NotRun)
            | (Self::Answers, RunStatus::Run) => response,
            _ => response.without_id(),
        }
    }
}

/// Returns whether `request` ran and the response to it. A request that isn't slowed down takes
/// `work`.
pub fn respond(
    identity: &Identity,
    behaviour: Behaviour,
    work: Duration,
    request: &ReceivedRequest,
) -> (RunStatus, ScriptedResponse) {
    let answer = |status, headers: &str, body: &[u8]| {
        let response = ScriptedResponse::answer(request, status, headers, body);
        ScriptedResponse {
            delay: work,
            ..response
        }
    };
    let target = request.header("target-instance");
    match behaviour {
        _ if request.line().starts_with("GET /health ") => {
            let headers = format!("Instance-Id: {}\r\n", identity.id);
            (RunStatus::NotRun, answer("200 OK", &headers, b""))
        }
        _ if target.is_some_and(|id| id != identity.id) => (
            RunStatus::NotRun,
            answer("421 Misdirected Request", "", b""),
        ),
        Behaviour::Shedding => {
            let response = answer("503 Service Unavailable", "Not-Executed: 1\r\n", b"");
            (RunStatus::NotRun, response)
        }
        _ => (RunStatus::Run, run(identity, behaviour, answer, request)),
    }
}

fn run(
    identity: &Identity,
    behaviour: Behaviour,
    answer: impl Fn(&'static str, &str, &[u8]) -> ScriptedResponse,
    request: &ReceivedRequest,
) -> ScriptedResponse {
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
        Behaviour::Slow => ScriptedResponse {
            delay: sound.delay * SLOW_FACTOR,
            ..sound
        },
        Behaviour::Failing | Behaviour::FailingUnderLoad => {
            answer("500 Internal Server Error", &headers, b"failed")
        }
        Behaviour::Truncating => ScriptedResponse {
            bytes: sound.bytes[..sound.bytes.len() - body.len() / 2].to_vec(),
            close: true,
            ..sound
        },
        Behaviour::Repeating => ScriptedResponse {
            bytes: [&sound.bytes[..], &sound.bytes].concat(),
            ..sound
        },
        Behaviour::Mute => ScriptedResponse {
            delay: UNANSWERED_DELAY,
            ..sound
        },
    }
}

/// Returns the body of the replica's answer to the request `id`.
pub fn body(identity: &Identity, id: &str) -> Vec<u8> {
    match identity.shard {
        true => shard::records(&identity.service, id, RECORDS),
        false => format!("{} answers {id}", identity.service).into_bytes(),
    }
}
