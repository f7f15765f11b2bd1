package io.figspan.policy.fair;

import io.figspan.core.id.OrganisationId;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Bounded weighted fair queue. Organisations are served in proportion to their weights, measured in tokens of work
 * (weighted deficit). Within an organisation, items are ordered by priority class and then by arrival; for each ageing
 * interval that an item has waited, it counts as one class more urgent, which prevents starvation.
 *
 * <p>Start-time fair queueing: an organisation that becomes active again resumes at the virtual time, the service at
 * which the latest item was served, so that it gets no credit for idle time. If its own service ended later, it resumes
 * there. Service ahead of the virtual time is remembered for {@code capacityItems} organisations at most, and until the
 * queue is empty.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {
    private final int capacityItems;
    private final long ageingNanos;
    private final ToDoubleFunction<OrganisationId> weightOf;
    private final Map<OrganisationId, FairFlow<T>> flows = new HashMap<>();
    private final Map<OrganisationId, Double> idleService = new HashMap<>();
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
     * its weight is removed. The only item of an organisation is removed only if no organisation has two, so that a
     * single large item doesn't give way to many small ones.
     *
     * @return the removed entry, which may be the offered one; empty if the queue was not full
     */
    public Optional<Entry<T>> offer(Entry<T> entry) {
        FairFlow<T> flow = flows.get(entry.organisation());
        if (flow == null) {
            double weight = weightOf.applyAsDouble(entry.organisation());
            flow = new FairFlow<>(entry.organisation(), weight, resumedService(entry.organisation()));
            idleService.remove(entry.organisation());
            flows.put(entry.organisation(), flow);
        }
        flow.add(entry);
        size++;
        if (size <= capacityItems) {
            return Optional.empty();
        }
        FairFlow<T> heaviest = flow;
        for (FairFlow<T> other : flows.values()) {
            if (other.isHeavierThan(heaviest)) {
                heaviest = other;
            }
        }
        Entry<T> displaced = heaviest.removeNewest();
        afterRemoval(heaviest);
        return Optional.of(displaced);
    }

    /** Service at which an organisation without queued items resumes. */
    private double resumedService(OrganisationId organisation) {
        return Math.max(virtualTime, idleService.getOrDefault(organisation, virtualTime));
    }

    /** Counts tokens that an organisation received without queueing. Has no effect while nothing is queued. */
    public void charge(OrganisationId organisation, long tokens) {
        FairFlow<T> flow = flows.get(organisation);
        if (flow != null) {
            flow.charge(tokens);
        } else if (size > 0) {
            double service = resumedService(organisation) + tokens / weightOf.applyAsDouble(organisation);
            rememberIdle(organisation, service);
        }
    }

    /** What to do with an entry that {@link #serve} offers. */
    public enum Decision {
        /** The entry stays queued. */
        KEEP,
        /** The entry is removed and counts as service. */
        SERVE,
        /** The entry is removed without counting as service. */
        DROP
    }

    /**
     * Offers each entry once, that of the organisation with the least service first; each service counts for the
     * entries that follow. The function must not change this queue.
     */
    public void serve(long nowNanos, Function<Entry<T>, Decision> decide) {
        PriorityQueue<FairFlow.Cursor<T>> cursors =
                new PriorityQueue<>((one, other) -> one.flow().compareByService(other.flow()));
        flows.values().forEach(flow -> cursors.add(new FairFlow.Cursor<>(flow)));
        while (!cursors.isEmpty()) {
            FairFlow.Cursor<T> cursor = cursors.poll();
            FairFlow<T> flow = cursor.flow();
            Entry<T> entry = cursor.next(nowNanos, ageingNanos);
            Decision decision = decide.apply(entry);
            if (decision == Decision.SERVE) {
                virtualTime = Math.max(virtualTime, flow.virtualService());
            }
            cursor.decided(entry, decision);
            if (decision != Decision.KEEP) {
                afterRemoval(flow);
            }
            if (cursor.hasNext()) {
                cursors.add(cursor);
            }
        }
    }

    /** Returns the entry that {@link #poll(long)} would return, without removing it. */
    public Optional<Entry<T>> peek(long nowNanos) {
        FairFlow<T> flow = nextFlow();
        return flow == null ? Optional.empty() : Optional.of(flow.head(nowNanos, ageingNanos));
    }

    /** Removes and returns the next entry of the organisation with the least service; empty if the queue is empty. */
    public Optional<Entry<T>> poll(long nowNanos) {
        FairFlow<T> flow = nextFlow();
        if (flow == null) {
            return Optional.empty();
        }
        Entry<T> entry = flow.head(nowNanos, ageingNanos);
        virtualTime = Math.max(virtualTime, flow.virtualService());
        flow.serve(entry);
        afterRemoval(flow);
        return Optional.of(entry);
    }

    /** Removes an item without counting it as service; returns false if it is not queued. */
    public boolean remove(OrganisationId organisation, T item) {
        return removeFirst(organisation, item::equals);
    }

    /** Removes the first item of an organisation that matches; returns false if there is none. */
    public boolean removeFirst(OrganisationId organisation, Predicate<T> matches) {
        FairFlow<T> flow = flows.get(organisation);
        if (flow == null || !flow.removeFirst(matches)) {
            return false;
        }
        afterRemoval(flow);
        return true;
    }

    public int size() {
        return size;
    }

    /** Number of queued items of one organisation that match. */
    public int count(OrganisationId organisation, Predicate<T> matches) {
        FairFlow<T> flow = flows.get(organisation);
        return flow == null ? 0 : flow.count(matches);
    }

    /** Sum of the tokens of all queued items. */
    public long queuedTokens() {
        long sum = 0;
        for (FairFlow<T> flow : flows.values()) {
            sum += flow.queuedTokens();
        }
        return sum;
    }

    /** Number of organisations with queued items. */
    public int organisations() {
        return flows.size();
    }

    /** The organisations with queued items; a live view. */
    public Set<OrganisationId> queuedOrganisations() {
        return Collections.unmodifiableSet(flows.keySet());
    }

    /** Number of queued items of one organisation. */
    public int size(OrganisationId organisation) {
        FairFlow<T> flow = flows.get(organisation);
        return flow == null ? 0 : flow.items();
    }

    private FairFlow<T> nextFlow() {
        FairFlow<T> next = null;
        for (FairFlow<T> flow : flows.values()) {
            if (next == null || flow.compareByService(next) < 0) {
                next = flow;
            }
        }
        return next;
    }

    private void afterRemoval(FairFlow<T> flow) {
        size--;
        if (flow.items() == 0) {
            flows.remove(flow.organisation());
            rememberIdle(flow.organisation(), flow.virtualService());
        }
        if (size == 0) {
            idleService.values().forEach(service -> virtualTime = Math.max(virtualTime, service));
            idleService.clear();
        }
    }

    /** Forgets services that the virtual time has reached, and the smallest one when there are too many. */
    private void rememberIdle(OrganisationId organisation, double service) {
        idleService.put(organisation, service);
        idleService.values().removeIf(other -> other <= virtualTime);
        if (idleService.size() > capacityItems) {
            idleService.remove(Collections.min(idleService.entrySet(), Map.Entry.comparingByValue())
                    .getKey());
        }
    }
}
