//! Tests of the gate's decisions on virtual time.

mod attempts;
mod claims;
mod crashes;
mod limits;
mod owners;
mod support;
mod truth;
