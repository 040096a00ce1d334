//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, quote};
use crate::record::Record;

/// Largest number of objects on a page of a list.
const PAGE: usize = 500;

/// An object of the store.
#[derive(Clone, Debug)]
struct Object {
    spec: Json,
    status: Json,
    revision: u64,
    created: u64,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    /// Revision, kind, and event of each change.
    history: Vec<(u64, String, String)>,
}

/// A copy of all that the store held at a moment.
pub struct Copy(State);

#[derive(Default)]
struct Control {
    state: State,
    era: u64,
    away: bool,
    /// What the operator and the replicas have written last, which they write again after a loss.
    outside: BTreeMap<(String, String), Json>,
}

struct Inner {
    control: Mutex<Control>,
    changed: Condvar,
    record: Record,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store(Arc<Inner>);

impl Store {
    /// Starts a store on a free port.
    pub fn start(record: Record) -> io::Result<(Self, SocketAddr)> {
        let control = Control {
            state: State {
                revision: 100,
                ..State::default()
            },
            era: 1,
            ..Control::default()
        };
        let store = Self(Arc::new(Inner {
            control: Mutex::new(control),
            changed: Condvar::new(),
            record,
        }));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok((store, address))
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.0
            .control
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The operator or a replica writes an object. Returns the revision of the change.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let spec = Json::parse(spec).unwrap_or_else(|| panic!("no JSON: {spec}"));
        let mut control = self.control();
        let key = (kind.to_owned(), name.to_owned());
        control.outside.insert(key, spec.clone());
        let revision = control.state.put(kind, name, Some(spec), None);
        drop(control);
        self.0.changed.notify_all();
        revision
    }

    pub fn revision(&self) -> u64 {
        self.control().state.revision
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let control = self.control();
        let keys = control.state.objects.keys().filter(|(k, _)| k == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    /// Copies all that the store holds.
    pub fn copy(&self) -> Copy {
        Copy(self.control().state.clone())
    }

    /// Closes all connections and accepts none until the store is back.
    pub fn set_away(&self, away: bool) {
        self.control().away = away;
        self.0.changed.notify_all();
    }

    /// Comes back from a copy. The operator and the replicas write again what they had written.
    pub fn come_back(&self, copy: Copy) {
        let mut control = self.control();
        let before = control.state.revision;
        control.state = copy.0;
        control.era += 1;
        let copied = control.state.revision;
        for ((kind, name), spec) in control.outside.clone() {
            control.state.put(&kind, &name, Some(spec), None);
        }
        control.away = false;
        self.0.record.line(format!(
            "store: back from a copy; revision {before} before, {copied} in the copy, {} once the \
             operator and the replicas have written again; Store-Era {}",
            control.state.revision, control.era
        ));
        drop(control);
        self.0.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        // A store that is away closes its connections, also those that are idle.
        let closing = stream.try_clone()?;
        let store = self.clone();
        let open = Arc::new(Mutex::new(true));
        let still_open = Arc::clone(&open);
        thread::spawn(move || {
            let mut control = store.control();
            while !control.away && *still_open.lock().unwrap_or_else(PoisonError::into_inner) {
                let wait = store
                    .0
                    .changed
                    .wait_timeout(control, Duration::from_millis(500));
                control = wait.unwrap_or_else(PoisonError::into_inner).0;
            }
            drop(closing.shutdown(std::net::Shutdown::Both));
        });
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.control().era;
            if self.control().away {
                break;
            }
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", era.to_string()),
            ];
            http::respond(&mut writer, status, &headers, body.as_bytes())?;
        }
        *open.lock().unwrap_or_else(PoisonError::into_inner) = false;
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .word()
            .split_once('?')
            .unwrap_or((request.word(), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(decode);
        let status = parts.next() == Some("status");
        let query: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode(value)))
            .collect();
        match (request.method(), name) {
            ("GET", None) if query.contains_key("Watch") => self.watch(&kind, &query),
            ("GET", None) => self.control().state.list(&kind, query.get("after")),
            ("GET", Some(name)) => {
                let control = self.control();
                let key = (kind, name);
                match control.state.objects.get(&key) {
                    Some(object) => ("200 OK", object.write(&key.1)),
                    None => ("404 Not Found", String::new()),
                }
            }
            (method, name) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let answer = self.write(method, &kind, name, status, &body, &query);
                self.0.record.line(format!(
                    "store: {} {} -> {}",
                    method,
                    request.word(),
                    answer.0
                ));
                answer
            }
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        status: bool,
        body: &str,
        query: &BTreeMap<String, String>,
    ) -> (&'static str, String) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let meta = body.get("meta");
        let stated = meta.and_then(|m| m.get("Name")).and_then(Json::text);
        let Some(name) = name.or_else(|| stated.map(str::to_owned)) else {
            return ("400 Bad Request", String::new());
        };
        let condition = meta.and_then(|m| m.get("Revision")).and_then(Json::number);
        let condition = condition.or_else(|| query.get("Revision")?.parse().ok());
        let mut control = self.control();
        let key = (kind.to_owned(), name.clone());
        let known = control.state.objects.get(&key).cloned();
        let differs = |known: &Object| condition.is_some_and(|c| c != known.revision);
        let part = |field: &str| body.get(field).cloned().unwrap_or(Json::Null);
        match (method, known) {
            ("POST", Some(known)) => return ("409 Conflict", known.write(&name)),
            (_, Some(known)) if differs(&known) => return ("409 Conflict", known.write(&name)),
            ("POST", None) => {
                control
                    .state
                    .put(kind, &name, Some(part("spec")), Some(part("status")));
            }
            (_, None) => return ("404 Not Found", String::new()),
            ("PUT", Some(_)) if status => {
                control.state.put(kind, &name, None, Some(part("status")));
            }
            ("PUT", Some(_)) => {
                control.state.put(kind, &name, Some(part("spec")), None);
            }
            (_, Some(_)) => control.state.remove(kind, &name),
        }
        let object = control.state.objects.get(&key).map(|o| o.write(&name));
        drop(control);
        self.0.changed.notify_all();
        ("200 OK", object.unwrap_or_default())
    }

    fn watch(&self, kind: &str, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let number = |key: &str| query.get(key).and_then(|v| v.parse::<u64>().ok());
        let since = number("Watch").unwrap_or(0);
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
        let end = Instant::now() + wait;
        let mut control = self.control();
        let era = control.era;
        if since > control.state.revision {
            return ("410 Gone", String::new());
        }
        loop {
            if control.away || control.era != era {
                return ("503 Service Unavailable", String::new());
            }
            let state = &control.state;
            let events = state
                .history
                .iter()
                .filter(|(r, k, _)| *r > since && k == kind);
            let events: Vec<_> = events.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"AsOf\":{}}}", state.revision);
                return ("200 OK", body);
            }
            let waited = self.0.changed.wait_timeout(control, left);
            control = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    /// Sets the given parts of an object. What changes nothing has no revision.
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        let object = Object {
            spec: spec
                .or_else(|| known.map(|k| k.spec.clone()))
                .unwrap_or(Json::Null),
            status: status
                .or_else(|| known.map(|k| k.status.clone()))
                .unwrap_or(Json::Null),
            revision: self.revision + 1,
            created: known.map_or(self.revision + 1, |k| k.created),
        };
        let same = |k: &Object| k.spec == object.spec && k.status == object.status;
        if known.is_some_and(same) {
            return self.revision;
        }
        self.revision += 1;
        let event = format!("{{\"Removed\":false,\"Object\":{}}}", object.write(name));
        self.history.push((self.revision, kind.to_owned(), event));
        self.objects.insert(key, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            let event = format!("{{\"Removed\":true,\"Object\":{}}}", object.write(name));
            self.history.push((self.revision, kind.to_owned(), event));
        }
    }

    fn list(&self, kind: &str, after: Option<&String>) -> (&'static str, String) {
        let objects = self.objects.iter().filter(|((k, _), _)| k == kind);
        let later = objects.filter(|((_, name), _)| after.is_none_or(|after| name > after));
        let later: Vec<_> = later.collect();
        let items = later.iter().take(PAGE).map(|((_, name), o)| o.write(name));
        let items: Vec<_> = items.collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":{},\"AsOf\":{}}}",
            items.join(","),
            later.len() > PAGE,
            self.revision
        );
        ("200 OK", body)
    }
}

impl Object {
    fn write(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"Name\":{},\"Revision\":{},\"CreatedRev\":{},\"Finalizers\":[],\
             \"DeleteRequested\":false}},\"spec\":{},\"status\":{}}}",
            quote(name),
            self.revision,
            self.created,
            self.spec.write(),
            self.status.write()
        )
    }
}

/// Decodes percent signs.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
