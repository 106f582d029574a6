//! Clock readings and pending deadlines.

mod boot_clock;
mod clock;
mod time_point;
mod timers;

pub use boot_clock::BootClock;
pub use clock::Clock;
pub use time_point::Time;
pub use timers::Timers;
