package io.figspan.policy.fair;

import io.figspan.core.id.OrganisationId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Bounded queue that serves organisations in proportion to their weights, counted in tokens of work (weighted deficit).
 * Within an organisation, the priority class and then the arrival decide; an item that has waited for the ageing time
 * counts as one class more urgent, and so on.
 *
 * <p>An organisation that becomes active again starts level with the active one that has had the least service, so idle
 * time is not saved up.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {
    private final int capacityItems;
    private final long ageingNanos;
    private final ToDoubleFunction<OrganisationId> weightOf;
    private final Map<OrganisationId, Flow<T>> flows = new HashMap<>();
    private double virtualTime;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param weightOf weight of an organisation, above 0
     */
    public FairQueue(int capacityItems, long ageingNanos, ToDoubleFunction<OrganisationId> weightOf) {
        this.capacityItems = capacityItems;
        this.ageingNanos = ageingNanos;
        this.weightOf = weightOf;
    }

    /** An item with its organisation, class, size and time of arrival. */
    public record Entry<T>(
            T item, OrganisationId organisation, PriorityClass priority, long tokens, long arrivedNanos) {}

    /**
     * Adds an item. When the queue is full, the newest item of the organisation with the most queued tokens for its
     * weight is displaced.
     *
     * @return the displaced entry, which may be the offered one; empty when there was room
     */
    public Optional<Entry<T>> offer(Entry<T> entry) {
        Flow<T> flow = flows.get(entry.organisation());
        if (flow == null) {
            flow = new Flow<>(entry.organisation(), weightOf.applyAsDouble(entry.organisation()), virtualTime);
            flows.put(entry.organisation(), flow);
        }
        flow.add(entry);
        size++;
        if (size <= capacityItems) {
            return Optional.empty();
        }
        Flow<T> heaviest = flow;
        for (Flow<T> other : flows.values()) {
            if (other.queuedTokens / other.weight > heaviest.queuedTokens / heaviest.weight) {
                heaviest = other;
            }
        }
        Entry<T> displaced = heaviest.removeNewest();
        removed(heaviest);
        return Optional.of(displaced);
    }

    /** The entry that {@link #poll(long)} would return. */
    public Optional<Entry<T>> peek(long nowNanos) {
        Flow<T> flow = nextFlow();
        return flow == null ? Optional.empty() : Optional.of(flow.head(nowNanos, ageingNanos));
    }

    public Optional<Entry<T>> poll(long nowNanos) {
        Flow<T> flow = nextFlow();
        if (flow == null) {
            return Optional.empty();
        }
        Entry<T> entry = flow.head(nowNanos, ageingNanos);
        virtualTime = Math.max(virtualTime, flow.virtualService);
        flow.serve(entry);
        removed(flow);
        return Optional.of(entry);
    }

    /** Removes an item that is no longer wanted. */
    public boolean remove(OrganisationId organisation, T item) {
        Flow<T> flow = flows.get(organisation);
        if (flow == null || !flow.removeItem(item)) {
            return false;
        }
        removed(flow);
        return true;
    }

    public int size() {
        return size;
    }

    /** Tokens of all queued items. */
    public long queuedTokens() {
        long sum = 0;
        for (Flow<T> flow : flows.values()) {
            sum += flow.queuedTokens;
        }
        return sum;
    }

    /** Number of organisations with queued items. */
    public int organisations() {
        return flows.size();
    }

    private Flow<T> nextFlow() {
        Flow<T> next = null;
        for (Flow<T> flow : flows.values()) {
            if (next == null || flow.isBefore(next)) {
                next = flow;
            }
        }
        return next;
    }

    private void removed(Flow<T> flow) {
        size--;
        if (flow.items == 0) {
            virtualTime = Math.max(virtualTime, flow.virtualService);
            flows.remove(flow.organisation);
        }
    }

    /** Queued items of one organisation. */
    private static final class Flow<T> {
        private final OrganisationId organisation;
        private final double weight;
        private final List<Deque<Entry<T>>> byClass = new ArrayList<>();
        private double virtualService;
        private long queuedTokens;
        private int items;

        Flow(OrganisationId organisation, double weight, double virtualService) {
            this.organisation = organisation;
            this.weight = weight;
            this.virtualService = virtualService;
            for (int i = 0; i < PriorityClass.values().length; i++) {
                byClass.add(new ArrayDeque<>());
            }
        }

        boolean isBefore(Flow<T> other) {
            int byService = Double.compare(virtualService, other.virtualService);
            return byService != 0 ? byService < 0 : organisation.compareTo(other.organisation) < 0;
        }

        void add(Entry<T> entry) {
            byClass.get(entry.priority().level()).addLast(entry);
            queuedTokens += entry.tokens();
            items++;
        }

        Entry<T> head(long nowNanos, long ageingNanos) {
            Entry<T> best = null;
            long bestLevel = 0;
            for (Deque<Entry<T>> queue : byClass) {
                Entry<T> first = queue.peekFirst();
                if (first == null) {
                    continue;
                }
                long level = first.priority().level() - (nowNanos - first.arrivedNanos()) / ageingNanos;
                if (best == null || level < bestLevel) {
                    best = first;
                    bestLevel = level;
                }
            }
            return best;
        }

        void serve(Entry<T> entry) {
            byClass.get(entry.priority().level()).removeFirst();
            taken(entry);
            virtualService += entry.tokens() / weight;
        }

        Entry<T> removeNewest() {
            Deque<Entry<T>> newest = null;
            for (Deque<Entry<T>> queue : byClass) {
                boolean later = newest == null
                        || (!queue.isEmpty()
                                && newest.peekLast().arrivedNanos()
                                        <= queue.peekLast().arrivedNanos());
                if (!queue.isEmpty() && later) {
                    newest = queue;
                }
            }
            Entry<T> entry = newest.removeLast();
            taken(entry);
            return entry;
        }

        boolean removeItem(T item) {
            for (Collection<Entry<T>> queue : byClass) {
                for (Entry<T> entry : queue) {
                    if (entry.item().equals(item)) {
                        queue.remove(entry);
                        taken(entry);
                        return true;
                    }
                }
            }
            return false;
        }

        private void taken(Entry<T> entry) {
            queuedTokens -= entry.tokens();
            items--;
        }
    }
}
