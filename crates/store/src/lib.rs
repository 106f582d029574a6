//! Client of the platform's object store: requests, replies and their HTTP encoding.

mod codec;
mod error;
mod exchange;
mod http_store;
mod object;
mod reply;
mod request;

pub use codec::{decode_request, encode_request, request_path};
pub use error::StoreError;
pub use exchange::{ExchangeError, exchange};
pub use http_store::{HttpStore, encode_reply};
pub use object::{Change, Host, HostState, Object, ObjectKey};
pub use reply::{ChangesBody, ObjectsBody, StoreReply, StoreResult};
pub use request::{Precondition, StoreRequest};
