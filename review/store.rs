//! Stand-in of the platform's store: lists, watches and conditional writes as PROTOCOL.md tells.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::json;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Objects in one page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: Vec<u8>,
    status: Vec<u8>,
}

impl Object {
    fn json(&self) -> Vec<u8> {
        let meta = format!(
            "{{\"meta\":{{\"Name\":\"{}\",\"Revision\":{},\"CreatedRev\":{},\"Finalizers\":[],\"DeleteRequested\":false}},\"spec\":",
            self.name, self.revision, self.created
        );
        [
            meta.as_bytes(),
            &self.spec,
            b",\"status\":",
            &self.status,
            b"}",
        ]
        .concat()
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(u64, String, bool, Object)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> (Self, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("the store's address");
        let address = listener.local_addr().expect("an address");
        let store = Self::default();
        store.state.0.lock().unwrap().revision = 500;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        (store, address)
    }

    /// Creates or replaces an object. Returns when the store has accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: impl AsRef<[u8]>) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        let status = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .map(|o| o.status.clone());
        state.set(
            kind,
            name,
            spec.as_ref().to_vec(),
            status.unwrap_or(b"null".to_vec()),
        );
        self.state.1.notify_all();
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.remove(kind, name);
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(None) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let bytes = response(status, "Content-Type: application/json\r\n", &body);
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/objects/") else {
            return ("404 Not Found", Vec::new());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .into_iter()
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| param(name).and_then(|v| v.parse::<u64>().ok());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), number("Watch")) {
            ("GET", Some(since)) => self.watch(
                kind,
                since,
                Duration::from_millis(number("WaitMs").unwrap_or(0)),
            ),
            ("GET", None) if name.is_empty() => self.list(kind, param("after").as_deref()),
            ("GET", None) => self.get(kind, name),
            ("POST", _) => self.create(kind, &body),
            ("PUT", _) => self.replace(kind, name, &body),
            ("DELETE", _) => {
                self.remove(kind, name);
                ("200 OK", b"{}".to_vec())
            }
            _ => ("405 Method Not Allowed", Vec::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", object.json()),
            None => ("404 Not Found", Vec::new()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (&'static str, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        let all = state
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && after.is_none_or(|a| n.as_str() > a));
        let items: Vec<_> = all.map(|(_, object)| object.json()).collect();
        let more = items.len() > PAGE;
        let items = items[..items.len().min(PAGE)].join(&b","[..]);
        let end = format!("],\"HasMore\":{more},\"AsOf\":{}}}", state.revision);
        (
            "200 OK",
            [b"{\"items\":[", &items[..], end.as_bytes()].concat(),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, Vec<u8>) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|(at, k, _, _)| *at > since && k == kind);
            let new: Vec<_> = new
                .map(|(_, _, removed, object)| {
                    let start = format!("{{\"Removed\":{removed},\"Object\":");
                    [start.as_bytes(), &object.json(), b"}"].concat()
                })
                .collect();
            let now = Instant::now();
            if !new.is_empty() || now >= end {
                let end = format!("],\"AsOf\":{}}}", state.revision);
                return (
                    "200 OK",
                    [b"{\"events\":[", &new.join(&b","[..])[..], end.as_bytes()].concat(),
                );
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (&'static str, Vec<u8>) {
        let meta = json::field(body, "meta").unwrap_or("{}");
        let name = json::field(meta, "Name")
            .map(json::text)
            .unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        if let Some(old) = state.objects.get(&(kind.to_owned(), name.clone())) {
            return ("409 Conflict", old.json());
        }
        let spec = json::field(body, "spec")
            .unwrap_or("null")
            .as_bytes()
            .to_vec();
        state.set(kind, &name, spec, b"null".to_vec());
        self.state.1.notify_all();
        (
            "201 Created",
            state.objects[&(kind.to_owned(), name)].json(),
        )
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (&'static str, Vec<u8>) {
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let meta = json::field(body, "meta").unwrap_or("{}");
        let condition = json::field(meta, "Revision").and_then(|r| r.parse::<u64>().ok());
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(old) = state.objects.get(&key).cloned() else {
            return ("404 Not Found", Vec::new());
        };
        if condition.is_some_and(|revision| revision != old.revision) {
            return ("409 Conflict", old.json());
        }
        let new = |field: &str| {
            json::field(body, field)
                .unwrap_or("null")
                .as_bytes()
                .to_vec()
        };
        let (spec, status) = match is_status {
            true => (old.spec.clone(), new("status")),
            false => (new("spec"), old.status.clone()),
        };
        if spec != old.spec || status != old.status {
            state.set(kind, name, spec, status);
            self.state.1.notify_all();
        }
        ("200 OK", state.objects[&key].json())
    }
}

impl State {
    fn set(&mut self, kind: &str, name: &str, spec: Vec<u8>, status: Vec<u8>) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            created,
            spec,
            status,
        };
        self.objects.insert(key, object.clone());
        self.events
            .push((self.revision, kind.to_owned(), false, object));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.events
                .push((self.revision, kind.to_owned(), true, object));
        }
    }
}
