//! Replies as text for operators.

use super::*;

/// Exit code for a request that was refused.
const EXIT_REFUSED: u8 = 5;

/// Maximum number of items shown of each list in the status, so that the status fits a screen.
const MAX_ITEMS: usize = 6;

/// Prints a reply and returns the exit code for it.
pub(crate) fn reply(reply: &Reply, json: bool) -> eyre::Result<ExitCode> {
    if json {
        println!("{}", serde_json::to_string_pretty(reply)?);
    } else {
        print!("{}", text(reply));
    }
    Ok(match reply {
        Reply::Applied { verdict, .. } if verdict.refused() => ExitCode::from(EXIT_REFUSED),
        Reply::Submitted { verdict, .. } if *verdict != place::Verdict::Accepted => {
            ExitCode::from(EXIT_REFUSED)
        }
        Reply::Unknown | Reply::NoRevision { .. } | Reply::Unchanged { .. } => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    })
}

/// The reply as text; each line ends with a line break.
pub fn text(reply: &Reply) -> String {
    match reply {
        Reply::Applied { verdict, .. } => format!("{verdict}\n"),
        Reply::Changing { index } => format!("member change proposed as log entry {index}\n"),
        Reply::Unchanged { refusal, leader } => {
            let leader = leader.as_deref().unwrap_or("nobody");
            format!("refused: {refusal} (`{leader}` leads)\n")
        }
        Reply::Unknown => "outcome is unknown\n".into(),
        Reply::Config { revision, config } => {
            format!("# revision {revision}\n{}", settings::text(config))
        }
        Reply::Status(status) => status_text(status),
        Reply::Waves { waves } if waves.is_empty() => "no waves\n".into(),
        Reply::Waves { waves } => {
            waves.iter().map(|(name, summary)| format!("{name}: {summary}\n")).collect()
        }
        Reply::Explanation { subject, present, entries } => {
            let present = present.as_deref().unwrap_or("does not exist");
            let entries = entries.iter().map(entry_text);
            format!("{subject}: {present}\n{}", entries.collect::<String>())
        }
        Reply::History { now, past } => {
            past.iter().rev().map(|past| past_text(*now, past)).collect()
        }
        Reply::Submitted { job, verdict } => format!("{job}: {verdict}\n"),
        Reply::Cancelled { job } => format!("{job}: cancelled\n"),
        Reply::Job { job, standing } => format!("{job}: {standing}\n"),
        Reply::NoRevision { revision } => format!("revision {revision} is not kept\n"),
    }
}

fn entry_text(entry: &fleet::Entry) -> String {
    let others = entry.subjects.iter().skip(1).map(|subject| format!(" ({subject})"));
    let others: String = others.collect();
    format!("{:>8} s  {}: {}{others}\n", entry.at.as_secs(), entry.subjects[0], entry.reason)
}

fn past_text(now: Duration, past: &fleet::Past) -> String {
    let age = now.saturating_sub(past.at).as_secs();
    let fleet::Past { revision, author, request, .. } = past;
    format!("{revision:>6}  {age:>8} s ago  {author}  {request}\n")
}

fn status_text(status: &Status) -> String {
    let leader = status.leader.as_deref().unwrap_or("nobody");
    let view = if status.view { "present" } else { "lapsed" };
    let mut lines = vec![
        format!("daemon    {}", status.daemon),
        format!("leader    {leader} (term {})", status.term),
        format!("view      {view}"),
        format!("revision  {}", status.revision),
        format!("log       {} applied, {} in force everywhere", status.applied, status.forced),
        format!("requests  {} pending", status.pending),
        format!("upstreams {}", status.upstreams.len()),
    ];
    let members = status.members.iter().map(|(name, member)| format!("{name}: {}", member.role));
    list(&mut lines, "members", members.collect());
    if status.lost_disk {
        let lost = "replaced: this daemon has no vote, see docs/operators/lost-voter.md";
        lines.push(format!("disk      {lost}"));
    }
    let overview = &status.overview;
    let mut pools: Vec<_> = overview.pools.iter().collect();
    pools.sort_by_key(|(_, (serving, all))| std::cmp::Reverse(all - serving));
    let pools =
        pools.into_iter().map(|(name, (serving, all))| format!("{name}: {serving} of {all}"));
    list(&mut lines, "pools", pools.collect());
    let mut budgets: Vec<_> = overview.budgets.iter().collect();
    budgets.sort_by_key(|(_, (_, room))| *room);
    let budgets = budgets.into_iter().map(|(name, (outage, room))| {
        let fleet::Outage { selected, down, granted } = outage;
        format!("{name}: {down} down and {granted} granted of {selected}, room for {room}")
    });
    list(&mut lines, "budgets", budgets.collect());
    let waves = overview.waves.iter().map(|(name, summary)| format!("{name}: {summary}"));
    list(&mut lines, "waves", waves.collect());
    let unavailable = overview.unavailable.iter().map(|(name, why)| format!("{name}: {why}"));
    list(&mut lines, "unavailable", unavailable.collect());
    lines.join("\n") + "\n"
}

/// Adds a line with the title and length of a list, and its first [`MAX_ITEMS`] items. Adds nothing
/// for an empty list.
fn list(lines: &mut Vec<String>, title: &str, items: Vec<String>) {
    if items.is_empty() {
        return;
    }
    lines.push(format!("{title:<9} {}", items.len()));
    lines.extend(items.iter().take(MAX_ITEMS).map(|item| format!("  {item}")));
    if items.len() > MAX_ITEMS {
        lines.push(format!("  and {} more", items.len() - MAX_ITEMS));
    }
}
