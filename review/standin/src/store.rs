//! A stand-in for the platform's store: rows, transactions, pages and the feed, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request, serve, spawn};

/// Maximum size of a value in bytes (`row_bytes`).
const ROW_BYTES: usize = 65_536;
/// Maximum number of entries of a transaction, and maximum size of its body in bytes.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
/// Maximum length of a table, part or key in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Limits of a page.
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Time that an answer takes (`txn_ms`).
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time that an answer takes while the store is slow, 60 times as long.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(240);
/// Time for which changes can be followed (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);

/// How the store answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Answers 503 and does nothing.
    Busy,
    /// Takes 60 times as long for an answer.
    Slow,
}

struct Row {
    value: Option<String>,
    version: u64,
    changed_at: Instant,
}

/// Work to do once, when a table is read from its first row.
type ReadHook = (&'static str, Box<dyn FnOnce() + Send>);

struct State {
    read_hook: Option<ReadHook>,
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    mode: Mode,
    /// Transactions that were refused because a value was too large, with the largest value of each.
    oversized: Vec<(String, usize)>,
    started: Instant,
}

/// A running store; clones are the same store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            read_hook: None,
            rows: BTreeMap::new(),
            version: 0,
            mode: Mode::Up,
            oversized: Vec::new(),
            started: Instant::now(),
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let address = serve(move |request| answer(&shared, &request));
        Self { state, address }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
    }

    /// Starts `work` in a thread when a process next begins to read a whole table.
    pub fn on_table_read<F>(&self, table: &'static str, work: F)
    where
        F: FnOnce() + Send + 'static,
    {
        self.state.0.lock().unwrap().read_hook = Some((table, Box::new(work)));
    }

    /// Writes a row as the operator or a minion does; returns false while the store is down.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> bool {
        let text = encode(value.to_string().as_bytes());
        self.write(table, key, Some(text))
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Busy {
            return false;
        }
        state.version += 1;
        let row = Row {
            value,
            version: state.version,
            changed_at: Instant::now(),
        };
        state.rows.insert((table.into(), key.into()), row);
        self.state.1.notify_all();
        true
    }

    /// Returns how many transactions were refused for a too large value, and the last of these values.
    pub fn oversized(&self) -> (usize, Option<(String, usize)>) {
        let state = self.state.0.lock().unwrap();
        (state.oversized.len(), state.oversized.last().cloned())
    }
}

fn answer(state: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let mode = state.0.lock().unwrap().mode;
    run_read_hook(&state.0, request);
    std::thread::sleep(if mode == Mode::Slow {
        SLOW_ANSWER_TIME
    } else {
        ANSWER_TIME
    });
    if state.0.lock().unwrap().mode == Mode::Busy {
        return Some((503, String::new()));
    }
    let (status, body) = match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/rows-tx") => {
            let mut rows = state.0.lock().unwrap();
            let reply = transact(&mut rows, request);
            state.1.notify_all();
            reply
        }
        ("GET", "/rows-get") => read(&state.0.lock().unwrap(), request),
        ("GET", "/rows-feed") => follow(state, request),
        _ => (404, json!({})),
    };
    Some((status, body.to_string()))
}

fn run_read_hook(state: &Mutex<State>, request: &Request) {
    let mut state = state.lock().unwrap();
    let reads_table = |table: &str| {
        request.path == "/rows-get"
            && request.parameter("table") == table
            && request.parameter("from").is_empty()
            && request.parameter("limit") != "1"
    };
    if state
        .read_hook
        .as_ref()
        .is_some_and(|(table, _)| reads_table(table))
        && let Some((_, work)) = state.read_hook.take()
    {
        spawn(work);
    }
}

fn name(entry: &Value, field: &str) -> String {
    entry[field].as_str().unwrap_or_default().to_owned()
}

fn row_key(entry: &Value) -> (String, String) {
    (name(entry, "table"), name(entry, "key"))
}

fn row_json(key: &(String, String), row: &Row) -> Value {
    let mut text = json!({ "table": key.0, "part": "", "key": key.1, "ver": row.version });
    match &row.value {
        Some(value) => text["value"] = json!(value),
        None => text["tombstone"] = json!(true),
    }
    text
}

fn now_ms(state: &State) -> u64 {
    state.started.elapsed().as_millis() as u64
}

fn transact(state: &mut State, request: &Request) -> (u16, Value) {
    let body = request.json();
    let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
    let (expect, writes, remove) = (list("expect"), list("writes"), list("remove"));
    let entries = || expect.iter().chain(&writes).chain(&remove);
    let named = |entry: &Value| {
        ["table", "part", "key"]
            .iter()
            .all(|field| name(entry, field).len() <= MAX_NAME_BYTES)
    };
    if entries().count() > MAX_ENTRIES || request.body.len() > MAX_CALL_BYTES || !entries().all(named) {
        return (400, json!({ "error": "the transaction is too large" }));
    }
    for write in &writes {
        let size = decoded_length(&name(write, "value"));
        if size > ROW_BYTES {
            let key = row_key(write);
            state.oversized.push((format!("{}/{}", key.0, key.1), size));
            return (400, json!({ "error": "a value is longer than row_bytes" }));
        }
    }
    if writes
        .iter()
        .chain(&remove)
        .any(|entry| matches!(name(entry, "table").as_str(), "op" | "servers"))
    {
        return (403, json!({ "error": "the table is read-only" }));
    }
    let mut present = Vec::new();
    let mut holds = true;
    for condition in &expect {
        let key = row_key(condition);
        let found = state.rows.get(&key).filter(|row| row.value.is_some());
        holds &= found.map_or(0, |row| row.version) == condition["ver"].as_u64().unwrap_or(0);
        present.extend(found.map(|row| row_json(&key, row)));
    }
    let now = now_ms(state);
    if !holds {
        return (
            412,
            json!({ "rows": present, "ver": state.version, "now_ms": now }),
        );
    }
    state.version += 1;
    let version = state.version;
    for write in &writes {
        let row = Row {
            value: Some(name(write, "value")),
            version,
            changed_at: Instant::now(),
        };
        state.rows.insert(row_key(write), row);
    }
    for removal in &remove {
        let row = Row {
            value: None,
            version,
            changed_at: Instant::now(),
        };
        state.rows.insert(row_key(removal), row);
    }
    (200, json!({ "ver": version, "now_ms": now }))
}

fn read(state: &State, request: &Request) -> (u16, Value) {
    let (table, from, to) = (
        request.parameter("table"),
        request.parameter("from"),
        request.parameter("to"),
    );
    let limit: usize = request
        .parameter("limit")
        .parse()
        .unwrap_or(MAX_PAGE_ROWS)
        .min(MAX_PAGE_ROWS);
    let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
    let range = state.rows.range((table.clone(), from)..);
    for (key, row) in range.take_while(|(key, _)| key.0 == table) {
        if !to.is_empty() && key.1 >= to {
            break;
        }
        let Some(value) = &row.value else { continue };
        bytes += value.len();
        if rows.len() >= limit || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
            has_more = true;
            break;
        }
        rows.push(row_json(key, row));
    }
    (
        200,
        json!({ "rows": rows, "has_more": has_more, "ver": state.version, "now_ms": now_ms(state) }),
    )
}

fn follow(state: &(Mutex<State>, Condvar), request: &Request) -> (u16, Value) {
    let table = request.parameter("table");
    let after: u64 = request.parameter("after").parse().unwrap_or(0);
    let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut rows = state.0.lock().unwrap();
    loop {
        if rows.mode == Mode::Busy {
            return (503, json!({}));
        }
        let mut changed: Vec<_> = rows
            .rows
            .iter()
            .filter(|(key, row)| key.0 == table && row.version > after)
            .collect();
        if changed.iter().any(|(_, row)| row.changed_at.elapsed() > HISTORY) {
            return (410, json!({ "ver": rows.version }));
        }
        let now = Instant::now();
        if !changed.is_empty() || now >= deadline {
            changed.sort_by_key(|(_, row)| row.version);
            let changed: Vec<Value> = changed.into_iter().map(|(key, row)| row_json(key, row)).collect();
            return (
                200,
                json!({ "rows": changed, "ver": rows.version, "now_ms": now_ms(&rows) }),
            );
        }
        rows = state.1.wait_timeout(rows, deadline - now).unwrap().0;
    }
}

/// Returns the number of bytes that a base64 text encodes.
fn decoded_length(text: &str) -> usize {
    text.trim_end_matches('=').len() * 3 / 4
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * position) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
