//! What a board makes of servers that fail, hang or cannot be reached.

use std::time::Duration;

use ggs_model::Moment;
use ggs_place::{
    AskScope, BoardServer, LoadSample, PlaceBoard, PlaceSearch, SendOutcome, ServerKey,
};

/// Choices after which a ranking shows.
const CHOICES: usize = 200;

/// A board of two equal servers.
fn board() -> (PlaceBoard, ServerKey, ServerKey) {
    let mut board = PlaceBoard::new(3);
    let server = |port: u16| BoardServer {
        instance: port.to_string().into(),
        address: ([10, 0, 0, 1], port).into(),
        near: true,
        slots: 3,
        cold_until: None,
    };
    board.replace(vec![server(1), server(2)], Moment::ZERO);
    let mut keys: Vec<_> = board.servers().map(|(key, _)| key).collect();
    keys.sort_unstable();
    (board, keys[0], keys[1])
}

/// How often a server is the best of both at a moment.
fn chosen(board: &mut PlaceBoard, wanted: ServerKey, keys: [ServerKey; 2], now: Moment) -> usize {
    let free = LoadSample {
        running: 0,
        waiting: 0,
        slots: 3,
        pace_percent: 100,
    };
    for key in keys {
        board.note_load(key, free, now);
    }
    let search = PlaceSearch {
        work: Duration::from_millis(50),
        crossing: Duration::ZERO,
        crowding: 1.0,
        since: now,
        tried: &[],
        now,
    };
    let choices = (0..CHOICES).filter_map(|_| board.best(AskScope::Near, &search));
    choices.filter(|best| best.server == wanted).count()
}

/// What a server did and what its place is worth after it.
struct TrustCase {
    name: &'static str,
    act: fn(&mut PlaceBoard, ServerKey, Moment),
    /// Whether the other server is always taken.
    avoided: bool,
}

#[test]
fn servers_that_fail_are_taken_last_until_they_are_trusted_again() {
    let cases = [
        TrustCase {
            name: "answered",
            act: |board, key, now| board.end(key, SendOutcome::Answered, now),
            avoided: false,
        },
        TrustCase {
            name: "failed",
            act: |board, key, now| board.end(key, SendOutcome::Failed, now),
            avoided: true,
        },
        TrustCase {
            name: "refused",
            act: |board, key, now| board.end(key, SendOutcome::Refused, now),
            avoided: true,
        },
        TrustCase {
            name: "the caller left",
            act: |board, key, now| board.end(key, SendOutcome::Abandoned, now),
            avoided: false,
        },
        TrustCase {
            name: "did not answer in time",
            act: |board, key, now| {
                board.end(key, SendOutcome::Abandoned, now);
                board.note_failure(key, now);
            },
            avoided: true,
        },
    ];
    for case in cases {
        let (mut board, one, two) = board();
        let now = Moment::from_millis(100);
        board.start(one, now);
        (case.act)(&mut board, one, now);
        let later = now + Duration::from_millis(5);
        let taken = chosen(&mut board, one, [one, two], later);
        assert_eq!(
            taken == 0,
            case.avoided,
            "{}: {taken} of {CHOICES}",
            case.name
        );
        let trusted = now + Duration::from_secs(20);
        let taken = chosen(&mut board, one, [one, two], trusted);
        assert!(taken > CHOICES / 4, "{}: {taken} after 20 s", case.name);
    }
}
