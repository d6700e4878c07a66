//! Prints how gates divide a backend server's slots: `cargo run -p magpie-gate-core --example shares`.

use magpie_gate_core::share;

fn main() {
    for gates in [6, 9, 20] {
        let shares: Vec<u32> = (0..gates)
            .map(|rank| share::slots("s001", rank, gates))
            .collect();
        println!("{gates} gates: {shares:?}");
    }
}
