//! Numbers of the runs of consensus. A daemon whose disk is opened again takes part in consensus as after
//! a restart, while its process goes on: what the process has sent may still be carried out. The
//! number of a run therefore tells whether two runs are of one process.

/// The part of a number that tells apart the runs of one process.
const OPENING: u64 = 0xffff;

/// Number of the run that starts as the process `boot` opens its disk for the `opening`th time.
pub(crate) fn number(boot: u64, opening: u64) -> u64 {
    boot & !OPENING | opening & OPENING
}

/// Whether two runs of a daemon are of one process.
pub(crate) fn share_process(run: u64, other: u64) -> bool {
    run & !OPENING == other & !OPENING
}
