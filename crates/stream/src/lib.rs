//! Delivery of large answers to readers of any speed, without I/O.
//!
//! Decides whether an answer is buffered whole or streamed, how far the router reads ahead of a slow
//! reader, and when a reader counts as stalled. All held bytes count against one budget.

mod answer_size;
mod byte_budget;
mod delivery_policy;
mod reader_pace;
mod reader_state;
mod send_queue;
mod transfer_watch;

pub use answer_size::AnswerSize;
pub use byte_budget::{BudgetShare, ByteBudget};
pub use delivery_policy::{Delivery, DeliveryPolicy};
pub use reader_pace::ReaderPace;
pub use reader_state::ReaderState;
pub use send_queue::SendQueue;
pub use transfer_watch::{Party, TransferWatch};
