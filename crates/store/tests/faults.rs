//! Disks that refuse changes, processes that are killed, and losses of power.

mod memory;

use {
    memory::{Fault, Memory},
    model::Index,
    quorum::{Entry, PersistentState, Record, Snapshot},
    store::{Medium, Store},
};

fn open(memory: &Memory) -> store::Result<(Store<Memory>, PersistentState)> {
    Store::open_medium(memory.clone(), &"a".into(), 7)
}

fn restored(memory: &Memory) -> PersistentState {
    open(memory).expect("the folder opens").1
}

/// Index of the last entry.
fn last_index(state: &PersistentState) -> Index {
    state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + state.entries.len() as Index
}

fn entry(first: u64) -> Record {
    let entry = Entry { term: 1, command: first.to_string().into(), members: None };
    Record::Entries { first, entries: vec![entry] }
}

fn snapshot(index: u64) -> Record {
    let members = quorum::Members::default();
    let snapshot = Snapshot { index, term: 1, members, state: vec![0; 100] };
    Record::Snapshot { snapshot, entries: Vec::new() }
}

fn write(store: &mut Store<Memory>, record: Record) -> store::Result {
    store.append(record);
    store.sync()
}

/// A folder with one entry, open.
fn folder() -> (Memory, Store<Memory>) {
    let memory = Memory::default();
    let (mut store, _) = open(&memory).expect("the folder opens");
    write(&mut store, entry(1)).expect("the disk has room");
    (memory, store)
}

/// Guards against a failed write that keeps later ones out for good, or costs an acknowledged one.
#[test]
fn a_disk_that_was_full_takes_records_again() {
    for fault in Fault::ALL {
        for record in [entry, snapshot] {
            let (memory, mut store) = folder();
            let mut acknowledged = 1;
            for index in 2..20 {
                memory.set_fault(fault);
                // The daemon tries again and again.
                for _ in 0..4 {
                    if write(&mut store, record(index)).is_ok() {
                        acknowledged = index;
                    }
                    drop(store);
                    memory.set_fault(Fault::None);
                    store = open(&memory).expect("the disk has room").0;
                    memory.set_fault(fault);
                    open(&memory).ok();
                }
                drop(store);
                memory.set_fault(Fault::None);
                let (again, state) = open(&memory).expect("the disk has room");
                store = again;
                assert!(last_index(&state) >= acknowledged, "{fault:?}: {acknowledged} is lost");
                write(&mut store, record(index)).expect("the disk has room");
                acknowledged = index;
            }
            drop(store);
            assert_eq!(last_index(&restored(&memory)), 19, "{fault:?}");
        }
    }
}

/// Guards against an unfinished log that takes the room of the records.
#[test]
fn the_room_of_an_unfinished_log_is_reclaimed() {
    let (memory, mut store) = folder();
    memory.set_fault(Fault::Room(memory.size() + 100));
    write(&mut store, snapshot(1)).expect_err("the disk is full");
    drop(store);
    let (mut store, _) = open(&memory).expect("the folder opens");
    write(&mut store, entry(2)).expect("the disk has room");
    assert_eq!(memory.names().expect("the folder can be listed").len(), 1);
}

#[test]
fn what_was_synced_survives_a_loss_of_power() {
    let (memory, mut store) = folder();
    for record in [entry(2), snapshot(2), entry(3)] {
        write(&mut store, record).expect("the disk has room");
        memory.lose_power(|| false);
    }
    drop(store);
    assert_eq!(last_index(&restored(&memory)), 3);
}

/// What a voter reads back when it starts, it reports to the leader as durable.
#[test]
fn an_entry_read_back_after_a_kill_survives_a_loss_of_power() {
    let (memory, mut store) = folder();
    memory.set_fault(Fault::Sync);
    write(&mut store, entry(2)).expect_err("the sync fails");
    drop(store);
    memory.set_fault(Fault::None);
    let reported = restored(&memory);
    memory.lose_power(|| false);
    assert_eq!(restored(&memory), reported);
}

#[test]
fn an_entry_lost_with_the_power_is_not_taken_for_damage() {
    let (memory, mut store) = folder();
    memory.set_fault(Fault::Sync);
    write(&mut store, entry(2)).expect_err("the sync fails");
    drop(store);
    memory.set_fault(Fault::None);
    let (mut store, _) = open(&memory).expect("the folder opens");
    memory.set_fault(Fault::Sync);
    write(&mut store, entry(3)).expect_err("the sync fails");
    drop(store);
    // Only the last write has reached the disk.
    let mut writes = 0;
    memory.lose_power(|| {
        writes += 1;
        writes == 2
    });
    memory.set_fault(Fault::None);
    open(&memory).expect("the folder opens");
}

#[test]
fn a_log_is_not_removed_before_the_name_of_the_next_one_is_durable() {
    let (memory, mut store) = folder();
    memory.set_fault(Fault::SyncNames);
    write(&mut store, snapshot(1)).expect_err("the sync fails");
    drop(store);
    open(&memory).expect_err("the sync fails");
    // The removal has reached the disk, but not the new name.
    let mut changes = 0;
    memory.lose_power(|| {
        changes += 1;
        changes != 1
    });
    memory.set_fault(Fault::None);
    assert_eq!(last_index(&restored(&memory)), 1);
}
