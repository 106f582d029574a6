//! HTTP/1.1 connections, heads and bodies, shared by the shells of the gate and the router.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) mod buffer_gauge;
pub(crate) mod buffer_pool;
pub(crate) mod connection;
pub(crate) mod framing;
pub(crate) mod header_slots;
pub(crate) mod hop_headers;
pub(crate) mod raw_head;
pub(crate) mod request_check;
pub(crate) mod response_check;
pub(crate) mod watchdog;

/// Locks a mutex; one that is poisoned by a panicking task is still usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
