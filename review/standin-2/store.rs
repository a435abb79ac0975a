//! A stand-in for the platform's metadata store: tables in one part, feeds of changes, transactions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{base64, percent_decode, read_message, Json, Message};

/// Most rows in one answer.
const PAGE_ROWS: usize = 500;

#[derive(Default)]
struct State {
    ver: u64,
    /// Base64 values by table and key, with the version of the last change; `None` once removed.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

/// A running store; clones share its content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts a store without rows.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("address of the store");
        let store = Self {
            address: listener.local_addr().expect("address of the store"),
            state: Arc::default(),
            started: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, text: &str) {
        self.change(&[(table, key, Some(base64(text.as_bytes())))]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(&[(table, key, None)]);
    }

    fn change(&self, changes: &[(&str, &str, Option<String>)]) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock of the store");
        state.ver += 1;
        let ver = state.ver;
        for (table, key, value) in changes {
            let row_key = ((*table).to_owned(), (*key).to_owned());
            if value.is_some() || state.rows.contains_key(&row_key) {
                state.rows.insert(row_key, (value.clone(), ver));
            }
        }
        changed.notify_all();
        ver
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        while let Some(call) = read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let target = call.start.get(1).map_or("", |target| target.as_str());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let field = fields.find(|(key, _)| *key == name);
            percent_decode(field.map_or("", |(_, value)| value))
        };
        match path {
            "/api/rows-get" => (200, self.rows(&field("table"), &field("from"))),
            "/api/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                (200, self.feed(&field("table"), after, Duration::from_millis(wait)))
            }
            "/api/rows-tx" => self.transaction(&String::from_utf8_lossy(&call.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[String], more: bool, ver: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!(
            r#"{{"rows":[{}],"has_more":{more},"ver":{ver},"now":"{now}ms"}}"#,
            rows.join(",")
        )
    }

    fn rows(&self, table: &str, from: &str) -> String {
        let state = self.state.0.lock().expect("lock of the store");
        let first = (table.to_owned(), from.to_owned());
        let rows = state.rows.range(first..).take_while(|((name, _), _)| name == table);
        let rows = rows.filter_map(|((_, key), (value, ver))| {
            let value = value.as_ref()?;
            Some(format!(
                r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
            ))
        });
        let mut rows: Vec<_> = rows.take(PAGE_ROWS + 1).collect();
        let more = rows.len() > PAGE_ROWS;
        rows.truncate(PAGE_ROWS);
        self.page(&rows, more, state.ver)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock of the store");
        loop {
            let rows = state.rows.iter();
            let rows = rows.filter(|((name, _), (_, ver))| name == table && *ver > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|(_, (_, ver))| *ver);
            let rows = rows.into_iter().map(|((_, key), (value, ver))| match value {
                Some(value) => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
                ),
                None => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","removed":true,"ver":{ver}}}"#
                ),
            });
            let rows: Vec<_> = rows.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.page(&rows, false, state.ver);
            }
            state = changed.wait_timeout(state, left).expect("lock of the store").0;
        }
    }

    fn transaction(&self, text: &str) -> (u16, String) {
        let Some(body) = Json::parse(text) else {
            return (400, "{}".to_owned());
        };
        {
            let state = self.state.0.lock().expect("lock of the store");
            for row in body.get("expect").items() {
                let key = (row.get("table").text().to_owned(), row.get("key").text().to_owned());
                let known = state.rows.get(&key).filter(|(value, _)| value.is_some());
                if known.map_or(0, |(_, ver)| *ver) != row.get("ver").number() as u64 {
                    return (412, self.page(&[], false, state.ver));
                }
            }
        }
        let puts = body.get("put").items().iter().map(|row| {
            let value = Some(row.get("value").text().to_owned());
            (row.get("table").text(), row.get("key").text(), value)
        });
        let removes = body.get("remove").items().iter();
        let removes = removes.map(|row| (row.get("table").text(), row.get("key").text(), None));
        let changes: Vec<_> = puts.chain(removes).collect();
        if changes.iter().any(|(table, _, _)| matches!(*table, "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        let ver = self.change(&changes);
        let now = self.started.elapsed().as_millis();
        (200, format!(r#"{{"ver":{ver},"now":"{now}ms"}}"#))
    }
}
