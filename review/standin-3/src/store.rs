//! The platform's row store, as far as the programs use it.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, quote};

#[derive(Default)]
struct Rows {
    /// Value and version by table and key; no value for a removed row.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

#[derive(Default)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
}

/// One store that listens on an address.
pub struct Store {
    shared: Arc<Shared>,
    pub server: Server,
}

/// Time that a transaction takes.
const TXN_TIME: Duration = Duration::from_millis(4);
/// Most rows in an answer.
const PAGE_ROWS: usize = 500;

impl Store {
    pub fn start(ip: &str) -> Self {
        let shared = Arc::new(Shared::default());
        let state = shared.clone();
        let server = Server::start(ip, move |request| answer(&state, request));
        Self { shared, server }
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.shared.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(
            (table.into(), key.into()),
            (Some(base64(value.as_bytes())), version),
        );
        self.shared.changed.notify_all();
    }

    /// Removes a row as the platform does for a worker that has left.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.shared.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (None, version));
        self.shared.changed.notify_all();
    }
}

fn answer(shared: &Shared, request: &Request) -> Reply {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/rows-tx") => {
            std::thread::sleep(TXN_TIME);
            Some(transact(shared, &Json::parse(&request.body)?))
        }
        ("GET", "/rows-get") => Some(read(shared, request)),
        ("GET", "/rows-feed") => Some(feed(shared, request)),
        _ => Some((404, "{}".into())),
    }
}

fn row_json(key: &(String, String), value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".into(),
    };
    let (table, key) = (quote(&key.0), quote(&key.1));
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{version},{value}}}")
}

fn transact(shared: &Shared, transaction: &Json) -> (u16, String) {
    let mut state = shared.rows.lock().unwrap();
    let key_of = |entry: &Json| (entry.text("table"), entry.text("key"));
    let mut present = Vec::new();
    let mut holds = true;
    for expected in transaction.list("expect") {
        let key = key_of(expected);
        let found = state.rows.get(&key).filter(|(value, _)| value.is_some());
        holds &= found.map_or(0, |(_, version)| *version) == expected.number("ver").unwrap_or(0);
        present.extend(found.map(|(value, version)| row_json(&key, value.as_ref(), *version)));
    }
    if !holds {
        return (
            412,
            format!("{{\"rows\":[{}],\"ver\":{}}}", present.join(","), state.version),
        );
    }
    state.version += 1;
    let version = state.version;
    for write in transaction.list("writes") {
        state
            .rows
            .insert(key_of(write), (Some(write.text("value")), version));
    }
    for removal in transaction.list("remove") {
        state.rows.insert(key_of(removal), (None, version));
    }
    shared.changed.notify_all();
    (200, format!("{{\"ver\":{version}}}"))
}

fn read(shared: &Shared, request: &Request) -> (u16, String) {
    let state = shared.rows.lock().unwrap();
    let (table, from) = (request.query("table"), request.query("from"));
    let limit = request.query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
    let rows = state
        .rows
        .iter()
        .filter(|(key, (value, _))| key.0 == table && key.1 >= from && value.is_some());
    let rows: Vec<String> = rows
        .take(limit + 1)
        .map(|(key, (value, version))| row_json(key, value.as_ref(), *version))
        .collect();
    let has_more = rows.len() > limit;
    let page = rows[..rows.len().min(limit)].join(",");
    (
        200,
        format!(
            "{{\"rows\":[{page}],\"has_more\":{has_more},\"ver\":{}}}",
            state.version
        ),
    )
}

fn feed(shared: &Shared, request: &Request) -> (u16, String) {
    let table = request.query("table");
    let after: u64 = request.query("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
    let deadline = Instant::now() + wait;
    let mut state = shared.rows.lock().unwrap();
    loop {
        let changed = state
            .rows
            .iter()
            .filter(|(key, (_, version))| key.0 == table && *version > after);
        let mut changed: Vec<(u64, String)> = changed
            .map(|(key, (value, version))| (*version, row_json(key, value.as_ref(), *version)))
            .collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if !changed.is_empty() || left.is_zero() {
            changed.sort();
            let rows: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
            return (
                200,
                format!("{{\"rows\":[{}],\"ver\":{}}}", rows.join(","), state.version),
            );
        }
        state = shared.changed.wait_timeout(state, left).unwrap().0;
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(LETTERS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
