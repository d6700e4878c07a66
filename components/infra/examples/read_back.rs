//! Determines the outcome of a write whose reply was lost:
//! `cargo run -p magpie-infra --example read_back`.

use {
    kernel::{Failure, verdict::Cause},
    magpie_infra::{Store, Swap, Versioned, read_back},
    std::{sync::Mutex, time::Duration},
};

/// A store with one key that applies writes but loses all replies to them.
struct Lossy {
    value: Mutex<Option<Versioned>>,
}

impl Store for Lossy {
    fn get(&self, _: &str) -> Result<Option<Versioned>, Failure> {
        Ok(kernel::sync::lock(&self.value).clone())
    }

    fn swap(&self, _: &str, expected: u64, bytes: &[u8]) -> Result<Swap, Failure> {
        let value = Versioned {
            version: expected + 1,
            bytes: bytes.into(),
        };
        *kernel::sync::lock(&self.value) = Some(value);
        Err(Failure::may_have_run(Cause::Timeout, "the reply was lost"))
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Option<Versioned>, Failure> {
        Ok(None)
    }
}

fn main() {
    let store = Lossy {
        value: Mutex::new(None),
    };
    println!("{}", read_back::swap(&store, "key", 0, b"mine"));
}
