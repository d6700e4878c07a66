//! Maintenance waves of the owner: what becomes of the orders to machines.

use {
    crate::core::Node,
    cell::{MaintenanceOrder, MaintenanceOutcome},
};

/// Passes the outcome of an order to the cell.
pub fn handle_outcome(
    node: &Node,
    fence: u64,
    order: MaintenanceOrder,
    outcome: MaintenanceOutcome,
) {
    match outcome {
        MaintenanceOutcome::Begun => {
            node.actor
                .tell(move |core, _| core.maintenance_begun(fence, &order));
        }
        MaintenanceOutcome::Refused => {
            node.actor
                .tell(move |core, _| core.maintenance_refused(fence, &order));
        }
        MaintenanceOutcome::Unknown => {}
    }
}
