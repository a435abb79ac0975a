//! A stand-in for one run of a server: a process of its own, which prints what it gets and runs.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::wire::{now_ms, read_message, Message};

/// Requests that wait for a slot; more are refused.
const QUEUE: usize = 6;

/// Bytes of the answer to a download that are ready before the rest is computed.
const FIRST_PART_BYTES: usize = 20_000;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Server {
    id: String,
    slots: usize,
    /// Header line that names the limit; empty if there is none.
    limit: String,
    load: (Mutex<Load>, Condvar),
}

/// Runs a server until the process is ended: `ADDRESS ID SLOTS LIMIT`.
pub fn run(arguments: &[String]) {
    let address: SocketAddr = arguments[0].parse().expect("address");
    let listener = TcpListener::bind(address).expect("address of the server");
    let server = Arc::new(Server {
        id: arguments[1].clone(),
        slots: arguments[2].parse().expect("slots"),
        limit: match arguments[3].as_str() {
            "0" => String::new(),
            limit => format!("Server-Limit: {limit}\r\n"),
        },
        load: Default::default(),
    });
    println!("{} started", now_ms());
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        while let Some(request) = read_message(&mut reader) {
            if self.answer(&request, &mut stream).is_err() {
                return;
            }
        }
    }

    fn load_text(&self) -> String {
        let load = self.load.0.lock().expect("lock of the load");
        format!("{},{},{}", load.running, load.waiting, self.slots)
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let path = request.start.get(1).cloned().unwrap_or_default();
        if path == "/healthz" {
            let (id, load) = (&self.id, self.load_text());
            return stream.write_all(
                format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nServer-Load: {load}\r\n{}\
                     Content-Length: 0\r\n\r\n",
                    self.limit
                )
                .as_bytes(),
            );
        }
        let id = request.header("request-id");
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let own = &self.id;
            return stream.write_all(
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {own}\r\n\
                     Content-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            );
        }
        println!("{} arrive {id} {path}", now_ms());
        if !self.enter() {
            println!("{} refuse {id} {path}", now_ms());
            return stream.write_all(
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                     Server-Load: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.load_text(),
                    self.limit
                )
                .as_bytes(),
            );
        }
        println!("{} run {id} {path}", now_ms());
        let written = self.work(&path, id, stream);
        println!("{} end {id} {path}", now_ms());
        let mut load = self.load.0.lock().expect("lock of the load");
        load.running -= 1;
        self.load.1.notify_one();
        written
    }

    /// Takes a slot, and waits for one if there is room in the queue.
    fn enter(&self) -> bool {
        let mut load = self.load.0.lock().expect("lock of the load");
        if load.running >= self.slots {
            if load.waiting >= QUEUE {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.slots {
                load = self.load.1.wait(load).expect("lock of the load");
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    /// Runs a request. `work-N` in its path says for how many milliseconds, `streams` that the answer is
    /// sent in parts, and `ends-server` that the server does not survive it.
    fn work(&self, path: &str, id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        let work = path.split("work-").nth(1).unwrap_or("");
        let work = work.split(|letter: char| !letter.is_ascii_digit()).next().unwrap_or("");
        let work = Duration::from_millis(work.parse().unwrap_or(50));
        let ends_server = path.contains("ends-server");
        let seal = format!("{id}.{}", self.id);
        if path.contains("streams") {
            let part = "y".repeat(FIRST_PART_BYTES);
            let load = self.load_text();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {seal}\r\nServer-Load: {load}\r\n{}\
                 Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{part}\r\n",
                self.limit,
                part.len()
            )?;
            thread::sleep(work);
            if ends_server {
                self.end(id, path);
            }
            return write!(stream, "{:x}\r\n{part}\r\n0\r\n\r\n", part.len());
        }
        thread::sleep(work);
        if ends_server {
            self.end(id, path);
        }
        let load = self.load_text();
        let body = format!("done {path}");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {seal}\r\nServer-Load: {load}\r\n{}\
             Content-Length: {}\r\n\r\n{body}",
            self.limit,
            body.len()
        )
    }

    fn end(&self, id: &str, path: &str) {
        println!("{} crash {id} {path}", now_ms());
        std::process::exit(1);
    }
}
