//! Stand-in of a replica, as PROTOCOL.md tells: slots, a short queue, a limit on connections,
//! `Target-Instance`, time limits, and requests that end with their connection.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::log::{Log, What};

/// Interval at which a replica checks whether the connection of a request has ended.
const POLL: Duration = Duration::from_millis(2);

/// Time from a crash until the replica is back.
const RESTART_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    pub queue: u32,
    pub connections: u32,
    /// Time of one run.
    pub work: Duration,
    /// Length of an answer's body.
    pub body: usize,
}

/// Disruptions, set by a case while it runs.
#[derive(Default)]
pub struct Faults {
    /// Factor on the time of a run, in percent; 0 stands for 100.
    pub slow: AtomicU32,
    /// Share of the answers that are sent a second time, in thousandths.
    pub repeated: AtomicU32,
    /// Share of the requests that run and fail, in thousandths.
    pub failing: AtomicU32,
    /// Until when the replica is cold, in milliseconds of its own clock.
    pub cold_until: AtomicU64,
    /// Whether requests whose path contains "crash" end the process.
    pub crashes: AtomicBool,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

struct Inner {
    settings: Settings,
    address: SocketAddr,
    log: Log,
    load: Mutex<Load>,
    freed: Condvar,
    open: AtomicU32,
    /// Connections of the current boot.
    streams: Mutex<Vec<TcpStream>>,
    boot: AtomicU32,
    random: AtomicU64,
    failure: &'static str,
    on_boot: Box<dyn Fn(&str, bool) + Send + Sync>,
}

#[derive(Clone)]
pub struct Replica {
    inner: Arc<Inner>,
    pub faults: Arc<Faults>,
}

/// Result of a request.
enum End {
    Answer(Vec<u8>, String),
    Closed,
    Crash,
}

impl Replica {
    /// Starts a replica. `failure` is the status of requests that fail; `on_boot` is told each id
    /// and whether it starts or has ended.
    pub fn start(
        settings: Settings,
        log: &Log,
        failure: &'static str,
        on_boot: impl Fn(&str, bool) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((settings.ip.as_str(), 0)).expect("a replica's address");
        let address = listener.local_addr().expect("an address");
        let seed = settings
            .name
            .bytes()
            .fold(0x9e37_79b9_7f4a_7c15_u64, |h, b| {
                (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
            });
        let inner = Inner {
            settings,
            address,
            log: log.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
            open: AtomicU32::new(0),
            streams: Mutex::default(),
            boot: AtomicU32::new(1),
            random: AtomicU64::new(seed | 1),
            failure,
            on_boot: Box::new(on_boot),
        };
        let replica = Self {
            inner: Arc::new(inner),
            faults: Arc::default(),
        };
        let own = replica.clone();
        thread::spawn(move || own.run(listener));
        replica
    }

    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    pub fn id(&self) -> String {
        format!(
            "{}-{}",
            self.inner.settings.name,
            self.inner.boot.load(Ordering::SeqCst)
        )
    }

    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    fn cut(&self) {
        for stream in self.inner.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn run(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            (self.inner.on_boot)(&self.id(), true);
            if let Some(listener) = listener.take() {
                self.accept(&listener);
            }
            // The listener is closed here, so that connections are refused.
            thread::sleep(RESTART_TIME);
            listener = TcpListener::bind(self.inner.address).ok();
            *self.inner.load.lock().unwrap() = Load::default();
        }
    }

    /// Accepts connections until the replica crashes.
    fn accept(&self, listener: &TcpListener) {
        let boot = self.inner.boot.load(Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        while self.inner.boot.load(Ordering::SeqCst) == boot {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if self.inner.open.load(Ordering::SeqCst) >= self.inner.settings.connections {
                        drop(stream);
                        continue;
                    }
                    if let Ok(copy) = stream.try_clone() {
                        self.inner.streams.lock().unwrap().push(copy);
                    }
                    self.inner.open.fetch_add(1, Ordering::SeqCst);
                    let own = self.clone();
                    thread::spawn(move || {
                        let _ = own.serve(Connection::new(stream), boot);
                        own.inner.open.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                Err(_) => thread::sleep(Duration::from_micros(500)),
            }
        }
    }

    fn crash(&self, boot: u32) {
        if self
            .inner
            .boot
            .compare_exchange(boot, boot + 1, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
        {
            let id = format!("{}-{boot}", self.inner.settings.name);
            self.inner.log.add(&id, "", What::Crashed);
            (self.inner.on_boot)(&id, false);
            // The listener must be closed before the connections end.
            thread::sleep(Duration::from_millis(2));
            self.cut();
        }
    }

    fn serve(&self, mut connection: Connection, boot: u32) -> io::Result<()> {
        let id = format!("{}-{boot}", self.inner.settings.name);
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = connection.read(None)? {
            if self.inner.boot.load(Ordering::SeqCst) != boot {
                return Ok(());
            }
            // The second copy of an answer comes where the next answer is expected.
            if let Some(copy) = late.take() {
                self.inner.log.add(
                    &id,
                    "",
                    What::Replied("a late second copy of the answer before".to_owned()),
                );
                connection.write(&copy)?;
            }
            if request.target() == "/health" {
                let load = self.load();
                let headers = format!(
                    "Instance-Id: {id}\r\nServer-Load: {load}\r\nWarmup-Ms: {}\r\n",
                    self.cold_left()
                );
                connection.write(&response("200 OK", &headers, b""))?;
                continue;
            }
            match self.answer(&request, &id, boot, &connection) {
                End::Answer(bytes, status) => {
                    let attempt = request.header("attempt-id").unwrap_or("");
                    let repeated = self.draw(self.faults.repeated.load(Ordering::SeqCst));
                    let text = if repeated {
                        format!("{status} (answer that is repeated)")
                    } else {
                        status
                    };
                    self.inner.log.add(&id, attempt, What::Replied(text));
                    connection.write(&bytes)?;
                    late = repeated.then_some(bytes);
                }
                End::Closed => return Ok(()),
                End::Crash => {
                    self.crash(boot);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Milliseconds for which the replica stays cold.
    pub fn cold_left(&self) -> u64 {
        let until = self.faults.cold_until.load(Ordering::SeqCst);
        until.saturating_sub(clock_ms())
    }

    fn load(&self) -> String {
        let load = self.inner.load.lock().unwrap();
        format!(
            "{},{},{}",
            load.running, load.waiting, self.inner.settings.slots
        )
    }

    /// Returns true with a probability of `share` thousandths.
    fn draw(&self, share: u32) -> bool {
        let next = |x: u64| {
            let x = x ^ (x << 13);
            let x = x ^ (x >> 7);
            x ^ (x << 17)
        };
        let old = self
            .inner
            .random
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |x| Some(next(x)));
        (next(old.unwrap_or(1)) >> 20) % 1_000 < u64::from(share)
    }

    fn refuse(&self, status: &str, attempt: &str) -> End {
        let headers = format!(
            "Attempt-Id: {attempt}\r\nNot-Executed: 1\r\nServer-Load: {}\r\n",
            self.load()
        );
        End::Answer(
            response(status, &headers, b""),
            format!("{status}, Not-Executed"),
        )
    }

    fn answer(&self, request: &Message, id: &str, boot: u32, connection: &Connection) -> End {
        let started = Instant::now();
        let settings = &self.inner.settings;
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        self.inner.log.add(id, &attempt, What::Arrived);
        if request
            .header("target-instance")
            .is_some_and(|target| target != id)
        {
            let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\n");
            return End::Answer(
                response("421 Misdirected Request", &headers, b""),
                "421".to_owned(),
            );
        }
        if attempt.is_empty() {
            return self.refuse("400 Bad Request", &attempt);
        }
        let limit = request
            .header("deadline-ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(60_000);
        let deadline = started + Duration::from_millis(limit);
        {
            let mut load = self.inner.load.lock().unwrap();
            if load.running >= settings.slots {
                if load.waiting >= settings.queue {
                    drop(load);
                    return self.refuse("503 Service Unavailable", &attempt);
                }
                load.waiting += 1;
                while load.running >= settings.slots {
                    load = self.inner.freed.wait_timeout(load, POLL).unwrap().0;
                    let gone =
                        connection.is_closed() || self.inner.boot.load(Ordering::SeqCst) != boot;
                    if gone || Instant::now() >= deadline {
                        load.waiting = load.waiting.saturating_sub(1);
                        drop(load);
                        return match gone {
                            true => End::Closed,
                            false => self.refuse("503 Service Unavailable", &attempt),
                        };
                    }
                }
                load.waiting = load.waiting.saturating_sub(1);
            }
            load.running += 1;
        }
        let end = self.work(request, id, &attempt, boot, deadline, connection);
        let mut load = self.inner.load.lock().unwrap();
        load.running = load.running.saturating_sub(1);
        drop(load);
        self.inner.freed.notify_one();
        end
    }

    fn work(
        &self,
        request: &Message,
        id: &str,
        attempt: &str,
        boot: u32,
        deadline: Instant,
        connection: &Connection,
    ) -> End {
        let settings = &self.inner.settings;
        self.inner.log.add(id, attempt, What::Began);
        let slow = match self.faults.slow.load(Ordering::SeqCst) {
            0 => 100,
            slow => slow,
        };
        let done = Instant::now() + settings.work * slow / 100;
        while Instant::now() < done {
            let now = Instant::now();
            if now >= deadline {
                break;
            }
            thread::sleep(POLL.min(done - now).min(deadline - now));
            if self.inner.boot.load(Ordering::SeqCst) != boot || connection.is_closed() {
                return End::Closed;
            }
        }
        if self.faults.crashes.load(Ordering::SeqCst) && request.target().contains("crash") {
            return End::Crash;
        }
        let (status, body) = match () {
            () if Instant::now() >= deadline => ("504 Gateway Timeout", Vec::new()),
            () if self.draw(self.faults.failing.load(Ordering::SeqCst)) => {
                (self.inner.failure, b"this shard can't answer it".to_vec())
            }
            () => ("200 OK", self.records()),
        };
        let code = status[..3].parse().unwrap_or(0);
        let seal = self.inner.log.seal(attempt, code, &settings.service, &body);
        let headers = format!(
            "Attempt-Id: {attempt}\r\nServer-Seal: {seal}\r\nServer-Load: {}\r\n",
            self.load()
        );
        End::Answer(
            response(status, &headers, &body),
            format!("{status} with seal {seal}"),
        )
    }

    /// Records of 16 bytes in no order.
    fn records(&self) -> Vec<u8> {
        let count = self.inner.settings.body / 16;
        let mut body = Vec::new();
        for _ in 0..count {
            let number = self
                .inner
                .random
                .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
            body.extend_from_slice(
                format!("{:016x}", number.wrapping_mul(0xbf58_476d_1ce4_e5b9)).as_bytes(),
            );
        }
        body
    }
}

/// Milliseconds of the time of day.
pub fn clock_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}
