package io.figspan.gateway.store;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * State machine that mirrors the items under one prefix: lists all of them, then watches for changes, and lists them
 * again when the store no longer has the history or has begun a new epoch. Answers of an earlier epoch are refused. It
 * performs no I/O: one driver executes the actions and reports their results.
 */
public final class PrefixWatcher {
    /** Longest time that the store holds one watch by default. A silent connection is detected shortly after this. */
    static final long WATCH_WAIT_MS = 2_000;

    private static final long POLL_WAIT_MS = 1;

    /**
     * Wait of the watches before it is known which other hosts rely on this one. It is that of hosts on which others
     * rely, since these would otherwise take over at the start because they receive no recent response.
     */
    static final long FIRST_WATCH_WAIT_MS = StoreWatchPolicy.SHARED_WATCH_WAIT_MS;

    /**
     * Delay of the next watch after changes, so that one call reads the changes of many servers that register or leave
     * together.
     */
    static final long COALESCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Failed watches from one revision after which the items are listed. The response to a watch holds all changes
     * since its revision, so a failure that they cause repeats until the store drops its history.
     */
    static final int MAX_FAILED_WATCHES = 2;

    static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final RandomGenerator random;
    private final List<Item> listedItems = new ArrayList<>();
    private long watchWaitMs = FIRST_WATCH_WAIT_MS;
    private StoreRevision firstPageRevision = StoreRevision.NONE;
    private Optional<StoreRevision> watchedRevision = Optional.empty();
    private int failedWatches;
    private long epoch;
    private long backoffNanos = FIRST_BACKOFF_NANOS;

    /** Instruction to the driver. The last action of a list is always a call or a pause. */
    public sealed interface Action {
        /** Lists the items whose keys come after a key; an empty key starts at the first item. */
        record ReadPage(String afterKey) implements Action {}

        /** Waits for changes with a higher revision. */
        record Watch(StoreRevision after, long waitMs) implements Action {}

        /** Calls {@link PrefixWatcher#resume()} after a delay. */
        record Pause(long nanos) implements Action {}

        /** All items under the prefix, each as of the revision or a later one. */
        record Snapshot(List<Item> items, StoreRevision revision) implements Action {
            public Snapshot {
                items = List.copyOf(items);
            }
        }

        /** Items were written or removed; oldest change first. */
        record Changed(List<Item> items) implements Action {
            public Changed {
                items = List.copyOf(items);
            }
        }
    }

    public PrefixWatcher(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the longest time that the store holds each later watch. */
    void setWatchWaitMs(long newWatchWaitMs) {
        watchWaitMs = newWatchWaitMs;
    }

    /** Returns the next call, at the start and after a pause. */
    public Action resume() {
        if (watchedRevision.isPresent()) {
            return new Action.Watch(watchedRevision.get(), watchWaitMs);
        }
        return new Action.ReadPage(
                listedItems.isEmpty()
                        ? ""
                        : listedItems.get(listedItems.size() - 1).key());
    }

    /** Returns a call that reads the changes up to now without waiting for more. */
    public Action poll() {
        return watchedRevision
                .<Action>map(after -> new Action.Watch(after, POLL_WAIT_MS))
                .orElseGet(this::resume);
    }

    public List<Action> pageRead(Page page) {
        if (page.revision().epoch() < epoch) {
            listedItems.clear();
            return List.of(pause());
        }
        if (page.revision().epoch() > epoch) {
            epoch = page.revision().epoch();
            if (!listedItems.isEmpty()) {
                return historyGone();
            }
        }
        backoffNanos = FIRST_BACKOFF_NANOS;
        if (listedItems.isEmpty()) {
            firstPageRevision = page.revision();
        }
        listedItems.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            return List.of(resume());
        }
        Action snapshot = new Action.Snapshot(listedItems, firstPageRevision);
        listedItems.clear();
        // Pages are read one after another, so the snapshot may lack changes made since the first page.
        watchedRevision = Optional.of(firstPageRevision);
        return List.of(snapshot, resume());
    }

    public List<Action> changesRead(Page page) {
        if (page.revision().epoch() < epoch) {
            return failed();
        }
        if (page.revision().epoch() > epoch) {
            // The watched revision means nothing in the new epoch, so changes may be missing from the response.
            epoch = page.revision().epoch();
            return historyGone();
        }
        backoffNanos = FIRST_BACKOFF_NANOS;
        failedWatches = 0;
        watchedRevision = watchedRevision.map(known -> StoreRevision.newest(known, page.revision()));
        Action next = page.items().isEmpty() ? resume() : new Action.Pause(COALESCE_NANOS);
        return List.of(new Action.Changed(page.items()), next);
    }

    /** The store no longer has the changes after the watched revision. */
    public List<Action> historyGone() {
        listAgain();
        return List.of(resume());
    }

    /** The response was longer than this host can hold. A listing holds each item once, so it is shorter. */
    public List<Action> responseTooLong() {
        if (watchedRevision.isEmpty()) {
            return failed();
        }
        listAgain();
        return List.of(resume());
    }

    private void listAgain() {
        watchedRevision = Optional.empty();
        failedWatches = 0;
        listedItems.clear();
    }

    /** A call failed or timed out. */
    public List<Action> failed() {
        listedItems.clear();
        if (watchedRevision.isPresent()) {
            watchFailed();
        }
        return List.of(pause());
    }

    private void watchFailed() {
        failedWatches++;
        if (failedWatches >= MAX_FAILED_WATCHES) {
            listAgain();
        }
    }

    private Action pause() {
        long nanos = backoffNanos / 2 + random.nextLong(backoffNanos / 2);
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
        return new Action.Pause(nanos);
    }
}
