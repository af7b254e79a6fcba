//! Budget of the bytes that responses hold.

use bytes::Bytes;
use hickoryledge::shell::held_bytes::{HeldBytes, MAX_HELD_BYTES, Reservation};

const MIB: usize = 1 << 20;

/// Grows a reservation by doubling until it may not grow any more.
fn grow(reservation: &mut Reservation) -> usize {
    let sizes = (0..).map(|step| MIB << step);
    sizes
        .take_while(|size| reservation.resize(*size))
        .last()
        .unwrap_or(0)
}

#[test]
fn endless_responses_leave_bytes_to_others() {
    let budget = HeldBytes::default();
    let mut endless: Vec<Reservation> = (0..100).map(|_| budget.reserve(0)).collect();
    let sizes: Vec<usize> = endless.iter_mut().map(grow).collect();
    assert!(sizes[0] > sizes[3]);
    assert!(budget.counted() < MAX_HELD_BYTES);
    // None of them takes more than it leaves, so that a smaller response is always held.
    assert!(
        budget
            .reserve(0)
            .resize((MAX_HELD_BYTES - budget.counted()) / 2)
    );
}

#[test]
fn small_response_is_held_whatever_others_hold() {
    let budget = HeldBytes::default();
    let mut endless: Vec<Reservation> = (0..100).map(|_| budget.reserve(0)).collect();
    endless.iter_mut().for_each(|reservation| {
        grow(reservation);
    });
    let counted = budget.counted();
    assert!(budget.reserve(MIB).resize(MIB));
    assert_eq!(budget.counted(), counted);
}

#[test]
fn bytes_are_released_with_last_copy() {
    let budget = HeldBytes::default();
    let mut reservation = budget.reserve(0);
    assert!(reservation.resize(4));
    let bytes = reservation.bind(Bytes::from_static(b"four"));
    let copy = bytes.slice(1..);
    drop(bytes);
    assert_eq!((budget.counted(), &copy[..]), (4, b"our".as_slice()));
    drop(copy);
    assert_eq!(budget.counted(), 0);
}

#[test]
fn reservation_that_may_not_grow_keeps_its_size() {
    let budget = HeldBytes::default();
    let mut reservation = budget.reserve(0);
    assert!(reservation.resize(MIB));
    assert!(!reservation.resize(MAX_HELD_BYTES));
    assert_eq!(budget.counted(), MIB);
    assert!(reservation.resize(0));
    assert_eq!(budget.counted(), 0);
}
