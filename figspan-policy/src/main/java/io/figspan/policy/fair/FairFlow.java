package io.figspan.policy.fair;

import io.figspan.core.id.OrganisationId;
import io.figspan.policy.fair.FairQueue.Decision;
import io.figspan.policy.fair.FairQueue.Entry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

/** Queued items of one organisation, with one FIFO queue per priority class. */
final class FairFlow<T> {
    private final OrganisationId organisation;
    private final double weight;
    private final List<Deque<Entry<T>>> byPriority = new ArrayList<>();
    private double virtualService;
    private long queuedTokens;
    private int items;

    FairFlow(OrganisationId organisation, double weight, double virtualService) {
        this.organisation = organisation;
        this.weight = weight;
        this.virtualService = virtualService;
        for (int i = 0; i < PriorityClass.values().length; i++) {
            byPriority.add(new ArrayDeque<>());
        }
    }

    /** Orders flows by their service, the least first. */
    int compareByService(FairFlow<T> other) {
        int byService = Double.compare(virtualService, other.virtualService);
        return byService != 0 ? byService : organisation.compareTo(other.organisation);
    }

    boolean isHeavierThan(FairFlow<T> other) {
        boolean isSingle = items == 1;
        if (isSingle != (other.items == 1)) {
            return !isSingle;
        }
        return queuedTokens / weight > other.queuedTokens / other.weight;
    }

    void add(Entry<T> entry) {
        byPriority.get(entry.priority().level()).addLast(entry);
        queuedTokens += entry.tokens();
        items++;
    }

    Entry<T> head(long nowNanos, long ageingNanos) {
        return mostUrgent(byPriority.stream().map(Deque::peekFirst).toList(), nowNanos, ageingNanos);
    }

    /** Returns the most urgent of the first entries of each priority class, which are null for empty classes. */
    private static <T> Entry<T> mostUrgent(List<Entry<T>> heads, long nowNanos, long ageingNanos) {
        Entry<T> best = null;
        long bestLevel = 0;
        for (Entry<T> head : heads) {
            if (head == null) {
                continue;
            }
            long level = head.priority().level() - (nowNanos - head.arrivedNanos()) / ageingNanos;
            if (best == null || level < bestLevel) {
                best = head;
                bestLevel = level;
            }
        }
        return best;
    }

    void serve(Entry<T> entry) {
        byPriority.get(entry.priority().level()).removeFirst();
        subtract(entry);
        charge(entry.tokens());
    }

    void charge(long tokens) {
        virtualService += tokens / weight;
    }

    Entry<T> removeNewest() {
        Deque<Entry<T>> newest = null;
        for (Deque<Entry<T>> queue : byPriority) {
            boolean later = newest == null
                    || (!queue.isEmpty()
                            && newest.peekLast().arrivedNanos()
                                    <= queue.peekLast().arrivedNanos());
            if (!queue.isEmpty() && later) {
                newest = queue;
            }
        }
        Entry<T> entry = newest.removeLast();
        subtract(entry);
        return entry;
    }

    boolean removeFirst(Predicate<T> matches) {
        for (Collection<Entry<T>> queue : byPriority) {
            for (Entry<T> entry : queue) {
                if (matches.test(entry.item())) {
                    queue.remove(entry);
                    subtract(entry);
                    return true;
                }
            }
        }
        return false;
    }

    int count(Predicate<T> matches) {
        int count = 0;
        for (Deque<Entry<T>> queue : byPriority) {
            for (Entry<T> entry : queue) {
                count += matches.test(entry.item()) ? 1 : 0;
            }
        }
        return count;
    }

    private void subtract(Entry<T> entry) {
        queuedTokens -= entry.tokens();
        items--;
    }

    OrganisationId organisation() {
        return organisation;
    }

    /** Tokens served over the weight. */
    double virtualService() {
        return virtualService;
    }

    long queuedTokens() {
        return queuedTokens;
    }

    int items() {
        return items;
    }

    /** Passes over the entries of one flow, the most urgent first. */
    static final class Cursor<T> {
        private final FairFlow<T> flow;
        private final List<Iterator<Entry<T>>> iterators = new ArrayList<>();
        private final List<Entry<T>> heads = new ArrayList<>();

        Cursor(FairFlow<T> flow) {
            this.flow = flow;
            for (Deque<Entry<T>> queue : flow.byPriority) {
                iterators.add(queue.iterator());
                heads.add(null);
            }
            for (int i = 0; i < heads.size(); i++) {
                advance(i);
            }
        }

        FairFlow<T> flow() {
            return flow;
        }

        private void advance(int priority) {
            Iterator<Entry<T>> iterator = iterators.get(priority);
            heads.set(priority, iterator.hasNext() ? iterator.next() : null);
        }

        boolean hasNext() {
            return heads.stream().anyMatch(Objects::nonNull);
        }

        /** Returns the most urgent entry that was not returned yet; there must be one. */
        Entry<T> next(long nowNanos, long ageingNanos) {
            return mostUrgent(heads, nowNanos, ageingNanos);
        }

        /** Carries out the decision on the entry that {@link #next} has returned. */
        void decided(Entry<T> entry, Decision decision) {
            int priority = entry.priority().level();
            if (decision != Decision.KEEP) {
                iterators.get(priority).remove();
                flow.subtract(entry);
            }
            if (decision == Decision.SERVE) {
                flow.charge(entry.tokens());
            }
            advance(priority);
        }
    }
}
