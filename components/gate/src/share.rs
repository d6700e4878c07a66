//! Division of each backend server's slots among the gates.
//!
//! Gates do not coordinate: each computes the same shares from the list of boxes, and the shares of
//! a server add up to its slots. While gates have different lists, the sum may differ for a short
//! time; a server with too many requests then refuses some, with the verdict "not run".

use members::owner;

/// Number of slots of a backend server.
pub const SLOTS_PER_SERVER: u32 = 8;

/// Returns the number of slots on `server` for the gate with index `rank` among `gates` gates.
///
/// The remainder of the division goes to different gates on each server, so that no gate gets less
/// everywhere. With more gates than slots, a gate has no slots on some servers. Its subset of
/// servers changes little when a gate is added or removed, because it depends only on the ranks.
pub fn slots(server: &str, rank: u32, gates: u32) -> u32 {
    if gates == 0 {
        return 0;
    }
    let offset = (owner::weight("slots", server) % u64::from(gates)) as u32;
    let has_remainder = (rank + offset) % gates < SLOTS_PER_SERVER % gates;
    SLOTS_PER_SERVER / gates + u32::from(has_remainder)
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(1; "one")]
    #[test_case(6; "six")]
    #[test_case(8; "as many as slots")]
    #[test_case(9; "nine")]
    #[test_case(160; "very many")]
    fn slots_add_up(gates: u32) {
        for server in ["a", "b", "c"] {
            let sum: u32 = (0..gates).map(|rank| slots(server, rank, gates)).sum();
            assert_eq!(sum, SLOTS_PER_SERVER);
        }
    }

    #[test]
    fn slots_spread_over_servers() {
        let of = |rank| {
            (0..200)
                .map(|n| slots(&format!("s{n}"), rank, 6))
                .sum::<u32>()
        };
        for rank in 0..6 {
            assert!((230..=305).contains(&of(rank)), "{}", of(rank));
        }
    }
}
