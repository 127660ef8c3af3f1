//! Replies as an operator reads them.

use super::*;

pub(crate) fn reply(reply: &Reply, json: bool) -> eyre::Result<ExitCode> {
    if json {
        println!("{}", serde_json::to_string_pretty(reply)?);
        return Ok(ExitCode::SUCCESS);
    }
    match reply {
        Reply::Applied { verdict, .. } => println!("{verdict}"),
        Reply::Changing { index } => println!("changes with log entry {index}"),
        Reply::Unchanged { refusal, leader } => {
            let leader = leader.as_deref().unwrap_or("nobody");
            println!("refused: {refusal} (`{leader}` leads)");
            return Ok(ExitCode::FAILURE);
        }
        Reply::Unknown => println!("outcome is unknown"),
        Reply::Config { revision, config } => {
            println!("revision {revision}");
            println!("{}", serde_json::to_string_pretty(config)?);
        }
        Reply::Status(status) => show_status(status),
    }
    Ok(ExitCode::SUCCESS)
}

fn show_status(status: &Status) {
    let nobody = || Name::from("nobody");
    println!("daemon    {}", status.daemon);
    println!("leader    {} (term {})", status.leader.clone().unwrap_or_else(nobody), status.term);
    println!("view      {}", if status.view { "present" } else { "lapsed" });
    println!("revision  {}", status.revision);
    println!("log       {} applied, {} in force everywhere", status.applied, status.forced);
    for (name, member) in &status.members {
        println!("member    {name:<20} {}", member.role);
    }
    if status.lost_disk {
        println!("disk      replaced: this daemon has no vote, see docs/operators/lost-voter.md");
    }
    println!("requests  {} pending", status.pending);
    println!("upstreams {}", status.upstreams.len());
    for (instance, upstream) in &status.upstreams {
        let announcement = &upstream.announcement;
        let (service, presence) = (&announcement.service, upstream.presence);
        println!("  {instance:<20} {service:<16} {presence:<8} {}", announcement.address);
    }
}
