//! States of tasks, compared with one state for each task.

use oriolefork::cell::index_set::IndexSet;
use oriolefork::cell::task_list::{Task, Tasks};
use oriolefork::codec;
use proptest::prelude::*;

const COUNT: u32 = 12;

/// Changes a task in one of few ways, so that states often become equal again.
fn change(task: &mut Task, kind: u8) {
    match kind {
        0 => task.live = 1 - task.live.min(1),
        1 => task.done = true,
        2 => task.last_run = (task.last_run + 1) % 3,
        _ => {
            task.checkpoint =
                if task.checkpoint.is_empty() { "c".to_owned() } else { String::new() }
        }
    }
}

proptest! {
    #[test]
    fn update_as_single_states(changes in prop::collection::vec((0..COUNT + 1, 0..4_u8), 0..200)) {
        let mut tasks = Tasks::new(COUNT);
        let mut expected = vec![Task::default(); COUNT as usize];
        for (index, kind) in changes {
            let is_changed = tasks.update(index, |task| change(task, kind)).is_some();
            prop_assert_eq!(is_changed, index < COUNT);
            if let Some(task) = expected.get_mut(index as usize) {
                change(task, kind);
            }
            let listed: Vec<Task> =
                (0..COUNT).filter_map(|index| tasks.get(index).cloned()).collect();
            prop_assert_eq!(&listed, &expected);
            let mut distinct = expected.clone();
            distinct.dedup();
            prop_assert_eq!(tasks.groups().count(), distinct.len());
        }
        let live: Vec<u32> = tasks.indexes(|task| task.live > 0).iter().collect();
        let expected_live = (0..COUNT).filter(|index| expected[*index as usize].live > 0);
        prop_assert_eq!(live, expected_live.collect::<Vec<_>>());
        // The form of earlier versions.
        let bytes = codec::encode(&expected).expect("small");
        prop_assert_eq!(codec::encode(&tasks).expect("small"), bytes.clone());
        prop_assert_eq!(codec::decode::<Tasks>(&bytes), Ok(tasks));
    }

    #[test]
    fn insert_as_single_numbers(numbers in prop::collection::vec(0..30_u32, 0..60)) {
        let mut expected = std::collections::BTreeSet::new();
        let mut set = IndexSet::default();
        for number in numbers {
            prop_assert_eq!(set.insert(number), expected.insert(number));
        }
        prop_assert_eq!(set.iter().collect::<Vec<_>>(), expected.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(set.len(), expected.len());
        let absent: Vec<u32> = (0..40).filter(|number| !expected.contains(number)).collect();
        prop_assert_eq!(set.absent().take(absent.len()).collect::<Vec<_>>(), absent);
        prop_assert!((0..40).all(|number| set.contains(number) == expected.contains(&number)));
        prop_assert_eq!(set.ranges().collect::<IndexSet>(), set.clone());
        let bytes = codec::encode(&expected).expect("small");
        prop_assert_eq!(codec::encode(&set).expect("small"), bytes.clone());
        prop_assert_eq!(codec::decode::<IndexSet>(&bytes), Ok(set));
    }
}
