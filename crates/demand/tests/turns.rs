//! Plays bursts with and without a rhythm, and checks which pool is expected next.

use {
    demand::{Turn, Turns},
    model::Name,
};

fn pools() -> Vec<Name> {
    ["a", "b", "c", "d"].map(Name::from).to_vec()
}

fn play(turns: &mut Turns, sequence: &str) {
    for pool in sequence.chars().map(|pool| Name::from(pool.to_string())) {
        turns.record(Turn::Began(pool.clone()));
        turns.record(Turn::Ended(pool, 1000));
    }
}

#[test]
fn all_pools_are_equally_likely_at_first() {
    assert_eq!(Turns::default().chances(&pools()), vec![0.25; 4]);
}

#[test]
fn the_order_of_turns_is_learned() {
    let mut turns = Turns::default();
    play(&mut turns, "abcdabcd");
    let chances = turns.chances(&pools());
    assert!(chances[0] > 0.6, "{chances:?}");
    assert!(chances[3] < 0.15, "the last one is not next: {chances:?}");
}

#[test]
fn without_a_rhythm_no_pool_stands_out() {
    let mut turns = Turns::default();
    let mut random = 1_u32;
    for _ in 0..64 {
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        play(&mut turns, ["a", "b", "c", "d"][(random >> 30) as usize]);
    }
    let chances = turns.chances(&pools());
    assert!(chances.iter().all(|chance| (0.1..0.5).contains(chance)), "{chances:?}");
}

#[test]
fn chances_add_up_while_bursts_go_on() {
    let mut turns = Turns::default();
    play(&mut turns, "ab");
    turns.record(Turn::Began("c".into()));
    turns.record(Turn::Began("c".into()));
    assert!(turns.is_in_burst(&"c".into()) && !turns.is_in_burst(&"a".into()));
    let total: f64 = turns.chances(&pools()).iter().sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
    assert_eq!(turns.mean_height(), Some(1000));
}
