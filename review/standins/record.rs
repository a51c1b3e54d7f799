//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Handle of the record's file. Every line begins with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = self.start.elapsed().as_millis();
        if let Err(err) = writeln!(file, "{at_ms:>6} {text}") {
            eprintln!("failed to write the record: {err}");
        }
    }
}
