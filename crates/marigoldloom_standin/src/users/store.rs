//! An object store with lists and watches. An object has a kind and a name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::{Method, StatusCode, Url};
use marigoldloom_http::message::{Request, Response};
use marigoldloom_http::server::{self, Handler};
use serde_json::{Value, json};

/// Greatest number of objects in one list response unless [`Store::set_page_size`] sets another one;
/// the caller asks for further pages.
const PAGE_SIZE: usize = 50;

/// Time for which a call without a response holds its connection.
const SILENCE: Duration = Duration::from_secs(60);

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(2);

/// Time for which changes can be undone by [`Store::restore`].
const UNDO_TIME: Duration = Duration::from_secs(60);

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Serves them.
    #[default]
    Normal,
    /// Responds with status 503; watches that wait already go on.
    Unavailable,
    /// Closes the connection without a response, also for watches that wait already.
    Disconnect,
}

/// How calls for one kind of objects fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// They get this status.
    Status(StatusCode),
    /// Their responses can't be decoded.
    Malformed,
    /// They get no response.
    Silence,
}

/// The store. Clones share all state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

/// Which page of a list the store returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Paging {
    /// The one after the name that the caller gives.
    #[default]
    Normal,
    /// Always the first one, with the statement that there are more.
    Stalled,
}

/// Where the fields beside the objects stand in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Layout {
    /// Before the objects.
    #[default]
    FieldsFirst,
    /// After the objects.
    FieldsLast,
}

/// Kind and name of an object.
type Key = (String, String);

/// Who changes an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writer {
    /// The operators or a replica, who write again what the store has lost.
    Outside,
    /// An instance, by a call.
    Call,
}

/// A change that can be undone.
struct Undo {
    at: Instant,
    writer: Writer,
    key: Key,
    old: Option<Value>,
    revision: u64,
}

struct State {
    mode: Mode,
    layout: Layout,
    /// Kinds whose calls fail.
    faults: BTreeMap<String, Fault>,
    paging: Paging,
    page_size: usize,
    /// Number of times that the store has come back from an older copy, if it states that.
    era: Option<u64>,
    revision: u64,
    objects: BTreeMap<Key, Value>,
    /// Latest changes, the latest last.
    undos: Vec<Undo>,
    /// Objects that were written from outside since the store last came back from a copy.
    rewritten: BTreeSet<Key>,
    /// Maps an address to the one that readers get in its place.
    redirects: BTreeMap<String, String>,
    /// Bytes that stand in responses in place of a string, for content that `Value` can't hold.
    raw: BTreeMap<String, Vec<u8>>,
    events: Vec<Event>,
    /// A watch since an earlier revision than this gets status 410.
    compacted: u64,
    calls: u64,
    /// Number of reads of each kind, watches left out.
    reads: BTreeMap<String, u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            mode: Mode::default(),
            layout: Layout::default(),
            faults: BTreeMap::new(),
            paging: Paging::default(),
            page_size: PAGE_SIZE,
            era: None,
            revision: 0,
            objects: BTreeMap::new(),
            undos: Vec::new(),
            rewritten: BTreeSet::new(),
            redirects: BTreeMap::new(),
            raw: BTreeMap::new(),
            events: Vec::new(),
            compacted: 0,
            calls: 0,
            reads: BTreeMap::new(),
        }
    }
}

struct Event {
    revision: u64,
    kind: String,
    removed: bool,
    object: Value,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port can be bound.
    pub async fn serve(&self) -> std::io::Result<(server::Server, SocketAddr)> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = server::bind(address, server::Settings::default(), self.clone()).await?;
        let address = server.address();
        Ok((server, address))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, spec, Writer::Outside);
    }

    fn write(&self, kind: &str, name: &str, spec: Value, writer: Writer) {
        let mut state = self.state();
        state.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let old = state.objects.get(&key);
        let created = old.and_then(|old| old["meta"]["CreatedRev"].as_u64());
        let created = created.unwrap_or(state.revision);
        let status = old.map(|old| old["status"].clone()).unwrap_or_default();
        let object = json!({
            "meta": {"Name": name, "Revision": state.revision, "CreatedRev": created},
            "spec": spec,
            "status": status,
        });
        state.set(key, Some(object), writer);
    }

    /// Creates or replaces an object whose content is `bytes`, which needn't be valid JSON or UTF-8.
    pub fn put_raw(&self, kind: &str, name: &str, bytes: impl Into<Vec<u8>>) {
        let mark = format!("raw-{name}");
        self.state().raw.insert(mark.clone(), bytes.into());
        self.put(kind, name, Value::String(mark));
    }

    /// Creates or replaces an object that readers get as `bytes` in place of its metadata and content.
    pub fn put_raw_object(&self, kind: &str, name: &str, bytes: impl Into<Vec<u8>>) {
        let mark = format!("raw-object-{name}");
        let mut state = self.state();
        state.raw.insert(mark.clone(), bytes.into());
        state.revision += 1;
        let object = Value::String(mark);
        let key = (kind.to_owned(), name.to_owned());
        state.set(key, Some(object), Writer::Outside);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.contains_key(&key) {
            state.revision += 1;
            state.set(key, None, Writer::Outside);
        } else {
            // It may be one that the store has lost.
            state.rewritten.insert(key);
        }
    }

    /// States an era in all responses, which rises with each [`Store::restore`].
    pub fn set_era(&self, era: u64) {
        self.state().era = Some(era);
    }

    /// Comes back from a copy that is as old as `age`: later changes are undone, and their revisions are
    /// given out again. Returns the objects that were written from outside meanwhile, with their contents.
    pub fn restore(&self, age: Duration) -> Vec<Lost> {
        let mut state = self.state();
        let mut lost = BTreeMap::new();
        while let Some(undo) = state.undos.pop_if(|undo| undo.at.elapsed() <= age) {
            if undo.writer == Writer::Outside {
                let current = state.objects.get(&undo.key);
                let spec = current.map(|object| object["spec"].clone());
                lost.entry(undo.key.clone()).or_insert(spec);
            }
            match undo.old {
                Some(old) => state.objects.insert(undo.key, old),
                None => state.objects.remove(&undo.key),
            };
            state.revision = undo.revision;
        }
        let revision = state.revision;
        state.events.retain(|event| event.revision <= revision);
        state.compacted = state.compacted.min(revision);
        state.era = Some(state.era.unwrap_or_default() + 1);
        state.rewritten.clear();
        lost.into_iter()
            .map(|(key, spec)| Lost { key, spec })
            .collect()
    }

    /// Writes again what the store lost, unless it was written meanwhile.
    pub fn write_again(&self, lost: Vec<Lost>) {
        for Lost { key, spec } in lost {
            if self.state().rewritten.contains(&key) {
                continue;
            }
            let (kind, name) = &key;
            match spec {
                Some(spec) => self.put(kind, name, spec),
                None => self.remove(kind, name),
            }
        }
    }

    /// Gives readers the address `to` in place of `from`, so that what they send passes through a
    /// proxy.
    pub fn redirect(&self, from: SocketAddr, to: SocketAddr) {
        let mut state = self.state();
        state.redirects.insert(from.to_string(), to.to_string());
    }

    /// Sets how the store responds to calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Sets how calls for `kind` fail. Watches that wait already go on.
    pub fn set_fault(&self, kind: &str, fault: Option<Fault>) {
        let mut state = self.state();
        match fault {
            Some(fault) => state.faults.insert(kind.to_owned(), fault),
            None => state.faults.remove(kind),
        };
    }

    /// Sets the greatest number of objects in one list response.
    pub fn set_page_size(&self, size: usize) {
        self.state().page_size = size;
    }

    /// Sets where the fields beside the objects stand in responses.
    pub fn set_layout(&self, layout: Layout) {
        self.state().layout = layout;
    }

    /// Sets which page of a list the store returns.
    pub fn set_paging(&self, paging: Paging) {
        self.state().paging = paging;
    }

    /// Drops all events so far; a watch since an earlier revision then gets status 410.
    pub fn compact(&self) {
        let mut state = self.state();
        state.events.clear();
        state.compacted = state.revision;
    }

    /// Creates an object for a call; status 409 if it exists.
    fn create(&self, kind: &str, body: &Value) -> Response {
        let Some(name) = body["meta"]["Name"].as_str() else {
            return Response::new(StatusCode::BadRequest);
        };
        let key = (kind.to_owned(), name.to_owned());
        if self.state().objects.contains_key(&key) {
            return Response::new(StatusCode::Conflict);
        }
        self.write(kind, name, body["spec"].clone(), Writer::Call);
        Response::new(StatusCode::Created)
    }

    /// Replaces an object for a call; status 404 if it doesn't exist.
    fn replace(&self, kind: &str, name: &str, body: &Value) -> Response {
        if let Some(name) = name.strip_suffix("/status") {
            return self.replace_status(kind, name, body);
        }
        let key = (kind.to_owned(), name.to_owned());
        if !self.state().objects.contains_key(&key) {
            return Response::new(StatusCode::NotFound);
        }
        self.write(kind, name, body["spec"].clone(), Writer::Call);
        Response::new(StatusCode::Ok)
    }

    /// Replaces the status of an object for a call; status 404 if the object doesn't exist, 409 if
    /// the call names another revision than the object's.
    fn replace_status(&self, kind: &str, name: &str, body: &Value) -> Response {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.get(&key).cloned() else {
            return Response::new(StatusCode::NotFound);
        };
        let revision = &body["meta"]["Revision"];
        if !revision.is_null() && *revision != object["meta"]["Revision"] {
            return Response::new(StatusCode::Conflict);
        }
        if object["status"] != body["status"] {
            state.revision += 1;
            object["meta"]["Revision"] = json!(state.revision);
            object["status"] = body["status"].clone();
            state.set(key, Some(object), Writer::Call);
        }
        Response::new(StatusCode::Ok)
    }

    /// Returns the status of an object; null if it has none or doesn't exist.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let state = self.state();
        let status = state.objects.get(&key).map(|object| &object["status"]);
        status.cloned().unwrap_or_default()
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.objects.keys().filter(|(k, _)| k == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    /// Returns the number of HTTP calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the number of reads of `kind` so far, watches left out.
    pub fn reads(&self, kind: &str) -> u64 {
        self.state().reads.get(kind).copied().unwrap_or(0)
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Response {
        let end = Instant::now() + wait;
        loop {
            let answer = self.state().changes(kind, since, Instant::now() >= end);
            if let Some(answer) = answer {
                return answer;
            }
            task::sleep(WATCH_POLL).await;
        }
    }
}

/// An object that was written from outside and that the store lost.
pub struct Lost {
    key: Key,
    /// Its content; `None` if it was removed.
    spec: Option<Value>,
}

impl State {
    /// Sets or removes an object at the current revision, which is one more than that of the last change.
    fn set(&mut self, key: Key, object: Option<Value>, writer: Writer) {
        if writer == Writer::Outside {
            self.rewritten.insert(key.clone());
        }
        let old = match &object {
            Some(object) => self.objects.insert(key.clone(), object.clone()),
            None => self.objects.remove(&key),
        };
        let (removed, shown) = match object {
            Some(object) => (false, object),
            None => (true, old.clone().unwrap_or_default()),
        };
        self.events.push(Event {
            revision: self.revision,
            kind: key.0.clone(),
            removed,
            object: shown,
        });
        self.undos.retain(|undo| undo.at.elapsed() <= UNDO_TIME);
        self.undos.push(Undo {
            at: Instant::now(),
            writer,
            key,
            old,
            revision: self.revision - 1,
        });
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Response {
        let after = after.filter(|_| self.paging == Paging::Normal);
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let names = of_kind.filter(|((_, name), _)| after.is_none_or(|a| name.as_str() > a));
        let mut items: Vec<_> = names
            .map(|(_, object)| self.with_redirects(object))
            .collect();
        let more = items.len() > self.page_size || self.paging == Paging::Stalled;
        items.truncate(self.page_size);
        let fields = format!("\"HasMore\":{more},\"AsOf\":{}", self.revision);
        self.respond("items", &Value::Array(items), &fields)
    }

    /// Returns a response with `objects` in the array `array`, and the other `fields`.
    fn respond(&self, array: &str, objects: &Value, fields: &str) -> Response {
        let body = match self.layout {
            Layout::FieldsFirst => format!("{{{fields},\"{array}\":{objects}}}"),
            Layout::FieldsLast => format!("{{\"{array}\":{objects},{fields}}}"),
        };
        Response::new(StatusCode::Ok).with_body(self.with_raw(&body))
    }

    /// Returns a response with the raw bytes in place of the strings that stand for them.
    fn with_raw(&self, body: &str) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(body.len());
        let mut rest = body;
        while let Some(start) = rest.find("\"raw-") {
            let (before, mark) = rest.split_at(start);
            let end = mark[1..].find('"').map_or(mark.len(), |len| len + 2);
            let (mark, after) = mark.split_at(end);
            let raw = self.raw.get(mark.trim_matches('"'));
            bytes.extend_from_slice(before.as_bytes());
            bytes.extend_from_slice(raw.map_or(mark.as_bytes(), Vec::as_slice));
            rest = after;
        }
        bytes.extend_from_slice(rest.as_bytes());
        bytes
    }

    /// Returns an object as readers get it, with redirected addresses.
    fn with_redirects(&self, object: &Value) -> Value {
        let mut object = object.clone();
        let fields = object.get_mut("spec").and_then(Value::as_object_mut);
        for value in fields.into_iter().flat_map(|f| f.values_mut()) {
            let to = value.as_str().and_then(|from| self.redirects.get(from));
            if let Some(to) = to {
                *value = Value::String(to.clone());
            }
        }
        object
    }

    /// Returns the response to a watch; `None` if it must wait for changes. `due` tells that its
    /// wait time is over.
    fn changes(&self, kind: &str, since: u64, due: bool) -> Option<Response> {
        match self.mode {
            Mode::Disconnect => return Some(Response::hang_up()),
            _ if since < self.compacted || since > self.revision => {
                return Some(Response::new(StatusCode::Gone));
            }
            _ => {}
        }
        let new = |e: &&Event| e.kind == kind && e.revision > since;
        let events: Vec<_> = self
            .events
            .iter()
            .filter(new)
            .map(|e| json!({"Removed": e.removed, "Object": self.with_redirects(&e.object)}))
            .collect();
        (due || !events.is_empty()).then(|| {
            let fields = format!("\"AsOf\":{}", self.revision);
            self.respond("events", &Value::Array(events), &fields)
        })
    }
}

impl Handler for Store {
    async fn handle(&self, request: Request) -> Response {
        let response = self.respond(request).await;
        let era = self.state().era;
        match era {
            Some(era) if !response.is_hang_up() => {
                let stated = response.with_header("store-era", &era.to_string());
                stated.unwrap_or_else(|_| Response::hang_up())
            }
            _ => response,
        }
    }
}

impl Store {
    /// Returns the response to a call, without the era.
    async fn respond(&self, request: Request) -> Response {
        let url = request.head.url().clone();
        let mode = {
            let mut state = self.state();
            state.calls += 1;
            state.mode
        };
        let Some(path) = url.path().strip_prefix("/objects/") else {
            return Response::new(StatusCode::NotFound);
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if request.method() == Method::Get && number(&url, "Watch").is_none() {
            *self.state().reads.entry(kind.to_owned()).or_default() += 1;
        }
        let fault = self.state().faults.get(kind).copied();
        match fault.filter(|_| mode == Mode::Normal) {
            None => {}
            Some(Fault::Status(status)) => return Response::new(status),
            Some(Fault::Malformed) => {
                return Response::new(StatusCode::Ok).with_body("no list".as_bytes());
            }
            Some(Fault::Silence) => {
                task::sleep(SILENCE).await;
                return Response::hang_up();
            }
        }
        let body = || request.json::<Value>();
        match (mode, request.method(), number(&url, "Watch")) {
            (Mode::Unavailable, _, _) => Response::new(StatusCode::ServiceUnavailable),
            (Mode::Disconnect, _, _) => Response::hang_up(),
            (Mode::Normal, Method::Post, _) => match body() {
                Ok(body) => self.create(kind, &body),
                Err(_) => Response::new(StatusCode::BadRequest),
            },
            (Mode::Normal, Method::Put, _) => match body() {
                Ok(body) => self.replace(kind, name, &body),
                Err(_) => Response::new(StatusCode::BadRequest),
            },
            (Mode::Normal, _, Some(since)) => {
                let wait = Duration::from_millis(number(&url, "WaitMs").unwrap_or_default());
                self.watch(kind, since, wait).await
            }
            (Mode::Normal, _, None) => self.state().list(kind, text(&url, "after").as_deref()),
        }
    }
}

fn text(url: &Url, name: &str) -> Option<String> {
    let mut pairs = url.query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

fn number(url: &Url, name: &str) -> Option<u64> {
    text(url, name)?.parse().ok()
}
