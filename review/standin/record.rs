//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started_at.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} {text}");
    }
}
