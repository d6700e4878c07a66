//! Store stand-in with an injected fault: `cargo run -p magpie-standin-core --example store`.

use {
    infra::read_back,
    magpie_standin_core::{
        Store,
        clock::Clock,
        store::{Faults, Rates},
    },
};

fn main() {
    let store = Store::new(Rates::default(), Clock::real());
    store.set_faults(Faults {
        lost: 1,
        ..Faults::default()
    });
    println!("{}", read_back::swap(&store, "key", 0, b"mine"));
    println!("{:?}", store.counts());
}
