//! The share of a backend server's slots that each gate may use.
//!
//! No gate asks another: from the list of boxes each computes the same shares, which add up to the
//! server's slots. While lists differ the sum may be off for a moment; the server then refuses,
//! and its refusal is "not run".

use members::owner;

/// The slots of a backend server.
pub const SLOTS_PER_SERVER: u32 = 8;

/// The share of the gate at place `rank` among `gates` gates.
///
/// What does not divide evenly goes to other gates at each server, so that no gate is short
/// everywhere. With more gates than slots, a gate has no share at some servers: its subset moves
/// little when a gate comes or goes, since it hangs on the ranks alone.
pub fn slots(server: &str, rank: u32, gates: u32) -> u32 {
    if gates == 0 {
        return 0;
    }
    let turn = (owner::weight("slots", server) % u64::from(gates)) as u32;
    let more = (rank + turn) % gates < SLOTS_PER_SERVER % gates;
    SLOTS_PER_SERVER / gates + u32::from(more)
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
