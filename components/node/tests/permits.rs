//! When a permit is granted, and that it is checked again when the order is sent.
//!
//! The tests set a clock that is shared by the whole process, so they run one after the other.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    cell::Poll,
    kernel::{clock, sync::lock},
    magpie_node::{
        permits::{Pass, Permits},
        settings::{MAX_CONFIRMATION_AGE, MAX_LEASE_CONFIRMATION_AGE, OWNER_LEASE},
        time,
    },
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    test_case::test_case,
};

const FENCE: u64 = 20;
/// Longer than the tests take between two readings of the clock.
const MARGIN: Duration = Duration::from_millis(700);
const POLL: Poll = Poll {
    deadline: 9_000,
    seen: 3,
    wait: 100,
};

static SERIAL: Mutex<()> = Mutex::new(());

/// Permits of an ownership that the store has just confirmed.
fn confirmed() -> (Permits, MutexGuard<'static, ()>) {
    let serial = lock(&SERIAL);
    let permits = Permits::default();
    permits.begin_tenure(FENCE, time::now());
    (permits, serial)
}

/// Returns whether an order to a worker and one to a service may be sent.
fn allowed(permits: &Permits) -> (bool, bool) {
    let worker = permits.for_worker(FENCE).is_some();
    (worker, permits.for_service(FENCE).is_some())
}

#[test]
fn max_confirmation_age_is_below_lease() {
    assert!(MAX_CONFIRMATION_AGE < OWNER_LEASE);
}

#[test_case(MAX_CONFIRMATION_AGE - MARGIN, true; "short freeze")]
#[test_case(MAX_CONFIRMATION_AGE + MARGIN, false; "long freeze")]
fn grant_after_freeze(length: Duration, is_allowed: bool) {
    let (permits, _serial) = confirmed();
    clock::simulate_suspension(length);
    assert_eq!(allowed(&permits), (is_allowed, is_allowed));
}

/// A permit that was granted before a freeze is of no use after it.
#[test]
fn fence_is_checked_when_read() {
    let (permits, _serial) = confirmed();
    let permit = permits.for_service(FENCE).unwrap();
    assert_eq!(permit.fence(), Ok(FENCE));
    assert!(Pass::Order(&permit).check().is_ok());
    clock::simulate_suspension(MAX_CONFIRMATION_AGE + MARGIN);
    assert!(permit.fence().unwrap_err().is_not_run());
    assert!(Pass::Order(&permit).check().is_err());
}

/// After a freeze, the next confirmation lets orders go on.
#[test]
fn grant_after_next_confirmation() {
    let (permits, _serial) = confirmed();
    let earlier = time::now();
    clock::simulate_suspension(MAX_CONFIRMATION_AGE + MARGIN);
    permits.confirm_by_store(FENCE, earlier);
    assert_eq!(allowed(&permits), (false, false));
    permits.confirm_by_store(FENCE, time::now());
    assert_eq!(allowed(&permits), (true, true));
}

/// Workers refuse the fence of a former owner; the machine service may not check it.
#[test]
fn workers_confirm_orders_to_workers_only() {
    let (permits, _serial) = confirmed();
    clock::simulate_suspension(MAX_CONFIRMATION_AGE + MARGIN);
    permits.confirm_by_workers(FENCE, time::now());
    assert_eq!(allowed(&permits), (true, false));
}

#[test]
fn grant_without_confirmation() {
    let _serial = lock(&SERIAL);
    let permits = Permits::default();
    assert_eq!(allowed(&permits), (false, false));
    permits.begin_tenure(FENCE, 0);
    assert_eq!(allowed(&permits), (false, false));
}

#[test]
fn suspend_refuses_until_lifted() {
    let (permits, _serial) = confirmed();
    let permit = permits.for_worker(FENCE).unwrap();
    permits.suspend(FENCE);
    permits.confirm_by_store(FENCE, time::now());
    assert!(permit.fence().is_err());
    permits.lift_suspension(FENCE);
    assert!(permit.fence().is_ok());
}

/// Permits of an ended ownership are not valid in the next one.
#[test_case(0; "no ownership")]
#[test_case(FENCE + 1; "next ownership")]
fn end_tenure_invalidates_permits(next: u64) {
    let (permits, _serial) = confirmed();
    let permit = permits.for_worker(FENCE).unwrap();
    permits.end_tenure();
    if next > 0 {
        permits.begin_tenure(next, time::now());
    }
    permits.confirm_by_store(FENCE, time::now());
    permits.lift_suspension(FENCE);
    assert!(permit.fence().is_err() && permits.for_worker(FENCE).is_none());
    assert!(permits.for_worker(0).is_none());
}

/// A poll is sent at any time, since it may confirm the ownership, but extends no lease then.
#[test]
fn restrict_after_freeze() {
    let (permits, _serial) = confirmed();
    let permit = permits.for_poll(FENCE);
    assert_eq!(permit.restrict(POLL), (FENCE, POLL));
    clock::simulate_suspension(MAX_LEASE_CONFIRMATION_AGE - MARGIN);
    assert_eq!(permit.restrict(POLL), (FENCE, POLL));
    clock::simulate_suspension(2 * MARGIN);
    let restricted = Poll {
        deadline: 0,
        ..POLL
    };
    assert_eq!(permit.restrict(POLL), (FENCE, restricted));
    assert!(Pass::Poll(&permit).check().is_ok());
}
