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
 * Bounded weighted fair queue. Organisations are served in proportion to their weights, measured in tokens of work
 * (weighted deficit). Within an organisation, items are ordered by priority class and then by arrival; for each ageing
 * interval that an item has waited, it counts as one class more urgent, which prevents starvation.
 *
 * <p>An organisation that becomes active again starts level with the active organisation that has received the least
 * service, so that it gets no credit for idle time.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
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
     * @param capacityItems maximum number of queued items
     * @param ageingNanos waiting time after which an item counts as one priority class more urgent
     * @param weightOf returns the weight of an organisation, above 0
     */
    public FairQueue(int capacityItems, long ageingNanos, ToDoubleFunction<OrganisationId> weightOf) {
        this.capacityItems = capacityItems;
        this.ageingNanos = ageingNanos;
        this.weightOf = weightOf;
    }

    /** An item with its organisation, priority class, size in tokens and arrival time. */
    public record Entry<T>(
            T item, OrganisationId organisation, PriorityClass priority, long tokens, long arrivedNanos) {}

    /**
     * Adds an item. If the queue is full, the newest item of the organisation with the most queued tokens relative to
     * its weight is removed.
     *
     * @return the removed entry, which may be the offered one; empty if the queue was not full
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
        afterRemoval(heaviest);
        return Optional.of(displaced);
    }

    /** Returns the entry that {@link #poll(long)} would return, without removing it. */
    public Optional<Entry<T>> peek(long nowNanos) {
        Flow<T> flow = nextFlow();
        return flow == null ? Optional.empty() : Optional.of(flow.head(nowNanos, ageingNanos));
    }

    /** Removes and returns the next entry of the organisation with the least service; empty if the queue is empty. */
    public Optional<Entry<T>> poll(long nowNanos) {
        Flow<T> flow = nextFlow();
        if (flow == null) {
            return Optional.empty();
        }
        Entry<T> entry = flow.head(nowNanos, ageingNanos);
        virtualTime = Math.max(virtualTime, flow.virtualService);
        flow.serve(entry);
        afterRemoval(flow);
        return Optional.of(entry);
    }

    /** Removes an item without counting it as service; returns false if it is not queued. */
    public boolean remove(OrganisationId organisation, T item) {
        Flow<T> flow = flows.get(organisation);
        if (flow == null || !flow.removeItem(item)) {
            return false;
        }
        afterRemoval(flow);
        return true;
    }

    public int size() {
        return size;
    }

    /** Sum of the tokens of all queued items. */
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

    private void afterRemoval(Flow<T> flow) {
        size--;
        if (flow.items == 0) {
            virtualTime = Math.max(virtualTime, flow.virtualService);
            flows.remove(flow.organisation);
        }
    }

    /** Queued items of one organisation, with one FIFO queue per priority class. */
    private static final class Flow<T> {
        private final OrganisationId organisation;
        private final double weight;
        private final List<Deque<Entry<T>>> byPriority = new ArrayList<>();
        private double virtualService;
        private long queuedTokens;
        private int items;

        Flow(OrganisationId organisation, double weight, double virtualService) {
            this.organisation = organisation;
            this.weight = weight;
            this.virtualService = virtualService;
            for (int i = 0; i < PriorityClass.values().length; i++) {
                byPriority.add(new ArrayDeque<>());
            }
        }

        boolean isBefore(Flow<T> other) {
            int byService = Double.compare(virtualService, other.virtualService);
            return byService != 0 ? byService < 0 : organisation.compareTo(other.organisation) < 0;
        }

        void add(Entry<T> entry) {
            byPriority.get(entry.priority().level()).addLast(entry);
            queuedTokens += entry.tokens();
            items++;
        }

        Entry<T> head(long nowNanos, long ageingNanos) {
            Entry<T> best = null;
            long bestLevel = 0;
            for (Deque<Entry<T>> queue : byPriority) {
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
            byPriority.get(entry.priority().level()).removeFirst();
            subtract(entry);
            virtualService += entry.tokens() / weight;
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

        boolean removeItem(T item) {
            for (Collection<Entry<T>> queue : byPriority) {
                for (Entry<T> entry : queue) {
                    if (entry.item().equals(item)) {
                        queue.remove(entry);
                        subtract(entry);
                        return true;
                    }
                }
            }
            return false;
        }

        private void subtract(Entry<T> entry) {
            queuedTokens -= entry.tokens();
            items--;
        }
    }
}
