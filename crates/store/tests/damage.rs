//! Properties of recovery: whatever the log file holds, the folder opens or an error names the file.

use {
    proptest::{prelude::*, sample::Index},
    quorum::{Entry, PersistentState, Record, Snapshot},
    std::{fs, path::PathBuf},
    store::{Error, Store},
    tempfile::TempDir,
};

/// A folder with a log that has a snapshot, a vote and entries, and the path of the log.
fn written() -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("the folder can be created");
    let entry = |text: &str| Entry { term: 1, command: text.into(), members: None };
    let members = quorum::Members::default();
    let snapshot = Snapshot { index: 2, term: 1, members, state: b"state".into() };
    let (mut store, _) = open(&folder).expect("the folder opens");
    for record in [
        Record::Entries { first: 1, entries: vec![entry("x"), entry("y")] },
        Record::Snapshot { snapshot, entries: vec![entry("z")] },
        Record::Vote { term: 3, vote: Some("b".into()) },
        Record::Entries { first: 4, entries: vec![entry("v"), entry("w")] },
    ] {
        store.append(record);
        store.sync().expect("the record is synced");
    }
    let log = folder.path().join("log-0000000002");
    assert!(log.exists());
    (folder, log)
}

fn open(folder: &TempDir) -> store::Result<(Store, PersistentState)> {
    Store::open(folder.path(), &"a".into(), 7)
}

/// Opens the folder; if it opens, it also takes a further record and opens again.
fn reopen(folder: &TempDir) -> Result<(), TestCaseError> {
    match open(folder) {
        Err(error) => prop_assert!(error.to_string().contains("log-"), "{error}"),
        Ok((mut store, restored)) => {
            store.append(Record::Vote { term: 9, vote: None });
            store.sync().expect("the record is synced");
            drop(store);
            let (_, again) = open(folder).expect("the folder opens");
            prop_assert_eq!((again.term, again.entries.len()), (9, restored.entries.len()));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    #[test]
    fn a_log_of_any_bytes_ends_no_process(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (folder, log) = written();
        fs::write(log, bytes).expect("the log can be written");
        reopen(&folder)?;
    }

    #[test]
    fn a_damaged_log_ends_no_process(
        changes in prop::collection::vec(
            (any::<Index>(), 0..20_usize, prop::collection::vec(any::<u8>(), 0..20)),
            1..4,
        ),
    ) {
        let (folder, log) = written();
        let mut bytes = fs::read(&log).expect("the log can be read");
        for (at, length, part) in changes {
            let at = at.index(bytes.len() + 1);
            bytes.splice(at..bytes.len().min(at + length), part);
        }
        fs::write(log, bytes).expect("the log can be written");
        reopen(&folder)?;
    }
}

/// Guards against a voter that forgets its vote: a log appears whole under its name, so that its first
/// records can be damaged but not truncated by a crash.
#[test]
fn damage_to_the_first_records_of_a_log_is_refused_at_every_byte() {
    let folder = tempfile::tempdir().expect("the folder can be created");
    let (mut store, _) = open(&folder).expect("the folder opens");
    let members = quorum::Members::default();
    let snapshot = Snapshot { index: 2, term: 1, members, state: b"state".into() };
    store.append(Record::Vote { term: 3, vote: Some("b".into()) });
    store.append(Record::Snapshot { snapshot, entries: Vec::new() });
    store.sync().expect("the records are synced");
    drop(store);
    let log = folder.path().join("log-0000000002");
    let bytes = fs::read(&log).expect("the log can be read");
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1;
        for damaged in [&flipped, &bytes[..at]] {
            fs::write(&log, damaged).expect("the log can be written");
            let error = open(&folder).err().map(|error| matches!(error, Error::Damaged { .. }));
            assert_eq!(error, Some(true), "byte {at} of {}", bytes.len());
        }
    }
    fs::write(&log, &bytes).expect("the log can be written");
    let (_, restored) = open(&folder).expect("the folder opens");
    assert_eq!((restored.term, restored.vote.as_deref()), (3, Some("b")));
}

/// Guards against a number of a log that has no next one.
#[test]
fn a_stray_file_with_a_number_too_large_ends_no_process() {
    let (folder, log) = written();
    let stray = format!("log-{}", u64::MAX);
    fs::copy(log, folder.path().join(stray)).expect("the log can be copied");
    let error = open(&folder).expect_err("the folder is refused");
    assert!(error.to_string().contains("log-18446744073709551615"), "{error}");
}
