//! A stand-in for a replica of a service.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// A request that a replica has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub service: String,
    pub replica: String,
    pub at: Instant,
}

/// All runs, in their order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a replica in trouble sends instead of a body.
#[derive(Clone, Copy, Debug)]
pub struct Endless {
    /// End of the head and begin of the body.
    pub first: &'static str,
    /// Repeated until the caller closes.
    pub repeated: &'static str,
}

struct Inner {
    id: String,
    service: String,
    work: Duration,
    runs: Runs,
    record: Record,
    in_trouble: AtomicBool,
    /// Until when the replica is cold, if it was at its start.
    cold_until: Mutex<Option<Instant>>,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    endless: Option<Endless>,
}

/// A replica. Clones share it.
#[derive(Clone)]
pub struct Replica {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Replica {
    /// Starts a replica on a free port.
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        endless: Option<Endless>,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(address, id, service, work, endless, runs, record)
    }

    /// Starts a replica at an address.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        service: &str,
        work: Duration,
        endless: Option<Endless>,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let replica = Self {
            address: listener.local_addr()?,
            inner: Arc::new(Inner {
                id: id.to_owned(),
                service: service.to_owned(),
                work,
                runs: Arc::clone(runs),
                record: record.clone(),
                in_trouble: AtomicBool::new(false),
                cold_until: Mutex::default(),
                ended: AtomicBool::new(false),
                connections: Mutex::default(),
                endless,
            }),
        };
        listener.set_nonblocking(true)?;
        let serving = replica.clone();
        thread::spawn(move || {
            while !serving.has_ended() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let replica = serving.clone();
                thread::spawn(move || drop(replica.serve(stream)));
            }
        });
        Ok(replica)
    }

    /// Ends the replica: its connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.inner.ended.store(true, Ordering::Relaxed);
        let connections = self
            .inner
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for connection in &*connections {
            drop(connection.shutdown(Shutdown::Both));
        }
    }

    pub fn has_ended(&self) -> bool {
        self.inner.ended.load(Ordering::Relaxed)
    }

    /// Begins or ends the trouble.
    pub fn set_trouble(&self, on: bool) {
        self.inner.in_trouble.store(on, Ordering::Relaxed);
    }

    /// The entry by which the replica registers itself.
    pub fn entry(&self, zone: &str) -> String {
        let Inner { service, .. } = &*self.inner;
        let address = self.address;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"ConfigVersion\":\"v1\",\"Slots\":4,\"State\":\"available\",\"WarmupLeftMs\":0,\"Sequence\":1}}"
        )
    }

    /// Makes the replica cold for `time`, which its health responses say.
    pub fn set_cold(&self, time: Duration) {
        let mut until = self
            .inner
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *until = Some(Instant::now() + time);
    }

    /// How much longer the replica is cold.
    fn cold_left(&self) -> Duration {
        let until = self
            .inner
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// The entry of a replica whose process started at the Unix millisecond `born` and that stays cold
    /// for `left`.
    pub fn cold_entry(&self, zone: &str, born: u128, left: Duration) -> String {
        let warmup = format!("\"WarmupLeftMs\":{}", left.as_millis());
        let entry = self.entry(zone).replace("\"WarmupLeftMs\":0", &warmup);
        entry.replacen('{', &format!("{{\"born\":{born},"), 1)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let Inner { id, service, .. } = &*self.inner;
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let connections = &self.inner.connections;
        connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            if self.has_ended() {
                break;
            }
            let target = request.header("target-instance");
            if target.is_some_and(|target| target != id) {
                let headers = [("Instance-Id", id.clone())];
                http::respond(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let instance = ("Instance-Id", id.clone());
            if request.word() == "/health" {
                let warmup = ("Warmup-Ms", self.cold_left().as_millis().to_string());
                http::respond(&mut writer, "200 OK", &[instance, warmup], b"")?;
                continue;
            }
            let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
            self.inner.record.line(format!(
                "run: {attempt} {} {} at {id} of {service}",
                request.method(),
                request.word()
            ));
            let run = Run {
                id: attempt.clone(),
                service: service.clone(),
                replica: id.clone(),
                at: Instant::now(),
            };
            self.inner
                .runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run);
            thread::sleep(self.inner.work);
            let trouble = self
                .inner
                .endless
                .filter(|_| self.inner.in_trouble.load(Ordering::Relaxed));
            if let Some(endless) = trouble {
                return self.send_without_end(&mut writer, &attempt, endless);
            }
            let headers = [
                ("Attempt-Id", attempt.clone()),
                ("Server-Seal", format!("seal-{attempt}-{id}")),
            ];
            http::respond(
                &mut writer,
                "200 OK",
                &headers,
                format!("{service} {id}").as_bytes(),
            )?;
        }
        Ok(())
    }

    fn send_without_end(
        &self,
        writer: &mut TcpStream,
        attempt: &str,
        endless: Endless,
    ) -> io::Result<()> {
        let id = &self.inner.id;
        let begin = Instant::now();
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal-{attempt}-{id}\r\n{}",
            endless.first
        );
        writer.write_all(head.as_bytes())?;
        let piece = endless
            .repeated
            .repeat((64 * 1024 / endless.repeated.len()).max(1));
        let mut sent = 0_u64;
        // A caller that closes ends this; the trouble's end does, too.
        while self.inner.in_trouble.load(Ordering::Relaxed) {
            if writer.write_all(piece.as_bytes()).is_err() {
                break;
            }
            sent += piece.len() as u64;
        }
        let closed = self.inner.in_trouble.load(Ordering::Relaxed);
        self.inner.record.line(format!(
            "bytes without end: {attempt} at {id}: {sent} bytes in {:.3} s, {}",
            begin.elapsed().as_secs_f64(),
            if closed {
                "until the caller closed"
            } else {
                "until the replica ended them; the caller had not closed"
            }
        ));
        Ok(())
    }
}
