//! The platform's metadata store: rows, conditional transactions and a feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote, unbase64};

/// What happens to one transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Normal,
    /// Not answered, and carried out after this many milliseconds if its condition still holds.
    Late(u64),
}

type RowKey = (String, String);
type Hook = Box<dyn FnMut(&Json) -> Fate + Send>;

pub struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changed row of each version; `None` for a removal.
    log: Vec<(u64, RowKey)>,
    version: u64,
    started: Instant,
    hook: Option<Hook>,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let rows = Arc::new(Mutex::new(Rows {
            rows: BTreeMap::new(),
            log: Vec::new(),
            version: 0,
            started: Instant::now(),
            hook: None,
        }));
        let shared = rows.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = serve(any, move |request| answer(&shared, &request)).expect("the store's address is free");
        Self { rows, address }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap()
    }

    /// Writes a row as the operator or a minion does; an empty value removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let encoded = value.map(|value| crate::json::base64(value.write().as_bytes()));
        self.lock().write(vec![((table.into(), key.into()), encoded)]);
    }

    pub fn set_hook<F>(&self, hook: F)
    where
        F: FnMut(&Json) -> Fate + Send + 'static,
    {
        self.lock().hook = Some(Box::new(hook));
    }

    /// Returns the bytes of a row.
    pub fn read(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.lock();
        rows.rows.get(&(table.into(), key.into())).map(|(value, _)| unbase64(value))
    }

    /// Returns the name of the machine that last wrote the leader row, and the version of the row.
    pub fn leader(&self) -> Option<String> {
        let bytes = self.read("seat", "holder")?;
        // The first field of the row is the name.
        if bytes.first() != Some(&0x0a) {
            return None;
        }
        let length = usize::from(*bytes.get(1)?);
        String::from_utf8(bytes.get(2..2 + length)?.to_vec()).ok()
    }
}

impl Rows {
    fn write(&mut self, changes: Vec<(RowKey, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match value {
                Some(value) => {
                    self.rows.insert(key.clone(), (value, self.version));
                }
                None => {
                    if self.rows.remove(&key).is_none() {
                        continue;
                    }
                }
            }
            self.log.push((self.version, key));
        }
    }

    fn row_text(&self, key: &RowKey, version: u64) -> String {
        let head = format!("\"table\":{},\"part\":\"\",\"key\":{}", quote(&key.0), quote(&key.1));
        match self.rows.get(key) {
            Some((value, version)) => format!("{{{head},\"value\":{},\"ver\":{version}}}", quote(value)),
            None => format!("{{{head},\"ver\":{version},\"tombstone\":true}}"),
        }
    }

    fn tail(&self) -> String {
        format!("\"ver\":{},\"now_ms\":{}", self.version, self.started.elapsed().as_millis())
    }

    fn transact(&mut self, call: &Json) -> (u16, String) {
        let key_of = |row: &Json| (row.get("table").str().to_string(), row.get("key").str().to_string());
        let expect = call.get("expect").list();
        let holds = expect.iter().all(|row| {
            let present = self.rows.get(&key_of(row)).map_or(0, |(_, version)| *version);
            present == row.get("ver").int()
        });
        if !holds {
            let present = expect.iter().map(key_of).filter(|key| self.rows.contains_key(key));
            let rows: Vec<String> = present.map(|key| self.row_text(&key, 0)).collect();
            return (412, format!("{{\"rows\":[{}],{}}}", rows.join(","), self.tail()));
        }
        let writes = call.get("writes").list().iter();
        let writes = writes.map(|row| (key_of(row), Some(row.get("value").str().to_string())));
        let removals = call.get("remove").list().iter().map(|row| (key_of(row), None));
        let changes = writes.chain(removals).collect();
        self.write(changes);
        (200, format!("{{{}}}", self.tail()))
    }
}

fn answer(shared: &Arc<Mutex<Rows>>, request: &Request) -> Reply {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/rows-tx") => {
            let Some(call) = Json::parse(&request.body) else { return Reply::Answer(400, "{}".into()) };
            // A transaction takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let mut rows = shared.lock().unwrap();
            let fate = rows.hook.as_mut().map_or(Fate::Normal, |hook| hook(&call));
            match fate {
                Fate::Normal => {
                    let (status, body) = rows.transact(&call);
                    Reply::Answer(status, body)
                }
                Fate::Late(delay_ms) => {
                    let shared = shared.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(delay_ms));
                        shared.lock().unwrap().transact(&call);
                    });
                    Reply::Silence
                }
            }
        }
        ("GET", "/rows-get") => {
            let rows = shared.lock().unwrap();
            let table = request.param("table").to_string();
            let limit = request.param("limit").parse().unwrap_or(500).min(500);
            let first = (table.clone(), request.param("from").to_string());
            let mut found = rows.rows.range(first..).take_while(|(key, _)| key.0 == table);
            let page: Vec<String> = found.by_ref().take(limit).map(|(key, _)| rows.row_text(key, 0)).collect();
            let has_more = found.next().is_some();
            Reply::Answer(200, format!("{{\"rows\":[{}],\"has_more\":{has_more},{}}}", page.join(","), rows.tail()))
        }
        ("GET", "/rows-feed") => {
            let table = request.param("table");
            let after: u64 = request.param("after").parse().unwrap_or(0);
            let wait_ms: u64 = request.param("wait_ms").parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            loop {
                let rows = shared.lock().unwrap();
                let mut latest: BTreeMap<&RowKey, u64> = BTreeMap::new();
                for (version, key) in rows.log.iter().rev() {
                    if *version <= after {
                        break;
                    }
                    if key.0 == table {
                        latest.entry(key).or_insert(*version);
                    }
                }
                if !latest.is_empty() || Instant::now() >= until {
                    let mut changed: Vec<(u64, &RowKey)> = latest.into_iter().map(|(key, version)| (version, key)).collect();
                    changed.sort();
                    let changed: Vec<String> = changed.into_iter().map(|(version, key)| rows.row_text(key, version)).collect();
                    return Reply::Answer(200, format!("{{\"rows\":[{}],{}}}", changed.join(","), rows.tail()));
                }
                drop(rows);
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        _ => Reply::Answer(404, "{}".into()),
    }
}
