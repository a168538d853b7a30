//! Tests of the modules of `history` together.

mod answer_time;
mod cancellation_visibility;
mod simulation;
