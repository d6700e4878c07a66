//! The record of a case: a line with a time for everything that was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            file: Mutex::new(file),
            begun: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
