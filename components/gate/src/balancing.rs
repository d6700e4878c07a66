//! Policies that choose a backend server. They register themselves and are chosen by name.

use {
    crate::pool::Pool,
    kernel::{
        Failure,
        plugin::{self, Entry},
    },
    std::any::Any,
};

/// The kind under which these policies register.
pub const KIND: &str = "choice";

/// A policy.
pub trait Balancer: Send {
    /// The place of one of the candidates, each of which has room; there is index least one.
    fn choose(&mut self, candidates: &[usize], pool: &Pool) -> usize;
}

/// Makes the policy of this name.
///
/// # Errors
///
/// No policy has this name; the failure lists those that there are.
pub fn create(name: &str) -> Result<Box<dyn Balancer>, Failure> {
    plugin::make(KIND, name)
}

/// Any server, each with the same chance.
struct Random(fastrand::Rng);

impl Balancer for Random {
    fn choose(&mut self, candidates: &[usize], _: &Pool) -> usize {
        candidates[self.0.usize(..candidates.len())]
    }
}

/// The servers in turn.
struct RoundRobin(usize);

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &[usize], _: &Pool) -> usize {
        self.0 = self.0.wrapping_add(1);
        candidates[self.0 % candidates.len()]
    }
}

/// The server with the fewest requests of this gate.
struct LeastRequests(fastrand::Rng);

impl Balancer for LeastRequests {
    fn choose(&mut self, candidates: &[usize], pool: &Pool) -> usize {
        let start = self.0.usize(..candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        let least = rotated.min_by_key(|index| pool.server(**index).in_flight);
        least.copied().unwrap_or(candidates[0])
    }
}

/// Of two servers taken by chance, the one with the smaller latency times its requests: its cost
/// does not grow with the number of servers, and gates that do not talk do not herd.
struct TwoChoices(fastrand::Rng);

/// The cost of one more request on a server.
fn cost(pool: &Pool, index: usize) -> f64 {
    let server = pool.server(index);
    // A server without an answer yet counts as fast, so that it is tried.
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
        about: "Any server with room.",
        make: || boxed(Random(rng())),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "round-robin",
        about: "The servers with room in turn.",
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
