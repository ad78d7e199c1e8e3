//! A stand-in for a backend server: it answers as `behave` says, after the checks of every sound server.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, Message};
use crate::Record;

/// What a server has got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub id: String,
}

pub type Behave = dyn Fn(&Engine, &Message, &mut Channel) + Send + Sync;

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Record,
    stopped: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(name: &str, record: &Record, arrivals: &Arc<Mutex<Vec<Arrival>>>, behave: Arc<Behave>) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Engine {
            name: name.to_owned(),
            address: listener.local_addr().expect("an address"),
            arrivals: Arc::clone(arrivals),
            record: record.clone(),
            stopped: Arc::default(),
        };
        listener.set_nonblocking(true).expect("an option of the socket");
        let served = engine.clone();
        thread::spawn(move || {
            while !served.stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("an option of the socket");
                let (engine, behave) = (served.clone(), Arc::clone(&behave));
                thread::spawn(move || engine.serve(Channel::new(stream), &behave));
            }
        });
        engine
    }

    /// Ends the server: nothing listens at its address any more.
    pub fn stop(&self) {
        self.record.line(&format!("{}: stops", self.name));
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn serve(&self, mut channel: Channel, behave: &Arc<Behave>) {
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(60)));
        while let Ok(Some(request)) = channel.message() {
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            if request.path() == "/health" {
                let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.name);
                if channel.write(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if request.header("x-expected-instance").is_some_and(|name| name != self.name) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                if channel.write(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let arrival = Arrival { at: Instant::now(), server: self.name.clone(), id: id.clone() };
            self.arrivals.lock().expect("no panic").push(arrival);
            self.record.line(&format!("{}: runs {} {}", self.name, request.first, id));
            behave(self, &request, &mut channel);
        }
    }

    /// The head of a success, up to its last header.
    pub fn success(&self, request: &Message) -> String {
        let id = request.header("x-attempt-id").unwrap_or("");
        format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 3e1b.07.{id}\r\n")
    }

    /// A whole success with a body of a known length.
    pub fn answer(&self, request: &Message, body: &str, channel: &mut Channel) {
        let head = format!("{}Content-Length: {}\r\n\r\n", self.success(request), body.len());
        let _ = channel.write((head + body).as_bytes());
    }
}
