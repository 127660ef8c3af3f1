//! The platform's list of machines. Nothing moves here and nothing is due for upkeep.

use super::http;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

/// A machine as listed: the id of its runner, or `None` while it is down.
#[derive(Clone, Default)]
pub struct Machines(pub Arc<Mutex<BTreeMap<String, Option<String>>>>);

pub const CAPACITY: &str = r#"{"cpu":64000,"mem-mb":131072,"gpu":0}"#;

/// Serves the list of machines of the one service.
pub fn serve(address: &str, machines: Machines) {
    http::serve(address, move |request| {
        if request.method != "GET" || !request.path.starts_with("/sardinevalve/machines") {
            return (409, r#"{"reason":"busy"}"#.into());
        }
        let listed = machines.0.lock().unwrap();
        let rows: Vec<_> = listed
            .iter()
            .enumerate()
            .map(|(i, (machine, id))| {
                let (state, id) = match id {
                    Some(id) => ("up", format!("\"{id}\"")),
                    None => ("down", "null".into()),
                };
                format!(
                    r#"{{"machine":"{machine}","pool":"work","state":"{state}","zone":"dc","labels":["a","r-{}"],"capacity":{CAPACITY},"id":{id}}}"#,
                    i / 4
                )
            })
            .collect();
        (200, format!(r#"{{"machines":[{}],"next-page-token":null}}"#, rows.join(",")))
    });
}
