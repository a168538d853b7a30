//! Tests of the division of a job's tasks into shards.

use super::*;

/// A job of two blocks, the second of them short.
fn two_blocks() -> JobShards {
    JobShards::new(TASKS_PER_SHARD + 8)
}

fn first_tasks(shards: &JobShards) -> Vec<u64> {
    (0..2).flat_map(|block| shards.in_block(block)).collect()
}

#[test]
fn each_block_is_one_shard_until_it_is_split() {
    let mut shards = two_blocks();
    assert_eq!((shards.len(), first_tasks(&shards)), (2, vec![0, 192]));
    assert_eq!((shards.tasks(0), shards.tasks(192), shards.tasks(7)), (Some(0..192), Some(192..200), None));
    assert!(!shards.is_part(&(0..192)) && !shards.is_part(&(192..200)));

    shards.split_at(96);
    shards.split_at(200);
    assert_eq!(first_tasks(&shards), [0, 96, 192], "no shard begins after the last task");
    assert_eq!((shards.tasks(0), shards.tasks(96)), (Some(0..96), Some(96..192)));
    assert_eq!((shards.shard_of(95), shards.shard_of(96), shards.shard_of(200)), (Some(0), Some(96), None));
    assert!(shards.is_part(&(0..96)) && shards.is_part(&(96..192)) && !shards.is_part(&(192..200)));
}

/// Whatever earlier builds and earlier leaders have stored, each task is loaded from one key: the one that begins first.
#[test]
fn stored_shards_that_overlap_are_loaded_from_the_first() {
    let mut shards = two_blocks();
    assert_eq!(shards.load(0, 5, 96), Some(0..96), "the first part of a split block");
    assert_eq!(shards.load(96, 6, 96), Some(96..192), "the second part");
    assert_eq!(shards.load(192, 7, 8), Some(192..200), "a whole block");
    assert_eq!(shards.load(200, 8, 1), None, "tasks that the job does not have");

    let mut shards = two_blocks();
    assert_eq!(shards.load(0, 9, 192), Some(0..192), "stored whole again by a build that does not split");
    assert_eq!(shards.load(96, 6, 96), None, "the part that it left behind");
    assert_eq!(shards.stored().collect::<Vec<_>>(), [(0, 9)]);
    assert_eq!(shards.stored_keys().collect::<Vec<_>>(), [0, 96], "the part is dropped with the job");
    assert_eq!(shards.key_version(96), 6, "the part is replaced at its own version when the block is split again");
    shards.split_at(96);
    assert_eq!(shards.version(96), Some(6));

    let mut shards = two_blocks();
    assert_eq!(shards.load(96, 6, 96), Some(96..192), "a part whose first part was never stored");
    assert_eq!(shards.load(0, 9, usize::MAX), Some(0..96));
}
