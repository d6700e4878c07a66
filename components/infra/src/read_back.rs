//! Compare-and-swap writes whose outcome, after a lost reply, is determined by reading the key back.

use {
    crate::store::{Store, Swap},
    displaydoc::Display,
    kernel::Failure,
};

/// The outcome of a write, as far as it could be determined. The doc comment of a variant is its
/// message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WriteOutcome {
    /// written as version {0}
    Written(u64),
    /// this attempt was not written: the key has version {0}
    Conflict(u64),
    /// outcome not known: the key has advanced to version {0}, whose value may show it
    Superseded(u64),
    /// not written, refused by the store: {0}
    NotRun(Failure),
    /// outcome not known: {0}
    Unknown(Failure),
}

/// Makes a compare-and-swap, and reads the key back when the reply was lost.
///
/// The bytes must be unique among all writes of the key, so writers include an id of their own. While
/// the key still has the expected version, a write whose reply was lost may still be applied, so the
/// outcome stays `Unknown`. The same write may then be retried, since only one of the two can take
/// effect.
pub fn swap(store: &dyn Store, key: &str, expected: u64, bytes: &[u8]) -> WriteOutcome {
    let failure = match store.swap(key, expected, bytes) {
        Ok(Swap::Written(version)) => return WriteOutcome::Written(version),
        Ok(Swap::Conflict(_)) => return read_back(store, key, expected, bytes, None),
        Err(failure) if failure.is_not_run() => return WriteOutcome::NotRun(failure),
        Err(failure) => failure,
    };
    read_back(store, key, expected, bytes, Some(failure))
}

/// Determines from the current value whether the write took effect. A conflict is read back as well,
/// since an earlier attempt of the same write may have been applied.
fn read_back(
    store: &dyn Store,
    key: &str,
    expected: u64,
    bytes: &[u8],
    failure: Option<Failure>,
) -> WriteOutcome {
    let found = match store.get(key) {
        Ok(found) => found,
        Err(e) => return WriteOutcome::Unknown(failure.unwrap_or(e)),
    };
    let (version, is_ours) = match &found {
        Some(value) => (value.version, *value.bytes == *bytes),
        None => (0, false),
    };
    if is_ours {
        return WriteOutcome::Written(version);
    }
    match failure {
        Some(failure) if version == expected => WriteOutcome::Unknown(failure),
        Some(_) => WriteOutcome::Superseded(version),
        None => WriteOutcome::Conflict(version),
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::store::Versioned,
        kernel::verdict::Cause,
        std::{sync::Mutex, time::Duration},
        test_case::test_case,
    };

    /// A store with one key whose next write fails as configured.
    struct Faulty {
        value: Mutex<Option<Versioned>>,
        effect: bool,
        error: Option<Failure>,
        unreachable: bool,
    }

    impl Store for Faulty {
        fn get(&self, _: &str) -> Result<Option<Versioned>, Failure> {
            if self.unreachable {
                return Err(Failure::not_run(Cause::Unreachable, "down"));
            }
            Ok(kernel::sync::lock(&self.value).clone())
        }

        fn swap(&self, _: &str, expected: u64, bytes: &[u8]) -> Result<Swap, Failure> {
            let mut value = kernel::sync::lock(&self.value);
            let present = value.as_ref().map_or(0, |v| v.version);
            if present != expected {
                return Ok(Swap::Conflict(present));
            }
            if self.effect {
                *value = Some(Versioned {
                    version: expected + 1,
                    bytes: bytes.into(),
                });
            }
            match &self.error {
                Some(error) => Err(error.clone()),
                None => Ok(Swap::Written(expected + 1)),
            }
        }

        fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Option<Versioned>, Failure> {
            Ok(None)
        }
    }

    fn lost() -> Failure {
        Failure::may_have_run(Cause::Timeout, "reply lost")
    }

    fn refused() -> Failure {
        Failure::not_run(Cause::Unreachable, "refused")
    }

    #[test_case(true, None, false, WriteOutcome::Written(1); "no fault")]
    #[test_case(true, Some(lost()), false, WriteOutcome::Written(1); "reply lost after the effect")]
    #[test_case(false, Some(lost()), false, WriteOutcome::Unknown(lost()); "request lost before the effect")]
    #[test_case(true, Some(lost()), true, WriteOutcome::Unknown(lost()); "reply lost, then store unreachable")]
    #[test_case(false, Some(refused()), false, WriteOutcome::NotRun(refused()); "refused")]
    fn swap_outcomes(
        effect: bool,
        error: Option<Failure>,
        unreachable: bool,
        expected: WriteOutcome,
    ) {
        let store = Faulty {
            value: Mutex::new(None),
            effect,
            error,
            unreachable,
        };
        assert_eq!(swap(&store, "k", 0, b"mine"), expected);
    }

    /// A store that applies a write, loses the reply, and at once applies another writer's write.
    struct Superseding;

    impl Store for Superseding {
        fn get(&self, _: &str) -> Result<Option<Versioned>, Failure> {
            Ok(Some(Versioned {
                version: 2,
                bytes: b"theirs".as_slice().into(),
            }))
        }

        fn swap(&self, _: &str, _: u64, _: &[u8]) -> Result<Swap, Failure> {
            Err(lost())
        }

        fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Option<Versioned>, Failure> {
            Ok(None)
        }
    }

    #[test]
    fn swap_superseded_after_lost_reply() {
        assert_eq!(
            swap(&Superseding, "k", 0, b"mine"),
            WriteOutcome::Superseded(2)
        );
    }

    #[test_case(b"mine", WriteOutcome::Written(1); "an earlier attempt of the same write")]
    #[test_case(b"theirs", WriteOutcome::Conflict(1); "another writer's write")]
    fn swap_conflict(present: &[u8], expected: WriteOutcome) {
        let value = Some(Versioned {
            version: 1,
            bytes: present.into(),
        });
        let store = Faulty {
            value: Mutex::new(value),
            effect: true,
            error: None,
            unreachable: false,
        };
        assert_eq!(swap(&store, "k", 0, b"mine"), expected);
    }
}
