//! The store is down, all hosts are killed, and clients take their streams up before the engines of one of two versions are
//! back in the store.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Request;
use crate::engine::{Behave, Engine};
use crate::http::Channel;
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::{Record, Setting};

const STREAMS: usize = 48;
const HOSTS: usize = 6;
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 120;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// How long a client waits for its stream.
const DEADLINE: Duration = Duration::from_secs(15);
/// Tries of a client to take its stream up, and the least time before each.
const TRIES: usize = 3;
const RETRY: Duration = Duration::from_millis(400);
/// Streams that may hold events of two versions.
const JOINED_MAX: usize = 2;

/// What a client has of a stream.
#[derive(Debug, Default)]
struct Stream {
    /// The attempt that brought its first event.
    first_id: String,
    last_event: u64,
    /// The versions whose events it holds, in order.
    versions: Vec<String>,
    is_whole: bool,
    statuses: Vec<u16>,
    /// `Retry-After` of the last refusal.
    retry_after: Duration,
}

impl Stream {
    /// Sends the request, or goes on after the last event; reads events until the channel ends.
    fn attempt(&mut self, address: SocketAddr, id: &str, deadline: Instant, record: &Record) {
        let result = self.read(address, id, deadline);
        record.line(&format!(
            "client: {id}: statuses {:?}, has event {}, versions {:?}, whole: {}, {}",
            self.statuses, self.last_event, self.versions, self.is_whole,
            result.map_or_else(|error| error.to_string(), |()| "read to the end".to_owned())
        ));
    }

    fn read(&mut self, address: SocketAddr, id: &str, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let mut headers = "X-Model: m\r\nX-Token-Usage: 628,840\r\nX-Prompt-Prefix: 5c1e07a2:60,91bd3f06:568\r\n".to_owned();
        if self.last_event > 0 {
            headers += &format!("Last-Event-Id: {}\r\nResumes: {}\r\n", self.last_event, self.first_id);
        }
        let request = Request { headers, ..Request::new(id, "POST", "/chat/2f", left.as_millis() as u64) };
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        let mut channel = Channel::new(stream);
        channel.stream.set_read_timeout(Some(left))?;
        channel.write(&request.text())?;
        let Some(mut head) = channel.head()? else { return Ok(()) };
        self.statuses.push(head.status());
        if head.status() != 200 {
            let seconds = head.header("retry-after").and_then(|text| text.parse().ok());
            self.retry_after = Duration::from_secs_f64(seconds.unwrap_or(0.0));
            return channel.body(&mut head);
        }
        let mut pending = String::new();
        loop {
            let chunk = channel.chunk()?;
            if chunk.is_empty() {
                self.is_whole = true;
                return Ok(());
            }
            pending += &String::from_utf8_lossy(&chunk);
            while let Some(end) = pending.find("\n\n") {
                let event: String = pending.drain(..end + 2).collect();
                self.add(&event, id);
            }
        }
    }

    fn add(&mut self, event: &str, id: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned));
        if self.last_event == 0 {
            self.first_id = id.to_owned();
        }
        self.last_event = field("id: ").and_then(|text| text.parse().ok()).unwrap_or(self.last_event);
        let version = field("data: ").unwrap_or_default();
        if self.versions.last() != Some(&version) {
            self.versions.push(version);
        }
    }
}

/// An engine of a version: each event names it.
fn behavior(version: &'static str) -> Arc<Behave> {
    Arc::new(move |engine, request, channel| {
        let head = format!("{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", engine.success(request));
        if channel.write(head.as_bytes()).is_err() {
            return;
        }
        let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for event in after + 1..=EVENTS {
            let event = format!("id: {event}\ndata: {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if channel.write(chunk.as_bytes()).is_err() {
                return;
            }
            thread::sleep(EVENT_GAP);
        }
        let _ = channel.write(b"0\r\n\r\n");
    })
}

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let routes = [Route { name: "chat", kind: "streaming", service: "asistente", timeout_ms: 15_000, target_ms: 1_000, gap_ms: 600, attempts: 2, resumes: true, priority: 0 }];
    store.put("op", "config", &document(7, &routes, &tenant("hule930", KEY)));
    let start = |version: &'static str| -> Vec<Engine> {
        let names = (0..9).map(|number| format!("i-{version}-{number}"));
        names.map(|name| Engine::start(&name, record, &arrivals, behavior(version))).collect()
    };
    let (old, new) = (start("v1"), start("v2"));
    let register = |engines: &[Engine], version: &str, sequence: u64| {
        for engine in engines {
            store.put("servers", &engine.name, &entry("asistente", engine.address, 7, "ready", version, sequence));
        }
    };
    register(&old, "v1", 1);
    register(&new, "v2", 1);
    let mut hosts: Vec<Host> = (1..=HOSTS).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_secs(6));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.routes).collect();
    let clients: Vec<_> = (0..STREAMS).map(|number| {
        let (addresses, record) = (addresses.clone(), record.clone());
        thread::spawn(move || {
            let deadline = Instant::now() + DEADLINE;
            let mut stream = Stream::default();
            stream.attempt(addresses[number % HOSTS], &format!("stream-{number}-0"), deadline, &record);
            // It is taken up on a new channel each time, at another host.
            for attempt in 1..=TRIES {
                if stream.is_whole {
                    break;
                }
                let left = deadline.saturating_duration_since(Instant::now());
                thread::sleep(stream.retry_after.min(left / 3).max(RETRY));
                stream.retry_after = Duration::ZERO;
                let address = addresses[(number + attempt) % HOSTS];
                stream.attempt(address, &format!("stream-{number}-{attempt}"), deadline, &record);
            }
            stream
        })
    }).collect();
    thread::sleep(Duration::from_millis(1_500));
    if setting.trouble {
        store.set_down(true);
        // Three intervals of 1,200 ms pass without a report.
        thread::sleep(Duration::from_millis(4_000));
        old.iter().chain(&new).for_each(|engine| store.remove("servers", &engine.name));
        thread::sleep(Duration::from_millis(700));
        hosts.iter_mut().for_each(|host| host.kill(record));
        thread::sleep(Duration::from_millis(300));
        store.set_down(false);
        let returned = Instant::now();
        let wait_until = |ms: u64| {
            thread::sleep((returned + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
        };
        wait_until(200);
        hosts[0].restart(&setting.folder, record);
        wait_until(650);
        let row = store.get("cypressvane", "versions").unwrap_or_default();
        record.line(&format!("store: the hosts' row of the services' versions is {row}"));
        register(&new, "v2", 2);
        wait_until(800);
        hosts[1..].iter_mut().for_each(|host| host.restart(&setting.folder, record));
        wait_until(1_900);
        register(&old, "v1", 2);
    }
    let streams: Vec<Stream> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let joined = streams.iter().filter(|stream| stream.versions.len() > 1).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    record.line(&format!("{joined} of {STREAMS} streams hold events of two versions; {JOINED_MAX} are allowed; {whole} are whole"));
    joined <= JOINED_MAX
}
