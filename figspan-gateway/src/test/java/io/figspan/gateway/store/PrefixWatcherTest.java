package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import io.figspan.gateway.store.PrefixWatcher.Action;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that are missed between listing and watching, and against calls without a delay after
 * failures.
 */
class PrefixWatcherTest {
    private final PrefixWatcher watcher = new PrefixWatcher(new SplittableRandom(3));

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static Item item(String key, long revision) {
        return new Item(key, Optional.of(new byte[] {1}), at(revision));
    }

    @Test
    void allPagesAreReadBeforeWatchingFromTheRevisionOfTheFirstPage() {
        assertEquals(new Action.ReadPage(""), watcher.resume());
        assertEquals(
                List.of(new Action.ReadPage("b")),
                watcher.pageRead(new Page(List.of(item("a", 1), item("b", 2)), true, at(10))));
        List<Action> actions = watcher.pageRead(new Page(List.of(item("c", 3)), false, at(15)));
        Action.Snapshot snapshot = assertInstanceOf(Action.Snapshot.class, actions.get(0));
        assertEquals(
                List.of("a", "b", "c"), snapshot.items().stream().map(Item::key).toList());
        assertEquals(at(10), snapshot.revision());
        assertEquals(new Action.Watch(at(10), PrefixWatcher.FIRST_WATCH_WAIT_MS), actions.get(1));
    }

    @Test
    void watchesContinueAfterTheRevisionOfTheLastResponse() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        List<Item> changes = List.of(item("a", 12));
        List<Action> actions = watcher.changesRead(new Page(changes, false, at(14)));
        assertEquals(new Action.Changed(changes), actions.get(0));
        assertEquals(new Action.Pause(PrefixWatcher.COALESCE_NANOS), actions.get(1));
        assertEquals(new Action.Watch(at(14), PrefixWatcher.FIRST_WATCH_WAIT_MS), watcher.resume());
    }

    @Test
    void aWatchThatEndsWithoutChangesIsRepeatedAtOnce() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        List<Action> actions = watcher.changesRead(new Page(List.of(), false, at(14)));
        assertEquals(new Action.Watch(at(14), PrefixWatcher.FIRST_WATCH_WAIT_MS), actions.get(1));
    }

    @Test
    void allItemsAreListedAgainWhenTheHistoryIsGone() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        assertEquals(List.of(new Action.ReadPage("")), watcher.historyGone());
    }

    @Test
    void aFailedWatchIsContinued() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        assertInstanceOf(Action.Pause.class, watcher.failed().get(0));
        assertEquals(new Action.Watch(at(10), PrefixWatcher.FIRST_WATCH_WAIT_MS), watcher.resume());
    }

    /** Guards against a watch that is repeated in vain, since its response holds too many changes. */
    @Test
    void aWatchThatFailsTwiceAtOneRevisionIsReplacedByAListing() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        watcher.failed();
        watcher.failed();
        assertEquals(new Action.ReadPage(""), watcher.resume());
    }

    @Test
    void failuresOfWatchesAtDifferentRevisionsAreNotAdded() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        watcher.failed();
        watcher.changesRead(new Page(List.of(), false, at(11)));
        watcher.failed();
        assertEquals(new Action.Watch(at(11), PrefixWatcher.FIRST_WATCH_WAIT_MS), watcher.resume());
    }

    @Test
    void aWatchWhoseResponseIsTooLongIsReplacedByAListingAtOnce() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        assertEquals(List.of(new Action.ReadPage("")), watcher.responseTooLong());
    }

    /** Guards against calls without a delay while a listing is too long as well. */
    @Test
    void aListingThatIsTooLongIsRepeatedAfterAPause() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        watcher.responseTooLong();
        assertInstanceOf(Action.Pause.class, watcher.responseTooLong().get(0));
        assertEquals(new Action.ReadPage(""), watcher.resume());
    }

    @Test
    void failuresBackOffExponentially() {
        watcher.pageRead(new Page(List.of(), false, at(10)));
        long longest = 0;
        for (int i = 0; i < 10; i++) {
            Action.Pause pause =
                    assertInstanceOf(Action.Pause.class, watcher.failed().get(0));
            assertTrue(pause.nanos() >= PrefixWatcher.FIRST_BACKOFF_NANOS / 2);
            assertTrue(pause.nanos() <= PrefixWatcher.MAX_BACKOFF_NANOS);
            longest = Math.max(longest, pause.nanos());
            Action expected =
                    i == 0 ? new Action.Watch(at(10), PrefixWatcher.FIRST_WATCH_WAIT_MS) : new Action.ReadPage("");
            assertEquals(expected, watcher.resume());
        }
        assertTrue(longest > PrefixWatcher.FIRST_BACKOFF_NANOS);
    }

    @Test
    void aFailureBetweenPagesRestartsAtTheFirstPage() {
        watcher.pageRead(new Page(List.of(item("a", 1)), true, at(10)));
        watcher.failed();
        assertEquals(new Action.ReadPage(""), watcher.resume());
    }

    private static StoreRevision inEpoch(long epoch, long number) {
        return new StoreRevision(epoch, number);
    }

    /** Guards against changes that are missed since the watched revision means something else in a new epoch. */
    @Test
    void allItemsAreListedAgainWhenAWatchIsAnsweredInANewEpoch() {
        watcher.pageRead(new Page(List.of(), false, at(10)));

        assertEquals(
                List.of(new Action.ReadPage("")),
                watcher.changesRead(new Page(List.of(item("a", 12)), false, inEpoch(2, 12))));
        List<Action> actions = watcher.pageRead(new Page(List.of(), false, inEpoch(2, 4)));
        assertEquals(new Action.Watch(inEpoch(2, 4), PrefixWatcher.FIRST_WATCH_WAIT_MS), actions.get(1));
    }

    @Test
    void aListingWithPagesOfTwoEpochsIsBegunAgain() {
        watcher.pageRead(new Page(List.of(item("a", 1)), true, at(10)));

        assertEquals(
                List.of(new Action.ReadPage("")),
                watcher.pageRead(new Page(List.of(item("b", 1)), false, inEpoch(2, 4))));
    }

    @Test
    void anAnswerOfAnEarlierEpochChangesNothing() {
        watcher.pageRead(new Page(List.of(), false, inEpoch(2, 4)));

        assertInstanceOf(
                Action.Pause.class,
                watcher.changesRead(new Page(List.of(item("a", 50)), false, at(50)))
                        .get(0));
        assertInstanceOf(
                Action.Pause.class,
                watcher.pageRead(new Page(List.of(item("a", 50)), false, at(50)))
                        .get(0));
        assertEquals(new Action.Watch(inEpoch(2, 4), PrefixWatcher.FIRST_WATCH_WAIT_MS), watcher.resume());
    }
}
