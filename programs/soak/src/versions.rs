//! The versions of the configuration, and what the answers of a box tell of the one it follows.
//!
//! Version `n` adds the queue `n` and removes queue `n - KEPT`, so that each queue is there in `KEPT`
//! versions.

use {
    crate::history::Micros,
    serde_json::{Value, json},
};

/// In how many versions a queue is there.
pub const KEPT: u64 = 3;
/// The queue that is in all versions.
pub const ALWAYS: &str = "/q/";

/// The prefix of a queue.
pub fn prefix(queue: u64) -> String {
    format!("/v{queue}/")
}

/// The queues of a version besides the one that is always there.
fn queues(version: u64) -> impl Iterator<Item = u64> {
    (version + 1).saturating_sub(KEPT).max(1)..=version
}

/// A version as operators write it.
pub fn write(version: u64) -> Value {
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

/// The versions that were written, the first at 0.
#[derive(Debug, Clone, Default)]
pub struct Written {
    times: Vec<Micros>,
}

impl Written {
    /// Notes the next version, and returns it.
    pub fn add(&mut self, now: Micros) -> u64 {
        self.times.push(now);
        self.latest()
    }

    /// The latest version.
    pub fn latest(&self) -> u64 {
        self.times.len() as u64
    }

    /// The latest version that was written before.
    pub fn before(&self, time: Micros) -> u64 {
        self.times.iter().filter(|&&at| at < time).count() as u64
    }
}

/// What is known of the version that one life of a box follows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Followed {
    /// At least this one.
    pub floor: u64,
}

impl Followed {
    /// Takes an answer about a queue in. `floor` is the oldest version that the box may follow when it was
    /// asked, `latest` the newest that was written when it answered. Returns why it is wrong, if it is.
    pub fn take(
        &mut self,
        floor: u64,
        latest: u64,
        queue: u64,
        is_there: bool,
    ) -> Result<(), String> {
        let removed = queue + KEPT;
        let word = if is_there { "taken" } else { "refused" };
        let wrong = || {
            let own = self.floor;
            format!(
                "queue {queue} was {word} with version {floor} due, {latest} latest, {own} seen"
            )
        };
        let is_dropped = is_there && floor >= removed;
        let is_unknown = !is_there && floor >= queue && latest < removed;
        let is_foreign = is_there && latest < queue;
        if is_dropped || is_unknown || is_foreign {
            return Err(wrong());
        }
        if is_there {
            self.floor = self.floor.max(queue);
        } else if floor >= queue {
            self.floor = self.floor.max(removed);
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
    fn take_cases(floor: u64, latest: u64, queue: u64, is_there: bool, right: Result<u64, ()>) {
        let mut followed = Followed { floor };
        let taken = followed.take(floor, latest, queue, is_there);
        assert_eq!(taken.map(|()| followed.floor).map_err(|_| ()), right);
    }

    #[test]
    fn write_keeps_queues() {
        let queues = |version| write(version)["routes"].as_array().unwrap().len();
        assert_eq!(queues(1), 2);
        assert_eq!(queues(9), 1 + KEPT as usize);
    }
}
