//! Answer bodies against a naive version.

use ggs_standin::{AnswerBody, DIGEST_BYTES};
use proptest::prelude::*;

/// The first bytes of a body, before its digest, made one by one.
fn naive_start(token: &str, length: u64) -> Vec<u8> {
    let unit = format!("{token} ");
    let start = length.max(DIGEST_BYTES) - DIGEST_BYTES;
    let bytes = unit.bytes().cycle();
    bytes.take(start as usize).collect()
}

proptest! {
    #[test]
    fn pieces_make_up_the_body_and_match(
        token in "[a-z0-9]{0,40}",
        length in 0_u64..20_000,
        piece in 1_usize..6_000,
    ) {
        let body = AnswerBody::new(&token, length);
        let mut whole = Vec::new();
        while (whole.len() as u64) < body.length() {
            let next = body.slice(whole.len() as u64, piece);
            prop_assert!(body.matches_at(whole.len() as u64, &next));
            whole.extend_from_slice(&next);
        }
        prop_assert_eq!(whole.len() as u64, length.max(DIGEST_BYTES));
        let start = naive_start(&token, length);
        prop_assert_eq!(&whole[..start.len()], &start[..]);
        prop_assert!(body.matches_at(0, &whole));
    }

    #[test]
    fn other_bytes_do_not_match(length in 16_u64..10_000, at in any::<prop::sample::Index>()) {
        let body = AnswerBody::new("token", length);
        let mut whole = body.slice(0, length as usize).to_vec();
        whole.push(0);
        prop_assert!(!body.matches_at(0, &whole), "too long");
        whole.pop();
        let at = at.index(whole.len());
        whole[at] ^= 1;
        prop_assert!(!body.matches_at(0, &whole), "one byte differs");
    }

    #[test]
    fn bodies_of_other_tokens_and_lengths_differ(
        first in "[a-z]{1,8}",
        second in "[a-z]{1,8}",
        length in 16_u64..200,
        other in 16_u64..200,
    ) {
        prop_assume!((&first, length) != (&second, other));
        let whole = AnswerBody::new(&first, length).slice(0, length as usize);
        let body = AnswerBody::new(&second, other);
        let same = whole.len() as u64 == body.length() && body.matches_at(0, &whole);
        prop_assert!(!same);
    }
}
