//! Record of what was sent, answered and run.

use std::{fs::File, io::Write as _, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Returns the time since the start in seconds.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now_s());
    }
}
