package io.figspan.gateway.store;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides the calls that follow the items under one prefix: reads them all, then waits for changes, and reads all again
 * when the store has lost the history. It is pure: one driver carries out the actions and tells the results.
 */
public final class PrefixWatcher {
    /** Longest wait of one watch. A connection that went silent is noticed a little later than this. */
    static final long WATCH_WAIT_MS = 2_000;

    private static final long LOOK_WAIT_MS = 1;

    /** Changes within this time are read by one call, since many servers register or leave together. */
    static final long GATHER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final RandomGenerator random;
    private final List<Item> pages = new ArrayList<>();
    private long firstPageRevision;
    private long watchedRevision = -1;
    private long backoffNanos = FIRST_BACKOFF_NANOS;

    /** What the driver is to do next; the last action of a list is always a call or a pause. */
    public sealed interface Action {
        /** Reads the items whose keys come after a key. */
        record ReadPage(String afterKey) implements Action {}

        /** Waits for changes behind a revision. */
        record Watch(long afterRevision, long waitMs) implements Action {}

        /** Calls {@link PrefixWatcher#resume()} after a time. */
        record Pause(long nanos) implements Action {}

        /** These are all items as of a revision, or of later ones. */
        record Whole(List<Item> items, long revision) implements Action {
            public Whole {
                items = List.copyOf(items);
            }
        }

        /** Items were written or removed; the oldest change comes first. */
        record Changed(List<Item> items) implements Action {
            public Changed {
                items = List.copyOf(items);
            }
        }
    }

    public PrefixWatcher(RandomGenerator random) {
        this.random = random;
    }

    /** The next call, at the start and after a pause. */
    public Action resume() {
        if (watchedRevision >= 0) {
            return new Action.Watch(watchedRevision, WATCH_WAIT_MS);
        }
        return new Action.ReadPage(
                pages.isEmpty() ? "" : pages.get(pages.size() - 1).key());
    }

    /** Asks for the changes up to now without waiting for more. */
    public Action look() {
        return watchedRevision >= 0 ? new Action.Watch(watchedRevision, LOOK_WAIT_MS) : resume();
    }

    public List<Action> pageRead(Page page) {
        backoffNanos = FIRST_BACKOFF_NANOS;
        if (pages.isEmpty()) {
            firstPageRevision = page.revision();
        }
        pages.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            return List.of(resume());
        }
        Action whole = new Action.Whole(pages, firstPageRevision);
        pages.clear();
        // Pages are read one after the other, so changes since the first one may be missing from it.
        watchedRevision = firstPageRevision;
        return List.of(whole, resume());
    }

    public List<Action> changesRead(Page page) {
        backoffNanos = FIRST_BACKOFF_NANOS;
        watchedRevision = Math.max(watchedRevision, page.revision());
        Action next = page.items().isEmpty() ? resume() : new Action.Pause(GATHER_NANOS);
        return List.of(new Action.Changed(page.items()), next);
    }

    /** The store has lost the changes behind the watched revision. */
    public List<Action> historyGone() {
        watchedRevision = -1;
        pages.clear();
        return List.of(resume());
    }

    /** A call failed or was not answered in time. */
    public List<Action> failed() {
        pages.clear();
        long nanos = backoffNanos / 2 + random.nextLong(backoffNanos / 2);
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
        return List.of(new Action.Pause(nanos));
    }
}
