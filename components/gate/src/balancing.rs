//! Load-balancing policies: which available backend server gets a request. Policies register
//! themselves as plug-ins and are selected by name.

use {
    crate::pool::Pool,
    kernel::{
        Failure,
        plugin::{self, Entry},
    },
    std::any::Any,
};

/// Plug-in kind of the load-balancing policies.
pub const KIND: &str = "choice";

/// A load-balancing policy.
pub trait Balancer: Send {
    /// Returns the pool index of one of `candidates`. The slice is not empty, and every candidate
    /// has a free slot.
    fn choose(&mut self, candidates: &[usize], pool: &Pool) -> usize;
}

/// Creates the policy with this name.
///
/// # Errors
///
/// `Invalid` if no policy has this name; the text lists the available names.
pub fn create(name: &str) -> Result<Box<dyn Balancer>, Failure> {
    plugin::make(KIND, name)
}

/// Selects a server uniformly at random.
struct Random(fastrand::Rng);

impl Balancer for Random {
    fn choose(&mut self, candidates: &[usize], _: &Pool) -> usize {
        candidates[self.0.usize(..candidates.len())]
    }
}

/// Selects the servers in turn.
struct RoundRobin(usize);

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &[usize], _: &Pool) -> usize {
        self.0 = self.0.wrapping_add(1);
        candidates[self.0 % candidates.len()]
    }
}

/// Selects the server with the fewest in-flight requests from this gate.
struct LeastRequests(fastrand::Rng);

impl Balancer for LeastRequests {
    fn choose(&mut self, candidates: &[usize], pool: &Pool) -> usize {
        let start = self.0.usize(..candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        let selected = rotated.min_by_key(|index| pool.server(**index).in_flight);
        selected.copied().unwrap_or(candidates[0])
    }
}

/// Draws two servers at random and selects the one with the lower product of latency and in-flight
/// requests. The cost is independent of the number of servers, and gates that do not share state do
/// not herd on the same server.
struct TwoChoices(fastrand::Rng);

/// Estimated cost of one more request on a server: mean latency times in-flight requests.
fn cost(pool: &Pool, index: usize) -> f64 {
    let server = pool.server(index);
    // A server without a latency sample counts as fast, so that it gets requests.
    server.latency.max(1e-6) * f64::from(server.in_flight + 1)
}

impl Balancer for TwoChoices {
    fn choose(&mut self, candidates: &[usize], pool: &Pool) -> usize {
        let first = candidates[self.0.usize(..candidates.len())];
        let second = candidates[self.0.usize(..candidates.len())];
        if cost(pool, second) < cost(pool, first) {
            second
        } else {
            first
        }
    }
}

fn rng() -> fastrand::Rng {
    fastrand::Rng::new()
}

fn boxed(policy: impl Balancer + 'static) -> Box<dyn Any> {
    Box::new(Box::new(policy) as Box<dyn Balancer>)
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "random",
        about: "Any server with a free slot.",
        make: || boxed(Random(rng())),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "round-robin",
        about: "The servers with free slots in turn.",
        make: || boxed(RoundRobin(0)),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "least",
        about: "The server with the fewest requests of this gate.",
        make: || boxed(LeastRequests(rng())),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "two-choices",
        about: "The better of two servers by latency and requests.",
        make: || boxed(TwoChoices(rng())),
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case("random"; "random")]
    #[test_case("round-robin"; "round robin")]
    #[test_case("least"; "least")]
    #[test_case("two-choices"; "two choices")]
    fn create_finds(name: &str) {
        assert!(create(name).is_ok());
    }
}
