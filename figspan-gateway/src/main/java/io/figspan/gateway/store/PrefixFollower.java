package io.figspan.gateway.store;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps a copy of the items under one prefix: reads them all, then waits for changes, and reads all again when the
 * store has lost the history. It is pure: one driver carries out the actions and tells the results.
 */
public final class PrefixFollower {
    /** Longest wait of one watch. A connection that went silent is noticed a little later than this. */
    static final long WATCH_WAIT_MS = 2_000;

    static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final RandomGenerator random;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Set<String> unseen = new HashSet<>();
    private long firstPageRevision;
    private long watchedRevision = -1;
    private String lastKey = "";
    private long backoffNanos = FIRST_BACKOFF_NANOS;

    /** What the driver is to do next; the last action of a list is always a call or a pause. */
    public sealed interface Action {
        /** Reads the items whose keys come after a key. */
        record ReadPage(String afterKey) implements Action {}

        /** Waits for changes behind a revision. */
        record Watch(long afterRevision, long waitMs) implements Action {}

        /** Calls {@link PrefixFollower#resume()} after a time. */
        record Pause(long nanos) implements Action {}

        /** Items were written or removed; the oldest change comes first. */
        record Changed(List<Item> items) implements Action {
            public Changed {
                items = List.copyOf(items);
            }
        }

        /** All items of the prefix are known as of a revision. */
        record CaughtUp(long revision) implements Action {}
    }

    public PrefixFollower(RandomGenerator random) {
        this.random = random;
    }

    /** The next call, at the start and after a pause. */
    public Action resume() {
        return watchedRevision >= 0 ? new Action.Watch(watchedRevision, WATCH_WAIT_MS) : new Action.ReadPage(lastKey);
    }

    public List<Action> pageRead(Page page) {
        backoffNanos = FIRST_BACKOFF_NANOS;
        if (lastKey.isEmpty()) {
            firstPageRevision = page.revision();
            unseen.clear();
            unseen.addAll(revisions.keySet());
        }
        List<Action> actions = new ArrayList<>();
        addNews(page.items(), actions);
        page.items().forEach(item -> unseen.remove(item.key()));
        if (page.hasMore() && !page.items().isEmpty()) {
            lastKey = page.items().get(page.items().size() - 1).key();
        } else {
            addRemovals(actions);
            lastKey = "";
            // Pages are read one after the other, so changes since the first one may be missing from it.
            watchedRevision = firstPageRevision;
            actions.add(new Action.CaughtUp(firstPageRevision));
        }
        actions.add(resume());
        return actions;
    }

    public List<Action> changesRead(Page page) {
        backoffNanos = FIRST_BACKOFF_NANOS;
        List<Action> actions = new ArrayList<>();
        addNews(page.items(), actions);
        watchedRevision = Math.max(watchedRevision, page.revision());
        actions.add(new Action.CaughtUp(watchedRevision));
        actions.add(resume());
        return actions;
    }

    /** The store has lost the changes behind the watched revision. */
    public List<Action> historyGone() {
        watchedRevision = -1;
        lastKey = "";
        return List.of(resume());
    }

    /** A call failed or was not answered in time. */
    public List<Action> failed() {
        lastKey = "";
        long nanos = backoffNanos / 2 + random.nextLong(backoffNanos / 2);
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
        return List.of(new Action.Pause(nanos));
    }

    private void addNews(List<Item> items, List<Action> actions) {
        List<Item> news = new ArrayList<>();
        for (Item item : items) {
            if (item.revision() > revisions.getOrDefault(item.key(), -1L)) {
                news.add(item);
                note(item);
            }
        }
        if (!news.isEmpty()) {
            actions.add(new Action.Changed(news));
        }
    }

    private void note(Item item) {
        if (item.value().isPresent()) {
            revisions.put(item.key(), item.revision());
        } else {
            revisions.remove(item.key());
        }
    }

    private void addRemovals(List<Action> actions) {
        if (unseen.isEmpty()) {
            return;
        }
        List<Item> removed = unseen.stream()
                .map(key -> new Item(key, Optional.empty(), firstPageRevision))
                .toList();
        removed.forEach(this::note);
        unseen.clear();
        actions.add(new Action.Changed(removed));
    }
}
