use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

use super::{FakeStore, listen, read_request};

/// An address of a store at which calls about configurations can be left unanswered.
#[derive(Clone)]
pub struct StoreFront {
    store: FakeStore,
    is_held: Arc<(Mutex<bool>, Condvar)>,
}

impl StoreFront {
    /// Opens another address of a store.
    pub fn start(store: &FakeStore) -> (StoreFront, SocketAddr) {
        let front = StoreFront { store: store.clone(), is_held: Arc::default() };
        let shared = front.clone();
        let address = listen(move |stream| shared.serve(&stream));
        (front, address)
    }

    /// Leaves calls about configurations unanswered, also those that wait already.
    pub fn hold(&self) {
        self.set_held(true);
    }

    /// Answers calls about configurations again. Answers that were held are dropped.
    pub fn release(&self) {
        self.set_held(false);
    }

    fn set_held(&self, held: bool) {
        *self.is_held.0.lock().unwrap() = held;
        self.is_held.1.notify_all();
    }

    /// Waits while calls are held; returns whether they were.
    fn wait_while_held(&self) -> bool {
        let (is_held, changed) = &*self.is_held;
        let is_held = is_held.lock().unwrap();
        let was_held = *is_held;
        drop(changed.wait_while(is_held, |is_held| *is_held).unwrap());
        was_held
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader) {
            let can_be_held = request.request_line.contains("/api/objects/config");
            if can_be_held {
                self.wait_while_held();
            }
            let (status, body) = self.store.handle_request(&request);
            if can_be_held && self.wait_while_held() {
                return;
            }
            let body = body.to_string();
            let (era, length) = (self.store.era_header(), body.len());
            let head = format!("HTTP/1.1 {status} X\r\n{era}Content-Length: {length}\r\n\r\n");
            if (&mut &*stream).write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}
