//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("cannot write the record");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
