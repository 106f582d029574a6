use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

use super::{FakeStore, read_request, start_raw_server};

/// An address of a store at which calls about one kind of object can be left unanswered.
#[derive(Clone)]
pub struct StoreFront {
    store: FakeStore,
    /// The kind of object whose calls are held.
    held: Arc<(Mutex<Option<&'static str>>, Condvar)>,
}

impl StoreFront {
    /// Opens another address of a store.
    pub fn start(store: &FakeStore) -> (StoreFront, SocketAddr) {
        let front = StoreFront { store: store.clone(), held: Arc::default() };
        let shared = front.clone();
        let address = start_raw_server(move |stream| shared.serve(&stream));
        (front, address)
    }

    /// Leaves calls about configurations unanswered, also those that wait already.
    pub fn hold(&self) {
        self.hold_kind("config");
    }

    /// Leaves calls about a kind of object unanswered, also those that wait already.
    pub fn hold_kind(&self, kind: &'static str) {
        self.set_held(Some(kind));
    }

    /// Answers held calls again. Answers that were held are dropped.
    pub fn release(&self) {
        self.set_held(None);
    }

    fn set_held(&self, kind: Option<&'static str>) {
        *self.held.0.lock().unwrap() = kind;
        self.held.1.notify_all();
    }

    /// Waits while a call is held; returns whether it was.
    fn wait_while_held(&self, request_line: &str) -> bool {
        let (held, changed) = &*self.held;
        let is_held = |kind: &mut Option<&str>| {
            kind.is_some_and(|kind| request_line.contains(&format!("/api/objects/{kind}")))
        };
        let mut held = held.lock().unwrap();
        let was_held = is_held(&mut held);
        drop(changed.wait_while(held, |kind| is_held(kind)).unwrap());
        was_held
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader) {
            self.wait_while_held(&request.request_line);
            let answer = self.store.answer(&request);
            if self.wait_while_held(&request.request_line) {
                return;
            }
            if (&mut &*stream).write_all(&answer).is_err() {
                return;
            }
        }
    }
}
