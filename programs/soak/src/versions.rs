//! Versions of the configuration, and what the responses of a box reveal about its version.
//!
//! Version `n` adds the queue `n` and removes the queue `n - KEPT`, so that each queue exists in
//! `KEPT` consecutive versions.

use {
    crate::history::Micros,
    serde_json::{Value, json},
};

/// Number of versions in which a queue exists.
pub const KEPT: u64 = 3;
/// The path prefix of the queue that all versions have.
pub const ALWAYS: &str = "/q/";

/// The path prefix of a queue.
pub fn prefix(queue: u64) -> String {
    format!("/v{queue}/")
}

/// The queues of a version besides the permanent one.
fn queues(version: u64) -> impl Iterator<Item = u64> {
    (version + 1).saturating_sub(KEPT).max(1)..=version
}

/// The configuration of a version as operators write it.
pub fn render(version: u64) -> Value {
    let route = |name: String, prefix: String| {
        json!({
            "name": name, "host": "h.example", "pathPrefix": prefix, "priority": 0,
            "service": "pool", "retryAttempts": 3, "stretch": 2.0, "targetLatencyMs": 100,
        })
    };
    let mut routes = vec![route("q".to_owned(), ALWAYS.to_owned())];
    for queue in queues(version) {
        routes.push(route(format!("v{queue}"), prefix(queue)));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "pool", "rejectsOverload": true }],
    })
}

/// The times at which versions were written; version 1 comes first.
#[derive(Debug, Clone, Default)]
pub struct VersionLog {
    times: Vec<Micros>,
}

impl VersionLog {
    /// Records the next version and returns its number.
    pub fn add(&mut self, now: Micros) -> u64 {
        self.times.push(now);
        self.latest()
    }

    /// The latest version.
    pub fn latest(&self) -> u64 {
        self.times.len() as u64
    }

    /// The latest version written before this time.
    pub fn latest_before(&self, time: Micros) -> u64 {
        self.times.iter().filter(|&&at| at < time).count() as u64
    }
}

/// The oldest version that one incarnation of a box may use, as its responses show.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObservedVersion {
    /// The oldest version that the box may use.
    pub min_version: u64,
}

impl ObservedVersion {
    /// Checks a response about a queue. `min_version` is the oldest version that the box may use at the
    /// time of the request, `latest` the newest version written by the time of the response.
    ///
    /// # Errors
    ///
    /// The response contradicts these versions.
    pub fn check_response(
        &mut self,
        min_version: u64,
        latest: u64,
        queue: u64,
        exists: bool,
    ) -> Result<(), String> {
        let removed = queue + KEPT;
        let verb = if exists { "taken" } else { "refused" };
        let message = || {
            let own = self.min_version;
            format!(
                "queue {queue} was {verb} while version {min_version} was required, {latest} the latest and {own} observed"
            )
        };
        let is_removed = exists && min_version >= removed;
        let is_unknown = !exists && min_version >= queue && latest < removed;
        let is_unwritten = exists && latest < queue;
        if is_removed || is_unknown || is_unwritten {
            return Err(message());
        }
        if exists {
            self.min_version = self.min_version.max(queue);
        } else if min_version >= queue {
            self.min_version = self.min_version.max(removed);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(5, 5, 5, true, Ok(5); "there")]
    #[test_case(5, 5, 5, false, Err(()); "refused though due")]
    #[test_case(4, 5, 5, false, Ok(4); "refused before it is due")]
    #[test_case(4, 5, 5, true, Ok(5); "there early")]
    #[test_case(5, 6, 2, true, Err(()); "taken though removed")]
    #[test_case(4, 6, 3, false, Ok(6); "removed early")]
    #[test_case(4, 5, 6, true, Err(()); "never written")]
    fn check_response_cases(
        min_version: u64,
        latest: u64,
        queue: u64,
        exists: bool,
        expected: Result<u64, ()>,
    ) {
        let mut observed = ObservedVersion { min_version };
        let result = observed.check_response(min_version, latest, queue, exists);
        assert_eq!(
            result.map(|()| observed.min_version).map_err(|_| ()),
            expected
        );
    }

    #[test]
    fn render_keeps_queues() {
        let queues = |version| render(version)["routes"].as_array().unwrap().len();
        assert_eq!(queues(1), 2);
        assert_eq!(queues(9), 1 + KEPT as usize);
    }
}
